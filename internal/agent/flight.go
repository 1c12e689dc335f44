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
	// askerGrace is how long a repeatable attempt goes on without an asker.
	askerGrace = 2 * time.Second
	// keepRunning is how long after its deadline an attempt that must not be
	// repeated may still run.
	keepRunning = time.Minute
	// unknownWork is the service time assumed of a class not yet seen.
	unknownWork = 10 * time.Millisecond
)

// flight is an attempt that waits for a slot or runs.
type flight struct {
	id         endpoint.AttemptID
	ticket     *endpoint.Ticket
	repeatable bool
	arrived    time.Time
	// granted gets one verdict for an attempt that waits.
	granted chan endpoint.Verdict
	// end is closed when the attempt has ended.
	end    chan struct{}
	askers atomic.Int32
	cancel atomic.Pointer[context.CancelFunc]
}

// admit takes an attempt in. If it is admitted, refusal is empty or says why
// it is refused all the same; it is then noted as not run.
func (a *Agent) admit(now time.Time, in attempt) (f *flight, admission endpoint.Admission, refusal string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.incarnation != a.incarnation {
		return nil, endpoint.RefuseUnknown, ""
	}
	admission = a.book.Admit(now, in.id, in.mark)
	if admission != endpoint.Admit {
		return a.flights[in.id], admission, ""
	}
	f = a.newFlight(in)
	f.arrived = now
	verdict, victim, _ := a.offer(now, f)
	if victim != nil {
		a.grant(now, victim, endpoint.Shed)
	}
	switch verdict {
	case endpoint.Start:
		f.granted <- endpoint.Start
	case endpoint.Shed:
		a.finish(now, f, endpoint.AttemptNotRun, nil)
		if a.leaving {
			return f, admission, link.RefusalLeaving
		}
		return f, admission, link.RefusalFull
	}
	return f, admission, ""
}

func (a *Agent) newFlight(in attempt) *flight {
	priority := 0
	expected := unknownWork
	if s, ok := a.service(); ok {
		if c, ok := s.Class(in.class); ok {
			priority, expected = c.Priority, c.ExpectedServiceTime.Std()
		}
	}
	mean, long := a.times.Estimate(in.class, expected)
	ticket := endpoint.NewTicket(in.class, in.team, priority, in.deadline, mean)
	ticket.SetLong(long)
	f := &flight{
		id: in.id, ticket: ticket, repeatable: in.repeatable,
		granted: make(chan endpoint.Verdict, 1), end: make(chan struct{}),
	}
	f.askers.Store(1)
	a.flights[in.id] = f
	return f
}

// offer asks the gate for a slot; mu is held.
func (a *Agent) offer(now time.Time, f *flight) (endpoint.Verdict, *endpoint.Ticket, string) {
	if a.leaving {
		return endpoint.Shed, nil, "the endpoint is leaving"
	}
	a.setLimits()
	a.waiting[f.ticket] = f
	verdict, victim, reason := a.gate.Offer(now, f.ticket)
	if verdict != endpoint.Wait {
		delete(a.waiting, f.ticket)
	}
	return verdict, victim, reason
}

// setLimits takes the ceilings of the bundle in force; mu is held.
func (a *Agent) setLimits() {
	if s, ok := a.service(); ok {
		a.gate.SetLimits(s.Slots, s.MaxConnections)
	}
}

// grant tells a waiting attempt its verdict; mu is held.
func (a *Agent) grant(now time.Time, t *endpoint.Ticket, v endpoint.Verdict) {
	f := a.waiting[t]
	delete(a.waiting, t)
	if v == endpoint.Shed {
		a.finish(now, f, endpoint.AttemptNotRun, nil)
	}
	f.granted <- v
}

// awaitSlot waits for a slot and returns why there is none, or "".
func (a *Agent) awaitSlot(ctx context.Context, f *flight) string {
	timer := time.NewTimer(time.Until(f.ticket.LatestStart()))
	defer timer.Stop()
	var verdict endpoint.Verdict
	select {
	case verdict = <-f.granted:
	case <-timer.C:
		verdict = a.withdraw(f)
	case <-ctx.Done():
		verdict = a.withdraw(f)
	}
	if verdict == endpoint.Shed {
		return link.RefusalFull
	}
	return ""
}

// withdraw takes back a waiting attempt, unless its verdict has come already.
func (a *Agent) withdraw(f *flight) endpoint.Verdict {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Cancel(now, f.ticket) {
		delete(a.waiting, f.ticket)
		a.finish(now, f, endpoint.AttemptNotRun, nil)
		return endpoint.Shed
	}
	return <-f.granted
}

// ended gives back the slot of an attempt that ran and notes its fate.
func (a *Agent) ended(f *flight, fate endpoint.AttemptState, answer *endpoint.Response) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(now, f, fate, answer)
	a.noteLatency(now, f)
	a.gate.Release(now, f.ticket)
	for {
		t, verdict := a.gate.Next(now)
		if t == nil {
			return
		}
		a.grant(now, t, verdict)
	}
}

// finish notes an attempt's fate and wakes those attached; mu is held.
func (a *Agent) finish(now time.Time, f *flight, fate endpoint.AttemptState, answer *endpoint.Response) {
	a.book.Finish(now, f.id, fate, answer)
	delete(a.flights, f.id)
	close(f.end)
}

// learnTime takes in the service time of an attempt.
func (a *Agent) learnTime(f *flight, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times.Observe(f.ticket.Class(), took)
}

// load returns the endpoint's load; mu is held.
func (a *Agent) load() endpoint.Load {
	long := a.gate.RunningLong()
	for t := range a.waiting {
		if t.Long() {
			long++
		}
	}
	return endpoint.Load{InFlight: a.gate.Running() + a.gate.Waiting(), Long: long, Reserved: a.gate.ReservedSlots()}
}

// runContext returns the context of the attempt's run. It does not end with
// the asker's connection, so that another asker can attach.
func (f *flight) runContext(asker context.Context) (context.Context, context.CancelFunc) {
	end := f.ticket.Deadline()
	if !f.repeatable {
		end = end.Add(keepRunning)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(asker), end)
	f.cancel.Store(&cancel)
	return ctx, cancel
}

// watchAsker cancels a repeatable run that has had no asker for a while.
func (a *Agent) watchAsker(asker context.Context, f *flight, cancel context.CancelFunc) func() bool {
	return context.AfterFunc(asker, func() {
		if f.askers.Add(-1) > 0 || !f.repeatable {
			return
		}
		timer := time.NewTimer(askerGrace)
		defer timer.Stop()
		for {
			select {
			case <-f.end:
				return
			case <-timer.C:
			}
			if f.askers.Load() <= 0 {
				a.log.Info().Str("decision", "cancel-request").Str("request-id", f.id.Request).Str("reason", "nobody waits for it").Msg("")
				cancel()
				return
			}
			timer.Reset(askerGrace)
		}
	})
}

func (a *Agent) answerFate(_ context.Context, _ link.Peer, q *link.FateQuery) (*link.FateReply, error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Incarnation != a.incarnation {
		return &link.FateReply{Fate: endpoint.AttemptUnknown.String()}, nil
	}
	id := endpoint.AttemptID{Request: q.Request, Attempt: q.Attempt}
	fate := a.book.QueryOrFence(now, id, q.Mark)
	if f := a.flights[id]; f != nil && q.Cancel {
		fate = a.cancelFlight(now, f)
	}
	return &link.FateReply{Fate: fate.String()}, nil
}

// cancelFlight ends an attempt where that is safe and returns its fate; mu is held.
func (a *Agent) cancelFlight(now time.Time, f *flight) endpoint.AttemptState {
	if a.gate.Cancel(now, f.ticket) {
		a.grant(now, f.ticket, endpoint.Shed)
		return endpoint.AttemptNotRun
	}
	if cancel := f.cancel.Load(); cancel != nil && f.repeatable {
		(*cancel)()
	}
	return endpoint.AttemptRunning
}

// spool writes an answer to its asker and keeps it while it is small.
type spool struct {
	to     io.Writer
	kept   []byte
	large  bool
	failed error
}

// readFrom passes on the whole body of an answer.
func (s *spool) readFrom(resp *http.Response) error {
	if resp.Body == http.NoBody {
		return nil
	}
	if resp.ContentLength < 0 || resp.ContentLength > endpoint.MaxResponseBytes {
		_, err := io.Copy(s, resp.Body)
		return err
	}
	s.kept = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, s.kept); err != nil {
		return err
	}
	_, s.failed = s.to.Write(s.kept)
	return nil
}

// Write implements io.Writer. An asker that is gone is an error only if the
// answer is too large to be kept for the next one.
func (s *spool) Write(p []byte) (int, error) {
	if !s.large && len(s.kept)+len(p) <= endpoint.MaxResponseBytes {
		s.kept = append(s.kept, p...)
	} else {
		s.large = true
		s.kept = nil
	}
	if s.failed == nil {
		_, s.failed = s.to.Write(p)
	}
	if s.failed != nil && s.large {
		return 0, s.failed
	}
	return len(p), nil
}

// answer returns the kept answer, or nil.
func (s *spool) answer(status int, header map[string][]string) *endpoint.Response {
	if s.large {
		return nil
	}
	return endpoint.NewResponse(status, header, s.kept)
}
