// Package log measures the log client, the rolling of bundles, the control
// messages between processes and the recovery of an entry.
package log

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	plog "github.com/phuslu/log"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// ErrBroken means that a measurement saw a promise broken.
var ErrBroken = errors.New("a promise was broken")

// Result is what the bench prints, in kebab case.
type Result struct {
	Appends      float64 `json:"appends-per-s-300-starts"`
	AppendsEach  float64 `json:"appends-per-s-300-starts-one-each"`
	AppendP99MS  float64 `json:"append-p99-ms-300-starts"`
	InForce      float64 `json:"bundle-in-force-s"`
	InForceLossy float64 `json:"bundle-in-force-lossy-s"`
	Rolls        int     `json:"bundle-rolls"`
	ControlResult
	RecoveryResult
	TookS float64 `json:"took-s"`
}

// Sizes of the target.
const (
	dataCentres   = 7
	targetWorkers = 1400
)

// Run measures everything and returns the figures.
func Run(ctx context.Context) (*Result, error) {
	began := time.Now()
	r := new(Result)
	for _, step := range []func(context.Context, *Result) error{measureAppends, measureInForce, measureControl, measureRecovery} {
		if err := step(ctx, r); err != nil {
			return nil, err
		}
	}
	r.TookS = time.Since(began).Seconds()
	return r, nil
}

// lab is the keys and the servers of one measurement.
type lab struct {
	group     sync.WaitGroup
	servers   []*http.Server
	authority *link.Authority
	operator  ed25519.PrivateKey
	roots     bundle.Operators
}

const labValid = time.Hour

func newLab() (*lab, error) {
	l := new(lab)
	var err error
	if l.authority, err = link.NewAuthority(time.Now(), labValid); err != nil {
		return nil, err
	}
	private, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	l.operator = private
	l.roots = bundle.Operators{Threshold: 1, Keys: []bundle.Key{{Name: "bench", PublicKey: public}}}
	return l, nil
}

func (l *lab) close() {
	for _, s := range l.servers {
		_ = s.Close()
	}
	l.group.Wait()
}

// host serves a handler and returns its URL.
func (l *lab) host(h http.Handler) (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l.servers = append(l.servers, s)
	l.group.Go(func() { _ = s.Serve(ln) })
	return "http://" + ln.Addr().String(), nil
}

func (l *lab) identity(role link.Role, dataCentre, name string) (*link.Identity, error) {
	certificate, key, err := l.authority.Issue(time.Now(), labValid, link.NewPeer(role, dataCentre, name))
	if err != nil {
		return nil, err
	}
	id := new(link.Identity)
	return id, id.Load(certificate, key, l.authority.PEM())
}

func quiet() *plog.Logger {
	return &plog.Logger{Level: plog.FatalLevel, Writer: &plog.IOWriter{Writer: io.Discard}}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
