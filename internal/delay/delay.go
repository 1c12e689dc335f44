// Package delay waits for a time that can be cut short.
package delay

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still live.
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
