package logline

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	info = `{"time":"2026-01-01T00:00:00Z","level":"info","message":"x"}` + "\n"
	warn = `{"time":"2026-01-01T00:00:00Z","level":"warn","message":"y"}` + "\n"
)

func mustWrite(t *testing.T, w *Writer, line string) {
	t.Helper()
	if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
		t.Fatalf("got %d %v, want %d and no error", n, err, len(line))
	}
}

// When more lines arrive than the limit allows, info lines beyond it are dropped and
// counted, and warnings are still written.
func TestFloodStaysWithinBudget(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	now := time.Unix(1000, 0)
	w.Now = func() time.Time { return now }
	w.MaxInfoLinesPerSecond = 10
	for range 100 {
		mustWrite(t, w, info)
	}
	mustWrite(t, w, warn)
	now = now.Add(time.Second)
	mustWrite(t, w, info)
	w.flush()
	text := out.String()
	if got := strings.Count(text, `"level":"info"`); got != 11 {
		t.Errorf("lines: got %d, want 11", got)
	}
	if !strings.Contains(text, warn) {
		t.Error("the warning is missing from the output")
	}
	if want := `"lines":90`; !strings.Contains(text, want) {
		t.Errorf("got %s, want %s", text, want)
	}
}

// stalledOutput blocks writes until release is closed. At the first write it closes reached.
type stalledOutput struct {
	release chan struct{}
	once    sync.Once
	reached chan struct{}
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.reached) })
	<-s.release
	return len(p), nil
}

// Output that blocks must not block Writer.Write: the buffer fills up to its limit, and further
// lines are dropped.
func TestStalledOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{}), reached: make(chan struct{})}
	w := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.Run(ctx) })
	mustWrite(t, w, warn)
	<-out.reached
	long := fmt.Sprintf(`{"level":"warn","message":"%s"}`+"\n", strings.Repeat("z", 1000))
	for range 3 * maxPendingBytes / len(long) {
		mustWrite(t, w, long)
	}
	w.mu.Lock()
	waiting, dropped := len(w.pending), w.dropped
	w.mu.Unlock()
	if waiting > maxPendingBytes || dropped == 0 {
		t.Errorf("got %d bytes buffered and %d lines dropped, want at most %d and more than 0", waiting, dropped, maxPendingBytes)
	}
	close(out.release)
	cancel()
	group.Wait()
}

func TestZeroValueDropsLines(t *testing.T) {
	mustWrite(t, &Writer{}, info)
}
