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
		Usage: "run an entry: the caller API, request router and job scheduler",
		Flags: append(processFlags(),
			stringFlag("listen", "127.0.0.1:8080", "IP and port of the caller API"),
			stringFlag("peer-listen", "127.0.0.1:8443", "IP and port at which agents and other entries reach this entry"),
			stringFlag("peer-advertise", "", "IP and port that agents and other entries are told to use, if it differs from --peer-listen"),
			stringFlag("log-url", "", "URL of the platform's log service"),
			durationFlag("announce-every", 10*time.Second, "interval between membership records; a data centre that writes none for three intervals counts as lost"),
			&cli.BoolFlag{Name: "open", Usage: "accept callers without a token; the " + entry.HeaderTeam + " header names their team", Sources: envSource("open")},
		),
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	s := entry.Settings{
		Name: c.required("name"), DataCentre: c.required("data-centre"),
		Listen: c.address("listen"), PeerListen: c.address("peer-listen"), LogURL: c.url("log-url"),
		Roots: c.operators(), DrainDelay: c.positiveDuration("drain-after"), AllowUnauthenticated: cmd.Bool("open"),
		AnnounceEvery: c.positiveDuration("announce-every"),
	}
	if s.PeerAdvertise = cmd.String("peer-advertise"); s.PeerAdvertise != "" {
		c.address("peer-advertise")
	}
	id := c.identity(link.RoleEntry)
	logger := c.logger()
	if c.err != nil {
		return c.err
	}
	lowerGCPercent()
	e, err := entry.New(time.Now(), s, id, logger)
	if err != nil {
		return err
	}
	return runWithCertificateReload(ctx, cmd, id, logger, e.Run)
}
