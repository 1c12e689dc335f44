package job

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// movesPerDecision is the most jobs that one decision moves.
const movesPerDecision = 512

// finishMoveWithin is how long after a move its submission may be appended. It
// is shorter than the time for which ended jobs are kept.
const finishMoveWithin = 30 * time.Minute

// Failover decides how the open jobs of a lost data centre go on in another
// one: their tasks are revoked, released after the takeover time, and the jobs
// moved. The zero value is ready for use.
type Failover struct {
	taker Taker
	// queued is when a record about a job was returned last.
	queued map[string]time.Time
}

// FailoverFaults are deviations that a check of the protocol must find.
type FailoverFaults struct {
	// NoWait releases revoked tasks at once.
	NoWait bool
}

// SetFaults makes the failover deviate, to prove that a check finds it.
func (o *Failover) SetFaults(f FailoverFaults) {
	if f.NoWait {
		o.taker.SetRules(TakerRules{TakeoverAt: func(_ lease.Terms, _, seen time.Time) time.Time { return seen }})
	}
}

// Decide returns the records that the lost data centre's stream needs, and
// those that the stream of home needs. Jobs for which heir does not return
// home are left to others.
func (o *Failover) Decide(now time.Time, lost, own *Fold, home string, heir func(job string) string) (there []record.Message, here []*record.Submit) {
	if o.queued == nil {
		o.queued = make(map[string]time.Time)
	}
	for _, worker := range o.taker.Suspects(now, lost) {
		o.taker.Confirm(now, worker)
	}
	there = o.taker.Decide(now, lost)
	lost.Each(func(j *Job) bool {
		if m := o.move(now, j, home, heir); m != nil {
			there = append(there, m)
		}
		if m := o.resubmit(now, j, own, home); m != nil {
			here = append(here, m)
		}
		return len(there)+len(here) < movesPerDecision
	})
	for id, at := range o.queued {
		if now.Sub(at) >= claimFor {
			delete(o.queued, id)
		}
	}
	slices.SortFunc(here, func(a, b *record.Submit) int { return cmp.Compare(a.Spec.SubmittedAt, b.Spec.SubmittedAt) })
	return there, here
}

func (o *Failover) move(now time.Time, j *Job, home string, heir func(string) string) record.Message {
	if j.Ended() || j.cancelled || j.held() || heir(j.spec.ID) != home || !o.take(now, j) {
		return nil
	}
	return &record.Move{Job: j.spec.ID, To: home, AtMS: now.UnixMilli()}
}

// resubmit finishes a move whose submission is not in the stream of home yet.
func (o *Failover) resubmit(now time.Time, j *Job, own *Fold, home string) *record.Submit {
	if !unfinished(now, j, own, home) || !o.take(now, j) {
		return nil
	}
	return Resubmission(j)
}

func (o *Failover) take(now time.Time, j *Job) bool {
	if at, ok := o.queued[j.spec.ID]; ok && now.Sub(at) < claimFor {
		return false
	}
	o.queued[j.spec.ID] = now
	return true
}

// Pending reports whether a job of lost still has to go on in home.
func (o *Failover) Pending(now time.Time, lost, own *Fold, home string) bool {
	pending := false
	lost.Each(func(j *Job) bool {
		pending = unfinished(now, j, own, home)
		return !pending
	})
	return pending
}

// unfinished reports whether a job was moved to home and is not known there. A
// move is finished soon or not at all, so that a job which home has forgotten
// since does not come back.
func unfinished(now time.Time, j *Job, own *Fold, home string) bool {
	if j.MovedTo() != home || now.Sub(time.UnixMilli(j.endedMS)) > finishMoveWithin {
		return false
	}
	known, ok := own.Job(j.spec.ID)
	return !ok || known.hops <= j.hops
}

// Resubmission returns the submission by which a moved job goes on in another stream.
func Resubmission(j *Job) *record.Submit {
	m := &record.Submit{
		Spec: j.spec, Hops: j.hops + 1,
		Checkpoints: make(map[uint32]string), Ended: make(map[uint32]record.Outcome),
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case Succeeded:
			m.Ended[uint32(i)] = record.OutcomeSucceeded
		case Failed:
			m.Ended[uint32(i)] = record.OutcomeFailed
		default:
			if t.checkpoint != "" {
				m.Checkpoints[uint32(i)] = t.checkpoint
			}
		}
	}
	return m
}

// held reports whether a worker may run one of the job's tasks.
func (j *Job) held() bool {
	for i := range j.tasks {
		if j.tasks[i].phase.Held() {
			return true
		}
	}
	return false
}
