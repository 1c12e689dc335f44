package job

import (
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Times for the detection of lost workers.
const (
	// LostAfter is how long a worker must be silent before it may count as lost.
	LostAfter = 4 * time.Second
	// confirmationValidFor is how long a confirmation that no other entry has heard
	// from a worker is valid.
	confirmationValidFor = 3 * time.Second
)

// Reasons in Revoke and Released records.
const (
	reasonSilent   = "the worker is silent"
	reasonTakeover = "the takeover time has passed"
)

// Reclaimer decides at an entry when the tasks of silent workers are revoked, and
// when revoked tasks are released so that they can start on another worker. The
// zero value is ready for use. A worker's silence is counted from the first use of
// the Reclaimer at the earliest.
type Reclaimer struct {
	// startedAt is when the zero value was first used.
	startedAt time.Time
	// lastContact maps a worker to when it was last heard from.
	lastContact map[string]time.Time
	// confirmedAt maps a worker to when ConfirmLost was last called for it.
	confirmedAt map[string]time.Time
	// revocations holds the revocations in effect.
	revocations map[record.AssignmentID]revocation
	// requeue keeps a record from being queued again while it is still being appended
	// and read back, and remembers when it was first queued.
	requeue requeueLimiter
	rules   ReclaimerRules
}

// revocation holds when this entry decided on a revocation, or the zero time if
// another entry did, and when this entry first saw it in the log.
type revocation struct {
	decidedAt time.Time
	seenAt    time.Time
}

// ReclaimerRules are the rules on which the safety of takeovers depends. A nil field
// stands for the rule of the protocol. The schedule explorer replaces the rules
// one at a time to prove that it detects the resulting failure.
type ReclaimerRules struct {
	// TakeoverAt returns when a revoked task may be assigned again, given when this
	// entry decided to revoke it (the zero time if another entry did) and when this
	// entry first saw the revocation in the log.
	TakeoverAt func(terms lease.Terms, decidedAt, seenAt time.Time) time.Time
}

// takeoverAt applies the rule TakeoverAt, or the rule of the protocol if it is nil.
func (r *ReclaimerRules) takeoverAt(terms lease.Terms, decidedAt, seenAt time.Time) time.Time {
	if r.TakeoverAt != nil {
		return r.TakeoverAt(terms, decidedAt, seenAt)
	}
	return terms.TakeoverAt(seenAt)
}

// SetRules replaces rules of the protocol, for the schedule explorer.
func (rc *Reclaimer) SetRules(rules ReclaimerRules) { rc.rules = rules }

// NoteContact notes that the worker was heard from at the given time, by this entry or
// another one.
func (rc *Reclaimer) NoteContact(worker string, at time.Time) {
	rc.init(at)
	if at.After(rc.lastContact[worker]) {
		rc.lastContact[worker] = at
		delete(rc.confirmedAt, worker)
	}
}

// LastContact returns when the worker was last heard from, or the zero time.
func (rc *Reclaimer) LastContact(worker string) time.Time { return rc.lastContact[worker] }

// ConfirmLost notes that, as of now, no other entry has recently heard from the worker.
func (rc *Reclaimer) ConfirmLost(now time.Time, worker string) {
	rc.init(now)
	rc.confirmedAt[worker] = now
}

func (rc *Reclaimer) init(now time.Time) {
	if rc.lastContact == nil {
		rc.startedAt = now
		rc.lastContact = make(map[string]time.Time)
		rc.confirmedAt = make(map[string]time.Time)
		rc.revocations = make(map[record.AssignmentID]revocation)
	}
}

// Suspects returns the workers that may run tasks and have been silent for longer
// than LostAfter. They count as lost once they are confirmed as lost.
func (rc *Reclaimer) Suspects(now time.Time, sm *StateMachine) []string {
	rc.init(now)
	var out []string
	sm.EachWorker(func(worker string) {
		if rc.silent(now, worker) && !rc.confirmedLost(now, worker) {
			out = append(out, worker)
		}
	})
	slices.Sort(out)
	return out
}

// Lost reports whether a worker is still silent after the other entries were asked for
// their last contact with it. Unless allAsked says that all of them could be asked, the
// worker must also have been silent for longer than minSilence.
func (rc *Reclaimer) Lost(now time.Time, worker string, allAsked bool, minSilence time.Duration) bool {
	return rc.silent(now, worker) && (allAsked || rc.silence(now, worker) > minSilence)
}

// silent reports whether the worker has been silent for longer than LostAfter.
func (rc *Reclaimer) silent(now time.Time, worker string) bool {
	return rc.silence(now, worker) > LostAfter
}

// silence returns how long the worker has been silent.
func (rc *Reclaimer) silence(now time.Time, worker string) time.Duration {
	at := rc.lastContact[worker]
	if at.Before(rc.startedAt) {
		at = rc.startedAt
	}
	return now.Sub(at)
}

// confirmedLost reports whether ConfirmLost was called for the worker less than
// confirmationValidFor ago and no newer contact with the worker was noted since.
func (rc *Reclaimer) confirmedLost(now time.Time, worker string) bool {
	at, ok := rc.confirmedAt[worker]
	return ok && now.Sub(at) < confirmationValidFor
}

// Decide returns the records that revoke the tasks of lost workers, and those
// that release revoked tasks whose takeover time has passed.
func (rc *Reclaimer) Decide(now time.Time, sm *StateMachine) []record.Message {
	rc.init(now)
	rc.trackRevocations(now, sm)
	out := rc.releaseDue(now, sm)
	if m := rc.revokeLost(now, sm); m != nil {
		out = append(out, m)
	}
	rc.prune(now, sm)
	return out
}

// trackRevocations notes when each revocation was first seen in the log, and drops
// those that are no longer in effect.
func (rc *Reclaimer) trackRevocations(now time.Time, sm *StateMachine) {
	for assignment := range rc.revocations {
		if !sm.isRevoked(assignment) {
			delete(rc.revocations, assignment)
		}
	}
	sm.EachRevoked(func(assignment record.AssignmentID, _ *Job, _ *Task) {
		if _, ok := rc.revocations[assignment]; !ok {
			rc.revocations[assignment] = revocation{decidedAt: rc.requeue.firstQueued(assignment, record.KindRevoke), seenAt: now}
		}
	})
}

// releaseDue returns the records that release the tasks whose takeover time has passed.
func (rc *Reclaimer) releaseDue(now time.Time, sm *StateMachine) []record.Message {
	var due []*record.Released
	sm.EachRevoked(func(assignment record.AssignmentID, j *Job, task *Task) {
		terms := lease.TermsFromMS(j.Spec().TakeoverMS)
		revoked := rc.revocations[assignment]
		if !now.After(rc.rules.takeoverAt(terms, revoked.decidedAt, revoked.seenAt)) {
			return
		}
		if rc.requeue.allow(now, assignment, record.KindReleased) {
			due = append(due, &record.Released{Assignment: assignment, Reason: reasonTakeover, Revoked: task.RevokePosition(), AtMS: now.UnixMilli()})
		}
	})
	slices.SortFunc(due, func(a, b *record.Released) int { return a.Assignment.Compare(b.Assignment) })
	var out []record.Message
	for _, m := range due {
		out = append(out, m)
	}
	return out
}

// revokeLost returns the record that revokes the tasks of lost workers, or nil.
func (rc *Reclaimer) revokeLost(now time.Time, sm *StateMachine) record.Message {
	var lost []record.AssignmentID
	sm.EachWorker(func(worker string) {
		if !rc.silent(now, worker) || !rc.confirmedLost(now, worker) {
			return
		}
		sm.EachActive(worker, func(assignment record.AssignmentID, _ *Job, task *Task) {
			if task.Phase() == Revoked || !rc.requeue.allow(now, assignment, record.KindRevoke) {
				return
			}
			lost = append(lost, assignment)
		})
	})
	if len(lost) == 0 {
		return nil
	}
	slices.SortFunc(lost, record.AssignmentID.Compare)
	return &record.Revoke{Assignments: lost, Reason: reasonSilent}
}

// prune drops workers that have been silent for longer than forgetSilentAfter and
// have no task, and confirmations that are no longer valid.
func (rc *Reclaimer) prune(now time.Time, sm *StateMachine) {
	for worker, at := range rc.lastContact {
		if now.Sub(at) > forgetSilentAfter && len(sm.byWorker[worker]) == 0 {
			delete(rc.lastContact, worker)
		}
	}
	for worker, at := range rc.confirmedAt {
		if now.Sub(at) >= confirmationValidFor {
			delete(rc.confirmedAt, worker)
		}
	}
}

// isRevoked reports whether the assignment is in effect and revoked.
func (sm *StateMachine) isRevoked(assignment record.AssignmentID) bool {
	epoch, ok := sm.revokedEpochs[assignment.Task]
	return ok && epoch == assignment.Epoch
}
