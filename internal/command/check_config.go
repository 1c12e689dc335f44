package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/platform"
	"savoryhoist.example/savoryhoist/platform/configcheck"
)

// Formats of a report.
const (
	formatText = "text"
	formatJSON = "json"
)

// errConfigInvalid means that a configuration has errors, which have been printed.
var errConfigInvalid = errors.New("the configuration has errors")

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "validate a version of the operators' configuration before it is sent",
		ArgsUsage: "file",
		Flags: []cli.Flag{
			stringFlag("in-force", "", "file with the version in force, to compare with"),
			stringFlag("format", formatText, "format of the report: text or json"),
		},
		Action: runCheckConfig,
	}
}

func runCheckConfig(_ context.Context, cmd *cli.Command) error {
	format := cmd.String("format")
	if format != formatText && format != formatJSON {
		return errors.Wrapf(ErrUsage, "--format: want text or json, got %q", format)
	}
	data, err := readFileArgument(cmd, "the configuration's JSON file")
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	var inForce []byte
	if path := cmd.String("in-force"); path != "" {
		if inForce, err = os.ReadFile(path); err != nil {
			return errors.Mark(errors.Wrap(err, "--in-force"), ErrUsage)
		}
		if len(inForce) == 0 {
			return errors.Wrapf(ErrUsage, "--in-force: %s is empty", path)
		}
	}
	report := platform.CheckConfig(data, inForce)
	write := printReport
	if format == formatJSON {
		write = printReportJSON
	}
	if err := write(cmd.Root().Writer, report); err != nil {
		return err
	}
	if report.Count(configcheck.SeverityError) > 0 {
		return errConfigInvalid
	}
	return nil
}

// printReport prints a report with one line for each finding and each change.
func printReport(out io.Writer, r *configcheck.Report) error {
	for _, f := range r.Findings {
		field := f.Field
		if field == "" {
			field = "document"
		}
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, field, f.Problem); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		line := fmt.Sprintf("%s: %s", c.Kind, c.Field)
		switch c.Kind {
		case configcheck.ChangeChanged:
			line += ": " + c.Before + " -> " + c.After
		case configcheck.ChangeAdded:
			line += ": " + c.After
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "errors: %d, warnings: %d, changes: %d\n", r.Count(configcheck.SeverityError), r.Count(configcheck.SeverityWarning), len(r.Changes))
	return err
}

// printReportJSON prints a report as one JSON object.
func printReportJSON(out io.Writer, r *configcheck.Report) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(r)
}
