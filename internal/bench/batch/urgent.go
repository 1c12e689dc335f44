package batch

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Sizes and times of the simulation of urgent work.
const (
	urgentWorkers      = 40
	urgentSeeds        = 200
	urgentTickInterval = 10 * time.Millisecond
	// appendDelay is the time from an append until every entry has read the record.
	appendDelay = 100 * time.Millisecond
	// urgentTimeout is how long after the submission a simulation is given up.
	urgentTimeout = 30 * time.Second
	// urgentTarget is the longest acceptable time until urgent work starts.
	urgentTarget = 4900 * time.Millisecond
)

// UrgentStart is the longest time from the submission of an urgent job to its start, if
// the entry that ranks first for the job dies at the moment of submission.
type UrgentStart struct {
	// MaxWithRoom is for workers with free resources.
	MaxWithRoom time.Duration
	// MaxWithFullWorkers is for workers that are all full of other work.
	MaxWithFullWorkers time.Duration
}

// MeasureUrgent simulates the start of urgent work with many seeds.
func MeasureUrgent() (UrgentStart, error) {
	var out UrgentStart
	for seed := range uint64(urgentSeeds) {
		withRoom, err := measureUrgentStart(seed, false)
		if err != nil {
			return out, err
		}
		withFullWorkers, err := measureUrgentStart(seed, true)
		if err != nil {
			return out, err
		}
		out.MaxWithRoom = max(out.MaxWithRoom, withRoom)
		out.MaxWithFullWorkers = max(out.MaxWithFullWorkers, withFullWorkers)
	}
	return out, nil
}

// delayedRecord is an appended record that the log's readers get at readAt.
type delayedRecord struct {
	message record.Message
	readAt  time.Time
}

// urgentRun simulates the surviving entry and the agents of its data centre.
type urgentRun struct {
	scheduler    queue.Scheduler
	stateMachine job.StateMachine
	random       *rand.Rand
	now          time.Time
	offset       uint64
	log          []delayedRecord
	// nextHeartbeats is when each agent's next heartbeat is due.
	nextHeartbeats []time.Time
	// running holds the tasks that agents run, stopped the tasks that they have stopped.
	running, stopped map[record.AssignmentID]bool
}

// measureUrgentStart returns the time from the submission of an urgent job to its start.
// If fullWorkers is set, other work fills all workers before.
func measureUrgentStart(seed uint64, fullWorkers bool) (time.Duration, error) {
	s := &urgentRun{
		now: startTime, random: rand.New(rand.NewPCG(seed, 11)), //nolint:gosec // fixed seed
		nextHeartbeats: make([]time.Time, urgentWorkers), running: make(map[record.AssignmentID]bool), stopped: make(map[record.AssignmentID]bool),
	}
	s.stateMachine.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(s.now, id, j, t) }
	d := newDocument(urgentWorkers)
	d.Teams = []bundle.Team{{Name: "shaping", Quota: workerSize.Times(urgentWorkers)}, {Name: "urgent", Quota: workerSize}}
	s.scheduler.Configure(s.now, d, &s.stateMachine)
	for i := range s.nextHeartbeats {
		s.nextHeartbeats[i] = s.now.Add(time.Duration(s.random.Int64N(int64(heartbeatInterval))))
		s.heartbeat(i)
	}
	if fullWorkers {
		s.submit("old", "shaping", urgentWorkers, workerSize)
	}
	s.run(5*time.Second, 0)
	s.submit("quick", "urgent", 1, worker.Resources{MilliCPU: 2000, MemoryMB: 1000})
	submitted := s.now
	// The entry that ranks first is dead, so this one acts after its backup delay.
	s.run(urgentTimeout, queue.BackupDelay)
	if !s.started("quick") {
		return 0, errors.Newf("urgent work did not start within %v, seed %d", urgentTimeout, seed)
	}
	return s.now.Sub(submitted), nil
}

// submit appends the submission of a job of a class, whose team has the class's name.
func (s *urgentRun) submit(id, class string, tasks uint32, size worker.Resources) {
	s.append(&record.Submit{Spec: record.Spec{
		ID: id, Team: class, Class: class, Tasks: tasks, Size: size, MaxFailures: 3, SubmittedAtMS: s.now.UnixMilli(), TakeoverMS: 10000,
	}})
}

// append appends a record to the log, which is readable after appendDelay.
func (s *urgentRun) append(m record.Message) {
	s.log = append(s.log, delayedRecord{message: m, readAt: s.now.Add(appendDelay)})
}

// started reports whether an agent runs a task of a job.
func (s *urgentRun) started(id string) bool {
	for a := range s.running {
		if a.Task.Job == id {
			return true
		}
	}
	return false
}

// run simulates a duration, or until the urgent job has started. backupDelay is how long
// the surviving entry leaves the scheduling of a job to entries that rank before it.
func (s *urgentRun) run(duration, backupDelay time.Duration) {
	end := s.now.Add(duration)
	nextPass := s.now.Add(time.Duration(s.random.Int64N(int64(tickInterval))))
	for s.now.Before(end) && !s.started("quick") {
		s.now = s.now.Add(urgentTickInterval)
		s.readLog()
		for i := range s.nextHeartbeats {
			if !s.now.Before(s.nextHeartbeats[i]) {
				s.nextHeartbeats[i] = s.nextHeartbeats[i].Add(heartbeatInterval)
				s.heartbeat(i)
			}
		}
		if s.now.Before(nextPass) {
			continue
		}
		nextPass = nextPass.Add(tickInterval)
		for _, d := range s.scheduler.Decide(s.now, &s.stateMachine, func(string) time.Duration { return backupDelay }, s.random) {
			if m := d.Message(); m != nil {
				s.append(m)
			}
		}
	}
}

// readLog applies the records that have become readable.
func (s *urgentRun) readLog() {
	for len(s.log) > 0 && !s.log[0].readAt.After(s.now) {
		s.offset++
		_ = s.stateMachine.Apply(record.New(record.NewPosition(s.offset, 0), "entry", s.offset, s.log[0].message))
		s.log = s.log[1:]
	}
}

// heartbeat simulates one heartbeat of worker i: the agent reports the tasks that
// it has stopped, and starts and stops tasks as the reply says.
func (s *urgentRun) heartbeat(i int) {
	r := worker.Report{Name: workerName(i), Total: workerSize, Free: workerSize, Ready: true}
	s.stateMachine.EachActive(r.Name, func(a record.AssignmentID, j *job.Job, t *job.Task) {
		r.Free = r.Free.Minus(j.Spec().Size)
		switch {
		case s.stopped[a]:
			s.append(&record.Released{Assignment: a, Ref: "saved"})
		case t.Phase() == job.Revoked:
			s.stopped[a] = true
			delete(s.running, a)
		default:
			s.running[a] = true
		}
	})
	s.scheduler.ApplyReport(s.now, &r, nil)
}
