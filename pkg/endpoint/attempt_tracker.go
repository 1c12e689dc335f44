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
	// StepQuery means to query the agent over a new connection for the state of
	// the attempt.
	StepQuery
	// StepResend means to send the same attempt again over a new connection, to
	// get its response.
	StepResend
)

// AttemptTracker follows one request through its attempts. The zero value is for a
// request that must not run more than once.
type AttemptTracker struct {
	mayRepeat bool
	attempt   uint32
	// exchanges is how often the current attempt was sent without a response.
	exchanges int
	// connected is set once there was a connection on which the current attempt may
	// have been sent.
	connected bool
	abandoned bool
	// state is the state of the current attempt.
	state AttemptState
	// earlierState is the combined state of the earlier attempts.
	earlierState AttemptState
}

// NewAttemptTracker returns the tracker of a request; mayRepeat says whether it may run
// more than once.
func NewAttemptTracker(mayRepeat bool) AttemptTracker { return AttemptTracker{mayRepeat: mayRepeat} }

// combine returns the combined state of a request whose attempts have the states a
// and b.
func combine(a, b AttemptState) AttemptState {
	switch {
	case a == AttemptDone || b == AttemptDone:
		return AttemptDone
	case a == AttemptNotRun && b == AttemptNotRun:
		return AttemptNotRun
	}
	return AttemptUnknown
}

// BeginAttempt starts the next attempt and returns its number, counted from 1.
func (c *AttemptTracker) BeginAttempt() uint32 {
	c.earlierState = c.State()
	c.attempt++
	c.exchanges = 0
	c.connected = false
	c.state = AttemptUnknown
	return c.attempt
}

// Attempt returns the number of the current attempt.
func (c *AttemptTracker) Attempt() uint32 { return c.attempt }

// State returns the combined state of all attempts of the request.
func (c *AttemptTracker) State() AttemptState {
	if c.attempt == 0 {
		return AttemptNotRun
	}
	return combine(c.earlierState, c.state)
}

// MayRepeat reports whether the request may run more than once.
func (c *AttemptTracker) MayRepeat() bool { return c.mayRepeat }

// RecordNoResponse records that sending the attempt brought no response, and returns
// the next step; connected says whether there was a connection on which the attempt may
// have been sent.
func (c *AttemptTracker) RecordNoResponse(connected bool) Step {
	c.exchanges++
	c.connected = c.connected || connected
	if !c.connected {
		c.state = AttemptNotRun
		return StepEnd
	}
	return StepQuery
}

// RecordQueryResult records the attempt's state as returned by the agent, and returns
// the next step; callerGone says that the caller no longer waits for a response.
func (c *AttemptTracker) RecordQueryResult(state AttemptState, callerGone bool) Step {
	c.state = state
	if callerGone || c.exchanges >= maxExchanges || state == AttemptNotRun || state == AttemptUnknown {
		if state == AttemptRunning {
			c.state = AttemptUnknown
		}
		return StepEnd
	}
	return StepResend
}

// MayAbandon reports whether an attempt may be abandoned while it runs. This is
// allowed once for a request, so that work that takes long anywhere still ends.
func (c *AttemptTracker) MayAbandon() bool { return c.mayRepeat && !c.abandoned }

// Abandon records that the attempt is abandoned while it may still run.
func (c *AttemptTracker) Abandon() {
	c.abandoned = true
	c.state = AttemptUnknown
}

// RecordRefusal records that the agent refused the attempt, and the state of the attempt.
func (c *AttemptTracker) RecordRefusal(state AttemptState) { c.state = state }

// MayRetry reports whether another attempt is safe: the last one was not run, or the
// request may run more than once. callerGone says that the caller no longer waits for a
// response.
func (c *AttemptTracker) MayRetry(callerGone bool) bool {
	return !callerGone && c.attempt < maxAttempts && (c.state == AttemptNotRun || c.mayRepeat)
}
