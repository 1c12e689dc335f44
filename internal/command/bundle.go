package command

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "check, sign, publish and show configuration bundles",
		Commands: []*cli.Command{
			bundleKeygenCommand(),
			bundleCheckCommand(),
			bundleSchemaCommand(),
			bundleSignCommand(),
			bundlePublishCommand(),
			bundleShowCommand(),
		},
	}
}

func entryFlag() cli.Flag {
	return text("entry-url", "http://127.0.0.1:8080", "URL of an entry or of the balancer before the entries")
}

// argument returns the command's only argument.
func argument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Wrapf(ErrUsage, "want one argument: %s", what)
	}
	return cmd.Args().First(), nil
}

func readArgument(cmd *cli.Command, what string) ([]byte, error) {
	path, err := argument(cmd, what)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}
