// Package logline writes log lines without ever blocking the caller: lines are buffered
// and written in batches. Lines beyond a rate limit, or beyond the buffer, are dropped
// and counted.
package logline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultMaxInfoLinesPerSecond is the default limit of debug and info lines per second. Each task
	// logs two, at its start and at its end, and 300 tasks start per second at the target
	// size of an installation.
	DefaultMaxInfoLinesPerSecond = 1000
	// maxPendingBytes bounds the buffer of lines that wait to be written.
	maxPendingBytes = 1 << 20
	// batchDelay is how long a line waits so that others are written in the same batch, since
	// each write costs a system call.
	batchDelay = 50 * time.Millisecond
	// levelSearchBytes is the number of bytes from the beginning of a line in which its level is
	// searched.
	levelSearchBytes = 96
)

// Writer is an io.Writer that takes one whole line in each call of Write. Run writes the
// lines to Out. The zero value of Writer drops every line.
type Writer struct {
	// Out receives the lines.
	Out io.Writer
	// MaxInfoLinesPerSecond is the limit of debug and info lines per second. Warnings and errors are
	// dropped only while the buffer is full, which happens when Out does not keep up.
	MaxInfoLinesPerSecond int
	// Now returns the current time.
	Now func() time.Time

	mu sync.Mutex
	// pending are the lines that wait to be written.
	pending []byte
	// budgetSecond is the Unix time of the newest debug or info line, and budgetUsed the
	// number of such lines in that second.
	budgetSecond int64
	budgetUsed   int
	// dropped is the number of lines dropped since the last flush.
	dropped uint64
	// ready wakes Run when lines wait to be written.
	ready chan struct{}
}

// New returns a Writer to out with the default limit.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, MaxInfoLinesPerSecond: DefaultMaxInfoLinesPerSecond, Now: time.Now, ready: make(chan struct{}, 1)}
}

// Write buffers a line or drops it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.spendBudget(line) || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// spendBudget reports whether a line may be written within MaxInfoLinesPerSecond, and counts
// the line if it is a debug or info line. The caller holds mu.
func (w *Writer) spendBudget(line []byte) bool {
	if w.Now == nil {
		return false
	}
	head := line[:min(len(line), levelSearchBytes)]
	if !bytes.Contains(head, []byte(`"level":"info"`)) && !bytes.Contains(head, []byte(`"level":"debug"`)) {
		return true
	}
	if s := w.Now().Unix(); s != w.budgetSecond {
		w.budgetSecond, w.budgetUsed = s, 0
	}
	w.budgetUsed++
	return w.budgetUsed <= w.MaxInfoLinesPerSecond
}

// Run writes buffered lines until ctx ends, and then the lines that are still buffered.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.ready:
			timer := time.NewTimer(batchDelay)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
			w.flush()
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// flush writes all buffered lines, and a warning if lines were dropped.
func (w *Writer) flush() {
	w.mu.Lock()
	batch, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, `{"time":%q,"level":"warn","lines":%d,"message":"log lines dropped"}`+"\n", w.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(batch) > 0 {
		_, _ = w.Out.Write(batch) // a failed write of the log cannot be logged
	}
}
