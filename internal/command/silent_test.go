package command

import (
	"fmt"
	"net/http"
	"testing"

	"savoryhoist.example/savoryhoist/internal/standin"
)

// TestSilentRunner makes one of two runners silent: repeatable requests are
// answered by the other one long before their deadline.
func TestSilentRunner(t *testing.T) {
	s := newSite(t, 1, 2)
	load := &traffic{s: s, pick: func() string { return s.entryURLs[0] }}
	s.runners[0].SetFaults(standin.RunnerFaults{Silent: true})
	for i := range 20 {
		body := fmt.Sprintf("request %d", i)
		if err := load.send(body, http.Header{"Savoryhoist-Deadline": {readyWithin.String()}}); err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
}
