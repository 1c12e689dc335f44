// Package delay waits for a duration that the end of a context cuts short.
package delay

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends. It returns true if d passed first. If d is not
// above 0, it returns at once, with true unless ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
