package log

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/agent"
	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/worker"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// The site of the bundle measurement and its faults.
const (
	siteEntries   = 2
	siteAgents    = 3
	siteHeartbeat = 500 * time.Millisecond
	siteDrain     = 10 * time.Millisecond
	siteTeams     = 180
	cleanRolls    = 3
	lossyRolls    = 2
	rollWithin    = 30 * time.Second
	rollPoll      = 20 * time.Millisecond

	linkDelay   = 20 * time.Millisecond
	linkSpread  = 40 * time.Millisecond
	linkLoss    = 0.05
	slowLogMS   = 50
	lostReplies = 2
	logOutage   = 2 * time.Second
)

// site is entries and agents of all data centres with a log and links between them.
type site struct {
	*lab
	log     *standin.Log
	logURL  string
	entries []*entry.Entry
	relays  []*relay
	running sync.WaitGroup
	version uint64
	parent  string
}

func measureInForce(ctx context.Context, r *Result) error {
	l, err := newLab()
	if err != nil {
		return err
	}
	s := &site{lab: l, log: new(standin.Log)}
	live, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		s.running.Wait()
		for _, r := range s.relays {
			r.close()
		}
		l.close()
	}()
	if err := s.start(live); err != nil {
		return err
	}
	if _, err := s.roll(ctx); err != nil {
		return errors.Wrap(err, "first bundle")
	}
	if r.InForce, err = s.rolls(ctx, cleanRolls, func() {}); err != nil {
		return err
	}
	for _, relay := range s.relays {
		relay.faults.Store(&linkFaults{delay: linkDelay, spread: linkSpread, loss: linkLoss})
	}
	r.InForceLossy, err = s.rolls(ctx, lossyRolls, s.breakLog)
	r.Rolls = cleanRolls + lossyRolls
	return err
}

// rolls rolls several bundles and returns the longest time.
func (s *site) rolls(ctx context.Context, count int, fault func()) (float64, error) {
	longest := 0.0
	for range count {
		fault()
		took, err := s.roll(ctx)
		if err != nil {
			return 0, err
		}
		longest = max(longest, took.Seconds())
	}
	return longest, nil
}

// breakLog takes the log down for a while and loses replies afterwards.
func (s *site) breakLog() {
	s.log.SetFaults(standin.LogFaults{Down: true})
	time.AfterFunc(logOutage, func() {
		s.log.SetFaults(standin.LogFaults{DelayMS: slowLogMS, LoseReplies: lostReplies})
	})
}

func (s *site) start(ctx context.Context) error {
	var err error
	if s.logURL, err = s.host(s.log.Handler()); err != nil {
		return err
	}
	for dc := range dataCentres {
		if err := s.startCentre(ctx, fmt.Sprintf("dc-%d", dc+1)); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startCentre(ctx context.Context, dataCentre string) error {
	var addresses []string
	for i := range siteEntries {
		address, err := s.startEntry(ctx, dataCentre, fmt.Sprintf("%s-entry-%d", dataCentre, i+1))
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	for i := range siteAgents {
		if err := s.startAgent(ctx, dataCentre, fmt.Sprintf("%s-worker-%d", dataCentre, i+1), addresses); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts an entry behind a relay and returns the relay's address.
func (s *site) startEntry(ctx context.Context, dataCentre, name string) (string, error) {
	id, err := s.identity(link.RoleEntry, dataCentre, name)
	if err != nil {
		return "", err
	}
	r, err := newRelay()
	if err != nil {
		return "", err
	}
	s.relays = append(s.relays, r)
	e, err := entry.New(time.Now(), entry.Settings{
		Name: name, DataCentre: dataCentre, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerAdvertise: r.address(),
		LogURL: s.logURL, Roots: s.roots, DrainDelay: siteDrain, AllowUnauthenticated: true,
	}, id, quiet())
	if err != nil {
		return "", err
	}
	s.entries = append(s.entries, e)
	s.running.Go(func() { _ = e.Run(ctx) })
	return r.address(), r.serveFor(e.PeerListenAddress())
}

func (s *site) startAgent(ctx context.Context, dataCentre, name string, entries []string) error {
	id, err := s.identity(link.RoleAgent, dataCentre, name)
	if err != nil {
		return err
	}
	size := worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10, Accelerators: 2}
	workerURL, err := s.host(standin.NewWorker(size, time.Now).Handler())
	if err != nil {
		return err
	}
	a, err := agent.New(time.Now(), agent.Settings{
		Name: name, DataCentre: dataCentre, Rack: "rack-1", Listen: "127.0.0.1:0", WorkerURL: workerURL,
		Entries: entries, HeartbeatEvery: siteHeartbeat, DrainDelay: siteDrain, Roots: s.roots,
	}, id, quiet())
	if err != nil {
		return err
	}
	s.running.Go(func() { _ = a.Run(ctx) })
	return nil
}

// roll publishes the next bundle and returns how long it took to be in force
// in every process, as the entries report it of themselves and their agents.
func (s *site) roll(ctx context.Context) (time.Duration, error) {
	content, err := bundle.Format(s.document())
	if err != nil {
		return 0, err
	}
	signed := bundle.NewSigned(content)
	signed.Sign("bench", s.operator)
	data, err := signed.Encode()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	until, cancel := context.WithTimeout(ctx, rollWithin)
	defer cancel()
	for !s.publish(until, data) {
		if !delay.For(until, rollPoll) {
			return 0, errors.Wrapf(ErrBroken, "version %d was not published within %s", s.version, rollWithin)
		}
	}
	s.parent = bundle.Digest(content)
	for !s.everywhere(until) {
		if !delay.For(until, rollPoll) {
			return 0, errors.Wrapf(ErrBroken, "version %d was not in force everywhere within %s", s.version, rollWithin)
		}
	}
	return time.Since(began), nil
}

// document returns the next version, of the size that the target has.
func (s *site) document() *bundle.Document {
	s.version++
	d := &bundle.Document{Version: s.version, Parent: s.parent, Operators: s.roots}
	for i := range siteTeams {
		d.Teams = append(d.Teams, bundle.Team{
			Name:  fmt.Sprintf("team-%d", i),
			Quota: worker.Resources{MilliCPU: int64(1000 * (i + int(s.version))), MemoryMB: 4096},
		})
	}
	return d
}

func (s *site) publish(ctx context.Context, data []byte) bool {
	e := s.entries[int(s.version)%len(s.entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/bundles", bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// everywhere reports whether every entry and agent has the newest bundle in force.
func (s *site) everywhere(ctx context.Context) bool {
	for _, e := range s.entries {
		var status entry.Status
		if getJSON(ctx, "http://"+e.Address()+"/status", &status) != nil || status.BundleDigest != s.parent {
			return false
		}
		if len(status.Workers) < siteAgents {
			return false
		}
		for _, w := range status.Workers {
			if w.Bundle != s.parent {
				return false
			}
		}
	}
	return true
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
