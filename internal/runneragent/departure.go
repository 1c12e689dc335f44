package runneragent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// departureCopies is how many entries have to confirm a departure; one that lives until the next dispatcher begins is
	// enough. maxDepartureCalls of them are told at a time, as some of the known ones may be gone.
	departureCopies   = 3
	maxDepartureCalls = 8
	// departureTimeout bounds the attempt to tell one entry of a departure. A machine that leaves takes its agent away
	// about a second after the runner.
	departureTimeout = time.Second
)

// handleRegistered takes in the registration under which the dispatcher at conn assigns tasks to the worker. One under
// which the worker has left never counts again.
func (a *Agent) handleRegistered(conn *peer.Conn, r *peer.Registered) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != conn || r.Number <= a.departed || r.Number == a.registration {
		return
	}
	a.registration = r.Number
	a.ping(clock.Steady()) // the dispatcher renews the worker lease only of registered workers
}

// hasLeft reports whether polls prove that the runner has ended as it had announced, that no start may still take
// effect there, and that a departure can name the ends that are not acknowledged. The caller holds mu.
func (a *Agent) hasLeft() bool {
	if a.registration == 0 || !a.runnerHasEnded() {
		return false
	}
	if !a.heartbeat.Draining || a.heartbeat.StartedAtMS != a.life {
		return false
	}
	return !a.hasPendingStart(a.endProof.proven.began) && a.departure().Fits()
}

// depart gives up the registration of the worker and tells entries so: the dispatcher may be gone, or the store may not
// take what the dispatcher concludes from the agent's report. The caller holds mu.
func (a *Agent) depart(ctx context.Context) {
	d, entries := a.giveUpRegistration(), a.shuffledEntries()
	a.group.Go(func() { a.tellDeparture(ctx, d, entries) })
}

// departure returns the departure of the worker under its present registration. It names the ends that no dispatcher has
// acknowledged and after which a task must not start again, or counts a failure: the agent may be gone before it meets the next
// dispatcher. A checkpoint would come too late to a task that has started again since. The caller holds mu.
func (a *Agent) departure() *peer.Departure {
	d := &peer.Departure{Worker: a.settings.Name, Number: a.registration}
	for _, l := range a.endedLives(true) {
		var ends []dispatch.RunEnd
		for _, e := range l.Ends {
			if e.Saved = ""; e.How == dispatch.OutcomeDone || e.How == dispatch.OutcomeFailed {
				ends = append(ends, e)
			}
		}
		if len(ends) > 0 {
			d.EndedLives = append(d.EndedLives, dispatch.EndedLife{Life: l.Life, Ends: ends})
		}
	}
	return d
}

// giveUpRegistration returns the departure of the worker under its present registration, which does not count any more. The
// caller holds mu.
func (a *Agent) giveUpRegistration() *peer.Departure {
	d := a.departure()
	a.departed, a.registration = a.registration, 0
	return d
}

// shuffledEntries returns the addresses of the known entries in random order. The caller holds mu.
func (a *Agent) shuffledEntries() []string {
	var entries []string
	for e := range a.entries {
		entries = append(entries, e)
	}
	rand.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
	return entries
}

// announceStop tells entries by when the leases of the last runs end, as this process renews none any more: the machine may
// be removed together with the dispatcher's, and the next dispatcher waits no longer than that. It says nothing if
// a start may still take effect later, if too many run ends are not acknowledged, or if the worker has no registration.
func (a *Agent) announceStop() {
	a.mu.Lock()
	now := clock.Steady()
	if a.registration == 0 || a.hasPendingStart(now) || !a.departure().Fits() {
		a.log.Info().Uint64("registration", a.registration).Int("unanswered", len(a.unansweredStarts)).Msg("stopping without a word to the entries")
		a.mu.Unlock()
		return
	}
	d, entries := a.giveUpRegistration(), a.shuffledEntries()
	d.LeasesEndMS = max(0, a.lastRunLeaseEnd.Add(leaseSlack).Sub(now).Milliseconds()) + 1
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	a.tellDeparture(ctx, d, entries)
	a.group.Wait()
}

// hasPendingStart reports whether a start that the runner has not answered may still take effect. The caller holds mu.
func (a *Agent) hasPendingStart(now time.Time) bool {
	for _, mayStartUntil := range a.unansweredStarts {
		if now.Before(mayStartUntil) {
			return true
		}
	}
	return false
}

// tellDeparture tells entries of a departure, in the given order, until enough of them have confirmed it.
func (a *Agent) tellDeparture(ctx context.Context, d *peer.Departure, entries []string) {
	began := clock.Steady()
	ctx, enough := context.WithCancel(ctx)
	defer enough()
	var group sync.WaitGroup
	var next, told atomic.Int64
	for range min(len(entries), maxDepartureCalls) {
		group.Go(func() {
			for told.Load() < departureCopies {
				i := int(next.Add(1)) - 1
				if i >= len(entries) {
					return
				}
				if err := a.tellEntry(ctx, d, entries[i]); err != nil {
					if told.Load() < departureCopies {
						a.log.Info().Err(err).Str("entry", entries[i]).Msg("telling an entry of the departure failed")
					}
					continue
				}
				if told.Add(1) >= departureCopies {
					enough() // ends calls to entries that may be gone
				}
			}
		})
	}
	group.Wait()
	a.count("departures")
	a.log.Info().Str("worker", d.Worker).Uint64("registration", d.Number).Int64("leases-end-ms", d.LeasesEndMS).Int64("entries", told.Load()).Int("known", len(entries)).
		Dur("took", clock.Steady().Sub(began)).Msg("worker has left in order")
}

// tellEntry tells the entry at an address of a departure, and returns once the entry has confirmed that.
func (a *Agent) tellEntry(ctx context.Context, d *peer.Departure, address string) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	conn, err := peer.Dial(ctx, address)
	if err != nil {
		return err
	}
	detach := context.AfterFunc(ctx, conn.Close)
	defer detach()
	confirmed := false
	conn.Send(&peer.Message{Departure: d})
	err = conn.Run(&a.group, func(m *peer.Message) {
		confirmed = m.Departure != nil && m.Departure.Worker == d.Worker && m.Departure.Number == d.Number
		conn.Close()
	})
	if confirmed {
		return nil
	}
	return err
}
