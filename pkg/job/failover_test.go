package job

import (
	"fmt"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// streams are the folds of a lost data centre and of its heir.
type streams struct {
	lost, own Fold
	offsets   [2]uint64
	// releasedAfter is the time from each revocation to its release.
	revokedAt     time.Time
	releasedAfter time.Duration
}

func (s *streams) apply(now time.Time, there []record.Message, here []*record.Submit) {
	for _, m := range there {
		switch m.(type) {
		case *record.Revoke:
			s.revokedAt = now
		case *record.Released:
			s.releasedAfter = now.Sub(s.revokedAt)
		}
		_ = s.lost.Apply(record.New(record.At(s.offsets[0], 0), "heir", s.offsets[0]+1, m))
		s.offsets[0]++
	}
	for _, m := range here {
		_ = s.own.Apply(record.New(record.At(s.offsets[1], 0), "heir", s.offsets[1]+1, m))
		s.offsets[1]++
	}
}

const failoverTakeover = 5 * time.Second

// lostStreams returns a lost stream with open jobs, the first two tasks of
// which run on a worker; the second job's first task has succeeded.
func lostStreams(jobs int) *streams {
	s := new(streams)
	var there []record.Message
	for i := range jobs {
		there = append(there, &record.Submit{Spec: record.Spec{
			ID: fmt.Sprintf("job-%d", i), Team: "clinics", Tasks: 2, MaxFailures: 3, TakeoverMS: failoverTakeover.Milliseconds(),
		}})
	}
	for i := range 2 {
		task := record.TaskID{Job: fmt.Sprintf("job-%d", i)}
		there = append(there, &record.Assign{Placements: []record.Placement{{Task: task, Worker: "worker-9"}}})
	}
	s.apply(time.Time{}, there, nil)
	j, _ := s.lost.Job("job-1")
	hold := record.Hold{Task: record.TaskID{Job: "job-1"}, Epoch: j.Task(0).Epoch()}
	s.apply(time.Time{}, []record.Message{&record.Finished{Hold: hold, Outcome: record.OutcomeSucceeded}}, nil)
	return s
}

func drive(s *streams, o *Failover, start time.Time, span time.Duration, heir func(string) string) {
	for now := start; now.Sub(start) < span; now = now.Add(500 * time.Millisecond) {
		there, here := o.Decide(now, &s.lost, &s.own, "dc-1", heir)
		s.apply(now, there, here)
	}
}

func toOne(string) string { return "dc-1" }

func TestFailoverMovesOpenJobs(t *testing.T) {
	s := lostStreams(4)
	start := time.UnixMilli(1_000_000)
	drive(s, new(Failover), start, 30*time.Second, toOne)
	if got, want := s.own.Len(), 4; got != want {
		t.Errorf("jobs moved: got %d, want %d", got, want)
	}
	if s.releasedAfter <= failoverTakeover {
		t.Errorf("release after the revocation: got %s, want more than %s", s.releasedAfter, failoverTakeover)
	}
	j, _ := s.own.Job("job-1")
	if got, want := j.Task(0).Phase(), Succeeded; got != want {
		t.Errorf("task that had succeeded: got %s, want %s", got, want)
	}
	if got, want := j.Task(1).Phase(), Pending; got != want {
		t.Errorf("task that was open: got %s, want %s", got, want)
	}
}

func TestFailoverWithoutWaitIsFound(t *testing.T) {
	s := lostStreams(2)
	o := new(Failover)
	o.SetFaults(FailoverFaults{NoWait: true})
	drive(s, o, time.UnixMilli(1_000_000), 30*time.Second, toOne)
	if s.releasedAfter > failoverTakeover {
		t.Errorf("release of a failover that does not wait: got %s, want at most %s", s.releasedAfter, failoverTakeover)
	}
}

func TestFailoverLeavesOthersJobs(t *testing.T) {
	s := lostStreams(4)
	drive(s, new(Failover), time.UnixMilli(1_000_000), 30*time.Second, func(id string) string {
		if id == "job-2" {
			return "dc-1"
		}
		return "dc-3"
	})
	if got, want := s.own.Len(), 1; got != want {
		t.Errorf("jobs moved: got %d, want %d", got, want)
	}
}

// TestFailoverFinishesMoves covers an heir that dies between a move and its
// submission, and a move so old that the job may have been forgotten since.
func TestFailoverFinishesMoves(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"soon", time.Minute, 1},
		{"late", finishMoveWithin + time.Minute, 0},
	} {
		s := lostStreams(3)
		start := time.UnixMilli(1_000_000)
		move := &record.Move{Job: "job-2", To: "dc-1", AtMS: start.UnixMilli()}
		s.apply(start, []record.Message{move}, nil)
		drive(s, new(Failover), start.Add(test.after), 10*time.Second, func(string) string { return "dc-3" })
		if got := s.own.Len(); got != test.want {
			t.Errorf("%s: jobs submitted: got %d, want %d", test.name, got, test.want)
		}
	}
}

func TestMovedJobCanReturn(t *testing.T) {
	s := lostStreams(3)
	move := &record.Move{Job: "job-2", To: "dc-1"}
	s.apply(time.Time{}, []record.Message{move}, nil)
	j, _ := s.lost.Job("job-2")
	back := Resubmission(j)
	s.apply(time.Time{}, []record.Message{&record.Submit{Spec: *j.Spec()}}, nil)
	if got, want := s.lostPhase("job-2"), Moved; got != want {
		t.Errorf("after a repeated first submission: got %s, want %s", got, want)
	}
	back.Hops++
	s.apply(time.Time{}, []record.Message{back}, nil)
	if got, want := s.lostPhase("job-2"), Pending; got != want {
		t.Errorf("after the move back: got %s, want %s", got, want)
	}
}

func (s *streams) lostPhase(id string) Phase {
	j, _ := s.lost.Job(id)
	return j.Phase()
}
