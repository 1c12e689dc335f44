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

// reloadEvery is how often certificate files are read again.
const reloadEvery = time.Minute

// expiresSoon is how long before its end a certificate is warned about.
const expiresSoon = 24 * time.Hour

// withReload runs run and reads the certificate's files again from time to time
// and on SIGHUP.
func withReload(ctx context.Context, cmd *cli.Command, id *link.Identity, logger *log.Logger, run func(context.Context) error) error {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { reloadIdentity(live, cmd, id, logger) })
	err := run(ctx)
	stop()
	group.Wait()
	return err
}

func reloadIdentity(ctx context.Context, cmd *cli.Command, id *link.Identity, logger *log.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-hangup:
		case <-ctx.Done():
			return
		}
		loadIdentity(time.Now(), cmd, id, logger)
	}
}

// loadIdentity reads the files once. What cannot be used leaves the old ones in use.
func loadIdentity(now time.Time, cmd *cli.Command, id *link.Identity, logger *log.Logger) {
	before := id.Expires()
	var texts [3][]byte
	for i, flag := range []string{"certificate", "key", "authorities"} {
		var err error
		if texts[i], err = link.ReadPEM(cmd.String(flag)); err != nil {
			logger.Error().Err(err).Str("setting", flag).Msg("reading the certificate again failed; the old one stays in use")
			return
		}
	}
	if err := id.Load(texts[0], texts[1], texts[2]); err != nil {
		logger.Error().Err(err).Msg("the new certificate is refused; the old one stays in use")
		return
	}
	if expires := id.Expires(); !expires.Equal(before) {
		logger.Info().Time("expires", expires).Msg("a new certificate is in use")
	}
	if left := id.Expires().Sub(now); left < expiresSoon {
		logger.Warn().Dur("left", left).Msg("the certificate ends soon")
	}
}
