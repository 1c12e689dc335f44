package command

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure parts of the system; each prints one line of JSON at its end",
		Commands: []*cli.Command{
			benchRequestCommand(),
			benchBatchCommand(),
			benchCapacityCommand(),
			benchExploreCommand(),
			benchTakeoverCommand(),
		},
	}
}
