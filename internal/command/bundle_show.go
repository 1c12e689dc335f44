package command

import (
	"context"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

func bundleShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the document of the bundle in force",
		Flags: []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return callEntry(ctx, cmd, http.MethodGet, "/bundles/current", nil, nil, func(body io.Reader) error {
				data, err := io.ReadAll(body)
				if err != nil {
					return err
				}
				signed, err := bundle.DecodeSigned(data)
				if err != nil {
					return err
				}
				_, err = cmd.Root().Writer.Write(signed.Content())
				return err
			})
		},
	}
}
