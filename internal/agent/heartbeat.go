package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/platform"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// callTimeout bounds a heartbeat.
const callTimeout = 2 * time.Second

// skipFailed is how long an entry that did not answer is not asked.
const skipFailed = time.Second

func (a *Agent) beat(ctx context.Context) {
	for {
		a.round(ctx)
		if !pause(ctx, a.settings.HeartbeatEvery) {
			return
		}
	}
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

// tell sends the heartbeat to every entry at once and returns the answers.
func (a *Agent) tell(ctx context.Context, h link.Heartbeat) []answer {
	entries, primary := a.targets(time.Now())
	out := make([]answer, len(entries))
	var group sync.WaitGroup
	for i, address := range entries {
		group.Go(func() {
			own := h
			own.Primary = address == primary
			out[i] = a.tellOne(ctx, address, &own)
		})
	}
	group.Wait()
	answers := out[:0]
	for _, o := range out {
		if o.reading != nil {
			answers = append(answers, o)
		}
	}
	a.choosePrimary(answers, primary)
	a.updateBundle(ctx, answers)
	return answers
}

func (a *Agent) tellOne(ctx context.Context, address string, h *link.Heartbeat) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading := new(link.Reading)
	if err := a.client.Call(ctx, address, link.PathHeartbeat, h, reading); err != nil {
		a.log.Warn().Err(err).Str("entry", address).Msg("heartbeat failed")
		a.noteFailure(address)
		return answer{}
	}
	return answer{entry: address, reading: reading}
}

// targets returns the entries to tell and the one that records reports.
func (a *Agent) targets(now time.Time) ([]string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, e := range a.entries {
		if now.Sub(a.failedAt[e]) > skipFailed {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		out = a.settings.Entries
	}
	primary := out[0]
	if slices.Contains(out, a.primary) {
		primary = a.primary
	}
	return out, primary
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
	known := slices.Clone(a.settings.Entries)
	var newest uint64
	for _, o := range answers {
		newest = max(newest, o.reading.Lease.Heard)
	}
	for _, o := range answers {
		if o.reading.Leaving {
			continue
		}
		known = append(known, o.reading.Entries...)
		if o.reading.Lease.Heard+staleRounds < newest {
			continue
		}
		if a.primary == "" || o.entry == asked {
			a.primary = o.entry
		}
	}
	slices.Sort(known)
	a.entries = slices.Compact(known)
}

func (a *Agent) noteFailure(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedAt[address] = time.Now()
}

// heartbeat says what the agent knows; a nil listing means that the worker did not answer.
func (a *Agent) heartbeat(listing *platform.Listing) link.Heartbeat {
	h := link.Heartbeat{
		Worker: a.settings.Name, Rack: a.settings.Rack, Service: a.settings.Service, Address: a.Address(),
		Incarnation: a.incarnation, Round: a.holder.Round(), Ready: listing != nil && a.holder.Ledger().Ready(),
		Total: a.holder.Ledger().Total(), Free: a.holder.Ledger().Free(), Pressure: a.guard.pressure, Uses: a.guard.uses,
	}
	a.mu.Lock()
	h.Leaving, h.Bundle, h.BundleVersion = a.leaving, a.chain.Digest(), a.chain.Version()
	load := a.load()
	h.InFlight, h.InFlightLong, h.Reserved, h.Mark = load.InFlight, load.Long, load.Reserved, a.book.Advance()
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
