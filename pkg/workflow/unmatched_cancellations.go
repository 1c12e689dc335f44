package workflow

import (
	"maps"
	"slices"
	"time"
)

// UnmatchedCancellations tracks since when cancellations of jobs without a submission have been known. The zero value tracks
// none.
type UnmatchedCancellations struct {
	// seen holds the newest cancellation of each job.
	seen map[string]seenCancellation
}

// seenCancellation is a cancellation with its offset, and when it was first observed.
type seenCancellation struct {
	offset uint64
	at     time.Time
}

// Observe records which such cancellations the job table has at a time.
func (u *UnmatchedCancellations) Observe(now time.Time, jobs *JobTable) {
	for id := range u.seen {
		if _, ok := jobs.unmatched[id]; !ok {
			delete(u.seen, id)
		}
	}
	for id := range jobs.unmatched {
		offset := jobs.jobs[id].cancellationOffset
		if c, ok := u.seen[id]; ok && c.offset == offset {
			continue
		}
		if u.seen == nil {
			u.seen = make(map[string]seenCancellation)
		}
		u.seen[id] = seenCancellation{offset: offset, at: now}
	}
}

// Expired returns the deletions of up to limit cancellations that were observed longer ago than their retention, for which the
// job table still has no submission.
//
// No deletion may be carried out after another record was stored in the topic of cancellations, which the job table does not
// have: it may be a later cancellation, or the submission.
func (u *UnmatchedCancellations) Expired(now time.Time, jobs *JobTable, retention time.Duration, limit int) []Record {
	var deletions []Record
	for _, id := range slices.Sorted(maps.Keys(u.seen)) {
		if len(deletions) == limit {
			break
		}
		c := u.seen[id]
		if _, ok := jobs.unmatched[id]; ok && jobs.jobs[id].cancellationOffset == c.offset && now.Sub(c.at) > retention {
			deletions = append(deletions, Record{Key: prefixCancellation + id})
		}
	}
	return deletions
}
