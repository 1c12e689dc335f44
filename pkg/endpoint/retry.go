package endpoint

import (
	"math/rand/v2"
	"time"
)

// Parameters of retries.
const (
	// retriesPerFirst is how many retries each first attempt allows.
	retriesPerFirst = 0.1
	// retriesPerSecond is how many retries a second are allowed in any case.
	retriesPerSecond = 5
	// maxSavedRetries is the largest burst of retries: how many that were allowed
	// and not used are saved up.
	maxSavedRetries = 50
	// maxFirstRetryDelay bounds the random delay before the first retry; the
	// bound doubles with each further retry.
	maxFirstRetryDelay = 4 * time.Millisecond
)

// RetryBudget limits retries to a share of the first attempts, so that they do not
// amplify an overload. The zero value allows a full burst.
type RetryBudget struct {
	// spent is how much of maxSavedRetries has been used.
	spent      float64
	refilledAt time.Time
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.spent = max(0, b.spent-retriesPerFirst) }

// Take reports whether a retry is allowed now, and counts it if it is.
func (b *RetryBudget) Take(now time.Time) bool {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.spent = max(0, b.spent-passed.Seconds()*retriesPerSecond)
		b.refilledAt = now
	}
	if b.spent+1 > maxSavedRetries {
		return false
	}
	b.spent++
	return true
}

// RetryDelay returns a random delay before a retry; the first retry is 1.
func RetryDelay(random *rand.Rand, retry int) time.Duration {
	return time.Duration(random.Int64N(int64(maxFirstRetryDelay) << min(max(retry-1, 0), 6)))
}
