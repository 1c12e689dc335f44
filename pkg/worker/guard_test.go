package worker_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// TestGuardScripts runs the scripts under testdata/guard. Each line is one of
// these commands:
//
//	run KEY CLASS SHARE           starts a task
//	end KEY                       ends a task
//	hold SECONDS PRESSURE LOAD    calls Decide with this reading each second for SECONDS
//	want ACTION...                expects these actions since the last want
//	want-none                     expects no actions since the last want
func TestGuardScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/guard/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts (error %v), want at least one", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := guardScript{now: epoch}
			for n, line := range strings.Split(string(data), "\n") {
				if err := s.do(strings.Fields(line)); err != nil {
					t.Fatalf("line %d: %v", n+1, err)
				}
			}
		})
	}
}

// guardScript is the state of a running script.
type guardScript struct {
	guard   worker.Guard
	now     time.Time
	running []worker.GuardTask
	actions []string
}

func (s *guardScript) do(words []string) error {
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return nil
	}
	switch words[0] {
	case "run":
		share, err := strconv.ParseFloat(words[3], 64)
		s.running = append(s.running, worker.GuardTask{Key: words[1], Class: words[2], Share: share, Urgent: words[2] == "urgent"})
		s.guard.TaskStarted(s.now, words[1])
		return err
	case "end":
		for i := range s.running {
			if s.running[i].Key == words[1] {
				s.running = append(s.running[:i], s.running[i+1:]...)
				break
			}
		}
		return nil
	case "hold":
		return s.hold(words[1:])
	case "want", "want-none":
		got, want := strings.Join(s.actions, " "), strings.Join(words[1:], " ")
		s.actions = nil
		if got != want {
			return fmt.Errorf("got actions %q, want %q", got, want)
		}
		return nil
	}
	return fmt.Errorf("unknown command %q", words[0])
}

func (s *guardScript) hold(words []string) error {
	var v [3]float64
	for i := range v {
		var err error
		if v[i], err = strconv.ParseFloat(words[i], 64); err != nil {
			return err
		}
	}
	for range int(v[0]) {
		s.now = s.now.Add(time.Second)
		for _, a := range s.guard.Decide(s.now, &worker.ServiceReading{Service: "planner", Pressure: v[1], Load: v[2]}, s.running) {
			text := a.Key() + ":" + a.Kind().String()
			if a.Kind() == worker.ActionThrottle {
				text += "=" + strconv.Itoa(a.CPUPercent())
			}
			s.actions = append(s.actions, text)
		}
	}
	return nil
}

func TestGuardRemovesUnknownCPULimit(t *testing.T) {
	var g worker.Guard
	got := g.Decide(epoch, &worker.ServiceReading{}, []worker.GuardTask{{Key: "a"}})
	if len(got) != 1 || got[0].Kind() != worker.ActionThrottle || got[0].CPUPercent() != 100 {
		t.Errorf("got %v, want one throttle action with 100 percent", got)
	}
}

// TestOscillatingLoadCausesFewMoves lets the pressure alternate between high
// and low every minute for an hour. Moves must stay within the rate limit: 2 at once
// and then 1 a minute.
func TestOscillatingLoadCausesFewMoves(t *testing.T) {
	var g worker.Guard
	running := make([]worker.GuardTask, 8)
	for i := range running {
		running[i] = worker.GuardTask{Key: fmt.Sprint(i), Class: "archive", Share: 0.1}
		g.TaskStarted(epoch, running[i].Key)
	}
	moves := 0
	for second := range 3600 {
		pressure := 0.4
		if second/60%2 == 0 {
			pressure = 1.2
		}
		r := worker.ServiceReading{Service: "planner", Pressure: pressure, Load: 0.9}
		for _, a := range g.Decide(epoch.Add(time.Duration(second)*time.Second), &r, running) {
			if a.Kind() == worker.ActionMove {
				moves++
			}
		}
	}
	if want := 62; moves > want {
		t.Errorf("got %d moves in an hour, want at most %d", moves, want)
	}
}

func TestTail(t *testing.T) {
	cases := []struct {
		name   string
		fast   int
		slow   int
		age    time.Duration
		want   time.Duration
		wantOK bool
	}{
		{"too few samples", 10, 0, 0, 0, false},
		{"one slow request is ignored", 99, 1, 0, time.Millisecond, true},
		{"several slow requests set the tail", 97, 3, 0, time.Second, true},
		{"old samples are ignored", 100, 50, time.Minute, 0, false},
		{"more samples than are kept", 3000, 300, 0, time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tail worker.LatencyWindow
			for range c.fast {
				tail.Add(epoch, time.Millisecond)
			}
			for range c.slow {
				tail.Add(epoch, time.Second)
			}
			got, ok := tail.TailLatency(epoch.Add(c.age))
			if got != c.want || ok != c.wantOK {
				t.Errorf("got %v, %v, want %v, %v", got, ok, c.want, c.wantOK)
			}
		})
	}
}
