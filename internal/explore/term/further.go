package term

import (
	"context"
	"maps"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// submitInSteps submits a job at a random entry, which stores it with the newest term that it knew when the
// call arrived, and then tells the dispatcher that it follows. The caller retries until that succeeds.
func (w *world) submitInSteps(submission *workflow.Submission) {
	e := w.entries[w.random.IntN(entryCount)]
	retry := func() { w.schedule(callerRetryDelay, func() { w.submitInSteps(submission) }) }
	if w.now < e.downUntil || w.now < e.frozenUntil {
		retry()
		return
	}
	if j, ok := e.jobs.Job(submission.ID); ok && j.Submission() != nil {
		return
	}
	own := *submission
	own.Term = e.candidate.Claim().Term
	record, err := workflow.SubmissionRecord(&own)
	if err != nil {
		panic(err)
	}
	generation, answered := e.generation, false
	w.schedule(callerTimeout, func() {
		if !answered {
			retry()
		}
	})
	var attempt func()
	attempt = func() {
		e.callStore(func(c *store.Client) error {
			_, err := c.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{record}})
			return err
		}, func(_ time.Time, err error) {
			if err != nil {
				e.laterIn(generation, callerRetryDelay, attempt)
				return
			}
			answered = true
			e.tellDispatcher(&own)
		})
	}
	attempt()
}

const (
	// callerTimeout is how long a caller waits until it tries another entry, and callerRetryDelay the delay
	// before a failed attempt is repeated.
	callerTimeout    = 3 * time.Second
	callerRetryDelay = 60 * time.Millisecond
)

// tellDispatcher tells the dispatcher, as far as the entry knows it, of a stored submission.
func (e *entry) tellDispatcher(s *workflow.Submission) {
	if e.term != nil {
		e.admitTold(s)
		return
	}
	claim := e.candidate.Claim()
	o := e.w.entryNamed(claim.Entry)
	if o == nil || o == e || !e.reaches(o) {
		return
	}
	o.later(e.w.randomUpTo(100*time.Millisecond), func() {
		if o.term != nil && o.term.number == claim.Term {
			o.admitTold(s)
		}
	})
}

// admitTold passes a submission to the scheduler that an entry has stored: as a new one.
func (e *entry) admitTold(s *workflow.Submission) {
	e.w.note("%s in term %d is told of %s, stored under term %d", e.name, e.term.number, s.ID, s.Term)
	if !e.w.rules.TakeToldForNew {
		e.lastTail = time.Time{} // read at the next tick
		return
	}
	e.term.scheduler.Admit(e.clock(), e.wallMS(), s, nil, false)
}

// injectFurtherFault injects one random fault of the kinds beyond the basic ones.
func (w *world) injectFurtherFault(e *entry, a *agent, duration time.Duration) {
	if w.kinds&OrderlyDepartures != 0 && w.random.IntN(2) == 0 {
		w.endInOrder(a, duration)
		return
	}
	switch w.random.IntN(4) {
	case 0: // a runner crashes and stays away, at times longer than all leases
		a.crash(300*time.Millisecond + w.randomUpTo(9*time.Second))
	case 1: // an entry is isolated for up to its lease, but not from its agents
		e.isolatedUntil = w.now + duration
	case 2: // an agent and its runner end together
		if w.kinds&JointRestarts != 0 {
			a.restart(w.randomUpTo(time.Second))
			a.crash(300*time.Millisecond + w.randomUpTo(time.Second))
			if w.random.IntN(2) == 0 {
				w.isolateDispatcher(2 * duration)
			}
		}
	case 3: // the dispatcher is isolated, but not from its agents
		w.isolateDispatcher(duration)
	}
}

// isolateDispatcher isolates the entries that are the dispatcher of a term from the store and from entries.
func (w *world) isolateDispatcher(duration time.Duration) {
	for _, e := range w.entries {
		if e.term != nil {
			e.isolatedUntil = w.now + duration
		}
	}
}

// faultState returns the times until which faults last, for traces.
func (w *world) faultState() map[string]time.Duration {
	if w.trace == nil {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, e := range w.entries {
		out[e.name+" frozen"], out[e.name+" down"], out[e.name+" cut"], out[e.name+" isolated"] = e.frozenUntil, e.downUntil, e.cutUntil, e.isolatedUntil
	}
	for _, a := range w.agents {
		out[a.name+" frozen"], out[a.name+" down"], out[a.name+" cut"] = a.frozenUntil, a.downUntil, a.cutUntil
		out[a.name+" runner down"], out[a.name+" starts delayed"] = a.runnerDownUntil, a.startsDelayedUntil
	}
	return out
}

// noteFaults traces the faults that have changed.
func (w *world) noteFaults(before map[string]time.Duration) {
	after := w.faultState()
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if until := after[name]; until != before[name] {
			w.note("FAULT %s until %s", name, until)
		}
	}
}
