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
		Usage: "measure the speed of placement, the effect of the colocation guard and the start delay of urgent tasks",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := batch.Run(ctx)
			if printErr := json.NewEncoder(cmd.Root().Writer).Encode(report); printErr != nil {
				return printErr
			}
			return err
		},
	}
}
