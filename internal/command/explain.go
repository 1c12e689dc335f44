package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/joblog"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines about one job from any number of processes, in causal order",
		ArgsUsage: "JOB [FILE...]; without files, lines are read from standard input",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) == 0 {
				return errors.Wrap(ErrUsage, "want a job ID")
			}
			return explain(cmd.Root().Writer, os.Stdin, args[0], args[1:])
		},
	}
}

// explain prints the log lines about a job in causal order. It reads them from files or, without
// files, from in.
func explain(out io.Writer, in io.Reader, job string, files []string) error {
	var lines []joblog.Line
	read := func(r io.Reader) error {
		more, err := joblog.Read(r, job)
		lines = append(lines, more...)
		return err
	}
	if len(files) == 0 {
		if err := read(in); err != nil {
			return err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "open the log file"), ErrUsage)
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	if len(lines) == 0 {
		return errors.Newf("no log line mentions job %s", job)
	}
	for _, l := range joblog.SortByCause(lines) {
		if _, err := fmt.Fprintln(out, l.Text()); err != nil {
			return errors.Wrap(err, "print the log lines")
		}
	}
	return nil
}
