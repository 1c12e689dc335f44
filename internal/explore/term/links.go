package term

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
)

// storeName is the name of the store as an end of links.
const storeName = "store"

// cutMode is how a link is cut.
type cutMode int

const (
	// cutOneWay holds back what is sent in one direction until the cut ends.
	cutOneWay cutMode = iota
	// cutSilent holds back what is sent in both.
	cutSilent
	// cutReset breaks connections once; new ones are possible at once.
	cutReset
	// cutRefused breaks connections, and refuses new ones until the cut ends.
	cutRefused
	cutModeCount
)

// link names the two processes at the ends of a link.
type link struct{ a, b string }

// cut is a fault of a link.
type cut struct {
	mode  cutMode
	until time.Duration
	// from is the process whose messages are held back, with cutOneWay.
	from string
}

// maxLongCut is longer than an earlier dispatcher may act and the leases that it has extended last.
const maxLongCut = 15 * time.Second

func newLink(a, b string) link { return link{min(a, b), max(a, b)} }

// cutOf returns the cut of the link between two processes, or one that has ended.
func (w *world) cutOf(a, b string) cut {
	if c := w.cuts[newLink(a, b)]; w.now < c.until {
		return c
	}
	return cut{}
}

// passes reports whether what one process sends now reaches another one.
func (w *world) passes(from, to string) bool {
	c := w.cutOf(from, to)
	return c.until == 0 || c.mode == cutOneWay && c.from != from
}

// connects reports whether two processes can reach each other in both directions.
func (w *world) connects(a, b string) bool { return w.cutOf(a, b).until == 0 }

// cutLink cuts the link between two processes for a time.
func (w *world) cutLink(a, b string, mode cutMode, duration time.Duration) {
	if a == b {
		return
	}
	c := cut{mode: mode, until: w.now + duration, from: a}
	if w.random.IntN(2) == 0 {
		c.from = b
	}
	if mode == cutReset {
		c.until = w.now + 2*tickInterval
	}
	w.cuts[newLink(a, b)] = c
	w.note("FAULT link %s-%s cut, mode %d from %s, until %s", a, b, c.mode, c.from, c.until)
	for _, x := range w.agents {
		if x.name != a && x.name != b {
			continue
		}
		if mode == cutReset || mode == cutRefused || a == storeName || b == storeName {
			x.disturbedUntil = max(x.disturbedUntil, c.until)
		}
	}
}

// cutLinks cuts links between single processes for up to a time, so that they have different views of the cluster.
func (w *world) cutLinks(duration time.Duration) {
	mode := cutMode(w.random.IntN(int(cutModeCount)))
	if w.kinds&LongCuts != 0 && w.random.IntN(3) == 0 {
		w.splitOff(mode, duration+maxLongCut, func() bool { return w.random.IntN(2) == 0 })
		return
	}
	switch w.random.IntN(9) {
	case 0: // single links
		names := w.processNames()
		for range 1 + w.random.IntN(6) {
			w.cutLink(names[w.random.IntN(len(names))], names[w.random.IntN(len(names))], mode, duration)
			mode = cutMode(w.random.IntN(int(cutModeCount)))
		}
	case 1, 2: // a dispatcher keeps some of its agents
		w.splitOff(cutRefused, duration, func() bool { return w.random.IntN(2) == 0 }) // others claim at once
	case 3, 4:
		w.splitOff(mode, duration, func() bool { return w.random.IntN(2) == 0 })
	case 5: // a dispatcher and one of its agents
		kept := w.random.IntN(workerCount)
		w.splitOff(mode, duration, func() bool { kept--; return kept == -1 })
	case 6, 7: // a dispatcher loses the store and another entry
		for _, e := range w.entries {
			if e.term != nil {
				w.cutLink(e.name, storeName, mode, duration)
				w.cutLink(e.name, w.entries[(e.index+1+w.random.IntN(entryCount-1))%entryCount].name, mode, duration)
			}
		}
	case 8: // calls to the store are lost, before or after they have been carried out
		w.lossyUntil = w.now + duration
		w.disturbCore(duration)
	}
}

// splitOff cuts the dispatchers off from the store, the other entries and the agents that keeps does not choose. Those that
// it chooses may lose the store and the other entries as well.
func (w *world) splitOff(mode cutMode, duration time.Duration, keeps func() bool) {
	storeToo := w.random.IntN(2) == 0
	var inside, outside []string
	for _, e := range w.entries {
		if e.term != nil {
			inside = append(inside, e.name)
		} else {
			outside = append(outside, e.name)
		}
	}
	if len(inside) == 0 {
		return
	}
	dispatchers := len(inside)
	for _, a := range w.agents {
		if keeps() {
			inside = append(inside, a.name)
		} else {
			outside = append(outside, a.name)
		}
	}
	for i, name := range inside {
		if i < dispatchers || storeToo {
			w.cutLink(name, storeName, mode, duration)
		}
		for _, o := range outside {
			if i < dispatchers || storeToo {
				w.cutLink(name, o, mode, duration)
			}
		}
	}
}

// processNames returns the names of all processes, and of the store.
func (w *world) processNames() []string {
	names := []string{storeName}
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	for _, a := range w.agents {
		names = append(names, a.name)
	}
	return names
}

// answersLost reports whether a call to the store that is answered now loses its answer, or its request.
func (w *world) answersLost() bool {
	return w.now < w.lossyUntil && w.random.IntN(3) == 0
}

// throughLink delivers a message of a connection whose link may be cut. It reports whether the message can be handled now.
func (c *conn) throughLink(order uint64, to *process, fn func()) bool {
	if c.w.kinds&PartialViews == 0 {
		return true
	}
	x := c.w.cutOf(c.agent.name, c.entry.name)
	from, name := c.agent.name, c.entry.name
	if to == &c.agent.process {
		from, name = name, from
	}
	switch {
	case c.w.passes(from, name):
		return true
	case x.mode == cutReset || x.mode == cutRefused:
		c.broken = true
	case x.mode == cutSilent || x.mode == cutOneWay:
		c.deliverAs(order, to, x.until-c.w.now, fn)
	}
	return false
}

// breakConnections breaks the connections whose links are cut by resets.
func (w *world) breakConnections() {
	for _, a := range w.agents {
		for _, c := range []*conn{a.conn, a.connecting} {
			if c == nil {
				continue
			}
			if x := w.cutOf(a.name, c.entry.name); x.until != 0 && (x.mode == cutReset || x.mode == cutRefused) {
				c.broken = true
			}
		}
	}
}

// reachStore carries out op, a call of a process to the store, as far as the link between them lets it.
func (w *world) reachStore(name string, op func() error) (answered bool, err error) {
	if c := w.cutOf(name, storeName); c.until != 0 && (c.mode == cutReset || c.mode == cutRefused) {
		return true, store.ErrRefused
	}
	lost := w.answersLost()
	if !w.passes(name, storeName) || lost && w.random.IntN(2) == 0 {
		return false, nil
	}
	err = op()
	return !lost && w.passes(storeName, name), err
}

// faultSpacing returns the mean number of ticks between faults. Agents have to be in touch at times for the rules with a time
// bound.
func (w *world) faultSpacing() int {
	if w.kinds&PartialViews != 0 {
		return 100
	}
	return 40
}
