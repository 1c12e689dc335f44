package lines

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

func write(t *testing.T, w *Writer, line string) {
	t.Helper()
	if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
		t.Fatalf("got %d %v, want %d and no error", n, err, len(line))
	}
}

// Under a flood the budget holds, warnings stay, and what is left out is counted.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	now := time.Unix(1000, 0)
	w.Now = func() time.Time { return now }
	w.PerSecond = 10
	for range 100 {
		write(t, w, info)
	}
	write(t, w, warn)
	now = now.Add(time.Second)
	write(t, w, info)
	w.flush()
	text := out.String()
	if got := strings.Count(text, `"level":"info"`); got != 11 {
		t.Errorf("lines: got %d, want 11", got)
	}
	if !strings.Contains(text, warn) {
		t.Error("the warning: got none, want it")
	}
	if want := `"lines":90`; !strings.Contains(text, want) {
		t.Errorf("got %s, want %s", text, want)
	}
}

// stalled blocks its writer until it is released.
type stalled struct {
	release chan struct{}
	once    sync.Once
	reached chan struct{}
}

func (s *stalled) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.reached) })
	<-s.release
	return len(p), nil
}

// A reader that stalls costs lines, not time.
func TestStalledReader(t *testing.T) {
	out := &stalled{release: make(chan struct{}), reached: make(chan struct{})}
	w := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.Run(ctx) })
	write(t, w, warn)
	<-out.reached
	long := fmt.Sprintf(`{"level":"warn","message":"%s"}`+"\n", strings.Repeat("z", 1000))
	for range 3 * mostBytes / len(long) {
		write(t, w, long)
	}
	w.mu.Lock()
	waiting, left := len(w.pending), w.left
	w.mu.Unlock()
	if waiting > mostBytes || left == 0 {
		t.Errorf("got %d bytes waiting and %d lines left out, want at most %d and some", waiting, left, mostBytes)
	}
	close(out.release)
	cancel()
	group.Wait()
}

func TestZeroValue(t *testing.T) {
	write(t, &Writer{}, info)
}
