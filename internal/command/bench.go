package command

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure parts of the system; each subcommand ends its output with one line of JSON",
		Commands: []*cli.Command{
			benchRequestCommand(),
			benchBatchCommand(),
			benchCapacityCommand(),
			benchExploreCommand(),
			benchLogCommand(),
			benchTakeoverCommand(),
		},
	}
}
