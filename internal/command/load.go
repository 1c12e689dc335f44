package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/load"
)

// ErrPromise means that a run broke a promise.
var ErrPromise = errors.New("a promise was broken")

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send the load of a plan to running entries and check what callers saw",
		ArgsUsage: "plan",
		Description: "Sends requests and jobs by an open-loop schedule, switches the plan's faults at the stand-ins,\n" +
			"and ends by itself. Latency counts from the moment a request was due. The result is one line of\n" +
			"JSON; a report is written to a folder, and tools/plot draws its plots. Exit code 1 says that a promise was broken.",
		Flags: []cli.Flag{
			text("entry-urls", "http://127.0.0.1:8080", "URLs of the entries, separated by commas"),
			text("standin-url", "", "URL of the site's stand-ins; empty to skip the checks against them"),
			text("baseline-entry-urls", "", "URLs of another site's entries; half of the load goes there, interleaved"),
			text("baseline-standin-url", "", "URL of the other site's stand-ins"),
			text("report", "", "folder of the report; empty for out/ and the plan's name"),
			number("seed", 1, "seed of the schedule"),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	c := &checker{cmd: cmd}
	path, err := argument(cmd, "the plan's file")
	if err != nil {
		return err
	}
	present := load.Variant{Name: "present", Entries: c.urls("entry-urls"), Standin: c.optionalURL("standin-url")}
	variants := []load.Variant{present}
	if cmd.String("baseline-entry-urls") != "" {
		baseline := load.Variant{Name: "baseline", Entries: c.urls("baseline-entry-urls"), Standin: c.optionalURL("baseline-standin-url")}
		variants = []load.Variant{baseline, present}
	}
	if c.err != nil {
		return c.err
	}
	plan, err := load.ReadPlan(path)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	run := load.NewRun(load.Settings{Plan: plan, Seed: uint64(cmd.Int("seed")), Variants: variants, Progress: os.Stderr})
	seen, err := run.Do(ctx)
	if err != nil {
		return err
	}
	return reportLoad(cmd, plan, seen)
}

func reportLoad(cmd *cli.Command, plan *load.Plan, seen *load.Seen) error {
	result := seen.Result()
	folder := cmd.String("report")
	if folder == "" {
		folder = filepath.Join("out", plan.Name)
	}
	if err := seen.WriteReport(folder, result); err != nil {
		return err
	}
	for i := range result.Requests {
		result.Requests[i].Quantiles, result.Requests[i].Series = nil, nil
	}
	data, err := json.Marshal(result)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, string(data))
	if !result.Passed {
		return errors.Wrapf(ErrPromise, "see %s", filepath.Join(folder, "report.md"))
	}
	return nil
}

// urls reads a list of URLs.
func (c *checker) urls(flag string) []string {
	var out []string
	for _, v := range strings.Split(c.cmd.String(flag), ",") {
		v = strings.TrimSuffix(strings.TrimSpace(v), "/")
		if !validURL(v) {
			c.wrong(flag, "want URLs such as http://127.0.0.1:8080, separated by commas")
			return nil
		}
		out = append(out, v)
	}
	return out
}

func (c *checker) optionalURL(flag string) string {
	if c.cmd.String(flag) == "" {
		return ""
	}
	return c.url(flag)
}
