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

// ErrGuarantee means that the system violated a guarantee during the run.
var ErrGuarantee = errors.New("a guarantee was violated")

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send the load of a plan to running entries and check the responses that callers got",
		ArgsUsage: "plan",
		Description: "Sends requests and jobs by an open-loop schedule, injects the plan's faults into the stand-ins,\n" +
			"and exits when its jobs have ended. Latency counts from the moment a request was due. Prints the result\n" +
			"as one line of JSON and writes a report, whose plots tools/plot draws. Exit code 1: a guarantee was violated.",
		Flags: []cli.Flag{
			stringFlag("entry-urls", "http://127.0.0.1:8080", "URLs of the entries, separated by commas"),
			stringFlag("standin-url", "", "URL of the site's stand-ins; if empty, checks that need their counts are skipped"),
			stringFlag("baseline-entry-urls", "", "URLs of the entries of a baseline site, which then gets half of the load, interleaved"),
			stringFlag("baseline-standin-url", "", "URL of the baseline site's stand-ins"),
			stringFlag("report", "", "directory of the report; default out/ followed by the plan's name"),
			intFlag("seed", 1, "random seed of the schedule"),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	path, err := singleArgument(cmd, "the plan's file")
	if err != nil {
		return err
	}
	present := load.Variant{Name: "present", EntryURLs: c.urls("entry-urls"), StandinURL: c.optionalURL("standin-url")}
	variants := []load.Variant{present}
	if cmd.String("baseline-entry-urls") != "" {
		baseline := load.Variant{Name: "baseline", EntryURLs: c.urls("baseline-entry-urls"), StandinURL: c.optionalURL("baseline-standin-url")}
		variants = []load.Variant{baseline, present}
	}
	if c.err != nil {
		return c.err
	}
	plan, err := load.ReadPlan(path)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	run := load.NewRun(load.Settings{Plan: plan, Seed: uint64(cmd.Int("seed")), Variants: variants, ProgressWriter: os.Stderr})
	observed, err := run.Do(ctx)
	if err != nil {
		return err
	}
	return reportLoad(cmd, plan, observed)
}

// reportLoad writes the report, prints the result without its plots and returns ErrGuarantee if a
// guarantee was violated.
func reportLoad(cmd *cli.Command, plan *load.Plan, observed *load.Observations) error {
	result := observed.Result()
	folder := cmd.String("report")
	if folder == "" {
		folder = filepath.Join("out", plan.Name)
	}
	if err := observed.WriteReport(folder, result); err != nil {
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
		return errors.Wrapf(ErrGuarantee, "see %s", filepath.Join(folder, "report.md"))
	}
	return nil
}

// urls returns the URLs of a flag that holds a list separated by commas.
func (c *flagReader) urls(flag string) []string {
	var out []string
	for _, v := range strings.Split(c.cmd.String(flag), ",") {
		v = strings.TrimSuffix(strings.TrimSpace(v), "/")
		if !validURL(v) {
			c.addError(flag, "want one or more URLs such as http://127.0.0.1:8080, separated by commas")
			return nil
		}
		out = append(out, v)
	}
	return out
}

// optionalURL returns the URL that a flag holds, or "" if the flag is not set.
func (c *flagReader) optionalURL(flag string) string {
	if c.cmd.String(flag) == "" {
		return ""
	}
	return c.url(flag)
}
