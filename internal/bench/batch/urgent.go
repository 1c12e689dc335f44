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

// Sizes and times of the drive of urgent work.
const (
	urgentWorkers = 40
	urgentDrives  = 200
	urgentStep    = 10 * time.Millisecond
	// appendTime is how long a record takes until every entry has read it.
	appendTime = 100 * time.Millisecond
	// urgentLimit is when a drive is given up.
	urgentLimit = 30 * time.Second
	// urgentAim is within what urgent work should start.
	urgentAim = 4900 * time.Millisecond
)

// Urgent is how long urgent work took to start, from its submission, when the
// entry that ranks first for it died at the same moment.
type Urgent struct {
	// Longest is the worst of all drives with room on the site.
	Longest time.Duration
	// LongestFull is the worst when every worker was full of other work.
	LongestFull time.Duration
}

// MeasureUrgent drives the start of urgent work over many seeds.
func MeasureUrgent() (Urgent, error) {
	var out Urgent
	for seed := range uint64(urgentDrives) {
		roomy, err := urgentStart(seed, false)
		if err != nil {
			return out, err
		}
		full, err := urgentStart(seed, true)
		if err != nil {
			return out, err
		}
		out.Longest = max(out.Longest, roomy)
		out.LongestFull = max(out.LongestFull, full)
	}
	return out, nil
}

// late is a record on its way to the readers of the log.
type late struct {
	message record.Message
	at      time.Time
}

// urgentSite is the surviving entry with agents that answer to heartbeats.
type urgentSite struct {
	scheduler queue.Scheduler
	fold      job.StateMachine
	random    *rand.Rand
	now       time.Time
	offset    uint64
	log       []late
	// beats is when each agent's next heartbeat is due.
	beats []time.Time
	// runs are the tasks that agents run, stops those that they have stopped.
	runs, stops map[record.AssignmentID]bool
}

func urgentStart(seed uint64, full bool) (time.Duration, error) {
	s := &urgentSite{
		now: start, random: rand.New(rand.NewPCG(seed, 11)), //nolint:gosec // fixed seed
		beats: make([]time.Time, urgentWorkers), runs: make(map[record.AssignmentID]bool), stops: make(map[record.AssignmentID]bool),
	}
	s.fold.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(s.now, id, j, t) }
	d := document(urgentWorkers)
	d.Teams = []bundle.Team{{Name: "shaping", Quota: workerSize.Times(urgentWorkers)}, {Name: "urgent", Quota: workerSize}}
	s.scheduler.Configure(s.now, d, &s.fold)
	for i := range s.beats {
		s.beats[i] = s.now.Add(time.Duration(s.random.Int64N(int64(heartbeatEvery))))
		s.report(i)
	}
	if full {
		s.submit("old", "shaping", urgentWorkers, workerSize)
	}
	s.run(5*time.Second, 0)
	s.submit("quick", "urgent", 1, worker.Resources{MilliCPU: 2000, MemoryMB: 1000})
	submitted := s.now
	// The entry that ranks first is dead: this one steps in after its delay.
	s.run(urgentLimit, queue.BackupDelay)
	if !s.started("quick") {
		return 0, errors.Newf("urgent work did not start within %v, seed %d", urgentLimit, seed)
	}
	return s.now.Sub(submitted), nil
}

func (s *urgentSite) submit(id, class string, tasks uint32, size worker.Resources) {
	s.append(&record.Submit{Spec: record.Spec{
		ID: id, Team: class, Class: class, Tasks: tasks, Size: size, MaxFailures: 3, SubmittedAt: s.now.UnixMilli(), TakeoverMS: 10000,
	}})
}

func (s *urgentSite) append(m record.Message) {
	s.log = append(s.log, late{message: m, at: s.now.Add(appendTime)})
}

func (s *urgentSite) started(id string) bool {
	for h := range s.runs {
		if h.Task.Job == id {
			return true
		}
	}
	return false
}

// run goes on for a time, or until the urgent work has started.
func (s *urgentSite) run(length, backup time.Duration) {
	end := s.now.Add(length)
	tick := s.now.Add(time.Duration(s.random.Int64N(int64(tickEvery))))
	for s.now.Before(end) && !s.started("quick") {
		s.now = s.now.Add(urgentStep)
		s.read()
		for i := range s.beats {
			if !s.now.Before(s.beats[i]) {
				s.beats[i] = s.beats[i].Add(heartbeatEvery)
				s.report(i)
			}
		}
		if s.now.Before(tick) {
			continue
		}
		tick = tick.Add(tickEvery)
		for _, d := range s.scheduler.Decide(s.now, &s.fold, func(string) time.Duration { return backup }, s.random) {
			if m := d.Message(); m != nil {
				s.append(m)
			}
		}
	}
}

// read folds the records that have arrived.
func (s *urgentSite) read() {
	for len(s.log) > 0 && !s.log[0].at.After(s.now) {
		s.offset++
		_ = s.fold.Apply(record.New(record.NewPosition(s.offset, 0), "entry", s.offset, s.log[0].message))
		s.log = s.log[1:]
	}
}

// report is one heartbeat: the agent says what it has stopped, and the answer
// has it start and stop tasks.
func (s *urgentSite) report(i int) {
	r := worker.Report{Name: workerName(i), Total: workerSize, Free: workerSize, Ready: true}
	s.fold.EachActive(r.Name, func(h record.AssignmentID, j *job.Job, t *job.Task) {
		r.Free = r.Free.Minus(j.Spec().Size)
		switch {
		case s.stops[h]:
			s.append(&record.Released{Assignment: h, Ref: "saved"})
		case t.Phase() == job.Revoked:
			s.stops[h] = true
			delete(s.runs, h)
		default:
			s.runs[h] = true
		}
	})
	s.scheduler.ApplyReport(s.now, &r, nil)
}
