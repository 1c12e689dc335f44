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

// Times of a heartbeat round.
const (
	// callTimeout bounds a call to an entry.
	callTimeout = 2 * time.Second
	// replyGrace is how long a round waits for further replies after the first one.
	replyGrace = 100 * time.Millisecond
	// heartbeatJitterDivisor sets the random variation of the heartbeat interval: up to 1/10 of
	// the interval, longer or shorter.
	heartbeatJitterDivisor = 10
)

// sendHeartbeats runs heartbeat rounds until ctx ends.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	for {
		a.runRound(ctx)
		interval := a.heartbeatInterval()
		jitter := interval / heartbeatJitterDivisor
		if !delay.For(ctx, interval-jitter+rand.N(2*jitter+1)) {
			return
		}
	}
}

// heartbeatInterval returns the time to the next heartbeat: the configured interval, or a
// longer one that an entry has asked for.
func (a *Agent) heartbeatInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.settings.HeartbeatEvery, a.requestedInterval)
}

// runRound runs a heartbeat round: it lists the worker's tasks, sends a heartbeat to the entries,
// acts on their replies and lets the guard decide on the tasks. If the listing fails, it sends the
// heartbeat and leaves the tasks alone.
func (a *Agent) runRound(ctx context.Context) {
	a.tasksMu.Lock()
	defer a.tasksMu.Unlock()
	listedAt := time.Now()
	listing, err := a.worker.List(ctx)
	if err != nil {
		a.log.Warn().Err(err).Msg("listing the worker's tasks failed")
		a.sendHeartbeat(ctx, a.newHeartbeat(nil))
		return
	}
	a.holder.Observe(listedAt, leaseListing(&listing))
	a.applyReplies(ctx, a.sendHeartbeat(ctx, a.newHeartbeat(&listing)))
	a.runGuard(ctx, time.Now(), &listing)
}

// entryReply is one entry's reply to a heartbeat; reply is nil if the call failed.
type entryReply struct {
	// entry is the entry's address.
	entry string
	reply *link.HeartbeatReply
}

// sendHeartbeat sends a heartbeat to a few entries in parallel and returns the replies that arrive
// in time, so that an entry that does not answer hardly delays the round; see collectReplies.
func (a *Agent) sendHeartbeat(ctx context.Context, h link.Heartbeat) []entryReply {
	entries, primary := a.chooseTargets(time.Now())
	results := make(chan entryReply, len(entries))
	for _, address := range entries {
		own := h
		own.Primary = address == primary
		a.heartbeatCalls.Go(func() { results <- a.sendHeartbeatTo(ctx, address, &own) })
	}
	replies := collectReplies(ctx, results, len(entries))
	a.choosePrimary(replies, primary)
	a.updateBundle(ctx, replies)
	return replies
}

// collectReplies receives count results and returns the replies among them. It returns earlier
// when replyGrace has passed since the first reply, or when ctx ends.
func collectReplies(ctx context.Context, results <-chan entryReply, count int) []entryReply {
	var replies []entryReply
	var grace <-chan time.Time
	for range count {
		select {
		case o := <-results:
			if o.reply == nil {
				continue
			}
			replies = append(replies, o)
			if grace == nil {
				grace = time.After(replyGrace)
			}
		case <-grace:
			return replies
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

// sendHeartbeatTo sends the heartbeat to one entry. The call may outlast the round, so that a
// slow entry still gets the heartbeat; its reply is then dropped.
func (a *Agent) sendHeartbeatTo(ctx context.Context, address string, h *link.Heartbeat) entryReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.callHeartbeat(ctx, address, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entrySelector.endCall(address)
	if err != nil {
		a.log.Warn().Err(err).Str("entry", address).Msg("heartbeat failed")
		a.entrySelector.recordFailure(time.Now(), address)
		return entryReply{}
	}
	a.entrySelector.recordSuccess(address)
	return entryReply{entry: address, reply: reply}
}

// maxHeartbeatSends is the most times that one round sends the heartbeat to one entry.
const maxHeartbeatSends = 2

// callHeartbeat sends a heartbeat, without the parts that the entry knows already, and returns
// the reply.
func (a *Agent) callHeartbeat(ctx context.Context, address string, h *link.Heartbeat) (*link.HeartbeatReply, error) {
	for range maxHeartbeatSends {
		sent, digest, err := a.heartbeatSender.Compact(address, h)
		if err != nil {
			return nil, err
		}
		reply := new(link.HeartbeatReply)
		if err := a.entryClient.Call(ctx, address, link.PathHeartbeat, sent, reply); err != nil {
			a.heartbeatSender.Forget(address)
			return nil, err
		}
		if !a.heartbeatSender.HandleReply(address, digest, reply) {
			return reply, nil
		}
	}
	return nil, errors.Wrap(link.ErrCall, "the entry asked repeatedly for the complete heartbeat")
}

// chooseTargets returns the entries to send a heartbeat to, and the primary: the one that
// appends the records for the reports of this agent.
func (a *Agent) chooseTargets(now time.Time) ([]string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.entrySelector.targets(now)
	if len(out) == 0 {
		return nil, ""
	}
	a.entrySelector.beginCalls(out)
	if slices.Contains(out, a.primary) {
		return out, a.primary
	}
	return out, out[0]
}

// maxPrimaryLagRounds is how many heartbeat rounds an entry's read of the log may lag behind
// that of another entry while it stays primary.
const maxPrimaryLagRounds = 8

// choosePrimary sets the primary from the replies of a round. An entry can be primary if it
// answered, is not draining and its read of the log does not lag behind by more than
// maxPrimaryLagRounds; the previous primary is preferred. choosePrimary also updates the known
// entries and requestedInterval.
func (a *Agent) choosePrimary(replies []entryReply, previous string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.primary = ""
	a.requestedInterval = 0
	var known []string
	var newest uint64
	for _, o := range replies {
		newest = max(newest, o.reply.LogReading.HeartbeatRound)
	}
	for _, o := range replies {
		requested := time.Duration(o.reply.HeartbeatIntervalMS) * time.Millisecond
		a.requestedInterval = max(a.requestedInterval, min(requested, lease.MaxHeartbeatInterval))
		if o.reply.Draining {
			continue
		}
		known = append(known, o.reply.Entries...)
		if o.reply.LogReading.HeartbeatRound+maxPrimaryLagRounds < newest {
			continue
		}
		if a.primary == "" || o.entry == previous {
			a.primary = o.entry
		}
	}
	a.entrySelector.setKnown(known)
}

// newHeartbeat returns the heartbeat for the current state; a nil listing means that the worker
// did not answer.
func (a *Agent) newHeartbeat(listing *services.TaskList) link.Heartbeat {
	h := link.Heartbeat{
		Worker: a.settings.Name, Rack: a.settings.Rack, Service: a.settings.Service, Address: a.Address(),
		Incarnation: a.incarnation, Round: a.holder.Round(), Ready: listing != nil && a.holder.Ledger().Ready(),
		Total: a.holder.Ledger().Total(), Free: a.holder.Ledger().Free(), Pressure: a.guard.pressure, ClassUses: a.guard.classUses,
	}
	a.mu.Lock()
	h.Draining, h.BundleDigest, h.BundleVersion = a.draining, a.chain.Digest(), a.chain.Version()
	load := a.load()
	h.InFlight, h.InFlightLong, h.Reserved, h.Mark = load.InFlight, load.LongInFlight, load.ReservedSlots, a.dedupTable.NextMark()
	if s, ok := a.service(); ok {
		h.Slots = s.Slots
	}
	a.mu.Unlock()
	if listing != nil {
		h.Tasks = a.holder.Reports(leaseListing(listing))
	}
	return h
}

// service returns the endpoint's service in the bundle in force; mu is held.
func (a *Agent) service() (*bundle.Service, bool) {
	if d := a.chain.Document(); d != nil {
		return d.Service(a.settings.Service)
	}
	return nil, false
}
