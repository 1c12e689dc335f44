// Package clock reads the clocks that decisions are given as arguments.
package clock

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Steady returns the present time on a clock that is never set and goes on
// while the machine is suspended.
func Steady() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // kernels without this clock: the monotonic reading is the next best
	}
	return time.Unix(ts.Unix())
}

// WallMS returns the time of day in Unix milliseconds.
func WallMS() int64 { return time.Now().UnixMilli() }

// Incarnation returns a number that tells this process from earlier ones of the
// same name.
func Incarnation() uint64 { return uint64(time.Now().UnixMicro()) }

// Wait returns when a signal arrives, d has passed or ctx ends, and reports
// whether there was a signal.
func Wait(ctx context.Context, signals <-chan os.Signal, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-signals:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Pause waits for d, a wake-up or the end of ctx, and reports false at the end.
func Pause(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}
