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
