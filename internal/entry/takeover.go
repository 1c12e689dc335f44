package entry

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// workerLostAfter is how long a worker may be silent before its tasks are revoked.
const workerLostAfter = 4 * time.Second

// takeOver revokes the tasks of silent workers and releases those whose
// takeover time has passed.
func (e *Entry) takeOver(now time.Time) []record.Message {
	var out []record.Message
	var lost []record.Hold
	e.jobs.fold.Each(func(j *job.Job) bool {
		for i := range j.Tasks() {
			t := j.Task(i)
			if !t.Phase().Held() {
				continue
			}
			h := record.Hold{Task: record.TaskID{Job: j.Spec().ID, Index: uint32(i)}, Epoch: t.Epoch()}
			if t.Phase() != job.Revoked {
				if e.jobs.silent(now, t.Worker()) && e.jobs.claim(now, h) {
					lost = append(lost, h)
				}
				continue
			}
			if e.jobs.takeoverDue(now, h, j) && e.jobs.claim(now, h) {
				out = append(out, &record.Released{Hold: h, Reason: "takeover time has passed", Revoked: t.RevokedAt()})
				e.log.Info().Str("decision", "take-over").Str("task", h.Task.String()).Str("worker", t.Worker()).Msg("")
			}
		}
		return true
	})
	if len(lost) > 0 {
		out = append(out, &record.Revoke{Holds: lost, Reason: "the worker is silent"})
		e.log.Info().Str("decision", "revoke").Int("tasks", len(lost)).Str("reason", "the worker is silent").Msg("")
	}
	return out
}

// silent reports whether nothing was heard from a worker for too long.
func (j *jobs) silent(now time.Time, name string) bool {
	heard := j.born
	if v, ok := j.workers[name]; ok && v.heard.After(heard) {
		heard = v.heard
	}
	return now.Sub(heard) > workerLostAfter
}

// takeoverDue reports whether a revoked hold's takeover time has passed; the
// time counts from when this entry first saw the revocation.
func (j *jobs) takeoverDue(now time.Time, h record.Hold, owner *job.Job) bool {
	known, ok := j.revoked[h]
	if !ok {
		j.revoked[h] = now
		return false
	}
	terms := lease.New(time.Duration(owner.Spec().TakeoverMS) * time.Millisecond)
	return now.After(terms.TakeoverAt(known))
}

// claim reports whether no record about h was queued lately, and notes that one is.
func (j *jobs) claim(now time.Time, h record.Hold) bool {
	w := waiting{task: h.Task, attempt: uint32(h.Epoch)}
	if now.Sub(j.queued[w]) <= decisionPending {
		return false
	}
	j.queued[w] = now
	return true
}
