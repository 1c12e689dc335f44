package command

import (
	"context"
	"os"
	"sync"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/lines"
	"savoryhoist.example/savoryhoist/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a process on the users' platform, set up by its settings file",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "run an entry", Flags: platformFlags(), Action: platformAction(platform.RunEntry)},
			{Name: "agent", Usage: "run an agent beside a runner", Flags: platformFlags(), Action: platformAction(platform.RunAgent)},
		},
	}
}

// platformFlags are the settings that the platform's file does not hold.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		text("log-level", "info", "least level of log lines: debug, info, warn or error"),
		number("log-lines-per-second", lines.DefaultMaxInfoLinesPerSecond, "most log lines below a warning in a second"),
	}
}

// platformAction runs a process whose log lines never hold it up.
func platformAction(run func(context.Context, *log.Logger) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c := &checker{cmd: cmd}
		level := c.level("log-level")
		budget := c.count("log-lines-per-second")
		if c.err != nil {
			return c.err
		}
		tuneMemory()
		out := lines.New(os.Stdout)
		out.MaxInfoLinesPerSecond = budget
		writing, stop := context.WithCancel(context.WithoutCancel(ctx))
		var group sync.WaitGroup
		group.Go(func() { out.Run(writing) })
		err := run(ctx, &log.Logger{Level: level, Writer: &log.IOWriter{Writer: out}})
		stop()
		group.Wait()
		return err
	}
}
