package command

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/link"
)

// Modes of written files and directories.
const (
	secretMode = 0o600
	publicMode = 0o644
	folderMode = 0o755
)

func certificateCommand() *cli.Command {
	return &cli.Command{
		Name:      "certificate",
		Usage:     "create a certificate authority and issue certificates for the links between entries and agents of a small site",
		ArgsUsage: "role/data-centre/name ...",
		Flags: []cli.Flag{
			stringFlag("out", ".", "directory to write the certificates and keys to"),
			durationFlag("valid", 90*24*time.Hour, "validity period of the certificates"),
		},
		Action: runCertificate,
	}
}

func runCertificate(_ context.Context, cmd *cli.Command) error {
	c := &flagReader{cmd: cmd}
	valid := c.positiveDuration("valid")
	peers := c.peerArguments()
	if c.err != nil {
		return c.err
	}
	now := time.Now()
	authority, err := link.NewAuthority(now, valid)
	if err != nil {
		return err
	}
	out := cmd.String("out")
	if err := os.MkdirAll(out, folderMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "authority.pem"), authority.PEM(), publicMode); err != nil {
		return err
	}
	for _, p := range peers {
		if err := writeCertificate(now, valid, authority, p, out); err != nil {
			return err
		}
	}
	return nil
}

// writeCertificate issues a certificate for a peer and writes it and its key to
// the directory out, in files named after the peer.
func writeCertificate(now time.Time, valid time.Duration, a *link.Authority, p link.Peer, out string) error {
	certificate, key, err := a.Issue(now, valid, p)
	if err != nil {
		return err
	}
	base := filepath.Join(out, p.Name())
	if err := os.WriteFile(base+".pem", certificate, publicMode); err != nil {
		return err
	}
	return os.WriteFile(base+"-key.pem", key, secretMode)
}
