package standin

import (
	"sync"
	"time"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// Gangs records which members of gangs are present, at all runners. The zero value has none.
type Gangs struct {
	mu   sync.Mutex
	runs map[gangKey]*gangRun
}

// gangKey names a run of a gang by its step and the number that all its members have.
type gangKey struct {
	step string
	run  uint64
}

type gangRun struct {
	present map[string]bool
	// completeAt is when all members were present.
	completeAt time.Time
	// outcome is how the members end that are still there; empty while they go on.
	outcome string
}

// join notes that a member of a gang of count members is present.
func (g *Gangs) join(now time.Time, key gangKey, task string, count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = make(map[gangKey]*gangRun)
	}
	r := g.runs[key]
	if r == nil {
		r = &gangRun{present: make(map[string]bool)}
		g.runs[key] = r
	}
	r.present[task] = true
	if len(r.present) == count && r.completeAt.IsZero() {
		r.completeAt = now
	}
}

// leave notes that a member has ended. Unless it was done, the others break.
func (g *Gangs) leave(key gangKey, task, outcome string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	delete(r.present, task)
	switch {
	case r.outcome != "":
	case outcome == "done":
		r.outcome = "done"
	default:
		r.outcome = "broken"
	}
}

// state returns when all members of a gang were present, or the zero time, and how its members end, or "".
func (g *Gangs) state(key gangKey) (completeAt time.Time, outcome string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[key]
	return r.completeAt, r.outcome
}
