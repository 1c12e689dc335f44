package record

import (
	"testing"
	"time"
)

// TestCarryForwardBeforeRetentionEnds simulates a day of streams with retention by
// age or by number of batches. It checks that the stream always keeps a copy and
// that not too many copies are written.
func TestCarryForwardBeforeRetentionEnds(t *testing.T) {
	cases := []struct {
		name string
		// batchInterval is the time between two batches of other writers. maxAge and
		// maxBatches are the stream's retention by age and by number of batches; 0
		// for none.
		batchInterval, maxAge time.Duration
		maxBatches            uint64
		maxCopies             int
	}{
		{"one hour, a batch a second", time.Second, time.Hour, 0, 200},
		{"two minutes, a batch a second", time.Second, 2 * time.Minute, 0, 2200},
		{"one hour, quiet", 40 * time.Minute, time.Hour, 0, 200},
		{"a thousand batches", time.Second, 0, 1000, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var carry CarryForwardSchedule
			now := time.Unix(1000, 0)
			appended := []time.Time{now}
			first := uint64(0)
			carry.NoteCopy(now, now, 0)
			copies := 0
			last := now
			for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(time.Second) {
				if now.Sub(last) >= c.batchInterval {
					appended, last = append(appended, now), now
				}
				next := uint64(len(appended))
				for c.maxAge > 0 && first < next && now.Sub(appended[first]) > c.maxAge {
					first++
				}
				if c.maxBatches > 0 && next > c.maxBatches {
					first = next - c.maxBatches
				}
				carry.Observe(now, first, next)
				if carry.CopyOffset() < first {
					t.Fatalf("after %s: copy at %d, first kept %d", now.Sub(time.Unix(1000, 0)), carry.CopyOffset(), first)
				}
				if _, due := carry.Due(now); due {
					appended = append(appended, now)
					carry.NoteCopy(now, now, next)
					copies++
				}
			}
			if copies > c.maxCopies {
				t.Errorf("copies in a day: got %d, want at most %d", copies, c.maxCopies)
			}
		})
	}
}

// TestCarryForwardAfterRestart checks that the age of a copy counts from when it was
// written, not from when a restarted process read it.
func TestCarryForwardAfterRestart(t *testing.T) {
	var carry CarryForwardSchedule
	now := time.Unix(100000, 0)
	carry.Observe(now, 0, 10)
	if _, due := carry.Due(now); !due {
		t.Error("no copy known: got not due, want due")
	}
	carry.NoteCopy(now, now.Add(-2*minCopyAge), 4)
	if _, due := carry.Due(now); !due {
		t.Error("old copy: got not due, want due")
	}
	carry.NoteCopy(now, now.Add(time.Hour), 5)
	if reason, due := carry.Due(now); due {
		t.Errorf("copy from a clock ahead: got due (%s), want not due", reason)
	}
}
