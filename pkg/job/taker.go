package job

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Times of a takeover.
const (
	// LostAfter is how long a worker is silent before it may be lost.
	LostAfter = 4 * time.Second
	// confirmFor is how long it counts that no other entry has heard a worker.
	confirmFor = 3 * time.Second
)

// Reasons given in records.
const (
	reasonSilent = "the worker is silent"
	reasonWaited = "the takeover time has passed"
)

// Taker decides at an entry when the tasks of silent workers are revoked, and
// when revoked tasks are released for another start. The zero value counts
// from its first use.
type Taker struct {
	born      time.Time
	heard     map[string]time.Time
	confirmed map[string]time.Time
	// known is when this entry first saw that a task was revoked.
	known  map[record.Hold]revocation
	claims claims
	rules  TakerRules
}

// revocation is when this entry decided on a revocation, if it did, and when it
// first saw it in the log.
type revocation struct {
	decided time.Time
	seen    time.Time
}

// TakerRules are the rules on which the safety of a Taker rests. A nil field
// stands for the rule of the protocol. A check of the protocol replaces them
// one by one, to prove that it finds what then goes wrong.
type TakerRules struct {
	// TakeoverAt returns when a task may be released whose revocation was
	// decided and first seen in the log at these times; decided is zero if
	// another entry decided it.
	TakeoverAt func(t lease.Terms, decided, seen time.Time) time.Time
}

func (r *TakerRules) takeoverAt(t lease.Terms, decided, seen time.Time) time.Time {
	if r.TakeoverAt != nil {
		return r.TakeoverAt(t, decided, seen)
	}
	return t.TakeoverAt(seen)
}

// SetRules replaces rules of the protocol, for a check of it.
func (t *Taker) SetRules(r TakerRules) { t.rules = r }

// Heard notes that worker was heard at at, here or by another entry.
func (t *Taker) Heard(worker string, at time.Time) {
	t.init(at)
	if at.After(t.heard[worker]) {
		t.heard[worker] = at
		delete(t.confirmed, worker)
	}
}

// HeardAt returns when worker was heard last; zero if it never was.
func (t *Taker) HeardAt(worker string) time.Time { return t.heard[worker] }

// Confirm notes that no other entry has heard worker lately.
func (t *Taker) Confirm(now time.Time, worker string) {
	t.init(now)
	t.confirmed[worker] = now
}

func (t *Taker) init(now time.Time) {
	if t.heard == nil {
		t.born = now
		t.heard = make(map[string]time.Time)
		t.confirmed = make(map[string]time.Time)
		t.known = make(map[record.Hold]revocation)
	}
}

// Suspects returns the workers with tasks that have been silent too long. They
// are lost once Confirm is called for them.
func (t *Taker) Suspects(now time.Time, f *Fold) []string {
	t.init(now)
	var out []string
	f.Workers(func(worker string) {
		if t.silent(now, worker) && !t.lost(now, worker) {
			out = append(out, worker)
		}
	})
	slices.Sort(out)
	return out
}

// Lost reports whether a worker is still silent after the other entries were
// asked. If some could not be asked it must have been silent for unasked.
func (t *Taker) Lost(now time.Time, worker string, complete bool, unasked time.Duration) bool {
	return t.silent(now, worker) && (complete || t.silence(now, worker) > unasked)
}

func (t *Taker) silent(now time.Time, worker string) bool {
	return t.silence(now, worker) > LostAfter
}

func (t *Taker) silence(now time.Time, worker string) time.Duration {
	at := t.heard[worker]
	if at.Before(t.born) {
		at = t.born
	}
	return now.Sub(at)
}

func (t *Taker) lost(now time.Time, worker string) bool {
	at, ok := t.confirmed[worker]
	return ok && now.Sub(at) < confirmFor
}

// Decide returns the records that revoke the tasks of lost workers and release
// those whose takeover time has passed.
func (t *Taker) Decide(now time.Time, f *Fold) []record.Message {
	t.init(now)
	t.see(now, f)
	out := t.release(now, f)
	if m := t.revoke(now, f); m != nil {
		out = append(out, m)
	}
	t.prune(now, f)
	return out
}

// see notes when revoked tasks were first seen, and drops those released.
func (t *Taker) see(now time.Time, f *Fold) {
	for hold := range t.known {
		if !f.isRevoked(hold) {
			delete(t.known, hold)
		}
	}
	f.Revoked(func(hold record.Hold, _ *Job, _ *Task) {
		if _, ok := t.known[hold]; !ok {
			t.known[hold] = revocation{decided: t.claims.first(hold, record.KindRevoke), seen: now}
		}
	})
}

func (t *Taker) release(now time.Time, f *Fold) []record.Message {
	var due []*record.Released
	f.Revoked(func(hold record.Hold, j *Job, task *Task) {
		terms := lease.FromMS(j.Spec().TakeoverMS)
		known := t.known[hold]
		if !now.After(t.rules.takeoverAt(terms, known.decided, known.seen)) {
			return
		}
		if t.claims.take(now, hold, record.KindReleased) {
			due = append(due, &record.Released{Hold: hold, Reason: reasonWaited, Revoked: task.RevokedAt(), AtMS: now.UnixMilli()})
		}
	})
	slices.SortFunc(due, func(a, b *record.Released) int { return a.Hold.Compare(b.Hold) })
	var out []record.Message
	for _, m := range due {
		out = append(out, m)
	}
	return out
}

func (t *Taker) revoke(now time.Time, f *Fold) record.Message {
	var lost []record.Hold
	f.Workers(func(worker string) {
		if !t.silent(now, worker) || !t.lost(now, worker) {
			return
		}
		f.Held(worker, func(hold record.Hold, _ *Job, task *Task) {
			if task.Phase() == Revoked || !t.claims.take(now, hold, record.KindRevoke) {
				return
			}
			lost = append(lost, hold)
		})
	})
	if len(lost) == 0 {
		return nil
	}
	slices.SortFunc(lost, record.Hold.Compare)
	return &record.Revoke{Holds: lost, Reason: reasonSilent}
}

// prune forgets workers that have been silent for long and hold no task.
func (t *Taker) prune(now time.Time, f *Fold) {
	for worker, at := range t.heard {
		if now.Sub(at) > forgetAgentAfter && len(f.byWorker[worker]) == 0 {
			delete(t.heard, worker)
		}
	}
	for worker, at := range t.confirmed {
		if now.Sub(at) >= confirmFor {
			delete(t.confirmed, worker)
		}
	}
}

func (f *Fold) isRevoked(h record.Hold) bool {
	epoch, ok := f.revoked[h.Task]
	return ok && epoch == h.Epoch
}
