package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

func bundleCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a bundle's document and print its digest",
		ArgsUsage: "file",
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, err := readArgument(cmd, "the bundle's document")
			if err != nil {
				return err
			}
			d, err := bundle.Parse(data)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "version %d digest %s\n", d.Version, bundle.Digest(data))
			return err
		},
	}
}
