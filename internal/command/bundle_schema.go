package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

func bundleSchemaCommand() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "print the JSON schema of a bundle's document",
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, err := bundle.Schema()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "%s\n", data)
			return err
		},
	}
}
