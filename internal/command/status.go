package command

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what an entry knows: bundle in force, entries, endpoints, workers, tasks",
		Flags: []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, cmd, http.MethodGet, "/status", nil, nil)
		},
	}
}
