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

// stateTime is the current time in the measured state.
var stateTime = time.Unix(1_700_000_000, 0)

// batchState is an entry's state of batch work: the state machine and the scheduler
// that follows it.
type batchState struct {
	stateMachine job.StateMachine
	scheduler    queue.Scheduler
	lastOffset   uint64
	workers      int
}

// workerSize is the size of a worker; here every worker has accelerators.
var workerSize = worker.Resources{MilliCPU: 16000, MemoryMB: 60 << 10, Accelerators: 2}

// taskSize is so small that all tasks of a measurement can run at the same time.
var taskSize = worker.Resources{MilliCPU: 1, MemoryMB: 1}

// newBatchState returns the state with a number of ready workers and no jobs.
func newBatchState(workers int) *batchState {
	s := &batchState{workers: workers}
	s.stateMachine.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(stateTime, id, j, t) }
	d := &bundle.Document{BatchClasses: []bundle.BatchClass{{Name: "shaping", Priority: 5}}}
	for i := range targetTeams {
		d.Teams = append(d.Teams, bundle.Team{Name: teamName(i), Quota: workerSize})
	}
	s.scheduler.Configure(stateTime, d, &s.stateMachine)
	for i := range workers {
		s.scheduler.ApplyReport(stateTime, &worker.Report{
			Name: workerName(i), Rack: fmt.Sprint("rack-", i/3), Service: "lastbench", Total: workerSize, Free: workerSize, Ready: true,
		}, nil)
	}
	return s
}

func teamName(i int) string   { return fmt.Sprintf("franchise-team-%03d", i%targetTeams) }
func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

// apply applies a record as the next one of the log, and returns its position.
func (s *batchState) apply(m record.Message) record.Position {
	s.lastOffset++
	position := record.NewPosition(s.lastOffset, 0)
	_ = s.stateMachine.Apply(record.New(position, "entry-1@1", s.lastOffset, m))
	return position
}

// submit adds job i with a number of tasks, all of them running.
func (s *batchState) submit(i, tasks int) {
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

// finish ends all tasks of job i, which has the given number of tasks.
func (s *batchState) finish(i, tasks int) {
	id := fmt.Sprintf("%020x", i)
	j, _ := s.stateMachine.Job(id)
	for k := range tasks {
		assignment := record.AssignmentID{Task: record.TaskID{Job: id, Index: uint32(k)}, Epoch: j.Task(k).Epoch()}
		s.apply(&record.Finished{Assignment: assignment, Outcome: record.OutcomeSucceeded})
	}
}

// measureWorkerMemory measures the live heap of a scheduler by the number of
// workers.
func measureWorkerMemory() FittedCost {
	return measureCost("entry-memory-per-worker", "bytes", []int{200, 400, 800}, func(size int) float64 {
		before := heapBytes()
		s := newBatchState(size)
		after := heapBytes()
		runtime.KeepAlive(s)
		return after - before
	})
}

// measureJobMemory measures the live heap of state machine and scheduler by the number
// of jobs with one task each. If running is set the tasks run, otherwise they have ended.
func measureJobMemory(name string, running bool) FittedCost {
	return measureCost(name, "bytes", []int{2000, 4000, 8000}, func(size int) float64 {
		s := newBatchState(200)
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

// measureTaskMemory measures the live heap of state machine and scheduler by the number
// of running tasks, which belong to a few large jobs.
func measureTaskMemory() FittedCost {
	const jobCount = 10
	return measureCost("entry-memory-per-running-task", "bytes", []int{2000, 4000, 8000}, func(size int) float64 {
		s := newBatchState(200)
		before := heapBytes()
		for i := range jobCount {
			s.submit(i, size/jobCount)
		}
		after := heapBytes()
		runtime.KeepAlive(s)
		return after - before
	})
}

// measureRecordCPU measures, by the number of known jobs, the processor time to apply one
// record to state machine and scheduler: the processor time for all records of a task
// from its submission to its end, divided by their number.
func measureRecordCPU() FittedCost {
	const taskCount = 4000
	return measureCost("entry-processor-per-record", "microseconds", []int{1000, 4000, 16000}, func(size int) float64 {
		s := newBatchState(200)
		for i := range size {
			s.submit(i, 1)
		}
		began := processorTime()
		for i := range taskCount {
			s.submit(size+i, 1)
			s.finish(size+i, 1)
		}
		return microseconds(processorTime()-began) / (taskCount * recordsPerTask)
	})
}

// measurePlacementCPU measures the processor time to decide where a task runs by
// the number of workers.
func measurePlacementCPU() FittedCost {
	const taskCount = 500
	return measureCost("entry-processor-per-placement", "microseconds", []int{100, 200, 400}, func(size int) float64 {
		s := newBatchState(size)
		for i := range taskCount {
			s.apply(&record.Submit{Spec: record.Spec{
				ID: fmt.Sprint("job-", i), Team: teamName(i), Class: "shaping", Tasks: 1, Size: taskSize, MaxFailures: 3,
			}})
		}
		random := rand.New(rand.NewPCG(1, 2))
		began := processorTime()
		placed := len(s.scheduler.Decide(stateTime, &s.stateMachine, func(string) time.Duration { return 0 }, random))
		return microseconds(processorTime()-began) / float64(max(1, placed))
	})
}

// measureEndpointMemory measures the live heap of a service's router by the number
// of endpoints.
func measureEndpointMemory() FittedCost {
	return measureCost("entry-memory-per-endpoint", "bytes", []int{200, 400, 800}, func(size int) float64 {
		before := heapBytes()
		r := newRouter(size)
		after := heapBytes()
		runtime.KeepAlive(r)
		return after - before
	})
}

// newRouter returns a router that knows a number of endpoints of one service.
func newRouter(endpoints int) *endpoint.Router {
	r := new(endpoint.Router)
	for i := range endpoints {
		r.Table().Observe(stateTime, endpoint.Report{
			Name: workerName(i), DataCentre: "dc-1", Service: "lastbench", Address: fmt.Sprintf("10.0.%d.%d:8444", i/250, i%250),
			Incarnation: 1, Slots: 8,
		})
	}
	return r
}

// measureChoiceCPU measures the processor time to choose an endpoint for a request
// by the number of known endpoints.
func measureChoiceCPU() FittedCost {
	const requestCount = 20000
	return measureCost("entry-processor-per-choice", "microseconds", []int{100, 200, 400}, func(size int) float64 {
		r := newRouter(size)
		random := rand.New(rand.NewPCG(1, 2))
		began := processorTime()
		for i := range requestCount {
			now := stateTime.Add(time.Duration(i) * time.Microsecond)
			t := r.NewSlotRequest(now, "fit-check", "clinics", 9, now.Add(time.Second), 10*time.Millisecond)
			if d := r.Offer(now, random, t, ""); d.Endpoint != nil {
				r.Table().Done(d.Endpoint, t)
			}
		}
		return microseconds(processorTime()-began) / requestCount
	})
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
