package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/entry"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, show, list and cancel jobs",
		Commands: []*cli.Command{
			jobSubmitCommand(),
			jobShowCommand(),
			jobListCommand(),
			jobCancelCommand(),
		},
	}
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit the job that a JSON file describes",
		ArgsUsage: "file",
		Flags:     append(teamFlags(), stringFlag("idempotency-key", "", "submissions with the same key create only one job")),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			data, err := readFileArgument(cmd, "the job's JSON file")
			if err != nil {
				return err
			}
			h := teamHeader(cmd)
			if key := cmd.String("idempotency-key"); key != "" {
				h.Set("Idempotency-Key", key)
			}
			return callAndPrint(ctx, cmd, http.MethodPost, "/jobs", bytes.NewReader(data), h)
		},
	}
}

func jobShowCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "show a job and its tasks", ArgsUsage: "id", Flags: teamFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return callJobAndPrint(ctx, cmd, http.MethodGet) },
	}
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel jobs", ArgsUsage: "id...", Flags: teamFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return callJobAndPrint(ctx, cmd, http.MethodDelete)
			}
			data, err := json.Marshal(entry.Cancellation{Jobs: cmd.Args().Slice()})
			if err != nil {
				return err
			}
			return callAndPrint(ctx, cmd, http.MethodPost, "/jobs/cancel", bytes.NewReader(data), teamHeader(cmd))
		},
	}
}

func jobListCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the team's jobs", Flags: teamFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return callAndPrint(ctx, cmd, http.MethodGet, "/jobs", nil, teamHeader(cmd))
		},
	}
}

// callJobAndPrint calls the path of the job that the command's only argument names, and prints the
// response.
func callJobAndPrint(ctx context.Context, cmd *cli.Command, method string) error {
	id, err := singleArgument(cmd, "the job's id")
	if err != nil {
		return err
	}
	return callAndPrint(ctx, cmd, method, "/jobs/"+url.PathEscape(id), nil, teamHeader(cmd))
}
