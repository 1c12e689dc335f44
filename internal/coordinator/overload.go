package coordinator

import "time"

// Thresholds of the delay from an event to the decision that takes it into account.
const (
	// overloadDelay is the delay from which the dispatcher counts as overloaded: agents close a
	// connection on which nothing arrives for 1.5 s.
	overloadDelay = 300 * time.Millisecond
	// relievedDelay is the delay that ends an overload.
	relievedDelay = 100 * time.Millisecond
)

// backlog measures how far decisions are behind events. The zero value has no undecided event.
type backlog struct {
	// oldest is when the oldest undecided event arrived; zero if there is none.
	oldest     time.Time
	overloaded bool
}

// add records that an event arrived that the next decision has to take into account.
func (b *backlog) add(now time.Time) {
	if b.oldest.IsZero() {
		b.oldest = now
	}
}

// decided records a decision, which takes all events into account. It returns the age of the oldest one,
// and whether an overload has begun or ended.
func (b *backlog) decided(now time.Time) (age time.Duration, changed bool) {
	if !b.oldest.IsZero() {
		age = max(0, now.Sub(b.oldest))
	}
	b.oldest = time.Time{}
	before := b.overloaded
	b.overloaded = age >= overloadDelay || before && age > relievedDelay
	return age, b.overloaded != before
}

// noteDecision records the age of the oldest event that a decision has taken into account, and logs when
// the dispatcher becomes overloaded and when it no longer is. The caller holds mu.
func (c *Coordinator) noteDecision(now time.Time, t *term) {
	age, changed := t.backlog.decided(now)
	if age > 0 {
		c.observeLatency("decision-delay", now.Add(-age), now)
	}
	switch {
	case !changed:
	case t.backlog.overloaded:
		c.count("overloads", 1)
		c.log.Warn().Dur("delay", age).Int("agents", len(t.agents)).Uint64("term", t.number).Msg("dispatcher overloaded: decisions are behind events")
	default:
		c.log.Info().Dur("delay", age).Uint64("term", t.number).Msg("dispatcher no longer overloaded")
	}
}
