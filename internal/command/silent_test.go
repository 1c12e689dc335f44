package command

import (
	"fmt"
	"net/http"
	"testing"

	"savoryhoist.example/savoryhoist/internal/standin"
)

// TestRequestsAvoidSilentRunner lets one of two runners accept requests without
// ever answering them. The other runner must answer all repeatable requests
// before their deadline.
func TestRequestsAvoidSilentRunner(t *testing.T) {
	s := newSite(t, 1, 2)
	load := &traffic{s: s, pickEntry: func() string { return s.entryURLs[0] }}
	s.runners[0].SetFaults(standin.RunnerFaults{Silent: true})
	for i := range 20 {
		body := fmt.Sprintf("request %d", i)
		if err := load.send(body, http.Header{"Savoryhoist-Deadline": {waitTimeout.String()}}); err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
}
