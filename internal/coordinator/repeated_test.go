package coordinator

import (
	"context"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// The answer to a repeated append must not renew the leadership lease beyond the time of the first attempt: a later
// term may have begun in between.
func TestRepeatedAppendRenewsFromFirstAttempt(t *testing.T) {
	records := []store.Record{workflow.CancellationRecord("x")}
	for _, tc := range []struct {
		name    string
		records []store.Record
		// carriedOut is set if the store has carried out the first attempt, superseded if a later term
		// begins after it.
		carriedOut, superseded bool
		stored                 bool
		// fromRepeat is set if the lease counts from the repetition.
		fromRepeat bool
	}{
		{"carried out, and a later term has begun since", records, true, true, true, false},
		{"carried out", records, true, false, true, false},
		{"not carried out", records, false, false, true, false},
		{"not carried out, and a later term has begun since", records, false, true, false, false},
		{"an empty append", nil, true, false, true, true},
		{"an empty append, and a later term has begun since", nil, true, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &standin.Store{}
			c, current := newDispatcher(t, s)
			mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Term: ownTerm})
			var repeated time.Time // when the repetition is about to be sent
			attempts, send := 0, c.store.Append
			c.store.Append = func(ctx context.Context, a store.AppendRequest) (uint64, error) {
				attempts++
				if attempts > 1 {
					return send(ctx, a)
				}
				if tc.carriedOut {
					mustAppend(t, s, a)
				}
				if tc.superseded {
					mustAppend(t, s, store.AppendRequest{Topic: store.TopicProgress, Term: laterTerm})
				}
				repeated = clock.Steady()
				return 0, store.ErrOutcomeUnknown
			}
			if got := c.appendProgress(context.Background(), current, tc.records, true); got != tc.stored {
				t.Errorf("stored: got %v, want %v", got, tc.stored)
			}
			if got := !current.leaderLease.LastRenewal().Before(repeated); got != tc.fromRepeat {
				t.Errorf("the lease counts from the repetition: got %v, want %v", got, tc.fromRepeat)
			}
		})
	}
}
