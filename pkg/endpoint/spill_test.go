package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSpillUsesItsPartOfFreeSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.UnixMilli(1_000_000)
	sum := DataCentreLoad{DataCentre: "dc-2", Slots: 88, InFlight: 64, Entries: 4, RoundTrip: 10 * time.Millisecond}
	for _, test := range []struct {
		name  string
		wait  time.Duration
		after time.Duration
		done  int
		want  int
	}{
		{"the wait is shorter than two round trips", 19 * time.Millisecond, 0, 0, 0},
		{"a quarter of 24 free slots", 20 * time.Millisecond, 0, 0, 6},
		{"ended requests free their slots", 20 * time.Millisecond, 0, 3, 9},
		{"a stale load is not used", 20 * time.Millisecond, 4 * time.Second, 0, 0},
	} {
		var n RemoteDataCentres
		n.Observe(now, sum)
		got := 0
		done := test.done
		for range 100 {
			dataCentre, _ := n.Spill(now.Add(test.after), random, test.wait)
			if dataCentre == "" {
				break
			}
			got++
			if done > 0 {
				done--
				n.Done(dataCentre)
			}
		}
		if got != test.want {
			t.Errorf("%s: requests sent: got %d, want %d", test.name, got, test.want)
		}
	}
}

// TestSpillCountsReportedRequestsOnce checks that a request that is already in the load
// reported by the other data centre is not subtracted a second time from this entry's
// share of the free slots there.
func TestSpillCountsReportedRequestsOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.UnixMilli(1_000_000)
	var n RemoteDataCentres
	n.Observe(now, DataCentreLoad{DataCentre: "dc-2", Slots: 8, Entries: 1})
	for range 6 {
		n.Spill(now, random, time.Second)
	}
	n.Observe(now, DataCentreLoad{DataCentre: "dc-2", Slots: 8, InFlight: 6, Entries: 1})
	got := 0
	for ; got < 10; got++ {
		if dataCentre, _ := n.Spill(now, random, time.Second); dataCentre == "" {
			break
		}
	}
	if want := 2; got != want {
		t.Errorf("requests sent after the report: got %d, want %d", got, want)
	}
}
