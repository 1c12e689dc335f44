//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
)

// Bounds of the deployment.
const (
	contact       = 3 * time.Second
	cancelBound   = 3 * time.Second
	stopGrace     = 400 * time.Millisecond
	configApply   = 2 * time.Second
	idleBound     = 3 * time.Second
	crashFor      = 4500 * time.Millisecond
	freezeFor     = 4 * time.Second
	freezeSettles = 150 * time.Millisecond // a signal may take some time to reach all threads
	workBefore    = 5 * time.Second
	crashes       = 4
	observedFor   = 12 * time.Second
	lastingStep   = `{"count":1,"cpu":3200,"mem-mb":6400,"est-runtime-ms":420,"long-running":true}`
	lastingJob    = `{"task-spec":"lasts","steps":[` + lastingStep + `]}`
	chainStepWork = 1500
)

// cases holds the cases by the names of their folders.
var cases = map[string]func(*stage) (bool, error){
	"crashes":       (*stage).crashes,
	"cancel":        (*stage).cancel,
	"removed-queue": (*stage).removedQueue,
}

// chainJob returns a job of steps that run one after the other.
func chainJob(steps int) string {
	body := fmt.Sprintf(`{"task-spec":"work-ms=%d","steps":[`, chainStepWork)
	for i := range steps {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"count":1,"cpu":500,"mem-mb":200,"est-runtime-ms":%d`, chainStepWork)
		if i > 0 {
			body += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		body += "}"
	}
	return body + "]}"
}

// awaitAtWork waits until a task has been at work for a time, and returns its start.
func (s *stage) awaitAtWork(job, task string, atLeast, limit time.Duration) (runEvent, bool) {
	began := clock.Steady()
	for clock.Steady().Sub(began) < limit && s.pause(watchEvery) {
		e, ok := s.atWork(job)[task]
		if ok && clock.WallMS()-e.AtMS >= atLeast.Milliseconds() {
			return e, true
		}
	}
	return runEvent{}, false
}

// crashes has the runner of a task that lasts crash again and again.
func (s *stage) crashes() (bool, error) {
	const job = "c1a5000000000001"
	const path = "/main/" + job
	if !s.submit(0, path, lastingJob) {
		return false, errors.New("the job was not accepted")
	}
	for i := range crashes {
		e, ok := s.awaitAtWork(job, job+".0.0.0", workBefore, workBefore+8*time.Second)
		if !ok {
			s.notef("crash %d: the task is not at work", i+1)
			break
		}
		if s.trouble {
			if err := s.crash(e.Runner, crashFor); err != nil {
				return false, err
			}
		}
		s.pause(500 * time.Millisecond)
		s.request(http.MethodGet, i%entryCount, path, "")
	}
	s.pause(observedFor)
	failed := 0
	for i := range entryCount {
		if _, phase := s.request(http.MethodGet, i, path, ""); phase == "failed" {
			failed++
		}
	}
	s.notef("shown as failed by %d of %d entries; ends with failed: %d; tasks at work: %d", failed, entryCount, s.ends(job, "failed"), len(s.atWork(job)))
	return failed > 0 && s.ends(job, "failed") == 0, nil
}

// cancel hands jobs in and cancels them while the dispatcher's machine is frozen.
func (s *stage) cancel() (bool, error) {
	dispatcher, err := s.dispatcher()
	if err != nil {
		return false, err
	}
	entry := (dispatcher + 1) % entryCount
	name := fmt.Sprintf("front-%d", dispatcher+1)
	if s.trouble {
		if err := s.signal(name, syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	began := clock.Steady()
	s.pause(freezeSettles)
	jobs := map[string]string{"ca4ce10000000001": lastingJob, "ca4ce10000000002": chainJob(10)}
	ackedMS := make(map[string]int64)
	for job, body := range jobs {
		if !s.submit(entry, "/main/"+job, body) {
			return false, errors.Newf("job %s was not accepted", job)
		}
		for range 10 {
			status, _ := s.request(http.MethodDelete, entry, "/main/"+job, "")
			if status/100 == 2 || status == http.StatusGone {
				ackedMS[job] = clock.WallMS()
				break
			}
			s.pause(200 * time.Millisecond)
		}
		if ackedMS[job] == 0 {
			return false, errors.Newf("the cancelling of job %s was not acknowledged", job)
		}
	}
	if s.trouble {
		s.pause(freezeFor - clock.Steady().Sub(began))
		if err := s.signal(name, syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	// From here on nothing is disrupted, and once all machines are in touch the bounds hold.
	s.pause(contact)
	calmMS := clock.WallMS()
	s.pause(cancelBound + stopGrace + contact)
	broken := false
	for job := range jobs {
		s.request(http.MethodGet, entry, "/main/"+job, "")
		for task, e := range s.atWork(job) {
			s.notef("cancelled job %s: %s run %d is at work on %s", job, task, e.Run, e.Runner)
			broken = true
		}
		for _, e := range s.runEvents() {
			if e.Event == "start" && e.Task[:len(job)] == job && e.AtMS > ackedMS[job]+cancelBound.Milliseconds() && e.AtMS > calmMS {
				s.notef("cancelled job %s: %s run %d was started %.3f s after the answer to the cancelling", job, e.Task, e.Run, float64(e.AtMS-ackedMS[job])/1000)
				broken = true
			}
		}
	}
	return broken, nil
}

// removedQueue has the operator remove the route of a queue with an accepted job.
func (s *stage) removedQueue() (bool, error) {
	const job = "9ee0e00000000001"
	const path = "/extra/" + job
	const steps = 4
	s.configure(2, queueRoute("r-main", "/main/"), queueRoute("r-extra", "/extra/"))
	s.pause(configApply + contact)
	if !s.submit(0, path, chainJob(steps)) {
		return false, errors.New("the job was not accepted")
	}
	if _, ok := s.awaitAtWork(job, job+".0.0.0", 500*time.Millisecond, 5*time.Second); !ok {
		return false, errors.New("the job was not started")
	}
	main := queueRoute("r-main", "/main/")
	main.Timeout = 2900
	if s.trouble {
		s.configure(3, main)
	} else {
		s.configure(3, main, queueRoute("r-extra", "/extra/"))
	}
	s.pause(configApply + contact)
	idle, longest := time.Duration(0), time.Duration(0)
	last := clock.Steady()
	for began := last; clock.Steady().Sub(began) < observedFor && s.pause(watchEvery); {
		now := clock.Steady()
		if s.ends(job, "done") == steps || len(s.atWork(job)) > 0 {
			idle = 0
		} else {
			idle += now.Sub(last)
		}
		last, longest = now, max(longest, idle)
	}
	s.notef("done steps: %d of %d; longest time without a run while a step could run: %v", s.ends(job, "done"), steps, longest)
	s.request(http.MethodGet, 0, path, "")
	return longest > idleBound, nil
}
