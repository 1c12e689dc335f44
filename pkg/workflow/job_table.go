package workflow

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrUnreadableRecord means that a job record cannot be decoded.
var ErrUnreadableRecord = errors.New("the job record cannot be decoded")

// Prefixes of the keys of a job's records. Any entry writes submissions and cancellations; only
// the dispatcher writes progress.
const (
	prefixSubmission   = "s/"
	prefixProgress     = "p/"
	prefixCancellation = "c/"
)

// Record is a keyed record of the store, which keeps the newest record of each key. A record
// without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// encode returns the record with a key whose value is v in CBOR.
func encode(key string, v any) (Record, error) {
	value, err := cbor.Marshal(v)
	return Record{Key: key, Value: value}, errors.Wrapf(err, "encode job record %s", key)
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(s *Submission) (Record, error) { return encode(prefixSubmission+s.ID, s) }

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p *Progress) (Record, error) { return encode(prefixProgress+id, p) }

// CancellationRecord returns the record that cancels a job.
func CancellationRecord(id string) Record {
	return Record{Key: prefixCancellation + id, Value: []byte{1}}
}

// TombstoneRecords returns the records that delete a job: one that deletes its progress, and two
// that delete its cancellation and its submission.
func TombstoneRecords(id string) (progress, intake []Record) {
	return []Record{{Key: prefixProgress + id}}, []Record{{Key: prefixCancellation + id}, {Key: prefixSubmission + id}}
}

// Job is the state of a job according to its records.
type Job struct {
	submission  *Submission
	progress    Progress
	cancelled   bool
	hasProgress bool
	// submissionOffset and progressOffset are the offsets of the records of submission and progress.
	submissionOffset, progressOffset uint64
}

// Submission returns the job's submission, or nil if it has not been read.
func (j *Job) Submission() *Submission { return j.submission }

// Progress returns the newest progress read, or the zero value if none has been read.
func (j *Job) Progress() *Progress { return &j.progress }

// Cancelled reports whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.cancelled }

// Phase returns the phase according to the records read. If the progress says that the job has
// ended, its phase takes precedence over a cancellation.
func (j *Job) Phase() Phase {
	switch {
	case j.progress.Phase.Ended():
		return j.progress.Phase
	case j.cancelled:
		return PhaseCancelled
	}
	return j.progress.Phase
}

// JobTable is the table of all jobs known from the records of the store. The zero value is empty.
// Records may be applied in any order: of each key the newest one counts by its offset, and of
// submissions the first one since the job was last deleted.
type JobTable struct {
	jobs map[string]*Job
	// deleted holds the offsets of the newest deletions, by key.
	deleted map[string]uint64
}

// Len returns the number of jobs.
func (t *JobTable) Len() int { return len(t.jobs) }

// Job returns a job, and whether it is known.
func (t *JobTable) Job(id string) (*Job, bool) {
	j, ok := t.jobs[id]
	return j, ok
}

// Each calls fn for each job.
func (t *JobTable) Each(fn func(id string, j *Job)) {
	for id, j := range t.jobs {
		fn(id, j)
	}
}

// Clear removes all jobs, so that the records can be read again from the start.
func (t *JobTable) Clear() { t.jobs, t.deleted = nil, nil }

// ForgetDeleted forgets which keys were deleted. The caller must have no records left to apply that
// are older than a deletion applied before.
func (t *JobTable) ForgetDeleted() { t.deleted = nil }

// Apply applies the record at an offset of its topic and returns the ID of its job. A record that cannot
// be decoded changes nothing; the error is marked with ErrUnreadableRecord.
func (t *JobTable) Apply(r Record, offset uint64) (id string, err error) {
	prefix, id, ok := strings.Cut(r.Key, "/")
	prefix += "/"
	if !ok || id == "" || (prefix != prefixSubmission && prefix != prefixProgress && prefix != prefixCancellation) {
		return "", errors.Mark(errors.Newf("unknown key %q of a job record", r.Key), ErrUnreadableRecord)
	}
	if deletion, ok := t.deleted[r.Key]; ok && offset < deletion {
		return id, nil
	}
	if len(r.Value) == 0 {
		t.remove(prefix, id, offset)
		return id, nil
	}
	j := t.jobs[id]
	if j == nil {
		j = &Job{}
	}
	if err := j.apply(prefix, id, r.Value, offset); err != nil {
		return "", err
	}
	if t.jobs == nil {
		t.jobs = make(map[string]*Job)
	}
	t.jobs[id] = j
	return id, nil
}

// apply applies a record with a value. Only the first submission and the newest progress count.
func (j *Job) apply(prefix, id string, value []byte, offset uint64) error {
	switch prefix {
	case prefixSubmission:
		s := new(Submission)
		if err := cbor.Unmarshal(value, s); err != nil {
			return errors.Mark(errors.Wrapf(err, "decode the submission of job %s", id), ErrUnreadableRecord)
		}
		if s.ID != id {
			return errors.Mark(errors.Newf("submission of job %s has the ID of job %q", id, s.ID), ErrUnreadableRecord)
		}
		if err := s.Spec.Validate(); err != nil {
			return errors.Mark(errors.Wrapf(err, "submission of job %s", id), ErrUnreadableRecord)
		}
		if j.submission == nil || offset < j.submissionOffset {
			j.submission, j.submissionOffset = s, offset
		}
	case prefixProgress:
		var p Progress
		if err := cbor.Unmarshal(value, &p); err != nil {
			return errors.Mark(errors.Wrapf(err, "decode the progress of job %s", id), ErrUnreadableRecord)
		}
		if !p.Phase.Known() {
			return errors.Mark(errors.Newf("progress of job %s: unknown phase %d", id, p.Phase), ErrUnreadableRecord)
		}
		if !j.hasProgress || offset >= j.progressOffset {
			j.progress, j.hasProgress, j.progressOffset = p, true, offset
		}
	case prefixCancellation:
		j.cancelled = true
	}
	return nil
}

// remove removes a job when the record of its submission is deleted; the deletion of another
// record only makes older records of its key count no more.
func (t *JobTable) remove(prefix, id string, offset uint64) {
	if t.deleted == nil {
		t.deleted = make(map[string]uint64)
	}
	t.deleted[prefix+id] = offset
	j := t.jobs[id]
	if prefix != prefixSubmission || j == nil || j.submission != nil && offset < j.submissionOffset {
		return
	}
	delete(t.jobs, id)
}
