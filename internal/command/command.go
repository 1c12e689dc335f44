// Package command holds the program's subcommands, one file each.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
)

// ErrUsage means that a flag, a setting or an argument is wrong.
var ErrUsage = errors.New("wrong usage")

func commands() []*cli.Command {
	return []*cli.Command{
		entryCommand(),
		platformCommand(),
		agentCommand(),
		bundleCommand(),
		jobCommand(),
		statusCommand(),
		certificateCommand(),
		devCommand(),
		benchCommand(),
		loadCommand(),
		explainCommand(),
		standinCommand(),
		versionCommand(),
	}
}

// Main runs the program and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cli.Command{
		Name:           "savoryhoist",
		Usage:          "schedule latency-critical and batch work on shared workers",
		Commands:       commands(),
		OnUsageError:   usageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		CommandNotFound: func(_ context.Context, _ *cli.Command, name string) {
			fmt.Fprintf(os.Stderr, "savoryhoist: no command %q; see savoryhoist help\n", name)
			os.Exit(exitUsage)
		},
	}
	markUsageErrors(root.Commands)
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(os.Stderr, "savoryhoist: %v\n", err)
		return exitCode(err)
	}
	return 0
}

func exitCode(err error) int {
	if errors.Is(err, ErrUsage) {
		return exitUsage
	}
	return exitFailure
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Mark(err, ErrUsage)
}

// markUsageErrors makes wrong flags of every command wrong usage.
func markUsageErrors(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = usageError
		markUsageErrors(c.Commands)
	}
}
