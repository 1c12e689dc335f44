package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// longestWaitAfterCrash starts count long-running tasks on w1, whose runner crashes at once, and returns how
// long the last of them waits to be started again on w2, where trials are proven after provenIn.
func longestWaitAfterCrash(t *testing.T, count int, provenIn time.Duration) time.Duration {
	t.Helper()
	var sc Scheduler
	sc.SetQueues(testQueues)
	sc.BeginTerm(1, nil)
	at := func(ms int) (time.Time, int64) {
		return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond), 1_000_000 + int64(ms)
	}
	play := func(ms int, e event) {
		now, wall := at(ms)
		applyEvent(t, &sc, now, wall, &e)
	}
	play(0, event{Do: "report", Worker: "w1", Life: 1})
	play(0, event{Do: "admit", Job: "s", Queue: "lasts", Steps: json.RawMessage(fmt.Sprintf(`[{"count": %d, "cpu": 100, "lasts": true}]`, count))})
	now, wall := at(0)
	runs := make(map[string]int) // when each run was ordered
	for _, s := range sc.Decide(now, wall).Starts() {
		runs[fmt.Sprintf("%s %d", s.Task, s.Run)] = 0
	}
	if len(runs) != count {
		t.Fatalf("got %d starts, want %d", len(runs), count)
	}
	var lost []string
	for r := range runs {
		lost = append(lost, r)
	}
	play(1, event{Do: "report", Worker: "w2", Life: 1})
	play(30, event{Do: "crashed", Worker: "w1", Runs: lost})
	clear(runs)
	for ms := 30; ms < 60_000; ms += 10 {
		now, wall := at(ms)
		for _, s := range sc.Decide(now, wall).Starts() {
			runs[fmt.Sprintf("%s %d", s.Task, s.Run)] = ms
		}
		if len(runs) == count {
			return time.Duration(ms-30) * time.Millisecond
		}
		var listed []string
		due := false
		for r, ordered := range runs {
			listed = append(listed, r+" 100 0")
			due = due || ms-ordered == int(provenIn.Milliseconds())
		}
		if due {
			play(ms, event{Do: "describe", Worker: "w2", Life: 1, Runs: listed})
		}
	}
	t.Fatalf("after a minute: got %d starts, want %d", len(runs), count)
	return 0
}

func TestManySuspiciousLongRunningTasksStartInTime(t *testing.T) {
	if wait := longestWaitAfterCrash(t, 40, 310*time.Millisecond); wait > 6*time.Second {
		t.Errorf("longest wait of 40 tasks with room for all on one worker: got %v, want at most 6s", wait)
	}
}

func TestSuspiciousTaskProbesSuspectWorkerThatAloneHasRoom(t *testing.T) {
	for _, crash := range []bool{false, true} {
		var sc Scheduler
		sc.SetQueues(testQueues)
		sc.BeginTerm(1, nil)
		start := time.Unix(1000, 0)
		play := func(ms int, e event) []Start {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			applyEvent(t, &sc, now, 1_000_000+int64(ms), &e)
			return sc.Decide(now, 1_000_000+int64(ms)).Starts()
		}
		play(0, event{Do: "report", Worker: "w1", Life: 1})
		play(0, event{Do: "admit", Job: "s", Queue: "lasts", Steps: json.RawMessage(`[{"count": 1, "cpu": 4000, "lasts": true}]`)})
		play(10, event{Do: "report", Worker: "w2", Life: 1})
		w2 := sc.workers["w2"]
		now := start.Add(20 * time.Millisecond)
		for i := range 4 { // a probe that failed: the next one is due after ten seconds and more
			w2.health.outcomes.RecordFailure(now, fmt.Sprint("j", i))
		}
		w2.health.outcomes.RecordFailure(now.Add(5*time.Second+time.Millisecond), "k")
		sc.noteHealth(w2)
		e := event{Do: "crashed", Worker: "w1", Runs: []string{"s.0.0.0 1"}}
		if !crash {
			e.Do = "lapsed"
		}
		began := 5100
		n := len(play(began, e))
		wait := 0
		for ; n == 0 && wait < 60_000; wait += 10 {
			n = len(play(began+wait, event{Do: "wait"}))
		}
		t.Logf("crash %v: started again after %d ms", crash, wait)
		if wait > 6000 {
			t.Errorf("crash %v: the long-running task waited %d ms for the worker that alone has room, want at most 6000", crash, wait)
		}
	}
}

// Two runs of one task that a worker lists after a change of the dispatcher both end with its runner.
func TestTwoRunsOfOneTaskAtOneWorkerBothEnd(t *testing.T) {
	var sc Scheduler
	sc.SetQueues(testQueues)
	sc.BeginTerm(2, []string{"w1"})
	start := time.Unix(1000, 0)
	applyEvent(t, &sc, start, 1_000_000, &event{Do: "admit", Job: "a", Queue: "fits", FromEarlierTerm: true, Steps: json.RawMessage(`[{"count": 1, "cpu": 100, "copies": true}]`)})
	applyEvent(t, &sc, start, 1_000_000, &event{Do: "report", Worker: "w1", Life: 1, Runs: []string{"a.0.0.0 1 10 0", "a.0.0.0 3 10 0"}})
	applyEvent(t, &sc, start, 1_000_000, &event{Do: "crashed", Worker: "w1"})
	w := sc.workers["w1"]
	_, task := sc.task(taskOf(t, "a.0.0.0"))
	if w.unprovenRuns != 0 || w.allocated.MilliCPU != 0 || len(task.runs) != 0 {
		t.Errorf("after the crash: got %d unproven runs, %d allocated, %d runs of the task, want 0 of each", w.unprovenRuns, w.allocated.MilliCPU, len(task.runs))
	}
}

// TestCrashAccountingHolds plays random events and crashes, and counts anew what is kept between decisions.
func TestCrashAccountingHolds(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := newStream(seed)
		for i := range 400 {
			s.event()
			if i%7 == 0 {
				crashRandomRunner(s)
			}
			sc := s.both[0]
			sc.Decide(s.now, s.wallMS)
			s.both[1].decideByFullScan(s.now, s.wallMS)
			for _, w := range sc.fleet {
				unproven := 0
				for _, r := range w.runs {
					if !r.proven {
						unproven++
					}
				}
				if unproven != w.unprovenRuns || w.trial != nil && w.runs[w.trial.id] != w.trial {
					t.Fatalf("seed %d event %d, %s: got %d unproven runs, want %d; or its trial has ended", seed, i, w.name, w.unprovenRuns, unproven)
				}
			}
			suspects := 0
			for _, j := range sc.jobs {
				for _, o := range j.occurrences {
					for _, step := range o.steps {
						for k := range step.tasks {
							if x := &step.tasks[k]; !x.done && !j.phase.Ended() && x.crashes.suspicious() {
								suspects++
							}
						}
					}
				}
			}
			if got := sc.SuspiciousTasks(); got != suspects {
				t.Fatalf("seed %d event %d: got %d suspects, want %d", seed, i, got, suspects)
			}
		}
	}
}

// crashRandomRunner ends the runner of a random worker, by a crash or without an answer, and starts the next.
func crashRandomRunner(s *stream) {
	w := s.workers[s.random.IntN(len(s.workers))]
	var started []SentRun
	for _, r := range s.runsAt(w) {
		started = append(started, SentRun{Task: r.id, Run: r.number})
	}
	ended := s.random.IntN(3) > 0
	s.each(func(sc *Scheduler) {
		sc.ConfirmSent(w.Name, started)
		sc.RunnerGone(s.now, s.wallMS, w.Name, ended)
	})
	w.Life++
	s.ends[w.Name] = 0
	s.each(func(sc *Scheduler) { sc.ApplyReport(s.now, s.wallMS, w, nil, nil) })
}

// A task whose starts are sent and answered by no runner is started five times at most, although the crash before each of two
// changes of the dispatcher was not stored.
func TestStartsOfCrashingTaskAcrossDispatchers(t *testing.T) {
	now, term, changes := time.Unix(1000, 0), uint64(1), 2
	job := jobOf(t, &event{Job: "a", Queue: "fits", Steps: json.RawMessage(`[{"count": 1, "cpu": 1000}]`)})
	sc := new(Scheduler)
	begin := func() {
		sc = new(Scheduler)
		sc.SetQueues(testQueues)
		sc.BeginTerm(term, nil)
	}
	begin()
	sc.Admit(now, 1_000_000, job, nil, false)
	stored := sc.TakeChange().Jobs()["a"]
	starts := 0
	for life := uint64(1); life < 20; life++ {
		applyEvent(t, sc, now, 1_000_000, &event{Do: "report", Worker: "w1", Life: life})
		var ordered []Start
		for i := 0; i < 400 && len(ordered) == 0; i++ {
			now = now.Add(10 * time.Millisecond)
			ordered = sc.Decide(now, 1_000_000).Starts()
		}
		if len(ordered) == 0 {
			break
		}
		starts++
		sent := fmt.Sprintf("%s %d", ordered[0].Task, ordered[0].Run)
		applyEvent(t, sc, now, 1_000_000, &event{Do: "crashed", Worker: "w1", Runs: []string{sent}})
		if changes > 0 {
			changes--
			term++
			begin()
			sc.Admit(now, 1_000_000, job, stored, true)
		} else if p := sc.TakeChange().Jobs()["a"]; p != nil {
			stored = p
		}
	}
	if starts > 5 {
		t.Errorf("starts of a task that crashes each runner before it answers: got %d, want at most 5", starts)
	}
}
