package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"savoryhoist.example/savoryhoist/internal/problem"
)

// TestSpillToAnotherDataCentre stops the agent of the only endpoint of a data
// centre. The entry there must send repeatable requests to the other data
// centre, and must refuse requests that must not be repeated with the outcome
// that they were not run.
func TestSpillToAnotherDataCentre(t *testing.T) {
	s := newSite(t, 1, 1, "dc-1", "dc-2")
	second := s.entryURLs[1]
	load := &traffic{s: s, pickEntry: func() string { return second }}
	s.stop(s.agentOf("dc-2"))
	s.eventually("a request is answered from dc-1", func() bool { return load.sendShortRequest("probe") == nil })
	for i := range 50 {
		if err := load.sendShortRequest(fmt.Sprintf("request %d", i)); err != nil {
			t.Error(err)
		}
	}
	resp, err := load.post("/services/planner/preview", "once", http.Header{"Savoryhoist-Repeat": {"never"}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var p problem.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatal(err)
	}
	if got, want := p.Outcome, problem.NotRun; got != want || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request that must not be repeated: got status %d, outcome %q, want 503, %q", resp.StatusCode, got, want)
	}
	if got, want := resp.Header.Get("Retry-After"), ""; got == want {
		t.Error("refusal without Retry-After")
	}
}

// agentOf returns the first agent in a data centre.
func (s *site) agentOf(dataCentre string) *process {
	for _, p := range s.processes {
		if p.dataCentre == dataCentre && strings.HasPrefix(p.name, "worker-") {
			return p
		}
	}
	s.t.Fatalf("no agent in %s", dataCentre)
	return nil
}
