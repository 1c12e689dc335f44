package coordinator

import (
	"encoding/json"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// queueConfig is a version of the configuration in testdata/dropped_queues.json; the queue plans runs on Service, and is not
// named if that is empty.
type queueConfig struct {
	Version uint64 `json:"version"`
	Service string `json:"service"`
}

// decodeQueueConfig decodes a queueConfig.
func decodeQueueConfig(data []byte) (*Config, error) {
	var q queueConfig
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, err
	}
	c := &Config{Version: q.Version, Routes: []Route{{Name: "other", Queue: dispatch.Queue{Service: "other"}}}}
	if q.Service != "" {
		c.Routes = append(c.Routes, Route{Name: "plans", Queue: dispatch.Queue{Service: q.Service, FailedRunLimit: 2, Stretch: 2, TargetLatency: time.Second}})
	}
	return c, nil
}

// applyQueueConfig puts versions of the configuration in force at an entry.
func applyQueueConfig(t *testing.T, c *Coordinator, versions []queueConfig) {
	t.Helper()
	for _, v := range versions {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		c.applyConfig(data, "test")
	}
}

// Accepted jobs stood still once a version of the configuration did not name their queue any more, under later dispatchers, too.
func TestJobsOfADroppedQueueGoOn(t *testing.T) {
	var cases []struct {
		Name string `json:"name"`
		// Accepting holds the versions at the entry when it accepts the job, Before and After those that follow before and
		// after another entry has become the dispatcher.
		Accepting []queueConfig `json:"accepting"`
		Before    []queueConfig `json:"before"`
		After     []queueConfig `json:"after"`
		// OldSubmission is set if an earlier version of the program has stored the job.
		OldSubmission bool `json:"old-submission"`
		// Service is the service on which the job's task starts; empty if it does not start.
		Service string `json:"service"`
	}
	readCases(t, "testdata/dropped_queues.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Store{}
			accepting, c := newTestEntry(t, "entry-a", s), newTestEntry(t, "entry-b", s)
			accepting.settings.DecodeConfig, c.settings.DecodeConfig = decodeQueueConfig, decodeQueueConfig
			applyQueueConfig(t, accepting, tc.Accepting)
			sub := submission("a")
			accepting.addQueueTerms(sub)
			if tc.OldSubmission {
				sub.QueueTerms = nil
			}
			mustAppend(t, s, store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{mustSubmissionRecord(t, sub)}})
			if err := c.catchUp(t.Context()); err != nil {
				t.Fatal(err)
			}
			applyQueueConfig(t, c, tc.Before)
			becomeDispatcher(t.Context(), t, c)
			applyQueueConfig(t, c, tc.After)
			c.mu.Lock()
			defer c.mu.Unlock()
			now := clock.Steady()
			for _, service := range []string{"bench", "moved", "other"} {
				w := reportOf("at-" + service)
				w.Worker.Service = service
				c.term.applyReport(now, c, w)
			}
			got := ""
			for _, start := range c.term.scheduler.Decide(now, clock.WallMS()).Starts() {
				got += start.Worker
			}
			want := ""
			if tc.Service != "" {
				want = "at-" + tc.Service
			}
			if got != want {
				t.Errorf("started at: got %q, want %q", got, want)
			}
		})
	}
}

// Dropped queues must not pile up, nor outlive the version that names them again.
func TestDroppedQueuesAreForgotten(t *testing.T) {
	c := newTestEntry(t, "entry-a", &standin.Store{})
	c.settings.DecodeConfig = decodeQueueConfig
	applyQueueConfig(t, c, []queueConfig{{1, "bench"}})
	c.applyRecords([]store.StoredRecord{{Record: mustSubmissionRecord(t, submission("a"))}})
	applyQueueConfig(t, c, []queueConfig{{2, ""}})
	if got, want := len(c.droppedQueues), 1; got != want {
		t.Fatalf("dropped queues with an open job: got %d, want %d", got, want)
	}
	applyQueueConfig(t, c, []queueConfig{{3, "bench"}})
	if got := len(c.droppedQueues); got != 0 {
		t.Errorf("dropped queues once the queue is back: got %d, want 0", got)
	}
	c.applyRecords([]store.StoredRecord{{Record: workflow.CancellationRecord("a"), Offset: 1}})
	applyQueueConfig(t, c, []queueConfig{{4, ""}})
	if got := len(c.droppedQueues); got != 0 {
		t.Errorf("dropped queues without an open job: got %d, want 0", got)
	}
}
