package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/pkg/bundle"
)

func bundleSignCommand() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "add an operator's signature to a document or a signed bundle",
		ArgsUsage: "file",
		Flags: []cli.Flag{
			stringFlag("operator", "", "name of the operator in the bundle"),
			stringFlag("operator-key", "", "file with the operator's private key"),
			stringFlag("out", "bundle.signed", "file to write the signed bundle to"),
		},
		Action: runBundleSign,
	}
}

func runBundleSign(_ context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	operator, keyFile := c.required("operator"), c.required("operator-key")
	if c.err != nil {
		return c.err
	}
	data, err := readFileArgument(cmd, "the document or the signed bundle")
	if err != nil {
		return err
	}
	keyText, err := os.ReadFile(keyFile)
	if err != nil {
		return err
	}
	key, err := bundle.ParsePrivateKey(string(keyText))
	if err != nil {
		return err
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		if _, err := bundle.Parse(data); err != nil {
			return err
		}
		signed = bundle.NewSigned(data)
	}
	signed.Sign(operator, key)
	out, err := signed.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.String("out"), out, publicMode)
}
