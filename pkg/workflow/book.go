package workflow

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrRecord means that a record of the book cannot be read.
var ErrRecord = errors.New("the record cannot be read")

// Prefixes of the keys of a job's records. The submission and the cancellation
// are written by any entry, the progress only by the dispatching one.
const (
	prefixSubmission   = "s/"
	prefixProgress     = "p/"
	prefixCancellation = "c/"
)

// Record is one keyed record of the book; the newest of each key counts. A
// record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

func encode(key string, v any) (Record, error) {
	value, err := cbor.Marshal(v)
	return Record{Key: key, Value: value}, errors.Wrapf(err, "encode record %s", key)
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(s *Submission) (Record, error) { return encode(prefixSubmission+s.ID, s) }

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p *Progress) (Record, error) { return encode(prefixProgress+id, p) }

// CancellationRecord returns the record that cancels a job.
func CancellationRecord(id string) Record {
	return Record{Key: prefixCancellation + id, Value: []byte{1}}
}

// ForgetRecords returns the records that drop a job: of its progress, and of
// its submission and cancellation.
func ForgetRecords(id string) (progress, intake []Record) {
	return []Record{{Key: prefixProgress + id}}, []Record{{Key: prefixCancellation + id}, {Key: prefixSubmission + id}}
}

// Entry is what the book holds of one job.
type Entry struct {
	submission *Submission
	progress   Progress
	cancelled  bool
	progressed bool
}

// Submission returns the accepted job, or nil if only a cancellation is known.
func (e *Entry) Submission() *Submission { return e.submission }

// Progress returns the newest progress.
func (e *Entry) Progress() *Progress { return &e.progress }

// Cancelled reports whether the job was cancelled.
func (e *Entry) Cancelled() bool { return e.cancelled }

// Phase returns the phase as far as the book tells.
func (e *Entry) Phase() Phase {
	switch {
	case e.progress.Phase.Ended():
		return e.progress.Phase
	case e.cancelled:
		return PhaseCancelled
	}
	return e.progress.Phase
}

// Book holds every job that is known, from the records of the store. The zero
// value is empty.
type Book struct {
	entries map[string]*Entry
}

// Len returns the number of jobs.
func (b *Book) Len() int { return len(b.entries) }

// Entry returns what is known of a job.
func (b *Book) Entry(id string) (*Entry, bool) {
	e, ok := b.entries[id]
	return e, ok
}

// Each calls fn for each job.
func (b *Book) Each(fn func(id string, e *Entry)) {
	for id, e := range b.entries {
		fn(id, e)
	}
}

// Clear drops everything, before the book is read anew.
func (b *Book) Clear() { b.entries = nil }

// Apply takes a record in and returns the job concerned. An unreadable record
// changes nothing and returns an error marked ErrRecord.
func (b *Book) Apply(r Record) (id string, err error) {
	prefix, id, ok := strings.Cut(r.Key, "/")
	prefix += "/"
	if !ok || id == "" || (prefix != prefixSubmission && prefix != prefixProgress && prefix != prefixCancellation) {
		return "", errors.Mark(errors.Newf("unknown key %q", r.Key), ErrRecord)
	}
	if len(r.Value) == 0 {
		b.drop(prefix, id)
		return id, nil
	}
	e := b.entries[id]
	if e == nil {
		e = &Entry{}
	}
	if err := e.apply(prefix, id, r.Value); err != nil {
		return "", err
	}
	if b.entries == nil {
		b.entries = make(map[string]*Entry)
	}
	b.entries[id] = e
	return id, nil
}

func (e *Entry) apply(prefix, id string, value []byte) error {
	switch prefix {
	case prefixSubmission:
		s := new(Submission)
		if err := cbor.Unmarshal(value, s); err != nil {
			return errors.Mark(errors.Wrapf(err, "submission of %s", id), ErrRecord)
		}
		if s.ID != id {
			return errors.Mark(errors.Newf("submission of %s names job %q", id, s.ID), ErrRecord)
		}
		if e.submission == nil {
			e.submission = s
		}
	case prefixProgress:
		var p Progress
		if err := cbor.Unmarshal(value, &p); err != nil {
			return errors.Mark(errors.Wrapf(err, "progress of %s", id), ErrRecord)
		}
		if p.Phase > PhaseCancelled {
			return errors.Mark(errors.Newf("progress of %s: unknown phase %d", id, p.Phase), ErrRecord)
		}
		e.progress, e.progressed = p, true
	case prefixCancellation:
		e.cancelled = true
	}
	return nil
}

// drop forgets a job once its submission is dropped.
func (b *Book) drop(prefix, id string) {
	if prefix == prefixSubmission {
		delete(b.entries, id)
	}
}
