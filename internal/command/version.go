package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the program's version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(cmd.Root().Writer, "savoryhoist", version)
			return err
		},
	}
}
