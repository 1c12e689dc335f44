//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	jobCount, tasksPerJob = 8, 6
	// settleTime is how long the jobs run before the first crash, finishTime how long after the last one all must run.
	settleTime, finishTime = 5 * time.Second, 12 * time.Second
	// crashCount runners crash one after the other, crashInterval apart, each for downTime.
	crashCount, crashInterval, downTime = 34, 2 * time.Second, 1500 * time.Millisecond
	job                                 = `{"task-spec":"history","steps":[{"count":6,"cpu":500,"mem-mb":512,"est-runtime-ms":400,"anti-affinity":1,"long-running":true}]}`
)

// crashes hands lasting jobs in, has runners crash one at a time, and looks whether a job is shown as failed although no
// runner has listed an end as failed.
func (s *stage) crashes(trouble bool) (int, error) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = uint64(time.Now().UnixNano())
	}
	random := rand.New(rand.NewPCG(seed, 0))
	s.record.note("seed %d, trouble %t", seed, trouble)
	var ids []string
	for i := range jobCount {
		ids = append(ids, fmt.Sprintf("%08x%08x", i+1, 0x5eed+i))
	}
	for _, id := range ids {
		accepted := false
		for range 20 {
			status, _ := s.call(http.MethodPost, id, job)
			s.record.note("POST %s: %d", id, status)
			if accepted = status == http.StatusOK; accepted {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		if !accepted {
			return exitNotPlayed, fmt.Errorf("job %s was not accepted", id)
		}
	}
	time.Sleep(settleTime)
	if n := s.atWork(); n != jobCount*tasksPerJob {
		return exitNotPlayed, fmt.Errorf("before the first crash %d tasks run, want %d", n, jobCount*tasksPerJob)
	}
	failed := make(map[string]bool)
	for range crashCount {
		r := s.runners[random.IntN(len(s.runners))]
		began := time.Now()
		if trouble {
			s.record.note("runner %s crashes", r.id)
			r.crash()
			time.Sleep(downTime)
			if err := r.begin(&s.group); err != nil {
				return exitNotPlayed, err
			}
			s.record.note("runner %s is back", r.id)
		}
		s.ask(ids, failed)
		time.Sleep(crashInterval - time.Since(began))
	}
	time.Sleep(finishTime)
	s.ask(ids, failed)
	n := s.atWork()
	s.record.note("at the end %d of %d lasting tasks run on %d sound runners; jobs shown as failed: %d", n, jobCount*tasksPerJob, runnerCount, len(failed))
	if len(failed) > 0 || n != jobCount*tasksPerJob {
		s.record.note("LOST: accepted jobs that nobody has cancelled are shown as failed, or do not run, without a listed end `failed`")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// ask asks for all jobs and notes those that are not shown as running.
func (s *stage) ask(ids []string, failed map[string]bool) {
	for _, id := range ids {
		status, phase := s.call(http.MethodGet, id, "")
		if phase != "running" {
			s.record.note("GET %s: %d %s", id, status, phase)
		}
		if phase == "failed" {
			failed[id] = true
		}
	}
}

// atWork counts the tasks that run.
func (s *stage) atWork() int {
	n := 0
	for _, r := range s.runners {
		r.mu.Lock()
		n += len(r.running)
		r.mu.Unlock()
	}
	return n
}
