package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

const guardedBundle = `
version: 1
services:
  - name: planner
    slots: 2
    connections: 4
    body-limit: 1024
    objective: 100ms
    classes:
      - {name: preview, priority: 9, deadline: 2s, expected: 20ms}
      - {name: season-plan, priority: 3, deadline: 60s, expected: 2s}
batch-classes:
  - {name: archive, priority: 1, takeover-after: 60s, max-attempts: 5}
`

var startTime = time.Unix(1_000_000, 0)

// guardFixture is an agent with a fake worker that records the calls it gets.
type guardFixture struct {
	agent *Agent
	calls []string
	// failing is the name of the calls that fail.
	failing string
	listing services.TaskList
	now     time.Time
}

func newGuardFixture(t *testing.T) *guardFixture {
	t.Helper()
	private, public, err := bundle.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	roots, err := bundle.ParseRoots("alice="+public, 1)
	if err != nil {
		t.Fatal(err)
	}
	d, err := bundle.ParseTemplate([]byte(guardedBundle), roots)
	if err != nil {
		t.Fatal(err)
	}
	content, err := bundle.Format(d)
	if err != nil {
		t.Fatal(err)
	}
	signed := bundle.NewSigned(content)
	signed.Sign("alice", private)
	g := &guardFixture{now: startTime, agent: &Agent{
		settings: Settings{Service: "planner"}, log: &log.Logger{Level: log.PanicLevel}, chain: bundle.NewChain(roots),
		registry: gometrics.NewRegistry(),
	}}
	if err := g.agent.chain.Offer(signed); err != nil {
		t.Fatal(err)
	}
	g.agent.worker = services.Worker{
		Throttle: func(_ context.Context, key string, percent int) error {
			return g.call("throttle", fmt.Sprint(key, "=", percent))
		},
		Checkpoint: func(_ context.Context, key string) (string, error) { return "ref", g.call("checkpoint", key) },
		Stop:       func(_ context.Context, key string) error { return g.call("stop", key) },
		Usage: func(context.Context) (services.Usage, error) {
			used := worker.Resources{MilliCPU: 250}
			return services.Usage{Tasks: map[string]worker.Resources{"a.0@1": used, "b.0@1": used}}, g.call("usage", "")
		},
	}
	g.listing.Total = worker.Resources{MilliCPU: 1000}
	for _, id := range []string{"a", "b"} {
		g.listing.Tasks = append(g.listing.Tasks, services.WorkerTask{
			Job: id, Epoch: 1, Size: worker.Resources{MilliCPU: 500}, State: services.TaskRunning, Class: "archive",
		})
		g.agent.guard.policy.TaskStarted(g.now, id+".0@1")
	}
	return g
}

func (g *guardFixture) call(name, detail string) error {
	if name == g.failing {
		return errors.New("the worker is slow")
	}
	if name != "usage" {
		g.calls = append(g.calls, name+" "+detail)
	}
	return nil
}

// serve simulates 30 requests a second of a class, each with latency took, and runs the guard
// after each second.
func (g *guardFixture) serve(seconds int, class string, took time.Duration) {
	for range seconds {
		g.now = g.now.Add(time.Second)
		for range 30 {
			f := &activeAttempt{ticket: endpoint.NewSlotRequest(class, "", 0, g.now, 0), arrivedAt: g.now.Add(-took)}
			g.agent.noteLatency(g.now, f)
		}
		g.agent.runGuard(context.Background(), g.now, &g.listing)
	}
}

func (g *guardFixture) called(name string) bool {
	return strings.Contains(strings.Join(g.calls, "\n"), name)
}

// TestProtect checks which calls the guard makes to the worker: it throttles tasks when the service
// is slow, moves them when the pressure lasts, and never stops a task without a checkpoint.
func TestProtect(t *testing.T) {
	const slow, fast = time.Second, time.Millisecond
	cases := []struct {
		name    string
		failing string
		drive   func(g *guardFixture)
		want    map[string]bool
	}{
		{"a fast service", "", func(g *guardFixture) { g.serve(60, "preview", fast) }, map[string]bool{"throttle": false}},
		{"a slow service", "", func(g *guardFixture) { g.serve(5, "preview", slow) }, map[string]bool{"throttle": true, "stop": false}},
		{"long pressure", "", func(g *guardFixture) { g.serve(60, "preview", slow) }, map[string]bool{"checkpoint": true, "stop": true}},
		{"a class that is expected to take long", "", func(g *guardFixture) { g.serve(60, "season-plan", slow) }, map[string]bool{"throttle": false}},
		{"usage cannot be read", "usage", func(g *guardFixture) { g.serve(5, "preview", slow) }, map[string]bool{"throttle": true}},
		{"no checkpoint, no stop", "checkpoint", func(g *guardFixture) { g.serve(120, "preview", slow) }, map[string]bool{"stop": false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGuardFixture(t)
			g.failing = c.failing
			c.drive(g)
			for name, want := range c.want {
				if got := g.called(name); got != want {
					t.Errorf("got %s called %v, want %v; calls %v", name, got, want, g.calls)
				}
			}
		})
	}
}

// TestThrottleIsRepeatedAfterAFailure checks that a throttle that the worker refuses is
// repeated.
func TestThrottleIsRepeatedAfterAFailure(t *testing.T) {
	g := newGuardFixture(t)
	g.failing = "throttle"
	g.serve(3, "preview", time.Second)
	g.failing = ""
	g.serve(10, "preview", time.Second)
	if want := "throttle a.0@1=5"; !g.called(want) {
		t.Errorf("got calls %v, want %s", g.calls, want)
	}
}

func TestHeartbeatCarriesPressureAndUse(t *testing.T) {
	g := newGuardFixture(t)
	g.serve(1, "preview", 50*time.Millisecond)
	if got, want := g.agent.guard.pressure, 0.5; got != want {
		t.Errorf("got pressure %v, want %v", got, want)
	}
	uses := g.agent.guard.classUses
	if len(uses) != 1 || uses[0].Granted.MilliCPU != 1000 || uses[0].Used.MilliCPU != 500 {
		t.Errorf("got %+v, want 1000 granted and 500 used by one class", uses)
	}
}
