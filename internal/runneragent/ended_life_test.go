package runneragent

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// endedLives returns the numbers of the run ends that a report lists of ended lives, by life.
func endedLives(r *peer.Report) map[uint64][]uint64 {
	out := make(map[uint64][]uint64)
	for _, l := range r.EndedLives {
		for _, e := range l.Ends {
			out[l.Life] = append(out[l.Life], e.Number)
		}
	}
	return out
}

// loseGoneRunner makes the runner refuse connections, and the agent notice it.
func (s *fixture) loseGoneRunner() {
	s.endRunner()
	_ = s.agent.poll(context.Background(), 0)
}

// returnRunner makes the runner list another life, and the agent poll it.
func (s *fixture) returnRunner(t *testing.T, life uint64) {
	t.Helper()
	s.runner.mu.Lock()
	s.runner.gone, s.runner.listing = false, Listing{ClockMS: 1, StartedAtMS: life}
	s.runner.mu.Unlock()
	s.poll(t)
}

// reconnect makes the agent report as on a new connection to a dispatcher.
func (s *fixture) reconnect(state runnerState) {
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	s.agent.sendFirstReport(clock.Steady(), state)
}

// lastReport returns the last report that the agent has sent.
func (s *fixture) lastReport(t *testing.T) *peer.Report {
	t.Helper()
	sent := s.sentSoFar(t, isReport)
	if len(sent) == 0 {
		t.Fatal("reports: got none, want one")
	}
	return sent[len(sent)-1].Report
}

// Tasks were started again whose ends the agent knew: they were dropped with the life of the runner that had listed them.
func TestEndsOfAnEndedLifeAreReportedUntilAcknowledged(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(t *testing.T, s *fixture)
		// want is the number of ends of life 7 that the last report lists.
		want int
	}{
		{"the runner has gone", func(_ *testing.T, s *fixture) { s.loseGoneRunner() }, 1},
		{"and another dispatcher asks", func(_ *testing.T, s *fixture) {
			s.loseGoneRunner()
			s.reconnect(runnerEnded)
		}, 1},
		{"the runner has restarted", func(t *testing.T, s *fixture) { t.Helper(); s.returnRunner(t, 8) }, 1},
		{"the runner has gone and returned", func(t *testing.T, s *fixture) {
			t.Helper()
			s.loseGoneRunner()
			s.returnRunner(t, 8)
		}, 1},
		{"and another dispatcher asks in the life after the next", func(t *testing.T, s *fixture) {
			t.Helper()
			s.returnRunner(t, 8)
			s.returnRunner(t, 9)
			s.reconnect(runnerAnswers)
		}, 1},
		{"acknowledged before the runner has gone", func(_ *testing.T, s *fixture) {
			s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: 1})
			s.loseGoneRunner()
		}, 0},
		{"acknowledged after the runner has restarted", func(t *testing.T, s *fixture) {
			t.Helper()
			s.returnRunner(t, 8)
			s.agent.handleAck(&peer.RunEndsAck{Life: 7, LastAckedEnd: 1})
			s.reconnect(runnerAnswers)
		}, 0},
		{"an end of the next life is acknowledged", func(t *testing.T, s *fixture) {
			t.Helper()
			s.returnRunner(t, 8)
			s.agent.handleAck(&peer.RunEndsAck{Life: 8, LastAckedEnd: 1})
			s.reconnect(runnerAnswers)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.listEnd(t, 1)
			tc.play(t, s)
			if got := len(endedLives(s.lastReport(t))[7]); got != tc.want {
				t.Errorf("ends of life 7 in the last report: got %d, want %d", got, tc.want)
			}
		})
	}
}

// Ends that nobody acknowledges must not fill the agent's memory, nor its reports.
func TestKeptEndsAreBounded(t *testing.T) {
	s := newFixture(t)
	const perLife = 500
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	for life := range uint64(12) {
		var ends []dispatch.RunEnd
		for n := range uint64(perLife) {
			ends = append(ends, dispatch.RunEnd{Number: n + 1})
		}
		s.agent.keepEnds(life, ends)
	}
	kept := s.agent.endedLives(false)
	if got, want := len(kept), maxKeptEnds/perLife; got != want {
		t.Errorf("kept lives: got %d, want %d", got, want)
	}
	if got, want := kept[len(kept)-1].Life, uint64(11); got != want {
		t.Errorf("last kept life: got %d, want %d", got, want)
	}
}

func TestReportOfAnOlderAgentIsDecoded(t *testing.T) {
	type olderReport struct {
		Worker dispatch.Worker `cbor:"1,keyasint"`
	}
	data, err := cbor.Marshal(olderReport{Worker: dispatch.Worker{Name: "w1", Life: 7}})
	if err != nil {
		t.Fatal(err)
	}
	var got peer.Report
	if err := cbor.Unmarshal(data, &got); err != nil || got.Worker.Life != 7 || len(got.EndedLives) != 0 {
		t.Errorf("report: got %+v, %v, want life 7 without ended lives", got, err)
	}
}
