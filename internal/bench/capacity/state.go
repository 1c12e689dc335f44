package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// epoch is the present time of the measured state.
var epoch = time.Unix(1_700_000_000, 0)

// state is an entry's state of batch work: the fold and the scheduler over it.
type state struct {
	fold      job.StateMachine
	scheduler queue.Scheduler
	offset    uint64
	workers   int
}

// workerSize is one of the target's workers, with accelerators on each.
var workerSize = worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10, Accelerators: 2}

// taskSize lets all tasks of a measurement run at once.
var taskSize = worker.Resources{MilliCPU: 1, MemoryMB: 1}

func newState(workers int) *state {
	s := &state{workers: workers}
	s.fold.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(epoch, id, j, t) }
	d := &bundle.Document{BatchClasses: []bundle.BatchClass{{Name: "shaping", Priority: 5}}}
	for i := range targetTeams {
		d.Teams = append(d.Teams, bundle.Team{Name: teamName(i), Quota: workerSize})
	}
	s.scheduler.Configure(epoch, d, &s.fold)
	for i := range workers {
		s.scheduler.ApplyReport(epoch, &worker.Report{
			Name: workerName(i), Rack: fmt.Sprint("rack-", i/3), Service: "lastbench", Total: workerSize, Free: workerSize, Ready: true,
		}, nil)
	}
	return s
}

func teamName(i int) string   { return fmt.Sprintf("franchise-team-%03d", i%targetTeams) }
func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

func (s *state) apply(m record.Message) record.Position {
	s.offset++
	at := record.NewPosition(s.offset, 0)
	_ = s.fold.Apply(record.New(at, "entry-1@1", s.offset, m))
	return at
}

// submit adds a job of running tasks.
func (s *state) submit(i, tasks int) {
	id := fmt.Sprintf("%020x", i)
	s.apply(&record.Submit{Spec: record.Spec{
		ID: id, Team: teamName(i), Class: "shaping", Tasks: uint32(tasks), Size: taskSize,
		MaxFailures: 3, TakeoverMS: 10000, Payload: make([]byte, 64),
	}})
	for k := range tasks {
		task := record.TaskID{Job: id, Index: uint32(k)}
		epoch := s.apply(&record.Assign{Placements: []record.Placement{{Task: task, Worker: workerName((i + k) % s.workers)}}})
		s.apply(&record.Started{Assignments: []record.AssignmentID{{Task: task, Epoch: epoch}}})
	}
}

// finish ends every task of a job.
func (s *state) finish(i, tasks int) {
	id := fmt.Sprintf("%020x", i)
	j, _ := s.fold.Job(id)
	for k := range tasks {
		hold := record.AssignmentID{Task: record.TaskID{Job: id, Index: uint32(k)}, Epoch: j.Task(k).Epoch()}
		s.apply(&record.Finished{Assignment: hold, Outcome: record.OutcomeSucceeded})
	}
}

// memoryPerWorker is the live heap of a scheduler by workers.
func memoryPerWorker() Slope {
	return measure("entry-memory-per-worker", "bytes", []int{200, 400, 800}, func(size int) float64 {
		before := heapBytes()
		s := newState(size)
		after := heapBytes()
		runtime.KeepAlive(s)
		return after - before
	})
}

// memoryPerJob is the live heap of fold and scheduler by jobs; running tells
// whether their one task runs or has ended.
func memoryPerJob(name string, running bool) Slope {
	return measure(name, "bytes", []int{2000, 4000, 8000}, func(size int) float64 {
		s := newState(200)
		before := heapBytes()
		for i := range size {
			s.submit(i, 1)
			if !running {
				s.finish(i, 1)
			}
		}
		after := heapBytes()
		runtime.KeepAlive(s)
		return after - before
	})
}

// memoryPerTask is the live heap by running tasks of a few large jobs.
func memoryPerTask() Slope {
	const jobs = 10
	return measure("entry-memory-per-running-task", "bytes", []int{2000, 4000, 8000}, func(size int) float64 {
		s := newState(200)
		before := heapBytes()
		for i := range jobs {
			s.submit(i, size/jobs)
		}
		after := heapBytes()
		runtime.KeepAlive(s)
		return after - before
	})
}

// processorPerRecord is the time to fold and schedule one record by jobs known:
// the cost is for a task's whole life, divided by its records.
func processorPerRecord() Slope {
	const tasks = 4000
	return measure("entry-processor-per-record", "microseconds", []int{1000, 4000, 16000}, func(size int) float64 {
		s := newState(200)
		for i := range size {
			s.submit(i, 1)
		}
		began := processorTime()
		for i := range tasks {
			s.submit(size+i, 1)
			s.finish(size+i, 1)
		}
		return microseconds(processorTime()-began) / (tasks * recordsPerTask)
	})
}

// processorPerPlacement is the time to decide where a task runs, by workers.
func processorPerPlacement() Slope {
	const tasks = 500
	return measure("entry-processor-per-placement", "microseconds", []int{100, 200, 400}, func(size int) float64 {
		s := newState(size)
		for i := range tasks {
			s.apply(&record.Submit{Spec: record.Spec{
				ID: fmt.Sprint("job-", i), Team: teamName(i), Class: "shaping", Tasks: 1, Size: taskSize, MaxFailures: 3,
			}})
		}
		random := rand.New(rand.NewPCG(1, 2))
		began := processorTime()
		placed := len(s.scheduler.Decide(epoch, &s.fold, func(string) time.Duration { return 0 }, random))
		return microseconds(processorTime()-began) / float64(max(1, placed))
	})
}

// memoryPerEndpoint is the live heap of a service's routing table by endpoints.
func memoryPerEndpoint() Slope {
	return measure("entry-memory-per-endpoint", "bytes", []int{200, 400, 800}, func(size int) float64 {
		before := heapBytes()
		r := newRouter(size)
		after := heapBytes()
		runtime.KeepAlive(r)
		return after - before
	})
}

func newRouter(endpoints int) *endpoint.Router {
	r := new(endpoint.Router)
	for i := range endpoints {
		r.Table().Observe(epoch, endpoint.Report{
			Name: workerName(i), DataCentre: "dc-1", Service: "lastbench", Address: fmt.Sprintf("10.0.%d.%d:8444", i/250, i%250),
			Incarnation: 1, Slots: 8,
		})
	}
	return r
}

// processorPerChoice is the time to choose an endpoint by endpoints known.
func processorPerChoice() Slope {
	const requests = 20000
	return measure("entry-processor-per-choice", "microseconds", []int{100, 200, 400}, func(size int) float64 {
		r := newRouter(size)
		random := rand.New(rand.NewPCG(1, 2))
		began := processorTime()
		for i := range requests {
			now := epoch.Add(time.Duration(i) * time.Microsecond)
			t := r.NewTicket(now, "fit-check", "clinics", 9, now.Add(time.Second), 10*time.Millisecond)
			if d := r.Offer(now, random, t, ""); d.Endpoint != nil {
				r.Table().Done(d.Endpoint, t)
			}
		}
		return microseconds(processorTime()-began) / requests
	})
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
