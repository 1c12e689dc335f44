package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/platform/standin"
)

// drainTime is how long a runner that leaves says so before it ends; heartbeats come every half second.
const drainTime = 700 * time.Millisecond

// runnerHost is a runner with its address, where nothing listens while the runner is away.
type runnerHost struct {
	runner *standin.Runner
	ip     string

	mu sync.Mutex
	// phase is what the runner says in its heartbeats; empty while it is away.
	phase  string
	server *http.Server
	group  sync.WaitGroup
}

// listen has the runner listen at its address.
func (h *runnerHost) listen() error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, portApp))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h.runner, ReadHeaderTimeout: time.Minute}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server = server
	h.group.Go(func() { _ = server.Serve(ln) })
	return nil
}

// close ends the runner's connections and has it listen no more.
func (h *runnerHost) close() {
	h.mu.Lock()
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
	h.group.Wait()
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
	h, agent := d.hosts[i], d.machines[entryCount+i]
	away, stops := time.Duration(1200+random.IntN(2500))*time.Millisecond, random.IntN(2) == 0
	if h.currentPhase() != "ready" {
		return h.runner.Name + " leaves already"
	}
	h.setPhase("draining")
	d.group.Go(func() {
		d.pause(drainTime)
		h.close()
		h.setPhase("")
		h.runner.Shutdown(clock.Steady())
		if d.pause(time.Second); stops {
			agent.signal(syscall.SIGTERM)
		}
		d.pause(away - time.Second)
		h.runner.Restart(clock.Steady())
		for h.listen() != nil {
			if d.pause(drainTime); d.running.Err() != nil {
				return
			}
		}
		h.setPhase("ready")
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
	for _, m := range d.machines[entryCount:] {
		data, _ := os.ReadFile(m.log.Name()) // a log that cannot be read fails checkLogs
		n += bytes.Count(data, []byte(`"message":"worker has left in order"`))
	}
	return n
}
