package worker_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

var epoch = time.Unix(1_000_000, 0)

// fakeWorker runs every task whose start request reaches it, including those
// whose reply was lost.
type fakeWorker struct {
	total   worker.Resources
	tasks   map[string]worker.Resources
	delayed map[string]delayedStart
}

type delayedStart struct {
	size    worker.Resources
	arrives time.Time
}

func (w *fakeWorker) advance(now time.Time) {
	for k, d := range w.delayed {
		if !d.arrives.After(now) {
			w.tasks[k] = d.size
			delete(w.delayed, k)
		}
	}
}

func (w *fakeWorker) list() []worker.Grant {
	var out []worker.Grant
	for k, s := range w.tasks {
		out = append(out, worker.NewGrant(k, s))
	}
	return out
}

func (w *fakeWorker) sum() worker.Resources {
	var out worker.Resources
	for _, s := range w.tasks {
		out = out.Plus(s)
	}
	return out
}

// TestLedgerNeverOverfillsWorker interleaves task lists, delayed start requests,
// lost replies and ends of tasks at random. The running tasks must never exceed
// the worker's capacity.
func TestLedgerNeverOverfillsWorker(t *testing.T) {
	sizes := rapid.Custom(func(t *rapid.T) worker.Resources {
		return worker.Resources{
			MilliCPU:     rapid.Int64Range(0, 9000).Draw(t, "milli-cpu"),
			MemoryMB:     rapid.Int64Range(0, 9000).Draw(t, "memory-mb"),
			Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		w := &fakeWorker{
			total:   worker.Resources{MilliCPU: 16000, MemoryMB: 16000, Accelerators: 2},
			tasks:   make(map[string]worker.Resources),
			delayed: make(map[string]delayedStart),
		}
		now := epoch
		ledger := new(worker.Ledger)
		listing, requestedAt := w.list(), now
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"ask":     func(*rapid.T) { listing, requestedAt = w.list(), now },
			"rebuild": func(*rapid.T) { ledger.Rebuild(w.total, listing, requestedAt) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				w.advance(now)
			},
			"start": func(t *rapid.T) {
				n++
				key, size := fmt.Sprint(n), sizes.Draw(t, "size")
				if ledger.Admit(now, key, size) != nil {
					return
				}
				if rapid.Bool().Draw(t, "reply-lost") {
					late := time.Duration(rapid.Int64Range(0, int64(worker.MaxStartDelay)).Draw(t, "late"))
					w.delayed[key] = delayedStart{size: size, arrives: now.Add(late)}
					return
				}
				w.tasks[key] = size
				ledger.Confirm(now, key)
			},
			"end": func(*rapid.T) {
				for k := range w.tasks {
					delete(w.tasks, k)
					return
				}
			},
			"": func(t *rapid.T) {
				if got := w.sum(); !got.Fits(w.total) {
					t.Fatalf("got %+v running, want at most %+v", got, w.total)
				}
			},
		})
	})
}

func TestLedgerKeepsUnlistedStartUntilRefuted(t *testing.T) {
	size := worker.Resources{MilliCPU: 1000}
	cases := []struct {
		name           string
		confirm        bool
		requestedAfter time.Duration
		want           bool
	}{
		{"list requested before the admission", true, -time.Second, true},
		{"list requested after the confirmation", true, time.Second, false},
		{"unconfirmed and may still arrive", false, worker.MaxStartDelay, true},
		{"unconfirmed and too late to arrive", false, worker.MaxStartDelay + 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l worker.Ledger
			l.Rebuild(size, nil, epoch)
			if err := l.Admit(epoch, "a", size); err != nil {
				t.Fatal(err)
			}
			if c.confirm {
				l.Confirm(epoch, "a")
			}
			l.Rebuild(size, nil, epoch.Add(c.requestedAfter))
			if got := l.HasGrant("a"); got != c.want {
				t.Errorf("got grant %v, want %v", got, c.want)
			}
		})
	}
}

func TestLedgerWithWrongListing(t *testing.T) {
	total := worker.Resources{MilliCPU: 1000, MemoryMB: 1000}
	huge := worker.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64}
	cases := []struct {
		name   string
		grants []worker.Grant
	}{
		{"sum overflows", []worker.Grant{worker.NewGrant("a", huge), worker.NewGrant("b", huge)}},
		{"negative size and a grant of the whole worker", []worker.Grant{worker.NewGrant("a", worker.Resources{MilliCPU: -5000}), worker.NewGrant("b", total)}},
		{"same task twice", []worker.Grant{worker.NewGrant("a", worker.Resources{}), worker.NewGrant("a", total)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l worker.Ledger
			l.Rebuild(total, c.grants, epoch)
			if got, want := l.Admit(epoch, "new", worker.Resources{MilliCPU: 1}), worker.ErrNoRoom; !errors.Is(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestLedgerWaitsForStartsOfPreviousAgent(t *testing.T) {
	var l worker.Ledger
	l.RequireListingSince(epoch.Add(time.Second))
	l.Rebuild(worker.Resources{MilliCPU: 1}, nil, epoch)
	if got, want := l.Admit(epoch.Add(time.Second), "a", worker.Resources{}), worker.ErrNotReady; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	l.Rebuild(worker.Resources{MilliCPU: 1}, nil, epoch.Add(time.Second))
	if got := l.Ready(); !got {
		t.Errorf("got ready %v, want true", got)
	}
}

func TestLedgerAdmitsNothingBeforeRebuild(t *testing.T) {
	var l worker.Ledger
	if got, want := l.Admit(epoch, "a", worker.Resources{}), worker.ErrNotReady; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	l.Rebuild(worker.Resources{MilliCPU: 1}, nil, epoch)
	if got, want := l.Admit(epoch, "a", worker.Resources{MilliCPU: -1}), worker.ErrBadSize; !errors.Is(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestLedgerFreesTaskListedWithoutResources(t *testing.T) {
	var l worker.Ledger
	l.Rebuild(cpu(1000), nil, epoch)
	if err := l.Admit(epoch, "short", cpu(1000)); err != nil {
		t.Fatal(err)
	}
	l.Rebuild(cpu(1000), []worker.Grant{worker.NewGrant("short", worker.Resources{})}, epoch)
	if got, want := l.Free(), cpu(1000); got != want {
		t.Errorf("got %+v free, want %+v", got, want)
	}
}
