package queue_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// testScheduler is a scheduler, the job state that it works on, and a log that
// accepts every record.
type testScheduler struct {
	scheduler queue.Scheduler
	jobs      job.StateMachine
	now       time.Time
	logOffset uint64
	random    *rand.Rand
	total     worker.Resources
	names     []string
}

// newTestScheduler returns a scheduler with the given number of workers, each with the
// capacity total, and one team whose quota is the capacity of all of them.
func newTestScheduler(workers int, total worker.Resources) *testScheduler {
	s := &testScheduler{now: epoch, random: rand.New(rand.NewPCG(1, 2)), total: total}
	s.jobs.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(s.now, id, j, t) }
	for i := range workers {
		s.names = append(s.names, fmt.Sprintf("worker-%d", i))
	}
	s.heartbeats()
	s.scheduler.Configure(s.now, &bundle.Document{
		BatchClasses: []bundle.BatchClass{{Name: "urgent", Priority: 9, Urgent: true}, {Name: "shaping", Priority: 5}},
		Teams:        []bundle.Team{{Name: "clinics", Quota: total.Times(int64(workers))}},
	}, &s.jobs)
	return s
}

func (s *testScheduler) heartbeats() {
	for i, name := range s.names {
		free := s.total
		s.jobs.EachActive(name, func(_ record.AssignmentID, j *job.Job, _ *job.Task) { free = free.Minus(j.Spec().Size) })
		s.scheduler.ApplyReport(s.now, &worker.Report{
			Name: name, Rack: fmt.Sprint("rack-", i/3), Total: s.total, Free: free, Ready: true,
		}, nil)
	}
}

func (s *testScheduler) apply(m record.Message) {
	s.logOffset++
	_ = s.jobs.Apply(record.New(record.NewPosition(s.logOffset, 0), "test", s.logOffset, m))
}

// submit adds a job of the given batch class with tasks of the given size.
func (s *testScheduler) submit(id, class string, tasks uint32, gang bool, size worker.Resources) {
	s.apply(&record.Submit{Spec: record.Spec{
		ID: id, Team: "clinics", Class: class, Tasks: tasks, Gang: gang, Size: size, MaxFailures: 100, SubmittedAtMS: s.now.UnixMilli(),
	}})
}

// tick advances the time by 100 ms and applies the decisions of the scheduler.
func (s *testScheduler) tick() []queue.Decision {
	s.now = s.now.Add(100 * time.Millisecond)
	s.heartbeats()
	out := s.scheduler.Decide(s.now, &s.jobs, func(string) time.Duration { return 0 }, s.random)
	for i := range out {
		if m := out[i].Message(); m != nil {
			s.apply(m)
		}
	}
	return out
}

func (s *testScheduler) task(id string, index int) *job.Task {
	j, _ := s.jobs.Job(id)
	return j.Task(index)
}

// assignment returns the current assignment of a task.
func (s *testScheduler) assignment(id string, index int) record.AssignmentID {
	return record.AssignmentID{Task: record.TaskID{Job: id, Index: uint32(index)}, Epoch: s.task(id, index).Epoch()}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newTestScheduler(3, cpu(4000))
	s.submit("small", "shaping", 1, false, cpu(1000))
	s.tick()
	s.submit("gang", "shaping", 3, true, cpu(4000))
	s.tick()
	for i := range 3 {
		if got := s.task("gang", i).Phase(); got != job.Pending {
			t.Fatalf("got task %d in phase %s while the gang does not fit, want pending", i, got)
		}
	}
	s.apply(&record.Finished{Assignment: s.assignment("small", 0), Outcome: record.OutcomeSucceeded})
	decisions := s.tick()
	if len(decisions) != 1 || len(decisions[0].Placements()) != 3 {
		t.Fatalf("got %d decisions, want one with three placements", len(decisions))
	}
	for i := range 3 {
		if got := s.task("gang", i).Phase(); got != job.Assigned {
			t.Errorf("got task %d in phase %s, want assigned", i, got)
		}
	}
}

func TestGangWaitsForRevokedTasks(t *testing.T) {
	s := newTestScheduler(4, cpu(4000))
	s.submit("gang", "shaping", 2, true, cpu(4000))
	s.tick()
	s.apply(&record.Revoke{Assignments: []record.AssignmentID{s.assignment("gang", 0), s.assignment("gang", 1)}})
	s.apply(&record.Released{Assignment: s.assignment("gang", 0)})
	if got := len(s.tick()); got != 0 {
		t.Fatalf("got %d decisions while a task is revoked, want none", got)
	}
	s.apply(&record.Released{Assignment: s.assignment("gang", 1)})
	if got := s.tick(); len(got) != 1 || len(got[0].Placements()) != 2 {
		t.Fatalf("got %v, want one decision for both tasks", got)
	}
}

func TestJobThatFitsNoWorkerIsParkedWithReason(t *testing.T) {
	s := newTestScheduler(2, cpu(4000))
	s.submit("huge", "shaping", 1, false, cpu(5000))
	s.submit("small", "shaping", 1, false, cpu(1000))
	s.tick()
	if got := s.task("small", 0).Phase(); got != job.Assigned {
		t.Errorf("got the small job in phase %s behind the parked one, want assigned", got)
	}
	j, _ := s.jobs.Job("huge")
	if got, _ := s.scheduler.WaitReason(j, 0); !strings.Contains(got, "more than any known worker") {
		t.Errorf("got reason %q, want that no worker is large enough", got)
	}
	s.scheduler.ApplyReport(s.now, &worker.Report{Name: "large", Total: cpu(8000), Free: cpu(8000), Ready: true}, nil)
	s.tick()
	if got := s.task("huge", 0).Worker(); got != "large" {
		t.Errorf("got worker %q after a large worker was added, want large", got)
	}
}

func TestUrgentTaskPreemptsOnFullWorkers(t *testing.T) {
	s := newTestScheduler(2, cpu(4000))
	s.submit("old", "shaping", 1, false, cpu(4000))
	s.tick()
	s.submit("young", "shaping", 1, false, cpu(4000))
	s.tick()
	s.submit("quick", "urgent", 1, false, cpu(1000))
	decisions := s.tick()
	if len(decisions) != 1 || decisions[0].Kind() != queue.KindPreempt {
		t.Fatalf("got %v, want one preemption", decisions)
	}
	for range 3 {
		if got := s.tick(); len(got) != 0 {
			t.Fatalf("got %v while the preempted task stops, want no decision", got)
		}
	}
	victim := decisions[0].Revoked()[0]
	s.apply(&record.Released{Assignment: victim})
	for range 3 {
		s.tick()
	}
	if got, want := s.task("quick", 0).Phase(), job.Assigned; got != want {
		t.Errorf("got urgent task in phase %s, want %s", got, want)
	}
}

// TestWorkerThatFailsEverythingIsProbed lets one worker fail every task while
// there is enough work for every worker. The worker must become suspect and get
// few tasks.
func TestWorkerThatFailsEverythingIsProbed(t *testing.T) {
	s := newTestScheduler(4, cpu(16000))
	const bad = "worker-2"
	failures := 0
	for i := range 200 {
		for k := range s.names {
			s.submit(fmt.Sprint(i, "-", k), "shaping", 1, false, cpu(16000))
		}
		for _, d := range s.tick() {
			for _, p := range d.Placements() {
				outcome := record.OutcomeSucceeded
				if p.Worker == bad {
					outcome = record.OutcomeFailed
					failures++
				}
				s.apply(&record.Finished{Assignment: s.assignment(p.Task.Job, 0), Outcome: outcome})
			}
		}
	}
	if want := 8; failures > want {
		t.Errorf("got %d tasks sent to a worker that fails everything, want at most %d", failures, want)
	}
	if got := s.scheduler.Fleet().Health(bad).Suspect(); !got {
		t.Errorf("got suspect %v, want true", got)
	}
}

// TestFailingJobDoesNotMakeWorkersSuspect lets all tasks of one job fail on
// every worker. The workers must stay healthy.
func TestFailingJobDoesNotMakeWorkersSuspect(t *testing.T) {
	s := newTestScheduler(4, cpu(16000))
	s.submit("bad", "shaping", 20, false, cpu(100))
	for range 300 {
		for _, d := range s.tick() {
			for _, p := range d.Placements() {
				s.apply(&record.Finished{Assignment: s.assignment(p.Task.Job, int(p.Task.Index)), Outcome: record.OutcomeFailed})
			}
		}
		s.now = s.now.Add(time.Second)
	}
	for _, name := range s.names {
		if s.scheduler.Fleet().Health(name).Suspect() {
			t.Errorf("got worker %s suspect, want it healthy", name)
		}
	}
}

// TestReplayedRunsDoNotAffectRunTimeEstimates replays runs from the log before
// the first decision, when the true start times are not known. Later work must
// still be ordered by its declared run time.
func TestReplayedRunsDoNotAffectRunTimeEstimates(t *testing.T) {
	s := newTestScheduler(1, cpu(1000))
	for i := range 10 {
		id := fmt.Sprint("past-", i)
		s.submit(id, "shaping", 1, false, cpu(1000))
		s.apply(&record.Assign{Placements: []record.Placement{{Task: record.TaskID{Job: id}, Worker: s.names[0]}}})
		s.now = s.now.Add(time.Millisecond)
		s.apply(&record.Finished{Assignment: s.assignment(id, 0), Outcome: record.OutcomeSucceeded})
	}
	now := s.now.UnixMilli()
	add := func(id string, neededMS, expectedMS int64) {
		s.apply(&record.Submit{Spec: record.Spec{
			ID: id, Team: "clinics", Class: "shaping", Tasks: 1, Size: cpu(1000), MaxFailures: 3,
			SubmittedAtMS: now, NeededByMS: now + neededMS, ExpectedMS: expectedMS,
		}})
	}
	add("short", 60_000, 1000)
	add("long", 70_000, 50_000)
	s.tick()
	if got, want := s.task("long", 0).Phase(), job.Assigned; got != want {
		t.Errorf("got the task that must start first in phase %s, want %s", got, want)
	}
}

func TestTasksOfAJobSpreadOverRacks(t *testing.T) {
	s := newTestScheduler(9, cpu(16000))
	s.submit("job", "shaping", 3, false, cpu(1000))
	s.tick()
	racks := make(map[string]bool)
	for i := range 3 {
		racks[s.scheduler.Fleet().Rack(s.task("job", i).Worker())] = true
	}
	if got, want := len(racks), 3; got != want {
		t.Errorf("got tasks in %d racks, want %d", got, want)
	}
}

// TestLargeTaskIsEventuallyPlaced keeps every worker busy with small tasks.
// Without a reservation, a large task would never find a worker with enough
// free capacity.
func TestLargeTaskIsEventuallyPlaced(t *testing.T) {
	s := newTestScheduler(3, cpu(4000))
	var running []record.AssignmentID
	for i := range 20_000 {
		if i == 100 {
			s.submit("large", "shaping", 1, false, cpu(4000))
		}
		for s.scheduler.Queue().Len() < 10 {
			s.submit(fmt.Sprint("small", i, "-", s.logOffset), "shaping", 1, false, cpu(1000))
		}
		s.now = s.now.Add(3 * time.Second)
		for _, d := range s.tick() {
			for _, p := range d.Placements() {
				running = append(running, s.assignment(p.Task.Job, 0))
			}
		}
		if i > 100 && s.task("large", 0).Phase() == job.Assigned {
			t.Logf("placed after %v", s.now.Sub(epoch))
			return
		}
		if len(running) > 8 {
			s.apply(&record.Finished{Assignment: running[0], Outcome: record.OutcomeSucceeded})
			running = running[1:]
		}
	}
	t.Errorf("got the large task not placed in %v, want it placed", s.now.Sub(epoch))
}

// TestLostPlacementIsRepeated drops the record of a placement. The placement must
// be repeated once the time for it to appear in the log has passed.
func TestLostPlacementIsRepeated(t *testing.T) {
	s := newTestScheduler(1, cpu(1000))
	s.submit("one", "shaping", 1, false, cpu(1000))
	s.now = s.now.Add(time.Second)
	backupDelay := func(string) time.Duration { return 0 }
	if got := s.scheduler.Decide(s.now, &s.jobs, backupDelay, s.random); len(got) != 1 {
		t.Fatalf("got %d decisions, want 1", len(got))
	}
	if got := s.tick(); len(got) != 0 {
		t.Fatalf("got %d decisions while the first may still appear in the log, want 0", len(got))
	}
	s.now = s.now.Add(queue.PlacementTimeout)
	if got := s.tick(); len(got) != 1 {
		t.Errorf("got %d decisions after the first was lost, want 1", len(got))
	}
	if got := s.scheduler.Queue().Share("clinics"); got != 1 {
		t.Errorf("got share %v, want 1: the lost placement must be refunded", got)
	}
}
