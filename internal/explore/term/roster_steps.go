package term

import (
	"context"
	"strconv"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// goneWorkerPrefix is the prefix of the keys of marks of gone workers.
const goneWorkerPrefix = "gone/"

// maxRosterChanges is more than there are workers.
const maxRosterChanges = 100

// applyMark applies a record if it is a mark of a gone worker, and reports whether it is.
func (e *entry) applyMark(r store.Record) bool {
	worker, ok := strings.CutPrefix(r.Key, goneWorkerPrefix)
	if !ok {
		return false
	}
	if len(r.Value) == 0 {
		delete(e.goneWorkers, worker)
		return true
	}
	offset, err := strconv.ParseUint(string(r.Value), 10, 64)
	if err != nil {
		panic(err)
	}
	if e.goneWorkers == nil {
		e.goneWorkers = make(map[string]uint64)
	}
	e.goneWorkers[worker] = max(e.goneWorkers[worker], offset)
	return true
}

// takeOff takes a worker off the roster that is certainly gone.
func (e *entry) takeOff(t *dispatcherState, worker string) {
	if e.w.kinds&Departures == 0 || !t.roster.TakeOff(worker) {
		return
	}
	e.w.note("%s in term %d takes %s off the roster", e.name, t.number, worker)
	t.needsWrite = true
	if e.w.rules.DeleteNamesAtOnce {
		e.callStore(func(c *store.Client) error {
			_, err := c.Append(context.Background(), store.AppendRequest{Topic: store.TopicWorkers, Records: []store.Record{{Key: worker}}})
			return err
		}, func(time.Time, error) {})
	}
}

// takeMarks returns the records of the marks that are due to be stored and deleted.
func (e *entry) takeMarks(t *dispatcherState) (records []store.Record, stored, removed []leadership.Mark) {
	if e.w.rules.DeleteNamesAtOnce {
		return nil, nil, nil
	}
	stored, removed = t.roster.Due(maxRosterChanges)
	for _, m := range stored {
		records = append(records, store.Record{Key: goneWorkerPrefix + m.Worker, Value: []byte(strconv.FormatUint(m.Offset, 10))})
	}
	for _, m := range removed {
		records = append(records, store.Record{Key: goneWorkerPrefix + m.Worker})
	}
	return records, stored, removed
}

// deleteNames deletes the names of workers that are marked as gone, and then calls then.
func (e *entry) deleteNames(then func()) {
	t := e.term
	if t == nil {
		then()
		return
	}
	names, end, outdated := t.roster.Deletions(maxRosterChanges)
	if len(names) == 0 {
		then()
		return
	}
	if outdated {
		e.rereadNames(t, then)
		return
	}
	var records []store.Record
	for _, name := range names {
		records = append(records, store.Record{Key: name})
	}
	newEnd := uint64(0)
	e.callStore(func(c *store.Client) (err error) {
		newEnd, err = c.Append(context.Background(), store.AppendRequest{Topic: store.TopicWorkers, Records: records, ExpectedEnd: end, CheckEnd: true})
		return err
	}, func(_ time.Time, err error) {
		if err != nil {
			t.roster.NoteOutdated()
		} else {
			t.roster.Deleted(names, newEnd)
		}
		then()
	})
}

// rereadNames brings the roster up to date with the names in the store, and then calls then.
func (e *entry) rereadNames(t *dispatcherState, then func()) {
	var stored []store.StoredRecord
	var end uint64
	e.callStore(func(c *store.Client) (err error) {
		stored, end, err = c.AllNewest(context.Background(), store.TopicWorkers)
		return err
	}, func(_ time.Time, err error) {
		if err == nil {
			t.roster.Refresh(registrations(stored), end)
		}
		then()
	})
}

// registrations returns the offsets of the names of workers.
func registrations(stored []store.StoredRecord) map[string]uint64 {
	out := make(map[string]uint64, len(stored))
	for _, r := range stored {
		out[r.Key] = r.Offset
	}
	return out
}
