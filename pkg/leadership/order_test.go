package leadership

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// Guards against orders of a dispatcher that rest on what it knew before others acknowledged more, and against orders that
// are held while the store fails everybody.
func TestDecideOrder(t *testing.T) {
	data, err := os.ReadFile("testdata/order.json")
	if err != nil {
		t.Fatal(err)
	}
	decisions := map[string]OrderDecision{"check": OrderCheck, "proceed": OrderProceed, "refuse": OrderRefuse, "outdated": OrderOutdated}
	var cases []struct {
		Name string `json:"name"`
		// ContactAgeMS is the age of the store's last answer to the dispatcher when it sent the order, at 0.
		ContactAgeMS int64 `json:"contact-age-ms"`
		// ConfirmedAgeMS is the age of the newest write under the term then.
		ConfirmedAgeMS int64 `json:"confirmed-age-ms"`
		// Second is set if the order is for a second run of a task.
		Second bool `json:"second"`
		Events []struct {
			AtMS int64  `json:"at-ms"`
			Do   string `json:"do"`
			// Want is the decision about a start, and WantStop that about a stop.
			Want     string `json:"want"`
			WantStop string `json:"want-stop"`
			// DeadlineMS is the time before which a start that proceeds has to take effect.
			DeadlineMS int64 `json:"deadline-ms"`
		} `json:"events"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			basis := NewOrderBasis(at(0), time.Duration(tc.ContactAgeMS)*time.Millisecond, time.Duration(tc.ConfirmedAgeMS)*time.Millisecond)
			if tc.Second {
				basis = basis.ForSecondRun()
			}
			var check TermCheck
			for i, e := range tc.Events {
				switch e.Do {
				case "current":
					check.NoteCurrent(at(e.AtMS))
				case "fail":
					check.NoteFailure(at(e.AtMS))
				case "decide":
					want, known := decisions[e.Want]
					wantStop, knownStop := decisions[e.WantStop]
					if !known || !knownStop {
						t.Fatalf("event %d: unknown decision %q or %q", i, e.Want, e.WantStop)
					}
					if got := basis.DecideStart(at(e.AtMS), &check); got != want {
						t.Errorf("event %d: start: got %d, want %d (%s)", i, got, want, e.Want)
					}
					if got, want := basis.StartDeadline(at(e.AtMS), &check), at(e.DeadlineMS); want.After(at(0)) && !got.Equal(want) {
						t.Errorf("event %d: deadline: got %s after the order, want %s", i, got.Sub(at(0)), want.Sub(at(0)))
					}
					if got := basis.DecideStop(at(e.AtMS), &check); got != wantStop {
						t.Errorf("event %d: stop: got %d, want %d (%s)", i, got, wantStop, e.WantStop)
					}
				default:
					t.Fatalf("event %d: unknown event %q", i, e.Do)
				}
			}
		})
	}
}
