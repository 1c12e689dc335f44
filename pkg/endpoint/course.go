package endpoint

// Limits of one request.
const (
	// maxAttempts is how often one request is tried at most.
	maxAttempts = 4
	// maxExchanges is how often the answer of one attempt is asked for.
	maxExchanges = 4
)

// Step is what an entry does next about an attempt.
type Step uint8

// The steps.
const (
	// StepEnd means that the attempt has ended with the fate known so far.
	StepEnd Step = iota
	// StepAsk means to ask the agent over a new connection what became of it.
	StepAsk
	// StepFetch means to send the same attempt again over a new connection, to
	// be given its answer.
	StepFetch
)

// Course follows one request through its attempts. The zero value is that of
// a request that must not be repeated.
type Course struct {
	repeat    bool
	attempt   uint32
	exchanges int
	connected bool
	abandoned bool
	fate      Fate
	// earlier is the fate of the earlier attempts together.
	earlier Fate
}

// NewCourse returns the course of a request; repeat says whether it may run
// more than once.
func NewCourse(repeat bool) Course { return Course{repeat: repeat} }

// together returns the fate of a request of which one part has fate a and
// another one b.
func together(a, b Fate) Fate {
	switch {
	case a == FateDone || b == FateDone:
		return FateDone
	case a == FateNotRun && b == FateNotRun:
		return FateNotRun
	}
	return FateUnknown
}

// Begin starts the next attempt and returns its number.
func (c *Course) Begin() uint32 {
	c.earlier = c.Fate()
	c.attempt++
	c.exchanges = 0
	c.connected = false
	c.fate = FateUnknown
	return c.attempt
}

// Attempt returns the number of the present attempt.
func (c *Course) Attempt() uint32 { return c.attempt }

// Fate returns what is known of the request, all its attempts together.
func (c *Course) Fate() Fate {
	if c.attempt == 0 {
		return FateNotRun
	}
	return together(c.earlier, c.fate)
}

// Repeat reports whether the request may run more than once.
func (c *Course) Repeat() bool { return c.repeat }

// Lost notes that an exchange brought no answer; connected says whether there
// was a connection on which the attempt may have been sent.
func (c *Course) Lost(connected bool) Step {
	c.exchanges++
	c.connected = c.connected || connected
	if !c.connected {
		c.fate = FateNotRun
		return StepEnd
	}
	return StepAsk
}

// Asked notes what the agent said of the attempt; over says that nobody waits
// for the answer any more.
func (c *Course) Asked(fate Fate, over bool) Step {
	c.fate = fate
	if over || c.exchanges >= maxExchanges || fate == FateNotRun || fate == FateUnknown {
		if fate == FateRunning {
			c.fate = FateUnknown
		}
		return StepEnd
	}
	return StepFetch
}

// MayAbandon reports whether an attempt may be given up while it runs. That is
// so once for a request: work that takes long anywhere must still come to its end.
func (c *Course) MayAbandon() bool { return c.repeat && !c.abandoned }

// Abandon notes that the attempt is given up while it may still run.
func (c *Course) Abandon() {
	c.abandoned = true
	c.fate = FateUnknown
}

// Refused notes that the agent refused the attempt with a fate.
func (c *Course) Refused(fate Fate) { c.fate = fate }

// Again reports whether another attempt is safe: the last one was not run, or
// the request may be repeated.
func (c *Course) Again(over bool) bool {
	return !over && c.attempt < maxAttempts && (c.fate == FateNotRun || c.repeat)
}
