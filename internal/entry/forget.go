package entry

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Limits of forgetting ended jobs.
const (
	// keepEnded is how long an ended job can still be looked at.
	keepEnded = 24 * time.Hour
	// forgetEvery is how often the entry looks for jobs to forget.
	forgetEvery = time.Minute
	// forgetMost is the most jobs that one record forgets.
	forgetMost = 1000
	// forgetKey chooses the entry of the data centre that forgets.
	forgetKey = "forget"
)

// forget returns the record that drops jobs which ended long ago, if it is this
// entry's turn; jobs.mu is held.
func (e *Entry) forget(now time.Time, neighbours []record.Member) []record.Message {
	if now.Sub(e.jobs.forgot) < forgetEvery || rank(e.settings.Name, forgetKey, neighbours) > 0 {
		return nil
	}
	e.jobs.forgot = now
	ids := e.jobs.fold.EndedBefore(now.Add(-keepEnded).UnixMilli(), forgetMost)
	if len(ids) == 0 {
		return nil
	}
	e.log.Info().Str("decision", "forget-jobs").Int("jobs", len(ids)).Str("reason", "they ended long ago").Msg("")
	return []record.Message{&record.Forget{Jobs: ids}}
}
