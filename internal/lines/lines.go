// Package lines writes log lines without ever holding their caller up: lines are
// written in batches, within a budget, and those left out are counted.
package lines

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultPerSecond is the budget of lines below a warning; a start and its
	// end take two, and 300 tasks a second start at the target size.
	DefaultPerSecond = 1000
	// mostBytes bounds the lines that wait for a reader, in bytes.
	mostBytes = 1 << 20
	// batchEvery is how long lines wait for others: a write costs a system call.
	batchEvery = 50 * time.Millisecond
	// levelWithin is how far into a line its level stands at the latest.
	levelWithin = 96
)

// Writer is an io.Writer for whole lines. Run must be called. The zero value
// drops every line.
type Writer struct {
	// Out gets the lines.
	Out io.Writer
	// PerSecond is the budget of lines below a warning; warnings are only left
	// out while the reader does not keep up.
	PerSecond int
	// Now returns the present time.
	Now func() time.Time

	mu      sync.Mutex
	pending []byte
	second  int64
	spent   int
	left    uint64
	ready   chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, PerSecond: DefaultPerSecond, Now: time.Now, ready: make(chan struct{}, 1)}
}

// Write takes a line in. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allows(line) || len(w.pending)+len(line) > mostBytes {
		w.left++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// allows spends the budget. The caller holds mu.
func (w *Writer) allows(line []byte) bool {
	if w.Now == nil {
		return false
	}
	head := line[:min(len(line), levelWithin)]
	if !bytes.Contains(head, []byte(`"level":"info"`)) && !bytes.Contains(head, []byte(`"level":"debug"`)) {
		return true
	}
	if s := w.Now().Unix(); s != w.second {
		w.second, w.spent = s, 0
	}
	w.spent++
	return w.spent <= w.PerSecond
}

// Run writes until ctx ends, then what still waits.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.ready:
			timer := time.NewTimer(batchEvery)
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

func (w *Writer) flush() {
	w.mu.Lock()
	batch, left := w.pending, w.left
	w.pending, w.left = nil, 0
	w.mu.Unlock()
	if left > 0 {
		batch = fmt.Appendf(batch, `{"time":%q,"level":"warn","lines":%d,"message":"log lines were left out"}`+"\n", w.Now().UTC().Format(time.RFC3339Nano), left)
	}
	if len(batch) > 0 {
		_, _ = w.Out.Write(batch) // nobody reads what cannot be written
	}
}
