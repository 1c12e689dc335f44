// Package clock reads the system's clocks and waits for events with a time limit.
// Decision code reads no clock: its callers read the present time with this package and
// pass it as an argument.
package clock

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Steady returns the present time on a clock that is never set and keeps running
// while the machine is suspended (CLOCK_BOOTTIME). Only differences between its
// results have a meaning.
func Steady() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// On kernels without this clock, the monotonic reading of time.Now is the
		// closest substitute.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// WallMS returns the wall-clock time in Unix milliseconds.
func WallMS() int64 { return time.Now().UnixMilli() }

// Incarnation returns a number, the present time in Unix microseconds, that
// distinguishes a process that takes it at its start from earlier ones with the same
// name.
func Incarnation() uint64 { return uint64(time.Now().UnixMicro()) }

// WaitForSignal waits until a signal arrives, d has passed or ctx ends, and reports whether
// a signal arrived.
func WaitForSignal(ctx context.Context, signals <-chan os.Signal, d time.Duration) bool {
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

// WaitForWake waits until wake receives a value, d has passed or ctx ends. It returns false
// if it ended because ctx did, and true otherwise.
func WaitForWake(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
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
