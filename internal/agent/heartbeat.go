package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/lease"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of a round.
const (
	// callTimeout bounds a heartbeat.
	callTimeout = 2 * time.Second
	// answerGrace is how long a round waits for further answers after the first.
	answerGrace = 100 * time.Millisecond
	// beatJitter is the part of the heartbeat period by which a pause varies.
	beatJitter = 10
)

func (a *Agent) beat(ctx context.Context) {
	for {
		a.round(ctx)
		period := a.period()
		jitter := period / beatJitter
		if !delay.For(ctx, period-jitter+rand.N(2*jitter+1)) {
			return
		}
	}
}

// period returns the time to the next heartbeat: the agent's own, or a longer
// one that an entry has asked for.
func (a *Agent) period() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.settings.HeartbeatEvery, a.pace)
}

// round asks the worker, tells the entries, and does what they answer.
func (a *Agent) round(ctx context.Context) {
	a.tasksMu.Lock()
	defer a.tasksMu.Unlock()
	asked := time.Now()
	listing, err := a.worker.List(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("the worker does not answer")
		a.tell(ctx, a.heartbeat(nil))
		return
	}
	a.holder.Observe(asked, listingOf(&listing))
	a.follow(ctx, a.tell(ctx, a.heartbeat(&listing)))
	a.protect(ctx, time.Now(), &listing)
}

// answer is one entry's reading.
type answer struct {
	entry   string
	reading *link.Reading
}

// tell sends the heartbeat to a few entries at once and returns the answers
// that come in time: an entry that hangs does not hold up the round.
func (a *Agent) tell(ctx context.Context, h link.Heartbeat) []answer {
	entries, primary := a.targets(time.Now())
	replies := make(chan answer, len(entries))
	for _, address := range entries {
		own := h
		own.Primary = address == primary
		a.calls.Go(func() { replies <- a.tellOne(ctx, address, &own) })
	}
	answers := collect(ctx, replies, len(entries))
	a.choosePrimary(answers, primary)
	a.updateBundle(ctx, answers)
	return answers
}

// collect returns the answers that arrive until all have, or until answerGrace
// after the first.
func collect(ctx context.Context, replies <-chan answer, count int) []answer {
	var answers []answer
	var grace <-chan time.Time
	for range count {
		select {
		case o := <-replies:
			if o.reading == nil {
				continue
			}
			answers = append(answers, o)
			if grace == nil {
				grace = time.After(answerGrace)
			}
		case <-grace:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// tellOne sends the heartbeat to one entry. The call goes on after the round, so
// that a slow entry hears the worker all the same; its answer is then dropped.
func (a *Agent) tellOne(ctx context.Context, address string, h *link.Heartbeat) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := a.exchange(ctx, address, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contacts.ended(address)
	if err != nil {
		a.log.Warn().Err(err).Str("entry", address).Msg("heartbeat failed")
		a.contacts.failed(time.Now(), address)
		return answer{}
	}
	a.contacts.answered(address)
	return answer{entry: address, reading: reading}
}

// maxExchanges is the most times that one round sends a heartbeat to one entry.
const maxExchanges = 2

// exchange sends a heartbeat, without what the entry knows already, and returns
// the reading.
func (a *Agent) exchange(ctx context.Context, address string, h *link.Heartbeat) (*link.Reading, error) {
	for range maxExchanges {
		sent, digest, err := a.sender.Compact(address, h)
		if err != nil {
			return nil, err
		}
		reading := new(link.Reading)
		if err := a.client.Call(ctx, address, link.PathHeartbeat, sent, reading); err != nil {
			a.sender.Forget(address)
			return nil, err
		}
		if !a.sender.Sent(address, digest, reading) {
			return reading, nil
		}
	}
	return nil, errors.Wrap(link.ErrCall, "the entry asks again for the whole heartbeat")
}

// targets returns the entries to tell and the one that records reports.
func (a *Agent) targets(now time.Time) ([]string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.contacts.targets(now)
	if len(out) == 0 {
		return nil, ""
	}
	a.contacts.begun(out)
	if slices.Contains(out, a.primary) {
		return out, a.primary
	}
	return out, out[0]
}

// staleRounds is how many heartbeats an entry's reading of the log may be
// behind another's while it stays primary.
const staleRounds = 8

// choosePrimary keeps the primary that was asked if it answered and can read
// the log, and learns the entries to tell.
func (a *Agent) choosePrimary(answers []answer, asked string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.primary = ""
	a.pace = 0
	var known []string
	var newest uint64
	for _, o := range answers {
		newest = max(newest, o.reading.Lease.HeartbeatRound)
	}
	for _, o := range answers {
		asks := time.Duration(o.reading.PaceMS) * time.Millisecond
		a.pace = max(a.pace, min(asks, lease.MaxHeartbeatInterval))
		if o.reading.Leaving {
			continue
		}
		known = append(known, o.reading.Entries...)
		if o.reading.Lease.HeartbeatRound+staleRounds < newest {
			continue
		}
		if a.primary == "" || o.entry == asked {
			a.primary = o.entry
		}
	}
	a.contacts.learned(known)
}

// heartbeat says what the agent knows; a nil listing means that the worker did not answer.
func (a *Agent) heartbeat(listing *services.Listing) link.Heartbeat {
	h := link.Heartbeat{
		Worker: a.settings.Name, Rack: a.settings.Rack, Service: a.settings.Service, Address: a.Address(),
		Incarnation: a.incarnation, Round: a.holder.Round(), Ready: listing != nil && a.holder.Ledger().Ready(),
		Total: a.holder.Ledger().Total(), Free: a.holder.Ledger().Free(), Pressure: a.guard.pressure, Uses: a.guard.uses,
	}
	a.mu.Lock()
	h.Leaving, h.Bundle, h.BundleVersion = a.leaving, a.chain.Digest(), a.chain.Version()
	load := a.load()
	h.InFlight, h.InFlightLong, h.Reserved, h.Mark = load.InFlight, load.Long, load.Reserved, a.book.NextMark()
	if s, ok := a.service(); ok {
		h.Slots = s.Slots
	}
	a.mu.Unlock()
	if listing != nil {
		h.Tasks = a.holder.Reports(listingOf(listing))
	}
	return h
}

func (a *Agent) service() (*bundle.Service, bool) {
	if d := a.chain.Document(); d != nil {
		return d.Service(a.settings.Service)
	}
	return nil, false
}
