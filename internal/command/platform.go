package command

import (
	"context"
	"os"
	"sync"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/logline"
	"savoryhoist.example/savoryhoist/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a process on the users' platform, configured by the platform's settings file, or check a configuration",
		Commands: []*cli.Command{
			{Name: "entry", Usage: "run an entry", Flags: platformFlags(), Action: platformAction(platform.RunEntry)},
			{Name: "agent", Usage: "run the agent of a worker, beside its runner", Flags: platformFlags(), Action: platformAction(platform.RunAgent)},
			checkConfigCommand(),
		},
	}
}

// platformFlags returns the flags for settings that the platform's settings file does not contain.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("log-level", "info", "lowest level of log lines that are written: debug, info, warn or error"),
		intFlag("log-lines-per-second", logline.DefaultMaxInfoLinesPerSecond, "maximum number of log lines per second below level warn; more are dropped"),
	}
}

// platformAction returns an action that runs a process and writes its log lines
// in the background, so that slow output never blocks the process.
func platformAction(run func(context.Context, *log.Logger) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c := &flagReader{cmd: cmd}
		level := c.level("log-level")
		linesPerSecond := c.positiveInt("log-lines-per-second")
		if c.err != nil {
			return c.err
		}
		lowerGCPercent()
		out := logline.New(os.Stdout)
		out.MaxInfoLinesPerSecond = linesPerSecond
		writerContext, stop := context.WithCancel(context.WithoutCancel(ctx))
		var group sync.WaitGroup
		group.Go(func() { out.Run(writerContext) })
		err := run(ctx, &log.Logger{Level: level, Writer: &log.IOWriter{Writer: out}})
		stop()
		group.Wait()
		return err
	}
}
