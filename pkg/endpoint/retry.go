package endpoint

import (
	"math/rand/v2"
	"time"
)

// Limits of retries.
const (
	// retryShare is how many retries each first attempt allows.
	retryShare = 0.1
	// retryFloor is how many retries a second are allowed in any case.
	retryFloor = 5
	// retryMost is how many allowed retries are saved up at most.
	retryMost = 50
	// retryDelay bounds the random delay before the first retry; it doubles with each.
	retryDelay = 4 * time.Millisecond
)

// Budget bounds retries to a share of the first attempts, so that they never
// amplify a surge. The zero value is full.
type Budget struct {
	// used is how much of retryMost is spent.
	used float64
	at   time.Time
}

// First notes a first attempt.
func (b *Budget) First() { b.used = max(0, b.used-retryShare) }

// Take reports whether a retry is allowed now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if passed := now.Sub(b.at); passed > 0 {
		b.used = max(0, b.used-passed.Seconds()*retryFloor)
		b.at = now
	}
	if b.used+1 > retryMost {
		return false
	}
	b.used++
	return true
}

// RetryDelay returns the delay before the given retry, counted from 1.
func RetryDelay(random *rand.Rand, retry int) time.Duration {
	return time.Duration(random.Int64N(int64(retryDelay) << min(max(retry-1, 0), 6)))
}
