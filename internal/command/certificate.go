package command

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/link"
)

// Permission modes of written files and directories.
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
	validity := c.positiveDuration("valid")
	peers := c.peerArguments()
	if c.err != nil {
		return c.err
	}
	now := time.Now()
	authority, err := link.NewAuthority(now, validity)
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
		if err := writeCertificate(now, validity, authority, p, out); err != nil {
			return err
		}
	}
	return nil
}

// writeCertificate issues a certificate for a peer that is valid from now for the
// duration validity, and writes the certificate and its key to a folder, in files
// named after the peer.
func writeCertificate(now time.Time, validity time.Duration, authority *link.Authority, peer link.Peer, folder string) error {
	certificate, key, err := authority.Issue(now, validity, peer)
	if err != nil {
		return err
	}
	base := filepath.Join(folder, peer.Name())
	if err := os.WriteFile(base+".pem", certificate, publicMode); err != nil {
		return err
	}
	return os.WriteFile(base+"-key.pem", key, secretMode)
}
