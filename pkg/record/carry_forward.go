package record

import "time"

const (
	// minCopyAge is the age that a copy must have before it is written again
	// because of its age.
	minCopyAge = 30 * time.Second
	// retentionDivisor sets the age at which a copy is written again: the known
	// retention divided by this number.
	retentionDivisor = 3
	// maxSamples limits the number of samples from which the age of batches is
	// estimated.
	maxSamples = 128
)

// sample is the offset of the next append as observed at a point in time.
type sample struct {
	observedAt time.Time
	nextOffset uint64
}

// CarryForwardSchedule decides when a record that must outlive the log's retention,
// such as a snapshot, is carried forward: a new copy of the record is appended before
// the log drops the old one. The retention is not configured here; a lower bound of it
// is learned from the age of the batches that the stream still keeps. The zero value is
// ready for use.
type CarryForwardSchedule struct {
	// firstOffset and nextOffset are the stream's first offset and its end as of
	// observedAt.
	firstOffset, nextOffset uint64
	observedAt              time.Time
	// samples are in the order of their times and offsets.
	samples []sample
	// minSampleInterval is the least time between two samples.
	minSampleInterval time.Duration

	// copied is set once a copy is known. copyOffset and copiedAt are the offset and
	// the time of writing of the newest one; see NoteCopy.
	copied     bool
	copyOffset uint64
	copiedAt   time.Time
}

// Observe notes which offsets the stream keeps: those from firstOffset on and before
// nextOffset.
func (c *CarryForwardSchedule) Observe(now time.Time, firstOffset, nextOffset uint64) {
	c.firstOffset, c.nextOffset, c.observedAt = firstOffset, nextOffset, now
	expired := 0
	for expired < len(c.samples) && c.samples[expired].nextOffset <= firstOffset {
		expired++
	}
	c.samples = c.samples[expired:]
	n := len(c.samples)
	if n > 0 && (c.samples[n-1].nextOffset >= nextOffset || now.Sub(c.samples[n-1].observedAt) < c.minSampleInterval) {
		return
	}
	c.samples = append(c.samples, sample{observedAt: now, nextOffset: nextOffset})
	if len(c.samples) > maxSamples {
		c.dropEveryOtherSample()
	}
}

// dropEveryOtherSample halves the number of samples and doubles the least time between
// two samples, to at least one second.
func (c *CarryForwardSchedule) dropEveryOtherSample() {
	kept := make([]sample, 0, maxSamples)
	for i := 0; i < len(c.samples); i += 2 {
		kept = append(kept, c.samples[i])
	}
	c.samples = kept
	c.minSampleInterval = max(2*c.minSampleInterval, time.Second)
}

// MinRetention returns a lower bound of how long the stream keeps a batch: the least
// possible age, according to the samples, of the oldest batch that the stream still
// keeps.
func (c *CarryForwardSchedule) MinRetention(now time.Time) time.Duration {
	for _, s := range c.samples {
		if s.nextOffset > c.firstOffset {
			return now.Sub(s.observedAt)
		}
	}
	return 0
}

// NoteCopy notes a copy that is usable as long as the stream keeps the batches from
// offset on. The time of writing, writtenAt, is on the writer's clock; a time after now
// and the zero time count as now.
func (c *CarryForwardSchedule) NoteCopy(now, writtenAt time.Time, offset uint64) {
	if c.copied && offset < c.copyOffset {
		return
	}
	if writtenAt.IsZero() || writtenAt.After(now) {
		writtenAt = now
	}
	c.copied, c.copyOffset, c.copiedAt = true, offset, writtenAt
}

// CopyOffset returns the offset from which the stream must be kept for the newest
// copy to be usable.
func (c *CarryForwardSchedule) CopyOffset() uint64 { return c.copyOffset }

// Due reports whether a new copy should be written now, and why.
func (c *CarryForwardSchedule) Due(now time.Time) (reason string, due bool) {
	switch {
	case c.observedAt.IsZero():
		return "", false
	case !c.copied:
		return "no copy is known", true
	case c.copyOffset < c.firstOffset:
		return "the copy has expired", true
	case c.firstOffset > 0 && c.copyOffset < c.firstOffset+(c.nextOffset-c.firstOffset)/2:
		return "the copy is in the older half of the batches kept", true
	case now.Sub(c.copiedAt) > max(minCopyAge, c.MinRetention(now)/retentionDivisor):
		return "a third of the known retention has passed since the copy was written", true
	}
	return "", false
}
