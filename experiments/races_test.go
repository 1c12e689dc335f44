//go:build experiments

package experiments

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// bundleSpreadLimit is the time within which a published bundle must be in force at every
// entry and agent.
const bundleSpreadLimit = 5 * time.Second

// raceBundles publishes a number of pairs of bundles with the same parent, each pair at
// two entries at the same time. It returns the longest time, in milliseconds, until the
// accepted bundle of a pair was in force at every entry and agent.
func (s *site) raceBundles(races int) float64 {
	longest := time.Duration(0)
	parent := s.signBundle(s.document)
	document := *s.document
	for race := range races {
		var candidates [2]*bundle.Signed
		for i := range candidates {
			next := document
			next.Version = document.Version + 1
			next.Parent = bundle.Digest(parent.Content())
			next.Teams = append(append([]bundle.Team{}, document.Teams...), bundle.Team{Name: fmt.Sprintf("team-%d-%d", race, i)})
			candidates[i] = s.signBundle(&next)
		}
		began := time.Now()
		winner := s.publishBoth(candidates)
		if winner < 0 {
			return 0
		}
		parent = candidates[winner]
		document.Version++
		digest := bundle.Digest(parent.Content())
		for !s.bundleInForce(digest) && time.Since(began) < readyTimeout {
			time.Sleep(readyPollInterval)
		}
		longest = max(longest, time.Since(began))
	}
	if longest > bundleSpreadLimit {
		s.t.Errorf("bundle in force everywhere: got %s, want at most %s", longest, bundleSpreadLimit)
	}
	return float64(longest.Milliseconds())
}

// publishBoth publishes two bundles at the same time and returns the index of the
// accepted one. If not exactly one is accepted and the other one refused as a
// conflict, the test fails and the result is -1.
func (s *site) publishBoth(candidates [2]*bundle.Signed) int {
	var statuses [2]int
	var group sync.WaitGroup
	for i := range candidates {
		group.Go(func() { statuses[i] = s.publish(s.entries[i%len(s.entries)], candidates[i]) })
	}
	group.Wait()
	switch {
	case statuses[0] == http.StatusOK && statuses[1] == http.StatusConflict:
		return 0
	case statuses[1] == http.StatusOK && statuses[0] == http.StatusConflict:
		return 1
	}
	s.t.Errorf("racing bundles: got statuses %v, want one 200 and one 409", statuses)
	return -1
}

// bundleInForce reports whether the bundle with this digest is in force at every entry and agent.
func (s *site) bundleInForce(digest string) bool {
	workers := make(map[string]bool)
	for _, e := range s.entries {
		var status entry.Status
		resp, err := http.Get(e.url + "/status")
		if err != nil {
			return false
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
		if err != nil || status.BundleDigest != digest {
			return false
		}
		for _, w := range status.Workers {
			workers[w.Name] = workers[w.Name] || w.Bundle == digest
		}
	}
	for _, p := range s.agents {
		if !workers[p.name] {
			return false
		}
	}
	return true
}
