package agent

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

const (
	// abandonedGrace is how long a repeatable attempt goes on while no entry waits for it.
	abandonedGrace = 2 * time.Second
	// nonRepeatableOverrun is how long after its deadline an attempt that must not be
	// repeated may still run.
	nonRepeatableOverrun = time.Minute
	// defaultServiceTime is the service time assumed for a class that the bundle does not name,
	// until attempts of it have been observed.
	defaultServiceTime = 10 * time.Millisecond
)

// activeAttempt is an attempt that waits for a slot or runs.
type activeAttempt struct {
	id         endpoint.AttemptID
	ticket     *endpoint.SlotRequest
	repeatable bool
	arrivedAt  time.Time
	// verdict receives the gate's only verdict on the attempt: to start it or to shed it.
	verdict chan endpoint.Verdict
	// done is closed when the attempt has ended.
	done chan struct{}
	// waiters is the number of requests that wait for the attempt's response.
	waiters atomic.Int32
	// cancel cancels the run; it is nil until the run has begun.
	cancel atomic.Pointer[context.CancelFunc]
}

// admit checks an attempt against the dedup table and, if it is new, asks the gate for a slot.
// An attempt that the table admits can still be refused by the gate: refusal is then a
// link.Refusal code, and the attempt is recorded as not run.
func (a *Agent) admit(now time.Time, in attemptRequest) (att *activeAttempt, admission endpoint.Admission, refusal string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.incarnation != a.incarnation {
		return nil, endpoint.RefuseUnknown, ""
	}
	admission = a.dedupTable.Admit(now, in.id, in.mark)
	if admission != endpoint.Admit {
		return a.activeAttempts[in.id], admission, ""
	}
	att = a.newActiveAttempt(in)
	att.arrivedAt = now
	verdict, victim, _ := a.offer(now, att)
	if victim != nil {
		a.resolve(now, victim, endpoint.Shed)
	}
	switch verdict {
	case endpoint.Start:
		att.verdict <- endpoint.Start
	case endpoint.Shed:
		a.finish(now, att, endpoint.AttemptNotRun, nil)
		if a.draining {
			return att, admission, link.RefusalDraining
		}
		return att, admission, link.RefusalFull
	}
	return att, admission, ""
}

func (a *Agent) newActiveAttempt(in attemptRequest) *activeAttempt {
	priority := 0
	expected := defaultServiceTime
	if s, ok := a.service(); ok {
		if c, ok := s.Class(in.class); ok {
			priority, expected = c.Priority, c.ExpectedServiceTime.Std()
		}
	}
	mean, long := a.serviceTimes.Estimate(in.class, expected)
	ticket := endpoint.NewSlotRequest(in.class, in.team, priority, in.deadline, mean)
	ticket.SetLong(long)
	att := &activeAttempt{
		id: in.id, ticket: ticket, repeatable: in.repeatable,
		verdict: make(chan endpoint.Verdict, 1), done: make(chan struct{}),
	}
	att.waiters.Store(1)
	a.activeAttempts[in.id] = att
	return att
}

// offer asks the gate for a slot and returns the gate's verdict and its reason; mu is held. The
// ticket returned, if not nil, is that of a waiting attempt that must give up its place.
func (a *Agent) offer(now time.Time, att *activeAttempt) (endpoint.Verdict, *endpoint.SlotRequest, string) {
	if a.draining {
		return endpoint.Shed, nil, "the endpoint is draining"
	}
	a.setLimits()
	a.waitingAttempts[att.ticket] = att
	verdict, victim, reason := a.gate.Offer(now, att.ticket)
	if verdict != endpoint.Wait {
		delete(a.waitingAttempts, att.ticket)
	}
	return verdict, victim, reason
}

// setLimits sets the gate's limits from the bundle in force; mu is held.
func (a *Agent) setLimits() {
	if s, ok := a.service(); ok {
		a.gate.SetLimits(s.Slots, s.MaxConnections)
	}
}

// resolve passes the gate's verdict to the waiting attempt with ticket t; mu is held.
func (a *Agent) resolve(now time.Time, t *endpoint.SlotRequest, v endpoint.Verdict) {
	att := a.waitingAttempts[t]
	delete(a.waitingAttempts, t)
	if v == endpoint.Shed {
		a.finish(now, att, endpoint.AttemptNotRun, nil)
	}
	att.verdict <- v
}

// awaitSlot waits until the attempt has a slot and returns "", or returns a link.Refusal code if
// the attempt gets none by its latest start.
func (a *Agent) awaitSlot(ctx context.Context, att *activeAttempt) string {
	timer := time.NewTimer(time.Until(att.ticket.LatestStart()))
	defer timer.Stop()
	var verdict endpoint.Verdict
	select {
	case verdict = <-att.verdict:
	case <-timer.C:
		verdict = a.withdraw(att)
	case <-ctx.Done():
		verdict = a.withdraw(att)
	}
	if verdict == endpoint.Shed {
		return link.RefusalFull
	}
	return ""
}

// withdraw removes an attempt from the gate's queue and returns endpoint.Shed. If the gate has
// given its verdict on the attempt already, withdraw returns that verdict.
func (a *Agent) withdraw(att *activeAttempt) endpoint.Verdict {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Cancel(now, att.ticket) {
		delete(a.waitingAttempts, att.ticket)
		a.finish(now, att, endpoint.AttemptNotRun, nil)
		return endpoint.Shed
	}
	return <-att.verdict
}

// finishRun records the end of an attempt that had a slot, releases the slot and starts waiting
// attempts. response is kept for later requests for it; nil means that it is not kept.
func (a *Agent) finishRun(att *activeAttempt, state endpoint.AttemptState, response *endpoint.Response) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(now, att, state, response)
	a.noteLatency(now, att)
	a.gate.Release(now, att.ticket)
	for {
		t, verdict := a.gate.Next(now)
		if t == nil {
			return
		}
		a.resolve(now, t, verdict)
	}
}

// finish records the final state of an attempt and wakes the requests that wait for its response;
// mu is held.
func (a *Agent) finish(now time.Time, att *activeAttempt, state endpoint.AttemptState, response *endpoint.Response) {
	a.dedupTable.Finish(now, att.id, state, response)
	delete(a.activeAttempts, att.id)
	close(att.done)
}

// recordServiceTime records the service time of an attempt for later estimates.
func (a *Agent) recordServiceTime(att *activeAttempt, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serviceTimes.Observe(att.ticket.Class(), took)
}

// load returns the endpoint's load; mu is held.
func (a *Agent) load() endpoint.Load {
	long := a.gate.RunningLongCount()
	for t := range a.waitingAttempts {
		if t.Long() {
			long++
		}
	}
	return endpoint.Load{InFlight: a.gate.RunningCount() + a.gate.WaitingCount(), LongInFlight: long, ReservedSlots: a.gate.ReservedSlots()}
}

// runContext returns the context of the attempt's run, which ends at the deadline, or
// nonRepeatableOverrun later if the attempt must not be repeated. The context does not end with
// reqCtx, the context of the request that brought the attempt, so that a resent request can attach
// to the run.
func (att *activeAttempt) runContext(reqCtx context.Context) (context.Context, context.CancelFunc) {
	end := att.ticket.Deadline()
	if !att.repeatable {
		end = end.Add(nonRepeatableOverrun)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(reqCtx), end)
	att.cancel.Store(&cancel)
	return ctx, cancel
}

// cancelWhenAbandoned watches a repeatable run from the moment when the request with context reqCtx
// ends, if no other request waits for the response then: every abandonedGrace it checks whether
// one does, and cancels the run at the first check at which none does. The returned function
// prevents the watch unless it has begun.
func (a *Agent) cancelWhenAbandoned(reqCtx context.Context, att *activeAttempt, cancel context.CancelFunc) func() bool {
	return context.AfterFunc(reqCtx, func() {
		if att.waiters.Add(-1) > 0 || !att.repeatable {
			return
		}
		timer := time.NewTimer(abandonedGrace)
		defer timer.Stop()
		for {
			select {
			case <-att.done:
				return
			case <-timer.C:
			}
			if att.waiters.Load() <= 0 {
				a.log.Info().Str("decision", "cancel-request").Str("request-id", att.id.Request).Str("reason", "no entry is waiting for it").Msg("")
				cancel()
				return
			}
			timer.Reset(abandonedGrace)
		}
	})
}

// handleAttemptQuery tells an entry the state of an attempt, and cancels the attempt if the entry
// asks for that.
func (a *Agent) handleAttemptQuery(_ context.Context, _ link.Peer, q *link.AttemptStateQuery) (*link.AttemptStateReply, error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Incarnation != a.incarnation {
		return &link.AttemptStateReply{State: endpoint.AttemptUnknown.String()}, nil
	}
	id := endpoint.AttemptID{Request: q.Request, Attempt: q.Attempt}
	state := a.dedupTable.QueryOrFence(now, id, q.Mark)
	if att := a.activeAttempts[id]; att != nil && q.Cancel {
		state = a.cancelAttempt(now, att)
	}
	return &link.AttemptStateReply{State: state.String()}, nil
}

// cancelAttempt cancels an attempt that still waits for a slot or is repeatable, and returns the
// attempt's state; mu is held.
func (a *Agent) cancelAttempt(now time.Time, att *activeAttempt) endpoint.AttemptState {
	if a.gate.Cancel(now, att.ticket) {
		a.resolve(now, att.ticket, endpoint.Shed)
		return endpoint.AttemptNotRun
	}
	if cancel := att.cancel.Load(); cancel != nil && att.repeatable {
		(*cancel)()
	}
	return endpoint.AttemptRunning
}

// responseBuffer writes a response body to an entry and keeps a copy of a body of up to
// endpoint.MaxResponseBytes.
type responseBuffer struct {
	// client is the connection to the entry.
	client io.Writer
	kept   []byte
	// large says whether the body is too large to be kept.
	large bool
	// writeErr is the first error of a write to client.
	writeErr error
}

// copyBody copies the complete body of a response to the client.
func (b *responseBuffer) copyBody(resp *http.Response) error {
	if resp.Body == http.NoBody {
		return nil
	}
	if resp.ContentLength < 0 || resp.ContentLength > endpoint.MaxResponseBytes {
		_, err := io.Copy(b, resp.Body)
		return err
	}
	b.kept = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, b.kept); err != nil {
		return err
	}
	_, b.writeErr = b.client.Write(b.kept)
	return nil
}

// Write implements io.Writer. A failed write to the client is returned as an error only if the
// body is too large to be kept. A smaller body is read to its end, so that it can be sent when the
// attempt is resent.
func (b *responseBuffer) Write(p []byte) (int, error) {
	if !b.large && len(b.kept)+len(p) <= endpoint.MaxResponseBytes {
		b.kept = append(b.kept, p...)
	} else {
		b.large = true
		b.kept = nil
	}
	if b.writeErr == nil {
		_, b.writeErr = b.client.Write(p)
	}
	if b.writeErr != nil && b.large {
		return 0, b.writeErr
	}
	return len(p), nil
}

// response returns the kept response, or nil if it was too large.
func (b *responseBuffer) response(status int, header map[string][]string) *endpoint.Response {
	if b.large {
		return nil
	}
	return endpoint.NewResponse(status, header, b.kept)
}
