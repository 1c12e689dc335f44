package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

func bundleKeygenCommand() *cli.Command {
	return &cli.Command{
		Name:      "keygen",
		Usage:     "write a new operator's private key to a file and print the public key",
		ArgsUsage: "file",
		Action: func(_ context.Context, cmd *cli.Command) error {
			path, err := singleArgument(cmd, "the file to write the private key to")
			if err != nil {
				return err
			}
			private, public, err := bundle.GenerateKey(rand.Reader)
			if err != nil {
				return err
			}
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()
			if _, err := fmt.Fprintln(f, bundle.FormatPrivateKey(private)); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, public)
			return err
		},
	}
}
