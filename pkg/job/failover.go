package job

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxMovesPerDecision limits the number of jobs that one decision moves.
const maxMovesPerDecision = 512

// resubmitWithin is how long after a Move record the Submit record with which the job
// continues may still be appended to the stream of the other data centre. It is shorter
// than the time for which ended jobs are kept, so the state of that stream still shows
// whether it has received the job.
const resubmitWithin = 30 * time.Minute

// Failover decides how the open jobs of a lost data centre continue in another
// one: their tasks are revoked, then released after the takeover time, and then
// the jobs are moved. The zero value is ready for use.
type Failover struct {
	reclaimer Reclaimer
	// lastQueued maps a job id to when a record about the job was last returned.
	lastQueued map[string]time.Time
}

// FailoverFaults are protocol violations that a test or the schedule explorer
// must detect.
type FailoverFaults struct {
	// NoWait releases revoked tasks without waiting for the takeover time.
	NoWait bool
}

// SetFaults makes the failover violate its protocol, to prove that a check
// detects the violation.
func (o *Failover) SetFaults(f FailoverFaults) {
	if f.NoWait {
		o.reclaimer.SetRules(ReclaimerRules{TakeoverAt: func(_ lease.Terms, _, seenAt time.Time) time.Time { return seenAt }})
	}
}

// Decide returns the records to append to the stream of the lost data centre
// and those to append to the stream of the local one. The states of the two
// streams are lost and own; home is the local data centre. Jobs for whose
// id target returns another data centre as the failover target are left to that one.
func (o *Failover) Decide(now time.Time, lost, own *StateMachine, home string, target func(job string) string) (lostRecords []record.Message, submits []*record.Submit) {
	if o.lastQueued == nil {
		o.lastQueued = make(map[string]time.Time)
	}
	for _, worker := range o.reclaimer.Suspects(now, lost) {
		o.reclaimer.ConfirmLost(now, worker)
	}
	lostRecords = o.reclaimer.Decide(now, lost)
	lost.Each(func(j *Job) bool {
		if m := o.move(now, j, home, target); m != nil {
			lostRecords = append(lostRecords, m)
		}
		if m := o.resubmit(now, j, own, home); m != nil {
			submits = append(submits, m)
		}
		return len(lostRecords)+len(submits) < maxMovesPerDecision
	})
	for id, at := range o.lastQueued {
		if now.Sub(at) >= requeueAfter {
			delete(o.lastQueued, id)
		}
	}
	slices.SortFunc(submits, func(a, b *record.Submit) int { return cmp.Compare(a.Spec.SubmittedAtMS, b.Spec.SubmittedAtMS) })
	return lostRecords, submits
}

// move returns the Move record for a job that can be moved to home now, or nil.
func (o *Failover) move(now time.Time, j *Job, home string, target func(string) string) record.Message {
	if j.Ended() || j.cancelled || j.hasActiveTask() || target(j.spec.ID) != home || !o.allowQueue(now, j) {
		return nil
	}
	return &record.Move{Job: j.spec.ID, To: home, AtMS: now.UnixMilli()}
}

// resubmit completes a move whose Submit record is not yet in the local stream.
func (o *Failover) resubmit(now time.Time, j *Job, own *StateMachine, home string) *record.Submit {
	if !needsResubmission(now, j, own, home) || !o.allowQueue(now, j) {
		return nil
	}
	return Resubmission(j)
}

// allowQueue reports whether a record about the job may be queued now. If so, it counts
// a record as queued.
func (o *Failover) allowQueue(now time.Time, j *Job) bool {
	if at, ok := o.lastQueued[j.spec.ID]; ok && now.Sub(at) < requeueAfter {
		return false
	}
	o.lastQueued[j.spec.ID] = now
	return true
}

// Pending reports whether any job that was moved out of the lost data centre to home
// still has to be submitted to the stream of home, whose state is own.
func (o *Failover) Pending(now time.Time, lost, own *StateMachine, home string) bool {
	pending := false
	lost.Each(func(j *Job) bool {
		pending = needsResubmission(now, j, own, home)
		return !pending
	})
	return pending
}

// needsResubmission reports whether a job was moved to home and own, the state of the
// stream of home, does not contain it yet. A move that is not completed within
// resubmitWithin is abandoned: home may have received the job, run it and dropped it
// since, and must not run it again.
func needsResubmission(now time.Time, j *Job, own *StateMachine, home string) bool {
	if j.MovedTo() != home || now.Sub(time.UnixMilli(j.endedMS)) > resubmitWithin {
		return false
	}
	known, ok := own.Job(j.spec.ID)
	return !ok || known.moves <= j.moves
}

// Resubmission returns the Submit record with which a moved job continues in
// another stream.
func Resubmission(j *Job) *record.Submit {
	m := &record.Submit{
		Spec: j.spec, Moves: j.moves + 1,
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

// hasActiveTask reports whether a worker may still run one of the job's tasks.
func (j *Job) hasActiveTask() bool {
	for i := range j.tasks {
		if j.tasks[i].phase.Active() {
			return true
		}
	}
	return false
}
