package coordinator

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// goneWorkerPrefix is the prefix of the keys of marks in store.TopicProgress, see leadership.Roster. The rest is the
	// name of the worker.
	goneWorkerPrefix = "gone/"
	// maxRosterChanges bounds the number of marks, and of names, in one append.
	maxRosterChanges = 500
	// nameDeletionInterval is how often names of gone workers are deleted. Nothing waits for it, as marked names do not count.
	nameDeletionInterval = 3 * time.Second
)

// markRecord returns the record of a mark.
func markRecord(m leadership.Mark) (store.Record, error) {
	value, err := cbor.Marshal(m.Offset)
	return store.Record{Key: goneWorkerPrefix + m.Worker, Value: value}, errors.Wrapf(err, "encode the mark of worker %s", m.Worker)
}

// applyMark applies a record if it is a mark of a gone worker or the deletion of one, and reports whether it is. The
// newest mark of a worker counts. The caller holds mu.
func (c *Coordinator) applyMark(r store.Record) bool {
	worker, ok := strings.CutPrefix(r.Key, goneWorkerPrefix)
	if !ok {
		return false
	}
	if len(r.Value) == 0 {
		delete(c.goneWorkers, worker)
		return true
	}
	var offset uint64
	if err := cbor.Unmarshal(r.Value, &offset); err != nil {
		c.log.Warn().Err(err).Str("worker", worker).Msg("skipped a mark of a gone worker that cannot be decoded")
		return true
	}
	if c.goneWorkers == nil {
		c.goneWorkers = make(map[string]uint64)
	}
	c.goneWorkers[worker] = max(c.goneWorkers[worker], offset)
	return true
}

// takeOff begins to take a worker off the roster that certainly runs nothing, so that the next dispatcher does not wait
// for it. The caller holds mu.
func (t *term) takeOff(c *Coordinator, worker, reason string) {
	if !t.roster.TakeOff(worker) {
		return
	}
	t.renewalDue = true
	notify(c.wakeWriter)
	c.count("workers-taken-off", 1)
	c.log.Info().Str("worker", worker).Uint64("term", t.number).Str("reason", reason).Msg("worker taken off the roster")
}

// rosterChange is a change of the marks of gone workers that is being stored.
type rosterChange struct {
	records         []store.Record
	stored, removed []leadership.Mark
}

// takeRosterChange returns the marks that are due to be stored or deleted. The caller holds mu.
func (c *Coordinator) takeRosterChange(t *term) rosterChange {
	var change rosterChange
	marks, removed := t.roster.Due(maxRosterChanges)
	for _, m := range marks {
		r, err := markRecord(m)
		if err != nil {
			c.log.Error().Err(err).Str("worker", m.Worker).Msg("encoding the mark of a gone worker failed; the next dispatcher waits for the worker")
			continue
		}
		change.records, change.stored = append(change.records, r), append(change.stored, m)
	}
	for _, m := range removed {
		change.records = append(change.records, store.Record{Key: goneWorkerPrefix + m.Worker})
	}
	change.removed = removed
	return change
}

// rosterChangeStored records that a change of marks was stored under the term t.
func (c *Coordinator) rosterChangeStored(t *term, change *rosterChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.roster.Stored(change.stored, change.removed)
}

// deleteNames deletes the names of workers that are marked as gone if this entry is the dispatcher, provided that no name
// has been stored since the names were last read.
func (c *Coordinator) deleteNames(ctx context.Context, now time.Time) {
	c.mu.Lock()
	t := c.term
	if t == nil || now.Sub(t.lastNameDeletion) < nameDeletionInterval {
		c.mu.Unlock()
		return
	}
	names, end, outdated := t.roster.Deletions(maxRosterChanges)
	if len(names) > 0 {
		t.lastNameDeletion = now
	}
	c.mu.Unlock()
	if len(names) == 0 {
		return
	}
	if outdated {
		c.rereadNames(ctx, t)
		return // the next round deletes
	}
	records := make([]store.Record, len(names))
	for i, name := range names {
		records[i] = store.Record{Key: name}
	}
	newEnd, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicWorkers, Records: records, ExpectedEnd: end, CheckEnd: true})
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		t.roster.NoteOutdated()
		c.log.Warn().Err(err).Int("workers", len(names)).Uint64("term", t.number).Msg("deleting the names of gone workers failed; it is tried again")
		return
	}
	t.roster.Deleted(names, newEnd)
	c.log.Info().Int("workers", len(names)).Str("first", names[0]).Uint64("term", t.number).Msg("names of gone workers deleted")
}

// rereadNames brings the roster of the term t up to date with the names in the store.
func (c *Coordinator) rereadNames(ctx context.Context, t *term) {
	names, err := c.readNames(ctx)
	if err != nil {
		c.log.Warn().Err(err).Msg("reading the names of workers failed; it is tried again")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.roster.Refresh(names.registrations, names.end)
}

// storedNames are the names of workers that are stored, with the offsets of their records, and the end of their topic.
type storedNames struct {
	registrations map[string]uint64
	end           uint64
}

// readNames returns the names of all workers that are stored.
func (c *Coordinator) readNames(ctx context.Context) (storedNames, error) {
	return callStore(ctx, c, 0, func(ctx context.Context) (storedNames, error) {
		records, end, err := c.store.AllNewest(ctx, store.TopicWorkers)
		out := storedNames{registrations: make(map[string]uint64, len(records)), end: end}
		for _, r := range records {
			out.registrations[r.Key] = r.Offset
		}
		return out, err
	})
}

// loadRoster fills the roster at the beginning of the term and returns the workers that may run tasks of earlier terms.
// The caller holds mu.
func (t *term) loadRoster(now time.Time, c *Coordinator, names storedNames) []string {
	t.roster.Load(names.registrations, maps.Clone(c.goneWorkers), names.end)
	workers := t.roster.Workers()
	for worker, d := range c.departures {
		t.applyDeparture(now, c, worker, d)
	}
	return workers
}

// takeOffUnreported takes workers off the roster that have not been heard of in this term, once nothing of earlier terms
// can run there. The caller holds mu.
func (t *term) takeOffUnreported(c *Coordinator, workers []string) {
	for _, name := range workers {
		if t.agents[name] == nil {
			t.takeOff(c, name, "it did not report in this term, and its leases have expired")
		}
	}
}

// storeNames stores the names of workers and returns the end of their topic after that.
func (c *Coordinator) storeNames(ctx context.Context, t *term, names []string) (uint64, error) {
	records := make([]store.Record, len(names))
	for i, name := range names {
		records[i] = store.Record{Key: name, Value: []byte{1}}
	}
	end, err := callStore(ctx, c, 0, func(ctx context.Context) (uint64, error) {
		return c.store.Append(ctx, store.AppendRequest{Topic: store.TopicWorkers, Records: records})
	})
	if err != nil {
		c.mu.Lock()
		t.roster.NoteOutdated()
		c.mu.Unlock()
		c.log.Warn().Err(err).Int("workers", len(names)).Msg("storing the names of workers failed")
	}
	return end, err
}
