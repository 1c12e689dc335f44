package endpoint

// Limits of one request.
const (
	// maxAttempts is the most attempts of one request.
	maxAttempts = 4
	// maxExchanges is the most times that one attempt is sent.
	maxExchanges = 4
)

// Step is what an entry does next about an attempt that got no response.
type Step uint8

// The steps.
const (
	// StepEnd means that the attempt is over, in the state known so far.
	StepEnd Step = iota
	// StepAsk means to query the agent over a new connection for the state of
	// the attempt.
	StepAsk
	// StepFetch means to send the same attempt again over a new connection, to
	// get its response.
	StepFetch
)

// Course follows one request through its attempts. The zero value is for a
// request that must not run more than once.
type Course struct {
	mayRepeat bool
	attempt   uint32
	exchanges int
	connected bool
	abandoned bool
	state     Fate
	// earlierState is the combined state of the earlier attempts.
	earlierState Fate
}

// NewCourse returns the tracker of a request; mayRepeat says whether it may run
// more than once.
func NewCourse(mayRepeat bool) Course { return Course{mayRepeat: mayRepeat} }

// combine returns the state of a request whose attempts have the states a and b.
func combine(a, b Fate) Fate {
	switch {
	case a == FateDone || b == FateDone:
		return FateDone
	case a == FateNotRun && b == FateNotRun:
		return FateNotRun
	}
	return FateUnknown
}

// Begin starts the next attempt and returns its number, counted from 1.
func (c *Course) Begin() uint32 {
	c.earlierState = c.Fate()
	c.attempt++
	c.exchanges = 0
	c.connected = false
	c.state = FateUnknown
	return c.attempt
}

// Attempt returns the number of the current attempt.
func (c *Course) Attempt() uint32 { return c.attempt }

// Fate returns the combined state of all attempts of the request.
func (c *Course) Fate() Fate {
	if c.attempt == 0 {
		return FateNotRun
	}
	return combine(c.earlierState, c.state)
}

// Repeat reports whether the request may run more than once.
func (c *Course) Repeat() bool { return c.mayRepeat }

// Lost records that sending the attempt brought no response; connected says
// whether there was a connection on which it may have been sent.
func (c *Course) Lost(connected bool) Step {
	c.exchanges++
	c.connected = c.connected || connected
	if !c.connected {
		c.state = FateNotRun
		return StepEnd
	}
	return StepAsk
}

// Asked records the attempt's state as returned by the agent; over says that the
// caller no longer waits for a response.
func (c *Course) Asked(state Fate, over bool) Step {
	c.state = state
	if over || c.exchanges >= maxExchanges || state == FateNotRun || state == FateUnknown {
		if state == FateRunning {
			c.state = FateUnknown
		}
		return StepEnd
	}
	return StepFetch
}

// MayAbandon reports whether an attempt may be abandoned while it runs. This is
// allowed once for a request, so that work that takes long anywhere still ends.
func (c *Course) MayAbandon() bool { return c.mayRepeat && !c.abandoned }

// Abandon records that the attempt is abandoned while it may still run.
func (c *Course) Abandon() {
	c.abandoned = true
	c.state = FateUnknown
}

// Refused records that the agent refused the attempt, and in which state it is.
func (c *Course) Refused(state Fate) { c.state = state }

// Again reports whether another attempt is safe: the last one was not run, or
// the request may run more than once.
func (c *Course) Again(over bool) bool {
	return !over && c.attempt < maxAttempts && (c.state == FateNotRun || c.mayRepeat)
}
