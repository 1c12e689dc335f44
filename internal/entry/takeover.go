package entry

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// workerLostAfter is how long a worker is silent before it gets no new tasks.
const workerLostAfter = job.LostAfter

// takeOver revokes the tasks of lost workers and releases those whose takeover
// time has passed. jobs.mu is held.
func (e *Entry) takeOver(now time.Time) []record.Message {
	out := e.jobs.taker.Decide(now, &e.jobs.fold)
	for _, m := range out {
		e.logTakeover(m)
	}
	return out
}

func (e *Entry) logTakeover(m record.Message) {
	switch m := m.(type) {
	case *record.Revoke:
		for _, h := range m.Assignments {
			e.log.Info().Str("decision", "revoke").Str("task", h.Task.String()).Str("reason", m.Reason).Msg("")
		}
	case *record.Released:
		e.log.Info().Str("decision", "take-over").Str("task", m.Assignment.Task.String()).Str("reason", m.Reason).Msg("")
	}
}
