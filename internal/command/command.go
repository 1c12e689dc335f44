// Package command implements the program's subcommands, one file each.
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

// ErrUsage means that a flag, a setting or an argument is not valid.
var ErrUsage = errors.New("invalid usage")

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

// Main runs the subcommand that args name until it ends or SIGINT or SIGTERM
// arrives, and returns the program's exit code.
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
			fmt.Fprintf(os.Stderr, "savoryhoist: unknown command %q; see savoryhoist help\n", name)
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

// exitCode returns the exit code for an error of a subcommand.
func exitCode(err error) int {
	if errors.Is(err, ErrUsage) {
		return exitUsage
	}
	return exitFailure
}

// usageError marks an error in a command's flags as ErrUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Mark(err, ErrUsage)
}

// markUsageErrors sets usageError as the handler of flag errors of every command
// and subcommand, because a command does not inherit the handler of its parent.
func markUsageErrors(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = usageError
		markUsageErrors(c.Commands)
	}
}
