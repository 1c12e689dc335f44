package command

import (
	"bytes"
	"context"
	"net/http"

	"github.com/urfave/cli/v3"
)

func bundlePublishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a signed bundle and report whether it is in force",
		ArgsUsage: "file",
		Flags:     []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			data, err := readFileArgument(cmd, "the signed bundle")
			if err != nil {
				return err
			}
			return callAndPrint(ctx, cmd, http.MethodPost, "/bundles", bytes.NewReader(data), nil)
		},
	}
}
