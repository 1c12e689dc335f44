// Package delay waits until a time has passed or a context ends.
package delay

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d passed first.
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
