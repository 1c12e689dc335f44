package command

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/bench/batch"
)

func benchBatchCommand() *cli.Command {
	return &cli.Command{
		Name:  "batch",
		Usage: "measure placement, the colocation guard and the start of urgent work",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := batch.Run(ctx)
			if printed := json.NewEncoder(cmd.Root().Writer).Encode(report); printed != nil {
				return printed
			}
			return err
		},
	}
}
