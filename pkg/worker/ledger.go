package worker

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by Ledger.
var (
	// ErrNoRoom means that the worker has too little left for the grant.
	ErrNoRoom = errors.New("the worker has too little room left")
	// ErrNotReady means that the ledger has not yet been rebuilt from the worker's own list.
	ErrNotReady = errors.New("the ledger has not been rebuilt from the worker's task list")
	// ErrBadSize means that a grant has a negative amount.
	ErrBadSize = errors.New("a resource amount is negative")
)

// StartSettles is how long after its admission an unconfirmed start may still
// reach the worker. Until then a listing without the task proves nothing.
const StartSettles = 10 * time.Second

// Grant is what one task holds of a worker.
type Grant struct {
	key  string
	size Resources
}

// NewGrant returns the grant of size to the task called key.
func NewGrant(key string, size Resources) Grant { return Grant{key: key, size: size} }

// Key returns the task's name on the worker.
func (g Grant) Key() string { return g.key }

// Size returns the resources granted.
func (g Grant) Size() Resources { return g.size }

// entry is one grant and from when on a listing without the task ends it.
type entry struct {
	size    Resources
	settled time.Time
}

// Ledger is the only authority over what a worker has granted. It admits
// nothing until Rebuild was called. The zero value is ready for Rebuild.
type Ledger struct {
	total  Resources
	used   Resources
	grants map[string]entry
	// from is the earliest listing that may make the ledger ready.
	from  time.Time
	ready bool
}

// AdmitFrom makes the ledger wait for a listing asked for at from or later, so
// that starts ordered by an agent's predecessor have settled.
func (l *Ledger) AdmitFrom(from time.Time) { l.from = from }

// Rebuild replaces the grants by those that the worker itself lists. The
// listing was asked for at asOf. A grant that is not listed is kept if its
// start may have reached the worker after that.
func (l *Ledger) Rebuild(total Resources, listed []Grant, asOf time.Time) {
	grants := make(map[string]entry, len(listed))
	for _, g := range listed {
		size := g.size.Max(Resources{}).Max(grants[g.key].size)
		grants[g.key] = entry{size: size, settled: l.grants[g.key].settled}
	}
	for key, e := range l.grants {
		if _, ok := grants[key]; !ok && !asOf.After(e.settled) {
			grants[key] = e
		}
	}
	l.total = total
	l.grants = grants
	l.used = Resources{}
	for _, e := range grants {
		l.used = l.used.Plus(e.size)
	}
	l.ready = !asOf.Before(l.from)
}

// Admit grants size to key before its start is ordered at now. A repeated
// Admit of the same key is idempotent.
func (l *Ledger) Admit(now time.Time, key string, size Resources) error {
	if !l.ready {
		return ErrNotReady
	}
	if !size.Valid() {
		return ErrBadSize
	}
	if e, ok := l.grants[key]; ok {
		e.settled = now.Add(StartSettles)
		l.grants[key] = e
		return nil
	}
	if !size.Fits(l.Free()) {
		return ErrNoRoom
	}
	l.grants[key] = entry{size: size, settled: now.Add(StartSettles)}
	l.used = l.used.Plus(size)
	return nil
}

// Confirm notes that the worker acknowledged key's start at now: a listing
// asked for later that lacks the task ends the grant.
func (l *Ledger) Confirm(now time.Time, key string) {
	if e, ok := l.grants[key]; ok {
		e.settled = now
		l.grants[key] = e
	}
}

// Release returns what key holds. Releasing an unknown key does nothing.
func (l *Ledger) Release(key string) {
	e, ok := l.grants[key]
	if !ok {
		return
	}
	delete(l.grants, key)
	l.used = l.used.Minus(e.size)
}

// Free returns what is left to grant.
func (l *Ledger) Free() Resources { return l.total.Minus(l.used) }

// Total returns the worker's size.
func (l *Ledger) Total() Resources { return l.total }

// Ready reports whether the ledger has been rebuilt.
func (l *Ledger) Ready() bool { return l.ready }

// Holds reports whether key has a grant.
func (l *Ledger) Holds(key string) bool {
	_, ok := l.grants[key]
	return ok
}
