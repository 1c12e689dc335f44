package command

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state known to an entry: bundle in force, entries, endpoints, workers and tasks",
		Flags: []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return callAndPrint(ctx, cmd, http.MethodGet, "/status", nil, nil)
		},
	}
}
