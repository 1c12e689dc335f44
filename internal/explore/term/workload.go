package term

import (
	"context"
	"strconv"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/worker"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// longChain is the number of steps of jobs with cancellations or second runs.
const longChain = 5

// jobSteps returns the steps of the job with an index.
func (w *world) jobSteps(index int) []workflow.Step {
	size := worker.Resources{MilliCPU: 1000}
	steps := []workflow.Step{{Count: 2, Size: size, EstimateMS: 1000}, {Count: 1, Size: size, EstimateMS: 1000, After: []int{0}}}
	if w.kinds&(Cancellations|SecondRuns) != 0 {
		for i := 2; i < longChain; i++ {
			steps = append(steps, workflow.Step{Count: 1, Size: size, EstimateMS: 1000, After: []int{i - 1}})
		}
	}
	if w.kinds&SecondRuns != 0 && isSpeculative(jobName(index)) {
		for i := range steps {
			steps[i].Count, steps[i].Speculative, steps[i].EstimateMS = 4, true, 1700
		}
	}
	return steps
}

// isSpeculative reports whether several runs of the tasks of a job may run at a time, if there are second runs.
func isSpeculative(job string) bool {
	index, _ := strconv.Atoi(strings.TrimPrefix(job, "job"))
	return index%4 >= 2
}

// isCancelled reports whether the job with an index is cancelled at some time, if there are cancellations.
func (w *world) isCancelled(index int) bool { return w.kinds&Cancellations != 0 && index%2 == 1 }

// behaviour returns how a run of a task behaves. With second runs, one run of a task may fail or stand still.
func (w *world) behaviour(task string) standin.TaskBehaviour {
	if w.kinds&SecondRuns == 0 || w.misbehaved[task] || w.random.IntN(8) > 0 {
		return standin.TaskSucceeds
	}
	if w.misbehaved == nil {
		w.misbehaved = make(map[string]bool)
	}
	w.misbehaved[task] = true
	if isSpeculative(jobOf(task)) {
		return standin.TaskNeverEnds
	}
	return standin.TaskFails
}

// cancel cancels the job with an index at a random entry, which stores that and tells the dispatcher. The caller retries
// until that succeeds.
func (w *world) cancel(index int) {
	e, id := w.entries[w.random.IntN(entryCount)], jobName(index)
	retry := func() { w.schedule(callerRetryDelay, func() { w.cancel(index) }) }
	if w.now < e.downUntil || w.now < e.frozenUntil {
		retry()
		return
	}
	if j, ok := e.jobs.Job(id); !ok || j.Submission() == nil {
		if w.kinds&LateSubmissions == 0 {
			retry()
			return
		}
		e.catchUp(0, func(err error) {
			switch j, ok := e.jobs.Job(id); {
			case err != nil:
				retry()
			case w.rules.DenyUnknownJobs && (!ok || j.Submission() == nil):
				noteFirst(&w.judge.cancelledAt, id, w.now)
			default:
				w.storeCancellation(e, id, retry)
			}
		})
		return
	}
	w.storeCancellation(e, id, retry)
}

// storeCancellation has an entry store the cancellation of a job and tell the dispatcher. It calls retry if that takes too
// long for the caller.
func (w *world) storeCancellation(e *entry, id string, retry func()) {
	answered := false
	w.schedule(callerTimeout, func() {
		if !answered {
			retry()
		}
	})
	e.callStore(func(c *store.Client) error {
		_, err := c.Append(context.Background(), store.AppendRequest{Topic: store.TopicIntake, Records: []store.Record{workflow.CancellationRecord(id)}})
		return err
	}, func(_ time.Time, err error) {
		if err != nil {
			return
		}
		answered = true
		w.note("%s acknowledges the cancellation of %s", e.name, id)
		noteFirst(&w.judge.cancelledAt, id, w.now)
		e.tellCancellation(id)
	})
}

// tellCancellation tells the dispatcher, as far as the entry knows it, of a stored cancellation.
func (e *entry) tellCancellation(id string) {
	o, term := e.w.entryNamed(e.candidate.Claim().Entry), e.candidate.Claim().Term
	if o == nil || o != e && !e.reaches(o) {
		return
	}
	o.later(e.w.randomUpTo(100*time.Millisecond), func() {
		if o.term != nil && o.term.number == term {
			o.term.scheduler.Cancel(o.clock(), o.wallMS(), id)
		}
	})
}

// syncCancellation passes the cancellation of a job to the scheduler.
func (e *entry) syncCancellation(t *dispatcherState, id string, j *workflow.Job) {
	if j.Cancelled() {
		t.scheduler.Cancel(e.clock(), e.wallMS(), id)
	}
}

// pauseThen runs fn, at times after the process has stood still.
func (p *process) pauseThen(fn func()) {
	if p.w.kinds&Pauses == 0 || p.w.now >= faultDuration || p.w.random.IntN(12) > 0 {
		fn()
		return
	}
	duration := 5*time.Millisecond + p.w.randomUpTo(50*time.Millisecond)
	if p.w.random.IntN(3) == 0 {
		duration = 5*time.Millisecond + p.w.randomUpTo(5*time.Second)
	}
	p.freeze(duration)
	p.later(duration, fn)
}
