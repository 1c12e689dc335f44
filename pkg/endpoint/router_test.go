package endpoint

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// routeScript is a sequence of reports, requests and results at a Router, read
// from testdata.
type routeScript struct {
	Promise string
	Steps   []struct {
		Do          string
		Endpoint    string
		Incarnation uint64
		InFlight    int `json:"in-flight"`
		Reserved    int
		Leaving     bool
		Class       string
		Times       int
		For         jsonDuration
		// Want is the expected verdict on every request, and Among the endpoints
		// to which it may be sent.
		Want  string
		Among []string
		// Most is the most requests that one endpoint may get.
		Most int
	}
}

// routeRunner runs a routeScript.
type routeRunner struct {
	t        *testing.T
	router   Router
	random   *rand.Rand
	now      time.Time
	mark     uint64
	inFlight map[string][]*SlotRequest
}

func TestRouter(t *testing.T) {
	eachScript(t, "route", func(t *testing.T, s *routeScript) {
		t.Helper()
		w := &routeRunner{t: t, random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1, 0), inFlight: make(map[string][]*SlotRequest)}
		for i, step := range s.Steps {
			switch step.Do {
			case "report":
				w.mark++
				w.router.Table().Observe(w.now, Report{
					Name: step.Endpoint, Incarnation: max(step.Incarnation, 1), Mark: w.mark, Slots: 8, Draining: step.Leaving,
					Load: Load{InFlight: step.InFlight, ReservedSlots: step.Reserved},
				})
			case "pass":
				w.now = w.now.Add(time.Duration(step.For))
			case "offer":
				w.offer(i, step.Class, max(step.Times, 1), step.Want, step.Among, step.Most)
			case "done":
				for _, request := range w.inFlight[step.Endpoint] {
					w.router.Done(w.router.table.byName[step.Endpoint], request)
				}
				w.inFlight[step.Endpoint] = nil
			case "fail":
				for range max(step.Times, 1) {
					w.router.Table().RecordFailure(w.now, w.random, w.router.table.byName[step.Endpoint])
				}
			case "succeed":
				for range max(step.Times, 1) {
					w.router.Table().RecordSuccess(w.now, w.router.table.byName[step.Endpoint])
				}
			default:
				t.Fatalf("step %d: unknown step %q", i, step.Do)
			}
		}
	})
}

// offer offers requests of a class to the router and checks the verdict on each of them,
// the endpoints chosen, and that none gets more than most requests (0 for no limit).
func (w *routeRunner) offer(step int, class string, times int, want string, among []string, most int) {
	w.t.Helper()
	declared := 10 * time.Millisecond
	if class == "long" {
		declared = time.Second
	}
	got := make(map[string]int)
	for range times {
		request := w.router.NewSlotRequest(w.now, class, "team", 5, w.now.Add(time.Minute), declared)
		d := w.router.Offer(w.now, w.random, request, "")
		if d.Verdict.String() != want {
			w.t.Errorf("step %d: got %v (%s), want %s", step, d.Verdict, d.Reason, want)
		}
		if d.Endpoint == nil {
			continue
		}
		name := d.Endpoint.Name()
		got[name]++
		w.inFlight[name] = append(w.inFlight[name], request)
		if among != nil && !slices.Contains(among, name) {
			w.t.Errorf("step %d: got endpoint %s, want one of %v", step, name, among)
		}
	}
	for name, n := range got {
		if most > 0 && n > most {
			w.t.Errorf("step %d: requests at %s: got %d, want at most %d", step, name, n, most)
		}
	}
}
