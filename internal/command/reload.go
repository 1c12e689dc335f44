package command

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/link"
)

// reloadInterval is the time between two reads of the certificate files.
const reloadInterval = time.Minute

// expiryWarningPeriod is the time before a certificate expires in which each reload logs a warning.
const expiryWarningPeriod = 24 * time.Hour

// runWithCertificateReload calls run and, until run returns, reloads the
// certificate files every reloadInterval and on SIGHUP.
func runWithCertificateReload(ctx context.Context, cmd *cli.Command, id *link.Identity, logger *log.Logger, run func(context.Context) error) error {
	reloadContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { reloadPeriodically(reloadContext, cmd, id, logger) })
	err := run(ctx)
	stop()
	group.Wait()
	return err
}

// reloadPeriodically reloads the certificate files every reloadInterval and on
// SIGHUP, until ctx ends.
func reloadPeriodically(ctx context.Context, cmd *cli.Command, id *link.Identity, logger *log.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-hangup:
		case <-ctx.Done():
			return
		}
		reloadCertificate(time.Now(), cmd, id, logger)
	}
}

// reloadCertificate reads the files of the certificate, its key and the authorities,
// and puts them in use. If any of them cannot be read or used, the old ones stay in
// use. It warns if the certificate in use expires soon.
func reloadCertificate(now time.Time, cmd *cli.Command, id *link.Identity, logger *log.Logger) {
	before := id.Expires()
	var texts [3][]byte
	for i, flag := range []string{"certificate", "key", "authorities"} {
		var err error
		if texts[i], err = link.ReadPEM(cmd.String(flag)); err != nil {
			logger.Error().Err(err).Str("setting", flag).Msg("cannot read the certificate files; the old certificate stays in use")
			return
		}
	}
	if err := id.Load(texts[0], texts[1], texts[2]); err != nil {
		logger.Error().Err(err).Msg("the new certificate is not valid; the old one stays in use")
		return
	}
	if expires := id.Expires(); !expires.Equal(before) {
		logger.Info().Time("expires", expires).Msg("reloaded the certificate")
	}
	if left := id.Expires().Sub(now); left < expiryWarningPeriod {
		logger.Warn().Dur("left", left).Msg("the certificate expires soon")
	}
}
