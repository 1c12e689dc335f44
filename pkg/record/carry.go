package record

import "time"

const (
	// carryMin is the least age at which a copy is written again.
	carryMin = 30 * time.Second
	// carryShare is the part of the known retention after which a copy is written again.
	carryShare = 3
	// maxSamples is the most moments kept to know the age of kept batches.
	maxSamples = 128
)

// sample says that the stream had reached next at a moment.
type sample struct {
	at   time.Time
	next uint64
}

// Carry decides when what must outlive the log's retention is written again.
// It learns a
// lower bound of the retention from the age of what the stream keeps. The zero value
// has seen nothing.
type Carry struct {
	first, next uint64
	observed    time.Time
	samples     []sample
	// spacing is the least time between two samples.
	spacing time.Duration

	copied   bool
	offset   uint64
	copiedAt time.Time
}

// Observe notes which offsets the stream keeps.
func (c *Carry) Observe(now time.Time, first, next uint64) {
	c.first, c.next, c.observed = first, next, now
	expired := 0
	for expired < len(c.samples) && c.samples[expired].next <= first {
		expired++
	}
	c.samples = c.samples[expired:]
	n := len(c.samples)
	if n > 0 && (c.samples[n-1].next >= next || now.Sub(c.samples[n-1].at) < c.spacing) {
		return
	}
	c.samples = append(c.samples, sample{at: now, next: next})
	if len(c.samples) > maxSamples {
		c.thin()
	}
}

// thin drops every other sample and keeps fewer from now on.
func (c *Carry) thin() {
	kept := make([]sample, 0, maxSamples)
	for i := 0; i < len(c.samples); i += 2 {
		kept = append(kept, c.samples[i])
	}
	c.samples = kept
	c.spacing = max(2*c.spacing, time.Second)
}

// Retention returns how long the stream is known to keep a batch at least: the
// age of the oldest batch kept, as far as it was observed.
func (c *Carry) Retention(now time.Time) time.Duration {
	for _, s := range c.samples {
		if s.next > c.first {
			return now.Sub(s.at)
		}
	}
	return 0
}

// Copied notes that a copy is at offset. It was written at the given time on
// its writer's clock; a time after now or a zero time counts as now.
func (c *Carry) Copied(now, written time.Time, offset uint64) {
	if c.copied && offset < c.offset {
		return
	}
	if written.IsZero() || written.After(now) {
		written = now
	}
	c.copied, c.offset, c.copiedAt = true, offset, written
}

// Lost notes that no copy of the present content is known.
func (c *Carry) Lost() { c.copied = false }

// Offset returns where the newest copy is.
func (c *Carry) Offset() uint64 { return c.offset }

// Due reports whether a new copy should be written, and why.
func (c *Carry) Due(now time.Time) (reason string, due bool) {
	switch {
	case c.observed.IsZero():
		return "", false
	case !c.copied:
		return "no copy is known", true
	case c.offset < c.first:
		return "the copy has expired", true
	case c.first > 0 && c.offset < c.first+(c.next-c.first)/2:
		return "the copy is in the older half of what is kept", true
	case now.Sub(c.copiedAt) > max(carryMin, c.Retention(now)/carryShare):
		return "a third of the known retention has passed", true
	}
	return "", false
}
