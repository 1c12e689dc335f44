package job

import (
	"fmt"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// streams holds the states of the streams of a lost data centre and of its
// failover target, dc-1.
type streams struct {
	lost, own StateMachine
	offsets   [2]uint64
	// revokedAt is when the newest Revoke record was applied, and releasedAfter the
	// time from then to the newest Released record.
	revokedAt     time.Time
	releasedAfter time.Duration
}

// apply appends records to the stream of the lost data centre and submissions to the
// other stream, and applies both.
func (s *streams) apply(now time.Time, lostRecords []record.Message, submits []*record.Submit) {
	for _, m := range lostRecords {
		switch m.(type) {
		case *record.Revoke:
			s.revokedAt = now
		case *record.Released:
			s.releasedAfter = now.Sub(s.revokedAt)
		}
		_ = s.lost.Apply(record.New(record.NewPosition(s.offsets[0], 0), "heir", s.offsets[0]+1, m))
		s.offsets[0]++
	}
	for _, m := range submits {
		_ = s.own.Apply(record.New(record.NewPosition(s.offsets[1], 0), "heir", s.offsets[1]+1, m))
		s.offsets[1]++
	}
}

const failoverTakeover = 5 * time.Second

// lostStreams returns streams of which the lost one has open jobs with two tasks
// each. The first tasks of job-0 and job-1 were assigned to a worker; that of
// job-1 has succeeded.
func lostStreams(jobs int) *streams {
	s := new(streams)
	var lostRecords []record.Message
	for i := range jobs {
		lostRecords = append(lostRecords, &record.Submit{Spec: record.Spec{
			ID: fmt.Sprintf("job-%d", i), Team: "clinics", Tasks: 2, MaxFailures: 3, TakeoverMS: failoverTakeover.Milliseconds(),
		}})
	}
	for i := range 2 {
		task := record.TaskID{Job: fmt.Sprintf("job-%d", i)}
		lostRecords = append(lostRecords, &record.Assign{Placements: []record.Placement{{Task: task, Worker: "worker-9"}}})
	}
	s.apply(time.Time{}, lostRecords, nil)
	j, _ := s.lost.Job("job-1")
	assignment := record.AssignmentID{Task: record.TaskID{Job: "job-1"}, Epoch: j.Task(0).Epoch()}
	s.apply(time.Time{}, []record.Message{&record.Finished{Assignment: assignment, Outcome: record.OutcomeSucceeded}}, nil)
	return s
}

// runFailover lets a Failover of dc-1 decide every 500 ms from start on, for the given
// span, and applies the records. target returns the failover target of a job.
func runFailover(s *streams, o *Failover, start time.Time, span time.Duration, target func(string) string) {
	for now := start; now.Sub(start) < span; now = now.Add(500 * time.Millisecond) {
		lostRecords, submits := o.Decide(now, &s.lost, &s.own, "dc-1", target)
		s.apply(now, lostRecords, submits)
	}
}

func targetDC1(string) string { return "dc-1" }

func TestFailoverMovesOpenJobs(t *testing.T) {
	s := lostStreams(4)
	start := time.UnixMilli(1_000_000)
	runFailover(s, new(Failover), start, 30*time.Second, targetDC1)
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

func TestFailoverWithoutWaitIsDetected(t *testing.T) {
	s := lostStreams(2)
	o := new(Failover)
	o.SetFaults(FailoverFaults{NoWait: true})
	runFailover(s, o, time.UnixMilli(1_000_000), 30*time.Second, targetDC1)
	if s.releasedAfter > failoverTakeover {
		t.Errorf("release of a failover that does not wait: got %s, want at most %s", s.releasedAfter, failoverTakeover)
	}
}

func TestFailoverLeavesJobsOfOtherTargets(t *testing.T) {
	s := lostStreams(4)
	runFailover(s, new(Failover), time.UnixMilli(1_000_000), 30*time.Second, func(id string) string {
		if id == "job-2" {
			return "dc-1"
		}
		return "dc-3"
	})
	if got, want := s.own.Len(), 1; got != want {
		t.Errorf("jobs moved: got %d, want %d", got, want)
	}
}

// TestFailoverFinishesMoves covers an entry that dies after it has appended a Move
// record and before the Submit record: another entry must append the Submit record. A
// move older than resubmitWithin is left alone, since the failover target may have
// received the job and dropped it since.
func TestFailoverFinishesMoves(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"soon", time.Minute, 1},
		{"late", resubmitWithin + time.Minute, 0},
	} {
		s := lostStreams(3)
		start := time.UnixMilli(1_000_000)
		move := &record.Move{Job: "job-2", To: "dc-1", AtMS: start.UnixMilli()}
		s.apply(start, []record.Message{move}, nil)
		runFailover(s, new(Failover), start.Add(test.after), 10*time.Second, func(string) string { return "dc-3" })
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
	back.Moves++
	s.apply(time.Time{}, []record.Message{back}, nil)
	if got, want := s.lostPhase("job-2"), Pending; got != want {
		t.Errorf("after the move back: got %s, want %s", got, want)
	}
}

func (s *streams) lostPhase(id string) Phase {
	j, _ := s.lost.Job(id)
	return j.Phase()
}
