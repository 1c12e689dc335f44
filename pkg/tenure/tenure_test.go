package tenure

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestCandidate(t *testing.T) {
	data, err := os.ReadFile("testdata/candidate.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name   string `json:"name"`
		Events []struct {
			AtMS   int64  `json:"at-ms"`
			Do     string `json:"do"`
			Term   uint64 `json:"term"`
			Rank   int    `json:"rank"`
			Others int    `json:"others"`
			Want   bool   `json:"want"`
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
					if got := c.Learn(at(e.AtMS), Claim{Term: e.Term}); got != e.Want {
						t.Errorf("event %d: learn: got %v, want %v", i, got, e.Want)
					}
				case "hear":
					c.Hear(at(e.AtMS), e.Term)
				case "resigned":
					c.Resigned(e.Term)
				case "decide":
					if got, reason := c.Decide(at(e.AtMS), e.Rank, e.Others); got != e.Want {
						t.Errorf("event %d: claim: got %v (%s), want %v", i, got, reason, e.Want)
					}
				default:
					t.Fatalf("unknown event %q", e.Do)
				}
			}
		})
	}
}

func TestHolder(t *testing.T) {
	var h Holder
	h.Prove(at(0))
	h.Prove(at(-500)) // the answer to an earlier write arrives later
	for _, tc := range []struct {
		ms   int64
		want bool
	}{{9000, true}, {9999, true}, {10000, false}} {
		if got := h.Valid(at(tc.ms)); got != tc.want {
			t.Errorf("valid %d ms after the proof: got %v, want %v", tc.ms, got, tc.want)
		}
	}
}

// A worker's last lease has ended before the dispatcher takes it for lost, with
// clocks that differ by a hundredth in rate.
func TestGrantEndsBeforeLapse(t *testing.T) {
	var g Grant
	g.Renew(at(0))
	if got, want := g.Left(at(1000)), 4*time.Second; got != want {
		t.Errorf("left: got %v, want %v", got, want)
	}
	if got := g.Left(at(5000)); got != 0 {
		t.Errorf("left after the grant: got %v, want 0", got)
	}
	end := at(5000).Add(50 * time.Millisecond) // the runner's clock is slow by a hundredth
	var h Holder
	h.Prove(at(9000))
	if got, _ := h.Ended(end, LapsesAt(at(0))); got {
		t.Error("lapsed while a slow clock may still count: got true, want false")
	}
	if got, _ := h.Ended(at(5300), LapsesAt(at(0))); !got {
		t.Error("lapsed 5.3 s after the last ping: got false, want true")
	}
}

// A later dispatcher may have granted more to a worker that this one does not
// hear, until a write under its own term shows that there was none.
func TestLapseNeedsProof(t *testing.T) {
	var h Holder
	for _, tc := range []struct {
		now, proven int64
		ended, ask  bool
	}{{5000, 4900, false, false}, {5400, 5200, false, true}, {5400, 5350, true, false}, {9000, 5350, true, false}} {
		h.Prove(at(tc.proven))
		if ended, ask := h.Ended(at(tc.now), LapsesAt(at(0))); ended != tc.ended || ask != tc.ask {
			t.Errorf("at %d ms, proven at %d ms: got ended %v and ask %v, want %v and %v", tc.now, tc.proven, ended, ask, tc.ended, tc.ask)
		}
	}
}

func TestPredecessor(t *testing.T) {
	over := func(p *Predecessor, ms int64) bool { return !at(ms).Before(p.EndsAt()) }
	var none Predecessor
	if !over(&none, 0) {
		t.Error("without a predecessor: got not over, want over")
	}
	var silent Predecessor
	silent.Follow(at(0))
	if over(&silent, 15000) {
		t.Error("a silent predecessor may have proven itself just before: got over, want not")
	}
	if !over(&silent, 15500) {
		t.Error("after proof and grant: got not over, want over")
	}
	var dead Predecessor
	dead.Follow(at(0))
	dead.Dead(at(100))
	if over(&dead, 5000) {
		t.Error("a dead predecessor's grants still run: got over, want not")
	}
	if !over(&dead, 5500) {
		t.Error("after a dead predecessor's grants: got not over, want over")
	}
}
