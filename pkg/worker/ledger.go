package worker

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by Ledger.
var (
	// ErrNoRoom means that the worker has less free capacity than requested.
	ErrNoRoom = errors.New("the worker has too little free capacity")
	// ErrNotReady means that the ledger has not yet been rebuilt from a task
	// list of the worker.
	ErrNotReady = errors.New("the ledger has not been rebuilt from the worker's task list")
	// ErrBadSize means that the requested size has a negative amount.
	ErrBadSize = errors.New("a requested resource amount is negative")
)

// MaxStartDelay is the longest time after its admission at which an
// unacknowledged start request may still reach the worker. Until then, a task
// list that lacks the task does not prove that the task will not run.
const MaxStartDelay = 10 * time.Second

// Grant is the amount of a worker's resources that one task may use.
type Grant struct {
	key  string
	size Resources
}

// NewGrant returns a grant of size to the task identified by key.
func NewGrant(key string, size Resources) Grant { return Grant{key: key, size: size} }

// Key returns the worker's identifier of the task.
func (g Grant) Key() string { return g.key }

// Size returns the amount granted.
func (g Grant) Size() Resources { return g.size }

// grantState is a grant as the ledger keeps it.
type grantState struct {
	size Resources
	// startSettledAt is the time from which on the task's start request has reached
	// the worker or never will. A task list requested later that lacks the task ends
	// the grant.
	startSettledAt time.Time
}

// Ledger is the authority on which resources of a worker are granted. It admits
// nothing before the first Rebuild. The zero value is ready for Rebuild.
type Ledger struct {
	total  Resources
	used   Resources
	grants map[string]grantState
	// earliestListing is the earliest request time of a task list that makes
	// the ledger ready.
	earliestListing time.Time
	ready           bool
}

// RequireListingSince makes Rebuild leave the ledger unready if the task list was
// requested before earliest. At that time, all start requests sent by a previous agent
// of the worker have arrived or never will.
func (l *Ledger) RequireListingSince(earliest time.Time) { l.earliestListing = earliest }

// Rebuild replaces the grants by the task list that the worker returned to a request
// sent at requestedAt, and the capacity by total. A grant missing from the list is kept
// if its start request may have reached the worker after requestedAt.
func (l *Ledger) Rebuild(total Resources, listed []Grant, requestedAt time.Time) {
	grants := make(map[string]grantState, len(listed))
	for _, g := range listed {
		size := g.size.Max(Resources{}).Max(grants[g.key].size)
		grants[g.key] = grantState{size: size, startSettledAt: l.grants[g.key].startSettledAt}
	}
	for key, e := range l.grants {
		if _, ok := grants[key]; !ok && !requestedAt.After(e.startSettledAt) {
			grants[key] = e
		}
	}
	l.total = total
	l.grants = grants
	l.used = Resources{}
	for _, e := range grants {
		l.used = l.used.Plus(e.size)
	}
	l.ready = !requestedAt.Before(l.earliestListing)
}

// Admit grants size to key. It must be called before the start request is sent
// at now. A repeated call for the same key only extends the time for which the
// start may still arrive.
func (l *Ledger) Admit(now time.Time, key string, size Resources) error {
	if !l.ready {
		return ErrNotReady
	}
	if !size.Valid() {
		return ErrBadSize
	}
	if e, ok := l.grants[key]; ok {
		e.startSettledAt = now.Add(MaxStartDelay)
		l.grants[key] = e
		return nil
	}
	if !size.Fits(l.Free()) {
		return ErrNoRoom
	}
	l.grants[key] = grantState{size: size, startSettledAt: now.Add(MaxStartDelay)}
	l.used = l.used.Plus(size)
	return nil
}

// Confirm records that the worker acknowledged the start of key at now. A task
// list requested later that lacks the task ends the grant.
func (l *Ledger) Confirm(now time.Time, key string) {
	if e, ok := l.grants[key]; ok {
		e.startSettledAt = now
		l.grants[key] = e
	}
}

// Release ends the grant of key, if there is one.
func (l *Ledger) Release(key string) {
	e, ok := l.grants[key]
	if !ok {
		return
	}
	delete(l.grants, key)
	l.used = l.used.Minus(e.size)
}

// Free returns the capacity that is not granted.
func (l *Ledger) Free() Resources { return l.total.Minus(l.used) }

// Total returns the worker's capacity.
func (l *Ledger) Total() Resources { return l.total }

// Ready reports whether the ledger has been rebuilt from a recent enough task
// list.
func (l *Ledger) Ready() bool { return l.ready }

// HasGrant reports whether key has a grant.
func (l *Ledger) HasGrant(key string) bool {
	_, ok := l.grants[key]
	return ok
}
