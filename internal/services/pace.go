package services

import "time"

// paceBurst is the number of appends that may follow each other at once after a pause.
const paceBurst = 4

// pace spaces appends: after a quiet time a few go at once, under load they
// are gap apart on average and each carries more records.
type pace struct {
	gap  time.Duration
	full time.Time
}

// wait returns how long to wait before the append that is due at now, and notes it.
func (p *pace) wait(now time.Time) time.Duration {
	if p.full.Before(now) {
		p.full = now
	}
	p.full = p.full.Add(p.gap)
	return max(0, p.full.Sub(now)-paceBurst*p.gap)
}
