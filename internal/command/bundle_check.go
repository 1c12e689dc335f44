package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// againstInForce is the value of --against that stands for the bundle in force.
const againstInForce = "in-force"

func bundleCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a bundle's document and print its digest and its changes",
		ArgsUsage: "file",
		Flags: []cli.Flag{
			stringFlag("against", "", "document or signed bundle to compare with: a file, or in-force for the bundle in force"),
			entryFlag(),
		},
		Action: runBundleCheck,
	}
}

func runBundleCheck(ctx context.Context, cmd *cli.Command) error {
	data, err := readFileArgument(cmd, "the bundle's document")
	if err != nil {
		return err
	}
	d, err := bundle.Parse(data)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if _, err := fmt.Fprintf(out, "version %d digest %s\n", d.Version, bundle.Digest(data)); err != nil {
		return err
	}
	if cmd.String("against") == "" {
		return nil
	}
	before, err := comparedDocument(ctx, cmd)
	if err != nil {
		return err
	}
	return printChanges(out, before, d)
}

// comparedDocument returns the content of the document that --against names.
func comparedDocument(ctx context.Context, cmd *cli.Command) ([]byte, error) {
	if against := cmd.String("against"); against != againstInForce {
		data, err := os.ReadFile(against)
		if signed, signedErr := bundle.DecodeSigned(data); err == nil && signedErr == nil {
			return signed.Content(), nil
		}
		return data, err
	}
	var content []byte
	err := callEntry(ctx, cmd, http.MethodGet, "/bundles/current", nil, nil, func(body io.Reader) error {
		data, err := io.ReadAll(body)
		if err != nil {
			return err
		}
		signed, err := bundle.DecodeSigned(data)
		if err == nil {
			content = signed.Content()
		}
		return err
	})
	return content, err
}

// printChanges prints the changes from the document encoded in before to d, and warns if d
// is not the successor of before.
func printChanges(out io.Writer, before []byte, d *bundle.Document) error {
	old, err := bundle.Parse(before)
	if err != nil {
		return err
	}
	changes, err := bundle.Diff(old, d)
	if err != nil {
		return err
	}
	if want := bundle.Digest(before); d.Parent != want {
		_, _ = fmt.Fprintf(out, "warning: the parent is %q, the document compared with is %s\n", d.Parent, want)
	}
	if d.Version != old.Version+1 {
		_, _ = fmt.Fprintf(out, "warning: the version is %d, the next one is %d\n", d.Version, old.Version+1)
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(out, c); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "%d changes\n", len(changes))
	return err
}
