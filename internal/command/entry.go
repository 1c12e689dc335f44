package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: the callers' door, router and scheduler",
		Flags: append(processFlags(),
			text("listen", "127.0.0.1:8080", "callers' door, IP and port"),
			text("peer-listen", "127.0.0.1:8443", "where agents and entries reach this entry, IP and port"),
			text("peer-advertise", "", "IP and port that agents and entries are told, if not the one listened at"),
			text("log-url", "", "URL of the platform's log service"),
			duration("announce-every", 10*time.Second, "time between two membership records; a data centre without one for three of them is lost"),
			&cli.BoolFlag{Name: "open", Usage: "let callers in without a token, by the " + entry.HeaderTeam + " header", Sources: env("open")},
		),
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	c := &checker{cmd: cmd}
	s := entry.Settings{
		Name: c.required("name"), DataCentre: c.required("data-centre"),
		Listen: c.address("listen"), PeerListen: c.address("peer-listen"), LogURL: c.url("log-url"),
		Roots: c.operators(), DrainDelay: c.positive("drain-after"), AllowUnauthenticated: cmd.Bool("open"),
		AnnounceEvery: c.positive("announce-every"),
	}
	if s.PeerAdvertise = cmd.String("peer-advertise"); s.PeerAdvertise != "" {
		c.address("peer-advertise")
	}
	id := c.identity(link.RoleEntry)
	logger := c.logger()
	if c.err != nil {
		return c.err
	}
	tuneMemory()
	e, err := entry.New(time.Now(), s, id, logger)
	if err != nil {
		return err
	}
	return withReload(ctx, cmd, id, logger, e.Run)
}
