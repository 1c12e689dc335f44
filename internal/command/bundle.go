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

// entryFlag returns the flag --entry-url of commands that call an entry.
func entryFlag() cli.Flag {
	return stringFlag("entry-url", "http://127.0.0.1:8080", "URL of an entry or of the load balancer in front of the entries")
}

// singleArgument returns the command's only argument. If there is another number of
// arguments, it returns an error that says which one is wanted.
func singleArgument(cmd *cli.Command, want string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Wrapf(ErrUsage, "want one argument: %s", want)
	}
	return cmd.Args().First(), nil
}

// readFileArgument returns the content of the file that the command's only argument
// names; see singleArgument.
func readFileArgument(cmd *cli.Command, want string) ([]byte, error) {
	path, err := singleArgument(cmd, want)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}
