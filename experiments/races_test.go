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

// spreadBound is how soon a bundle must be in force at every process.
const spreadBound = 5 * time.Second

// raceBundles publishes pairs of bundles with the same parent at two entries at
// once and returns the longest time, in milliseconds, until the winner was in
// force at every entry and agent.
func (s *site) raceBundles(races int) float64 {
	longest := time.Duration(0)
	parent := s.signed(s.document)
	document := *s.document
	for race := range races {
		var candidates [2]*bundle.Signed
		for i := range candidates {
			next := document
			next.Version = document.Version + 1
			next.Parent = bundle.Digest(parent.Content())
			next.Teams = append(append([]bundle.Team{}, document.Teams...), bundle.Team{Name: fmt.Sprintf("team-%d-%d", race, i)})
			candidates[i] = s.signed(&next)
		}
		began := time.Now()
		winner := s.publishBoth(candidates)
		if winner < 0 {
			return 0
		}
		parent = candidates[winner]
		document.Version++
		digest := bundle.Digest(parent.Content())
		for !s.inForce(digest) && time.Since(began) < readyWithin {
			time.Sleep(readyPoll)
		}
		longest = max(longest, time.Since(began))
	}
	if longest > spreadBound {
		s.t.Errorf("bundle in force everywhere: got %s, want at most %s", longest, spreadBound)
	}
	return float64(longest.Milliseconds())
}

// publishBoth publishes two bundles at once and returns which one was accepted, or -1.
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

// inForce reports whether every entry and every agent has the bundle.
func (s *site) inForce(digest string) bool {
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
