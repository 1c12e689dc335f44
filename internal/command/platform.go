package command

import (
	"context"
	"os"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a process on the users' platform, set up by its settings file",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "run an entry", Action: func(ctx context.Context, _ *cli.Command) error {
				tuneMemory()
				return platform.RunEntry(ctx, platformLogger())
			}},
			{Name: "agent", Usage: "run an agent beside a runner", Action: func(ctx context.Context, _ *cli.Command) error {
				tuneMemory()
				return platform.RunAgent(ctx, platformLogger())
			}},
		},
	}
}

// platformLogger writes to standard output.
func platformLogger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stdout}}
}
