package coordinator

import (
	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// ErrJobTooLarge means that the store does not take the record of a job.
var ErrJobTooLarge = errors.New("the job is too large for the store")

// RecordLimits are the limits of the store for records, in bytes; 0 means no limit.
type RecordLimits struct {
	// Record bounds one record: its key, its value and keyLengthBytes.
	Record int
	// Append bounds all records of one append together.
	Append int
}

const (
	// keyLengthBytes is the size of the length of a key in its record.
	keyLengthBytes = 1
	// recordLengthBytes is the size of the length of a record in an append.
	recordLengthBytes = 4
)

func recordBytes(r store.Record) int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// fits reports whether the store takes a record.
func (l RecordLimits) fits(r store.Record) bool { return l.Record <= 0 || recordBytes(r) <= l.Record }

// split splits records into appends that the store takes, in the same order.
func (l RecordLimits) split(records []store.Record) [][]store.Record {
	var out [][]store.Record
	size := 0
	for _, r := range records {
		n := recordLengthBytes + recordBytes(r)
		if len(out) == 0 || l.Append > 0 && size+n > l.Append {
			out, size = append(out, nil), 0
		}
		out[len(out)-1], size = append(out[len(out)-1], r), size+n
	}
	return out
}

// progressRecord returns the record of a job's progress. If the store does not take it, it is the record without what a
// job can do without, and else that of a job that has failed: what cannot be stored would be lost at the next change of
// dispatcher, and tasks that are done would run again.
func (c *Coordinator) progressRecord(t *term, id string, p *workflow.Progress) (store.Record, error) {
	r, err := workflow.ProgressRecord(id, p)
	if err != nil || c.settings.RecordLimits.fits(r) {
		return r, err
	}
	c.count("progress-shortened", 1)
	c.log.Warn().Str("job", id).Int("bytes", recordBytes(r)).Int("limit", c.settings.RecordLimits.Record).Msg("job progress is too large for the store; stored without checkpoints and crashes")
	if r, err = workflow.ProgressRecord(id, p.Shortened()); err != nil || c.settings.RecordLimits.fits(r) {
		return r, err
	}
	c.count("jobs-too-large", 1)
	c.log.Error().Str("job", id).Int("bytes", recordBytes(r)).Int("limit", c.settings.RecordLimits.Record).Msg("job failed: its progress is too large for the store")
	c.mu.Lock()
	wall := clock.WallMS()
	t.scheduler.FailJob(clock.Steady(), wall, id)
	c.mu.Unlock()
	return workflow.ProgressRecord(id, &workflow.Progress{Phase: workflow.PhaseFailed, EndedMS: wall})
}

// withoutOversized returns the records that the store takes, and logs the others.
func (c *Coordinator) withoutOversized(records []store.Record) []store.Record {
	var out []store.Record
	for _, r := range records {
		if !c.settings.RecordLimits.fits(r) {
			c.count("records-too-large", 1)
			c.log.Error().Str("key", r.Key).Int("bytes", recordBytes(r)).Int("limit", c.settings.RecordLimits.Record).Msg("record left out: it is too large for the store")
			continue
		}
		out = append(out, r)
	}
	return out
}

// checkSubmission returns an ErrJobTooLarge unless the store takes the record r of a submission, and all progress that
// the job may make.
func (c *Coordinator) checkSubmission(s *workflow.Submission, r store.Record) error {
	if c.settings.RecordLimits.fits(r) {
		return errors.Mark(s.Spec.CheckProgress(c.settings.RecordLimits.Record), ErrJobTooLarge)
	}
	return errors.Mark(errors.Newf("steps: the job takes %d bytes in the store, want at most %d", recordBytes(r), c.settings.RecordLimits.Record), ErrJobTooLarge)
}
