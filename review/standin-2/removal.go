//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	jobCount, tasksPerJob = 4, 6
	// settleTime is how long the jobs run before a machine is removed.
	settleTime = 6 * time.Second
	// betweenRemovals is the time from the removal of the agent's machine to that of the dispatcher's.
	betweenRemovals = 1500 * time.Millisecond
	// calmTime has to pass after a disruption before tasks are judged.
	calmTime = 4 * time.Second
	// restartTime is how long after its last run a lasting task may be without one, idleTime how long it then is judged.
	restartTime, idleTime = 6 * time.Second, 3 * time.Second
	// watchTime is how long the tasks are watched after the last removal.
	watchTime = 25 * time.Second
	job       = `{"task-spec":"history","steps":[{"count":6,"cpu":500,"mem-mb":512,"est-runtime-ms":400,"anti-affinity":1,"long-running":true}]}`
)

// removal hands lasting jobs in, has run.sh end an agent and stop the dispatcher, and looks whether each task has a run.
func (s *stage) removal(dir string, trouble bool) (int, error) {
	s.record.note("trouble %t", trouble)
	for i := range jobCount {
		id, accepted := fmt.Sprintf("%08x%08x", i+1, 0x5eed+i), false
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
	if n := len(s.tasksAtWork()); n != jobCount*tasksPerJob {
		return exitNotPlayed, fmt.Errorf("before the removal %d tasks run, want %d", n, jobCount*tasksPerJob)
	}
	dispatcher := s.dispatcher()
	if dispatcher < 0 {
		return exitNotPlayed, fmt.Errorf("no entry is the dispatcher")
	}
	removed := s.busiest()
	if trouble {
		if err := s.request(dir, "remove-agent", removed); err != nil {
			return exitNotPlayed, err
		}
		time.Sleep(betweenRemovals)
		if err := s.request(dir, "remove-entry", dispatcher); err != nil {
			return exitNotPlayed, err
		}
	}
	return s.watch(time.Now()), nil
}

// request asks run.sh to remove a process for good.
func (s *stage) request(dir, name string, index int) error {
	s.record.note("%s %d", name, index)
	part := filepath.Join(dir, name+".part")
	if err := os.WriteFile(part, []byte(strconv.Itoa(index)), 0o600); err != nil {
		return err
	}
	return os.Rename(part, filepath.Join(dir, name))
}

// watch returns exitBroken if a task is without a run for longer than the rule allows.
func (s *stage) watch(disturbedAt time.Time) int {
	lastRun := make(map[string]time.Time)
	worst := time.Duration(0)
	broken := make(map[string]bool)
	for now := time.Now(); now.Sub(disturbedAt) < watchTime; now = time.Now() {
		for task := range s.tasksAtWork() {
			lastRun[task] = now
		}
		for i := range jobCount {
			for k := range tasksPerJob {
				task := fmt.Sprintf("%08x%08x.0.0.%d", i+1, 0x5eed+i, k)
				since := lastRun[task]
				if since.IsZero() {
					lastRun[task] = now
					continue
				}
				worst = max(worst, now.Sub(since))
				judgedFrom := since.Add(restartTime)
				if calm := disturbedAt.Add(calmTime); calm.After(judgedFrom) {
					judgedFrom = calm
				}
				if now.Sub(judgedFrom) >= idleTime && !broken[task] {
					broken[task] = true
					s.record.note("LOST: %s is to last and has had no run for %.1f s; %d runners are in touch and have room", task, now.Sub(since).Seconds(), runnerCount-1)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record.note("longest time of a task without a run: %.1f s; tasks that were judged lost: %d", worst.Seconds(), len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// tasksAtWork returns the tasks that run.
func (s *stage) tasksAtWork() map[string]bool {
	out := make(map[string]bool)
	for _, r := range s.runners {
		r.mu.Lock()
		for task := range r.running {
			out[task] = true
		}
		r.mu.Unlock()
	}
	return out
}

// busiest returns the index of the runner with the most runs.
func (s *stage) busiest() int {
	best, most := 0, -1
	for i, r := range s.runners {
		r.mu.Lock()
		if len(r.running) > most {
			best, most = i, len(r.running)
		}
		r.mu.Unlock()
	}
	return best
}

// dispatcher returns the index of the entry whose metrics show the newest term, or -1.
func (s *stage) dispatcher() int {
	best, newest := -1, 0.0
	for i, ip := range s.entries {
		response, err := s.client.Get(fmt.Sprintf("http://%s:%d/metrics", ip, portPeers+1))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			name, value, ok := strings.Cut(lines.Text(), " ")
			if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); ok && err == nil && name == "savoryhoist_term" && v > newest {
				best, newest = i, v
			}
		}
		_ = response.Body.Close()
	}
	return best
}
