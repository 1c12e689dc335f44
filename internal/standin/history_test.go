package standin

import (
	"slices"
	"testing"
	"time"
)

// TestHistoryFindsViolations checks that both guarantees of the history are checked.
func TestHistoryFindsViolations(t *testing.T) {
	const lease, longLease = 3000, 6000
	tests := []struct {
		name string
		// script starts run 1 of the task at the runner x, and what else happens.
		script func(now *time.Time, x, y *TaskRunner)
		want   []string
	}{
		{"one run", func(*time.Time, *TaskRunner, *TaskRunner) {}, nil},
		{"a run beside another one", func(now *time.Time, _, y *TaskRunner) {
			y.Start(*now, "t", 2, lease, TaskSucceeds)
		}, []string{"Jan  1 00:00:00.000: run 2 of t started at y while run 1 was in progress at x"}},
		{"a run after the acknowledged success of another one", func(now *time.Time, x, y *TaskRunner) {
			endRun(now, x)
			x.List(*now, 1)
			y.Start(*now, "t", 2, lease, TaskSucceeds)
		}, []string{"Jan  1 00:00:00.200: run 2 of t started at y after the success of a run was acknowledged"}},
		{"a run after a success that is acknowledged later", func(now *time.Time, x, y *TaskRunner) {
			endRun(now, x)
			y.Start(*now, "t", 2, lease, TaskSucceeds)
			x.List(*now, 1)
		}, []string{"Jan  1 00:00:00.200: run 2 of t started at y after the success of run 1 at x, which was acknowledged later"}},
		{"a run after a success whose lease has expired before the acknowledgement", func(now *time.Time, x, y *TaskRunner) {
			endRun(now, x)
			*now = now.Add(lease * time.Millisecond)
			x.EndDueRuns(*now)
			y.Start(*now, "t", 2, longLease, TaskSucceeds)
			x.List(*now, 1)
		}, nil},
		{"a run after a success that was never acknowledged", func(now *time.Time, x, y *TaskRunner) {
			endRun(now, x)
			x.Restart(*now)
			y.Start(*now, "t", 2, lease, TaskSucceeds)
			x.List(*now, 1)
		}, nil},
		{"a run after a run that was stopped", func(now *time.Time, x, y *TaskRunner) {
			x.Stop(*now, "t", 1)
			y.Start(*now, "t", 2, lease, TaskSucceeds)
			x.List(*now, 1)
		}, nil},
		{"a run beside one that a restart ended", func(now *time.Time, x, y *TaskRunner) {
			x.Restart(*now)
			y.Start(*now, "t", 2, lease, TaskSucceeds)
		}, nil},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var h History
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			x := &TaskRunner{Name: "x", TaskDuration: 100 * time.Millisecond, History: &h}
			y := &TaskRunner{Name: "y", TaskDuration: 100 * time.Millisecond, History: &h}
			for _, r := range []*TaskRunner{x, y} {
				r.Restart(now)
				r.Admit(now, 1, lease)
			}
			x.Start(now, "t", 1, lease, TaskSucceeds)
			c.script(&now, x, y)
			if got := h.Violations(); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// endRun lets the run at a runner succeed.
func endRun(now *time.Time, r *TaskRunner) {
	*now = now.Add(200 * time.Millisecond)
	r.EndDueRuns(*now)
}
