package entry

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// workerLostAfter is how long a worker is silent before this entry's scheduler assigns it no new
// tasks.
const workerLostAfter = job.LostAfter

// reclaimTasks returns the records that revoke the tasks of lost workers and release the revoked
// tasks whose takeover time has passed; jobs.mu is held.
func (e *Entry) reclaimTasks(now time.Time) []record.Message {
	out := e.jobs.reclaimer.Decide(now, &e.jobs.state)
	for _, m := range out {
		e.logReclaim(m)
	}
	return out
}

func (e *Entry) logReclaim(m record.Message) {
	switch m := m.(type) {
	case *record.Revoke:
		for _, h := range m.Assignments {
			e.log.Info().Str("decision", "revoke").Str("task", h.Task.String()).Str("reason", m.Reason).Msg("")
		}
	case *record.Released:
		e.log.Info().Str("decision", "take-over").Str("task", m.Assignment.Task.String()).Str("reason", m.Reason).Msg("")
	}
}
