package leadership

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// readCases reads scripted cases from a data file.
func readCases(t *testing.T, path string, cases any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, cases); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}

// A dispatcher that is cut off together with a worker must not extend its lease for longer than a later one waits, and an outage of
// the store for all must end no work.
func TestLeaseWithFollowers(t *testing.T) {
	var cases []struct {
		Name   string
		Events []struct {
			At        int64
			Do        string
			Entry     string
			SentAfter *int64 `json:"sent-after"`
			Valid     bool
		}
	}
	readCases(t, "testdata/followers.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var l LeaderLease
			for _, e := range tc.Events {
				switch e.Do {
				case "renew":
					l.Renew(at(e.At))
				case "answer":
					var sentAfter time.Time
					if e.SentAfter != nil {
						sentAfter = at(*e.SentAfter)
					}
					l.Followers().NoteAnswer(at(e.At), e.Entry, sentAfter)
				case "":
					if got := l.Valid(at(e.At)); got != e.Valid {
						t.Errorf("valid at %d ms: got %v, want %v", e.At, got, e.Valid)
					}
				default:
					t.Fatalf("unknown event %q", e.Do)
				}
			}
		})
	}
}

// Jobs of a worker that is lost together with its dispatcher must not wait for a lease that the dispatcher cannot have used.
func TestPredecessorWithFollowers(t *testing.T) {
	var cases []struct {
		Name                  string
		Began, Followed, Dead int64
		// Over is from when on no earlier dispatcher can act, LeasesEnd from when on no run that one started can be at work.
		Over      int64
		LeasesEnd int64 `json:"leases-end"`
	}
	readCases(t, "testdata/predecessor.json", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			var p Predecessor
			if tc.Began > 0 {
				p.TermBegan(at(tc.Began))
			}
			if tc.Followed > 0 {
				p.NoteFollowed(at(tc.Followed))
				p.NoteFollowed(at(tc.Followed + 5000)) // only the first counts
			}
			if tc.Dead > 0 {
				p.NoteDead(at(tc.Dead))
			}
			if tc.Over > max(tc.Followed, tc.Dead) && p.LeadershipOver(at(tc.Over-1)) {
				t.Errorf("leadership over at %d ms: got true, want false", tc.Over-1)
			}
			if !p.LeadershipOver(at(tc.Over)) {
				t.Errorf("leadership over at %d ms: got false, want true", tc.Over)
			}
			if tc.Began == 0 {
				return
			}
			if got, want := p.LeasesEndBy(), at(tc.LeasesEnd); !got.Equal(want) {
				t.Errorf("end of the leases: got %v, want %v", got.Sub(at(0)), want.Sub(at(0)))
			}
		})
	}
}

// Of the claims of a process only the newest may be served. An entry that followed an earlier one says nothing to its dispatcher.
func TestAllFollowed(t *testing.T) {
	b := func(term uint64) Claim { return Claim{Term: term, Entry: "b", Incarnation: 1} }
	c := func(term uint64) Claim { return Claim{Term: term, Entry: "c", Incarnation: 1} }
	for _, tc := range []struct {
		name     string
		earlier  []Claim
		followed []uint64
		want     bool
	}{
		{"the only dispatcher", []Claim{b(1)}, []uint64{1}, true},
		{"a dispatcher that is not known", []Claim{b(1)}, nil, false},
		{"one of two", []Claim{b(1), c(2)}, []uint64{2}, false},
		{"both", []Claim{b(1), c(2)}, []uint64{1, 2}, true},
		{"only the first claim of a process", []Claim{b(1), b(3), c(2)}, []uint64{1, 2}, false},
		{"the newest claims", []Claim{b(1), c(2), b(3)}, []uint64{2, 3}, true},
	} {
		followed := make(map[uint64]bool)
		for _, term := range tc.followed {
			followed[term] = true
		}
		watched := MayServe(tc.earlier, Claim{Term: 9, Entry: "a"})
		if got := AllFollowed(watched, tc.earlier, followed); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// An entry must not count on a dispatcher that may have forgotten it before its leadership lease expires.
func TestFollowed(t *testing.T) {
	var f Followed
	f.NoteAnswer(3, at(0))
	f.NoteAnswer(4, at(30000))
	f.NoteAnswer(4, at(20000)) // the answer to an earlier ping arrives later
	for _, tc := range []struct {
		ms          int64
		three, four bool
	}{{45000, true, true}, {45001, false, true}, {75000, false, true}, {75001, false, false}} {
		terms := f.Terms(at(tc.ms))
		if terms[3] != tc.three || terms[4] != tc.four {
			t.Errorf("at %d ms: got %v, want term 3 %v, term 4 %v", tc.ms, terms, tc.three, tc.four)
		}
	}
	if latest := maxFollowedAge + withMargin(LeaderLeaseDuration); latest >= followerRetention-followerRetention/clockDriftDivisor {
		t.Errorf("a dispatcher forgets its followers: got a retention of %v, want more than %v", followerRetention, latest)
	}
}
