package command

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	benchlog "savoryhoist.example/savoryhoist/internal/bench/log"
)

func benchLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "measure log appends, bundle rollout, control messages and recovery",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			result, err := benchlog.Run(ctx)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.Root().Writer).Encode(result)
		},
	}
}
