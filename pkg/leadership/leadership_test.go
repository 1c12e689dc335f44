package leadership

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after start.
func at(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestCandidate(t *testing.T) {
	data, err := os.ReadFile("testdata/candidate.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name   string `json:"name"`
		Events []struct {
			AtMS int64  `json:"at-ms"`
			Do   string `json:"do"`
			Term uint64 `json:"term"`
			Rank int    `json:"rank"`
			// Outclassed is set if a much stronger entry is known.
			Outclassed bool `json:"outclassed"`
			Others     int  `json:"others"`
			Want       bool `json:"want"`
		} `json:"events"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var c Candidate
			for i, e := range tc.Events {
				switch e.Do {
				case "learn":
					if got := c.ObserveClaim(at(e.AtMS), Claim{Term: e.Term}); got != e.Want {
						t.Errorf("event %d: learn: got %v, want %v", i, got, e.Want)
					}
				case "hear":
					c.NoteContact(at(e.AtMS), e.Term)
				case "resigned":
					c.NoteResigned(at(e.AtMS), e.Term)
				case "decide":
					if got, reason := c.ShouldClaim(at(e.AtMS), Standing{Rank: e.Rank, Outclassed: e.Outclassed}, e.Others); got != e.Want {
						t.Errorf("event %d: claim: got %v (%s), want %v", i, got, reason, e.Want)
					}
				default:
					t.Fatalf("unknown event %q", e.Do)
				}
			}
		})
	}
}

func TestLeaderLease(t *testing.T) {
	var leadership LeaderLease
	leadership.Renew(at(0))
	leadership.Renew(at(-500)) // the reply to an earlier write arrives later
	for _, tc := range []struct {
		ms   int64
		want bool
	}{{9000, true}, {9999, true}, {10000, false}} {
		if got := leadership.Valid(at(tc.ms)); got != tc.want {
			t.Errorf("leadership lease valid %d ms after the newest write: got %v, want %v", tc.ms, got, tc.want)
		}
	}
}

// The lease of a worker must have expired on the worker's clock before the dispatcher regards
// the lease as expired, with clocks whose rates differ by one percent (a hundredth).
func TestWorkerLeaseExpiresAtWorkerFirst(t *testing.T) {
	var lease WorkerLease
	lease.Renew(at(0))
	if got, want := lease.Remaining(at(1000)), 4*time.Second; got != want {
		t.Errorf("remaining lease: got %v, want %v", got, want)
	}
	if got := lease.Remaining(at(5000)); got != 0 {
		t.Errorf("remaining lease after its end: got %v, want 0", got)
	}
	workerEnd := at(5000).Add(50 * time.Millisecond) // the worker's clock is slow by one percent
	var leadership LeaderLease
	leadership.Renew(at(9000))
	if got, _ := leadership.ConfirmsEnd(workerEnd, WorkerLeaseEndsBy(at(0))); got {
		t.Error("lease expired while it may still run on a slow clock: got true, want false")
	}
	if got, _ := leadership.ConfirmsEnd(at(5300), WorkerLeaseEndsBy(at(0))); !got {
		t.Error("lease expired 5.3 s after the last ping: got false, want true")
	}
}

// A dispatcher that lost contact with a worker must not regard the worker's lease as expired while a
// later dispatcher may have extended the lease: a write accepted under the first dispatcher's term
// has to show that there is no later one.
func TestWorkerLeaseEndNeedsWrite(t *testing.T) {
	var leadership LeaderLease
	for _, tc := range []struct {
		now, renewed        int64
		expired, needsWrite bool
	}{{5000, 4900, false, false}, {5400, 5200, false, true}, {5400, 5350, true, false}, {9000, 5350, true, false}} {
		leadership.Renew(at(tc.renewed))
		if expired, needsWrite := leadership.ConfirmsEnd(at(tc.now), WorkerLeaseEndsBy(at(0))); expired != tc.expired || needsWrite != tc.needsWrite {
			t.Errorf("at %d ms, newest write at %d ms: got expired %v and write needed %v, want %v and %v", tc.now, tc.renewed, expired, needsWrite, tc.expired, tc.needsWrite)
		}
	}
}

func TestPredecessor(t *testing.T) {
	expired := func(p *Predecessor, ms int64) bool { return !at(ms).Before(p.LeasesEndBy()) }
	var none Predecessor
	if !expired(&none, 0) {
		t.Error("without a predecessor: got leases not expired, want expired")
	}
	var silent Predecessor
	silent.TermBegan(at(0))
	if expired(&silent, 15000) {
		t.Error("a silent predecessor may have renewed its leadership just before the term: got leases expired, want not expired")
	}
	if !expired(&silent, 15500) {
		t.Error("after leadership lease and worker lease: got leases not expired, want expired")
	}
	var dead Predecessor
	dead.TermBegan(at(0))
	dead.NoteDead(at(100))
	if expired(&dead, 5000) {
		t.Error("worker leases of a dead predecessor still run: got leases expired, want not expired")
	}
	if !expired(&dead, 5500) {
		t.Error("after the worker leases of a dead predecessor: got leases not expired, want expired")
	}
}

func TestMayServe(t *testing.T) {
	data, err := os.ReadFile("testdata/mayserve.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name string `json:"name"`
		// Earlier holds, as entry and incarnation, the processes that made claims 1, 2 and so on.
		Earlier []struct {
			Entry       string `json:"entry"`
			Incarnation uint64 `json:"incarnation"`
		} `json:"earlier"`
		Term  uint64   `json:"term"`
		Terms []uint64 `json:"terms"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var earlier []Claim
			for i, e := range tc.Earlier {
				earlier = append(earlier, Claim{Term: uint64(i + 1), Entry: e.Entry, Incarnation: e.Incarnation})
			}
			var got []uint64
			for _, c := range MayServe(earlier, Claim{Term: tc.Term, Entry: "a", Incarnation: 2}) {
				got = append(got, c.Term)
			}
			if want := tc.Terms; !slices.Equal(got, want) {
				t.Errorf("terms: got %v, want %v", got, want)
			}
		})
	}
}

func TestLeadershipOver(t *testing.T) {
	var none, silent, dead Predecessor
	silent.TermBegan(at(0))
	dead.TermBegan(at(0))
	dead.NoteDead(at(100))
	for _, tc := range []struct {
		name        string
		predecessor *Predecessor
		ms          int64
		want        bool
	}{{"no predecessor", &none, 0, true}, {"silent", &silent, 10100, false}, {"silent for its lease", &silent, 10400, true}, {"dead", &dead, 100, true}} {
		if got := tc.predecessor.LeadershipOver(at(tc.ms)); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
