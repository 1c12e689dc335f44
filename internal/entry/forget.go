package entry

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// Limits on dropping ended jobs.
const (
	// endedJobRetention is how long an ended job can still be queried.
	endedJobRetention = 24 * time.Hour
	// forgetInterval is the time between two searches of an entry for ended jobs to drop.
	forgetInterval = time.Minute
	// maxForgottenPerRecord is the most jobs that one record drops.
	maxForgottenPerRecord = 1000
	// forgetKey is the rendezvous key that selects the entry of the data centre that drops
	// ended jobs.
	forgetKey = "forget"
)

// forgetEndedJobs returns a record that drops jobs which ended longer than
// endedJobRetention ago, if this entry ranks first in the data centre; jobs.mu is held.
func (e *Entry) forgetEndedJobs(now time.Time, localEntries []record.Member) []record.Message {
	if now.Sub(e.jobs.lastForgetAt) < forgetInterval || rendezvousRank(e.settings.Name, forgetKey, localEntries) > 0 {
		return nil
	}
	e.jobs.lastForgetAt = now
	ids := e.jobs.state.EndedBefore(now.Add(-endedJobRetention).UnixMilli(), maxForgottenPerRecord)
	if len(ids) == 0 {
		return nil
	}
	e.log.Info().Str("decision", "forget-jobs").Int("jobs", len(ids)).Str("reason", "they ended longer ago than ended jobs are kept").Msg("")
	return []record.Message{&record.Forget{Jobs: ids}}
}
