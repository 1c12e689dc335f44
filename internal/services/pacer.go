package services

import "time"

// appendBurst is the number of appends that may go without delay after an idle period.
const appendBurst = 4

// appendPacer limits the rate of appends. After an idle period it allows
// appendBurst appends without delay. Under load, appends are interval apart on
// average and each carries more records.
type appendPacer struct {
	interval time.Duration
	// nextDue is when the next append would be due if no burst were allowed: the
	// theoretical arrival time of the generic cell rate algorithm (GCRA).
	nextDue time.Time
}

// reserve accounts for an append requested at now and returns how long the
// caller must wait before it.
func (p *appendPacer) reserve(now time.Time) time.Duration {
	if p.nextDue.Before(now) {
		p.nextDue = now
	}
	p.nextDue = p.nextDue.Add(p.interval)
	return max(0, p.nextDue.Sub(now)-appendBurst*p.interval)
}
