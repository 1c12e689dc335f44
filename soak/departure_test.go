package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/platform/standin"
)

// drainTime is how long a runner that leaves says so before it ends; heartbeats come every half second.
const drainTime = 700 * time.Millisecond

// runnerHost is a runner behind a proxy at its address, where nothing listens while the runner is away.
type runnerHost struct {
	runner *standin.Runner
	ip     string
	proxy  *proxy
	// changing is held while a fault has the runner leave, restart or stop.
	changing sync.Mutex

	mu sync.Mutex
	// phase is what the runner says in its heartbeats; empty while it is away.
	phase string
}

// newRunnerHost returns the host of a runner that is there.
func newRunnerHost(t *testing.T, r *standin.Runner, ip string) *runnerHost {
	t.Helper()
	h := &runnerHost{runner: r, ip: ip, phase: "ready", proxy: newProxy(t, fmt.Sprintf("%s:%d", ip, portApp), serve(t, "127.0.0.1:0", r))}
	r.Restart(clock.Steady())
	if !h.proxy.listen() {
		t.Fatalf("nothing listens at %s", h.proxy.address)
	}
	return h
}

// leave ends the runner: its runs and its connections end, and nothing listens at its address.
func (h *runnerHost) leave() {
	h.proxy.unlisten()
	h.end()
}

// end ends the runs and the connections of a runner at whose address nothing listens any more. The runs end first: they
// must not outlast the connections by which agents know that the process has ended.
func (h *runnerHost) end() {
	h.setPhase("")
	h.runner.Shutdown(clock.Steady())
	h.proxy.resetAll()
}

// comeBack begins another life of a runner that has left.
func (d *deployment) comeBack(h *runnerHost) {
	h.runner.Restart(clock.Steady())
	for !h.proxy.listen() {
		if d.pause(drainTime); d.running.Err() != nil {
			return
		}
	}
	h.setPhase("ready")
}

func (h *runnerHost) setPhase(phase string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = phase
}

func (h *runnerHost) currentPhase() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase
}

// runnerLeaves has a runner leave in order, at times with the agent stopped a second later as a machine that is taken away
// does, and another life of the runner come back.
func (d *deployment) runnerLeaves(random *rand.Rand) string {
	i := random.IntN(len(d.hosts))
	h, agent := d.hosts[i], d.agents()[i]
	away, stops := time.Duration(1200+random.IntN(2500))*time.Millisecond, random.IntN(2) == 0
	if !h.changing.TryLock() {
		return h.runner.Name + " leaves already"
	}
	h.setPhase("draining")
	d.group.Go(func() {
		defer h.changing.Unlock()
		d.pause(drainTime)
		h.leave()
		if d.pause(time.Second); stops {
			agent.signal(syscall.SIGTERM)
		}
		d.pause(away - time.Second)
		d.comeBack(h)
	})
	return fmt.Sprintf("%s leaves for %v, agent stopped: %v", h.runner.Name, away, stops)
}

// pause waits, or until the test ends.
func (d *deployment) pause(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.running.Done():
	}
}

// countDepartures returns how often agents have logged that they told entries of a departure.
func (d *deployment) countDepartures() int {
	n := 0
	for _, m := range d.agents() {
		data, _ := os.ReadFile(m.log.Name()) // a log that cannot be read fails checkLogs
		n += bytes.Count(data, []byte(`"message":"worker has left in order"`))
	}
	return n
}
