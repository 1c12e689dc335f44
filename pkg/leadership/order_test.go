package leadership

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// Guards against starts that a dispatcher orders although others may have acknowledged what it does not know, and against
// starts that are held while the store fails everybody.
func TestDecideStart(t *testing.T) {
	data, err := os.ReadFile("testdata/order.json")
	if err != nil {
		t.Fatal(err)
	}
	decisions := map[string]OrderDecision{"check": OrderCheck, "proceed": OrderProceed, "refuse": OrderRefuse}
	var cases []struct {
		Name string `json:"name"`
		// ContactAgeMS is the age of the store's last answer to the dispatcher when it sent the order, at 0.
		ContactAgeMS int64 `json:"contact-age-ms"`
		Events       []struct {
			AtMS int64  `json:"at-ms"`
			Do   string `json:"do"`
			Want string `json:"want"`
		} `json:"events"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			basis := NewOrderBasis(at(0), time.Duration(tc.ContactAgeMS)*time.Millisecond)
			var check TermCheck
			for i, e := range tc.Events {
				switch e.Do {
				case "current":
					check.NoteCurrent(at(e.AtMS))
				case "fail":
					check.NoteFailure(at(e.AtMS))
				case "decide":
					want, known := decisions[e.Want]
					if !known {
						t.Fatalf("event %d: unknown decision %q", i, e.Want)
					}
					if got := basis.DecideStart(at(e.AtMS), &check); got != want {
						t.Errorf("event %d: decision: got %d, want %d (%s)", i, got, want, e.Want)
					}
				default:
					t.Fatalf("event %d: unknown event %q", i, e.Do)
				}
			}
		})
	}
}
