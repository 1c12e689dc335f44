package worker

import "github.com/cockroachdb/errors"

// Errors returned by Ledger.
var (
	// ErrNoRoom means that the worker has too little left for the grant.
	ErrNoRoom = errors.New("the worker has too little room left")
	// ErrNotReady means that the ledger has not yet been rebuilt from the worker's own list.
	ErrNotReady = errors.New("the ledger has not been rebuilt from the worker's task list")
	// ErrBadSize means that a grant has a negative amount.
	ErrBadSize = errors.New("a resource amount is negative")
)

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

// Ledger is the only authority over what a worker has granted. It admits
// nothing until Rebuild was called. The zero value is ready for Rebuild.
type Ledger struct {
	total  Resources
	used   Resources
	grants map[string]Resources
	ready  bool
}

// Rebuild replaces all grants by those that the worker itself lists.
func (l *Ledger) Rebuild(total Resources, grants []Grant) {
	l.total = total
	l.used = Resources{}
	l.grants = make(map[string]Resources, len(grants))
	for _, g := range grants {
		if _, ok := l.grants[g.key]; ok {
			continue
		}
		l.grants[g.key] = g.size
		l.used = l.used.Plus(g.size)
	}
	l.ready = true
}

// Admit grants size to key. A repeated Admit of the same key is idempotent.
func (l *Ledger) Admit(key string, size Resources) error {
	if !l.ready {
		return ErrNotReady
	}
	if !size.Valid() {
		return ErrBadSize
	}
	if _, ok := l.grants[key]; ok {
		return nil
	}
	if !size.Fits(l.Free()) {
		return ErrNoRoom
	}
	l.grants[key] = size
	l.used = l.used.Plus(size)
	return nil
}

// Release returns what key holds. Releasing an unknown key does nothing.
func (l *Ledger) Release(key string) {
	size, ok := l.grants[key]
	if !ok {
		return
	}
	delete(l.grants, key)
	l.used = l.used.Minus(size)
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
