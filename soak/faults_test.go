package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/platform/standin"
)

// cut says which links of an entry are cut.
type cut struct {
	name                                 string
	store, entries, otherZones, sameZone bool
}

var (
	cutRest = cut{"all but the agents of its data centre", true, true, true, false}
	cuts    = []cut{
		cutRest,
		{"the store", true, false, false, false},
		{"the other entries", false, true, false, false},
		{"agents of other data centres", false, false, true, false},
		{"the agents of its data centre", false, false, false, true},
		{"the store and the other entries", true, true, false, false},
	}
)

// linkFault is a way in which links are cut. refusesAll also has nothing listen at the address.
type linkFault struct {
	mode       linkMode
	refusesAll bool
}

var linkFaults = []linkFault{
	{linkHeld, false},
	{linkRefused, false},
	{linkSilentToServer, false},
	{linkSilentToClient, false},
	{linkSilent, false},
	{linkReset, false},
	{linkReset, true},
}

// undo ends what was begun, in reverse order.
type undo []func()

func (u undo) end() {
	for i := len(u) - 1; i >= 0; i-- {
		u[i]()
	}
}

// refuse has nothing listen at a proxy's address.
func (d *deployment) refuse(p *proxy) (end func()) {
	p.unlisten()
	return func() {
		for !p.listen() && d.running.Err() == nil {
			d.pause(10 * time.Millisecond)
		}
	}
}

// dispatcher returns the machine of the entry that began the newest term.
func (d *deployment) dispatcher() *machine {
	newest, term := d.machines[0], uint64(0)
	eachLine(d.machines[:entryCount], `"this entry is the dispatcher"`, func(m *machine, l *logLine, _ []byte) {
		if l.Term >= term {
			newest, term = m, l.Term
		}
	})
	return newest
}

// drawCut draws a cut of some links of the dispatcher, or at times of another entry.
func (d *deployment) drawCut(random *rand.Rand, c cut, link linkFault) fault {
	other := random.IntN(4 * entryCount)
	return fault{lasts: between(random, 100*time.Millisecond, 6*time.Second), begin: func() (string, func()) {
		entry := d.dispatcher()
		if other < entryCount {
			entry = d.machines[other]
		}
		var u undo
		if c.store && c.entries {
			end := entry.cutOff.begin(time.Now())
			u = append(u, func() { end(time.Now().Add(visibleAfter)) })
		}
		if c.store {
			u = append(u, entry.store.impose("", link.mode))
		}
		for _, m := range d.machines {
			sameZone := m.zone == entry.zone
			switch {
			case m == entry:
			case m.role == "entry" && c.entries:
				u = append(u, entry.peers.impose(m.name, link.mode), m.peers.impose(entry.name, link.mode.reverse()))
			case m.role == "agent" && (sameZone && c.sameZone || !sameZone && c.otherZones):
				u = append(u, entry.peers.impose(m.name, link.mode))
			}
		}
		if link.refusesAll {
			u = append(u, d.refuse(entry.peers))
		}
		return fmt.Sprintf("%s cut off from %s: %s, refuses all: %v", entry.name, c.name, link.mode, link.refusesAll), u.end
	}}
}

// drawAgentCut draws a cut of one agent from the dispatcher or the store.
func (d *deployment) drawAgentCut(random *rand.Rand) fault {
	link, agent, fromStore := linkFaults[random.IntN(len(linkFaults))], d.agents()[random.IntN(len(d.agents()))], random.IntN(3) == 0
	return fault{lasts: between(random, 20*time.Millisecond, 2*time.Second), begin: func() (string, func()) {
		if fromStore {
			u := undo{agent.store.impose("", link.mode)}
			if link.refusesAll {
				u = append(u, d.refuse(agent.store))
			}
			return fmt.Sprintf("%s cut off from the store: %s, refuses all: %v", agent.name, link.mode, link.refusesAll), u.end
		}
		entry := d.dispatcher()
		return fmt.Sprintf("%s cut off from %s: %s", agent.name, entry.name, link.mode), entry.peers.impose(agent.name, link.mode)
	}}
}

// drawSharedStoreCut has the dispatcher and some agents lose the store together, at times with the links to the other
// entries.
func (d *deployment) drawSharedStoreCut(random *rand.Rand) fault {
	link, share, cutPeers := linkFaults[random.IntN(len(linkFaults))], 1+random.IntN(3), random.IntN(2) == 0
	return fault{lasts: between(random, 500*time.Millisecond, 7*time.Second), begin: func() (string, func()) {
		entry := d.dispatcher()
		lost := []*machine{entry}
		for i, m := range d.agents() {
			if i%3 < share {
				lost = append(lost, m)
			}
		}
		var u undo
		for _, m := range lost {
			u = append(u, m.store.impose("", link.mode))
			if link.refusesAll {
				u = append(u, d.refuse(m.store))
			}
		}
		for _, m := range d.machines[:entryCount] {
			if cutPeers && m != entry {
				u = append(u, entry.peers.impose(m.name, link.mode), m.peers.impose(entry.name, link.mode.reverse()))
				for _, agent := range lost[1:] {
					u = append(u, m.peers.impose(agent.name, link.mode))
				}
			}
		}
		return fmt.Sprintf("%s and %d agents lose the store: %s, refuses all: %v; and the other entries: %v", entry.name, len(lost)-1, link.mode, link.refusesAll, cutPeers), u.end
	}}
}

func (d *deployment) drawStoreOutage(random *rand.Rand) fault {
	outage := []standin.Outage{standin.Busy, standin.LosingReplies, standin.Silent}[random.IntN(3)]
	return fault{lasts: between(random, 200*time.Millisecond, 3*time.Second), begin: func() (string, func()) {
		d.store.SetOutage(outage)
		return fmt.Sprintf("store outage %d", outage), func() { d.store.SetOutage(standin.NoOutage) }
	}}
}

// drawMachines draws one machine, all entries or all machines; nil stands for the dispatcher.
func (d *deployment) drawMachines(random *rand.Rand) []*machine {
	switch random.IntN(6) {
	case 0:
		return d.machines
	case 1:
		return d.machines[:entryCount]
	case 2, 3:
		return nil
	default:
		i := random.IntN(len(d.machines))
		return d.machines[i : i+1]
	}
}

// named returns machines, the dispatcher for nil, and how the fault log names them.
func (d *deployment) named(machines []*machine) ([]*machine, string) {
	if machines == nil {
		machines = []*machine{d.dispatcher()}
	}
	if len(machines) == 1 {
		return machines, machines[0].name
	}
	return machines, fmt.Sprintf("%d machines from %s on", len(machines), machines[0].name)
}

// drawBurst draws a time in which machines are stopped for 5 to 50 ms again and again, each by itself.
func (d *deployment) drawBurst(random *rand.Rand) fault {
	machines, seed := d.drawMachines(random), random.Uint64()
	return fault{lasts: between(random, 100*time.Millisecond, 2*time.Second), begin: func() (string, func()) {
		machines, name := d.named(machines)
		ended := make(chan struct{})
		var stopping sync.WaitGroup
		for i, m := range machines {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			stopping.Go(func() {
				for {
					m.signal(syscall.SIGSTOP)
					time.Sleep(between(random, 5*time.Millisecond, 50*time.Millisecond))
					m.signal(syscall.SIGCONT)
					select {
					case <-ended:
						return
					case <-time.After(between(random, time.Millisecond, 100*time.Millisecond)):
					}
				}
			})
		}
		return name + " stopped in bursts", func() { close(ended); stopping.Wait() }
	}}
}

// drawFreeze draws a longer stop of machines.
func (d *deployment) drawFreeze(random *rand.Rand) fault {
	machines := d.drawMachines(random)
	return fault{lasts: between(random, 200*time.Millisecond, 4*time.Second), begin: func() (string, func()) {
		machines, name := d.named(machines)
		signalAll := func(s os.Signal) {
			for _, m := range machines {
				m.signal(s)
			}
		}
		signalAll(syscall.SIGSTOP)
		return name + " stopped", func() { signalAll(syscall.SIGCONT) }
	}}
}

// drawRoll draws the end of several machines one after the other, by SIGTERM or SIGKILL.
func (d *deployment) drawRoll(random *rand.Rand) fault {
	first, count, gap := random.IntN(len(d.machines)), 1+random.IntN(6), between(random, time.Millisecond, 1500*time.Millisecond)
	if random.IntN(2) == 0 {
		first, count = 0, entryCount
	}
	sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
	return fault{begin: func() (string, func()) {
		d.group.Go(func() {
			for i := first; i < min(first+count, len(d.machines)); i++ {
				d.machines[i].signal(sig)
				d.pause(gap)
			}
		})
		return fmt.Sprintf("%v to %d machines from %s on, every %v", sig, count, d.machines[first].name, gap), nil
	}}
}

// drawRunner draws a fault of one runner; change is called with the runner's host in a goroutine of its own, and only
// while no other such fault goes on there.
func (d *deployment) drawRunner(random *rand.Rand, name string, change func(h *runnerHost)) fault {
	h := d.hosts[random.IntN(len(d.hosts))]
	return fault{begin: func() (string, func()) {
		if !h.changing.TryLock() {
			return h.runner.Name + " changes already", nil
		}
		d.group.Go(func() {
			defer h.changing.Unlock()
			change(h)
		})
		return h.runner.Name + " " + name, nil
	}}
}

// drawRunnerRestart draws a restart at once under the same name and address.
func (d *deployment) drawRunnerRestart(random *rand.Rand) fault {
	down := between(random, time.Millisecond, 30*time.Millisecond)
	return d.drawRunner(random, fmt.Sprintf("restarts within %v", down), func(h *runnerHost) {
		h.leave()
		time.Sleep(down)
		d.comeBack(h)
	})
}

// drawRestartUnderAgent draws a restart whose agent is stopped a little later, until its leases have ended.
func (d *deployment) drawRestartUnderAgent(random *rand.Rand) fault {
	seed, worker := random.Uint64(), random.IntN(len(d.hosts))
	return fault{begin: func() (string, func()) { return d.restartUnderAgent(rand.New(rand.NewPCG(seed, 0)), worker), nil }}
}

// drawAway draws how long a runner is away: a few milliseconds, or seconds.
func drawAway(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return between(random, time.Millisecond, 30*time.Millisecond)
	}
	return between(random, 300*time.Millisecond, 4*time.Second)
}

// drawRunnerShutdown draws a runner that closes its listener first and ends later; open calls and runs go on meanwhile.
func (d *deployment) drawRunnerShutdown(random *rand.Rand) fault {
	goesOn, away, drains := between(random, 100*time.Millisecond, 800*time.Millisecond), drawAway(random), random.IntN(2) == 0
	return d.drawRunner(random, fmt.Sprintf("closes its listener, ends %v later, is away for %v, says so: %v", goesOn, away, drains), func(h *runnerHost) {
		if drains {
			h.setPhase("draining")
		}
		h.proxy.unlisten()
		d.pause(goesOn)
		h.end()
		d.pause(away)
		d.comeBack(h)
	})
}

// drawRunnerIdleEnd draws a runner that leaves as its last run ends.
func (d *deployment) drawRunnerIdleEnd(random *rand.Rand) fault {
	after, away := time.Duration(random.Int64N(int64(5*time.Millisecond))), drawAway(random)
	return d.drawRunner(random, fmt.Sprintf("leaves %v after its last run, for %v", after, away), func(h *runnerHost) {
		h.setPhase("draining")
		wasBusy := false
		for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			runs, _ := h.runner.List(clock.Steady(), 0)
			if wasBusy && len(runs) == 0 {
				break
			}
			wasBusy = wasBusy || len(runs) > 0
		}
		time.Sleep(after)
		h.leave()
		d.pause(away)
		d.comeBack(h)
	})
}

// drawRunnerHeld draws a runner that is stopped: its answers wait.
func (d *deployment) drawRunnerHeld(random *rand.Rand) fault {
	lasts := between(random, 20*time.Millisecond, 3*time.Second)
	return d.drawRunner(random, fmt.Sprintf("stopped for %v", lasts), func(h *runnerHost) {
		h.setPhase("")
		end := h.proxy.impose("", linkHeld)
		d.pause(lasts)
		end()
		h.setPhase("ready")
	})
}
