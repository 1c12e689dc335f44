package workflow

import (
	"maps"
	"slices"
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

// ForgottenRecord returns the record that forgets a job that has ended, with its submissions and cancellations before an
// offset of their topic. It has to be stored before any record of the job is deleted.
func ForgottenRecord(id string, ended *Progress, before uint64) (Record, error) {
	return ProgressRecord(id, &Progress{Phase: ended.Phase, EndedMS: ended.EndedMS, ForgottenBefore: before})
}

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

// JobOfRecord returns the ID of the job that a record belongs to, and whether it is the record of a job.
func JobOfRecord(r Record) (id string, ok bool) {
	_, id, ok = splitKey(r.Key)
	return id, ok
}

// splitKey splits the key of a job record into its prefix and the ID of its job.
func splitKey(key string) (prefix, id string, ok bool) {
	prefix, id, ok = strings.Cut(key, "/")
	prefix += "/"
	return prefix, id, ok && id != "" && (prefix == prefixSubmission || prefix == prefixProgress || prefix == prefixCancellation)
}

// Job is the state of a job according to its records.
//
// A job that is no longer needed is forgotten, and its ID may then be submitted again, which makes a new job. The
// records of both are told apart by their offsets in the topic of submissions: those before forgottenBefore belong to
// a job that was forgotten.
type Job struct {
	// submission is the submission that counts, newest the one with the newest record.
	submission, newest storedSubmission
	// progress is the newest progress, hasProgress is set while the store has a record of it.
	progress       Progress
	hasProgress    bool
	progressOffset uint64
	// forgotten is set while the newest progress is that of a job that was forgotten.
	forgotten       bool
	forgottenBefore uint64
	// hasCancellation is set if there is a cancellation; cancellationOffset is the offset of the newest one.
	hasCancellation    bool
	cancellationOffset uint64
	// mayHaveEarlier is set if submission may not be the job's first one.
	mayHaveEarlier bool
}

// storedSubmission is a submission with the offset of its record; the zero value is none.
type storedSubmission struct {
	submission *Submission
	offset     uint64
}

// Submission returns the job's submission, or nil if it has not been read or the job was forgotten.
func (j *Job) Submission() *Submission { return j.submission.submission }

// MayHaveEarlierSubmission reports whether the job may have been submitted before its submission that counts.
func (j *Job) MayHaveEarlierSubmission() bool { return j.mayHaveEarlier }

// Progress returns the newest progress read, or the zero value if none has been read.
func (j *Job) Progress() *Progress { return &j.progress }

// Cancelled reports whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.hasCancellation && j.cancellationOffset >= j.forgottenBefore }

// Phase returns the phase according to the records read. If the progress says that the job has
// ended, its phase takes precedence over a cancellation.
func (j *Job) Phase() Phase {
	switch {
	case j.progress.Phase.Ended():
		return j.progress.Phase
	case j.Cancelled():
		return PhaseCancelled
	}
	return j.progress.Phase
}

// forgetBefore records that the submissions and cancellations before an offset belong to a job that was forgotten.
func (j *Job) forgetBefore(offset uint64) {
	j.forgottenBefore = max(j.forgottenBefore, offset)
	if j.submission.submission == nil || j.submission.offset >= j.forgottenBefore {
		return
	}
	j.submission = storedSubmission{}
	if j.newest.submission != nil && j.newest.offset >= j.forgottenBefore {
		j.submission, j.mayHaveEarlier = j.newest, true
	}
}

// hasRemains reports whether the store may still hold a record of a job with the ID that was forgotten.
func (j *Job) hasRemains() bool { return j.forgotten || j.hasOldSubmission() || j.hasOldCancellation() }

func (j *Job) hasOldSubmission() bool {
	return j.newest.submission != nil && j.newest.offset < j.forgottenBefore
}

func (j *Job) hasOldCancellation() bool {
	return j.hasCancellation && j.cancellationOffset < j.forgottenBefore
}

// JobTable is the table of all jobs known from the records of the store. The zero value is empty.
// Records may be applied in any order: of each key the newest one counts by its offset, and of
// submissions the first one since the job was last forgotten.
type JobTable struct {
	jobs map[string]*Job
	// deleted holds the offsets of the newest deletions, by key.
	deleted map[string]uint64
	// remains holds the IDs of jobs that were forgotten and of which the store may still hold records.
	remains map[string]struct{}
	// unreadable holds the IDs of jobs with a submission that could not be decoded.
	unreadable map[string]struct{}
	// unmatched holds the IDs of jobs that have a cancellation and no submission.
	unmatched map[string]struct{}
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
func (t *JobTable) Clear() { *t = JobTable{} }

// ForgetDeleted forgets which keys were deleted. The caller must have no records left to apply that
// are older than a deletion applied before.
func (t *JobTable) ForgetDeleted() { t.deleted = nil }

// Apply applies the record at an offset of its topic and returns the ID of its job. A record that cannot
// be decoded changes nothing; the error is marked with ErrUnreadableRecord.
func (t *JobTable) Apply(r Record, offset uint64) (id string, err error) {
	return t.apply(r, offset, false)
}

// ApplyNewest is Apply for the newest record of its key, older ones of which may have been left out: the job may have
// been forgotten and submitted again meanwhile.
func (t *JobTable) ApplyNewest(r Record, offset uint64) (id string, err error) {
	return t.apply(r, offset, true)
}

// ApplyMissing applies the deletion of all records before the offset end whose keys the store does not have any more. The
// keys that it has are present; they are those of progress if progress is set, and else those of submissions and
// cancellations.
func (t *JobTable) ApplyMissing(present map[string]struct{}, end uint64, progress bool) {
	for id, j := range t.jobs {
		for _, key := range []struct {
			prefix string
			known  bool
			offset uint64
		}{
			{prefixSubmission, !progress && j.newest.submission != nil, j.newest.offset},
			{prefixCancellation, !progress && j.hasCancellation, j.cancellationOffset},
			{prefixProgress, progress && j.hasProgress, j.progressOffset},
		} {
			if _, stored := present[key.prefix+id]; key.known && !stored && key.offset+1 < end {
				t.remove(key.prefix, id, end-1)
			}
		}
	}
}

func (t *JobTable) apply(r Record, offset uint64, newest bool) (id string, err error) {
	prefix, id, ok := splitKey(r.Key)
	if !ok {
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
	if err := j.apply(prefix, id, r.Value, offset, newest); err != nil {
		if prefix == prefixSubmission {
			t.noteUnreadable(id)
		}
		return "", err
	}
	if t.jobs == nil {
		t.jobs = make(map[string]*Job)
	}
	t.jobs[id] = j
	t.noteChange(id, j)
	return id, nil
}

func (t *JobTable) noteUnreadable(id string) {
	setMember(&t.unreadable, id, true)
	delete(t.unmatched, id)
}

// noteChange keeps remains and unmatched up to date after a change of a job.
func (t *JobTable) noteChange(id string, j *Job) {
	setMember(&t.remains, id, j.hasRemains())
	_, unreadable := t.unreadable[id]
	setMember(&t.unmatched, id, j.Cancelled() && j.Submission() == nil && !unreadable)
}

// setMember adds an ID to a set, or removes it.
func setMember(set *map[string]struct{}, id string, member bool) {
	if !member {
		delete(*set, id)
		return
	}
	if *set == nil {
		*set = make(map[string]struct{})
	}
	(*set)[id] = struct{}{}
}

// CountUnmatched returns the number of jobs that have a cancellation and no submission. The submission may be stored
// later, which then is that of a cancelled job.
func (t *JobTable) CountUnmatched() int { return len(t.unmatched) }

// HasUnmatchedCancellation reports whether a job has a cancellation and no submission.
func (t *JobTable) HasUnmatchedCancellation(id string) bool {
	_, ok := t.unmatched[id]
	return ok
}

// apply applies a record with a value. Only the first submission, the newest cancellation and the newest progress count.
func (j *Job) apply(prefix, id string, value []byte, offset uint64, newest bool) error {
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
		j.applySubmission(storedSubmission{s, offset}, newest)
	case prefixProgress:
		var p Progress
		if err := cbor.Unmarshal(value, &p); err != nil {
			return errors.Mark(errors.Wrapf(err, "decode the progress of job %s", id), ErrUnreadableRecord)
		}
		if !p.Phase.Known() {
			return errors.Mark(errors.Newf("progress of job %s: unknown phase %d", id, p.Phase), ErrUnreadableRecord)
		}
		if !j.hasProgress || offset >= j.progressOffset {
			j.applyProgress(p, offset)
		}
	case prefixCancellation:
		j.hasCancellation, j.cancellationOffset = true, max(j.cancellationOffset, offset)
	}
	return nil
}

// applySubmission applies a submission. If newest is set, it also stands for those that were left out.
func (j *Job) applySubmission(s storedSubmission, newest bool) {
	if newest && j.submission.submission != nil && s.offset > j.newest.offset {
		j.submission, j.mayHaveEarlier = storedSubmission{}, true
	}
	if j.newest.submission == nil || s.offset > j.newest.offset {
		j.newest = s
	}
	if s.offset >= j.forgottenBefore && (j.submission.submission == nil || s.offset < j.submission.offset) {
		j.submission = s
	}
}

// applyProgress applies progress that is not older than the progress before. The progress of a job that was forgotten
// says nothing of a later job with the ID.
func (j *Job) applyProgress(p Progress, offset uint64) {
	j.progress, j.hasProgress, j.progressOffset, j.forgotten = p, true, offset, p.ForgottenBefore > 0
	if j.forgotten {
		j.progress = Progress{}
		j.forgetBefore(p.ForgottenBefore)
	}
}

// remove applies the deletion of a key at an offset. Records of its topic before the offset count no more, and with the
// submission that counts the job is forgotten. Progress of a job whose submission is left is kept.
func (t *JobTable) remove(prefix, id string, offset uint64) {
	if t.deleted == nil {
		t.deleted = make(map[string]uint64)
	}
	t.deleted[prefix+id] = offset
	j := t.jobs[id]
	if j == nil {
		return
	}
	switch {
	case prefix == prefixSubmission:
		if j.newest.offset < offset {
			j.newest = storedSubmission{}
		}
		counted := j.submission
		if j.forgetBefore(offset + 1); counted.submission != nil && j.submission != counted {
			j.forgetProgress() // it has not been read yet that the job is forgotten
		}
	case prefix == prefixCancellation && j.cancellationOffset < offset:
		j.hasCancellation = false
	case prefix == prefixProgress && j.progressOffset < offset:
		if j.submission.submission == nil || j.mayHaveEarlier {
			j.progress = Progress{}
		}
		j.hasProgress, j.forgotten = false, false
	}
	t.noteChange(id, j)
	if j.newest.submission == nil && !j.hasCancellation && !j.hasProgress {
		delete(t.jobs, id)
	}
}

// forgetProgress takes the progress read so far for that of a job that was forgotten.
func (j *Job) forgetProgress() {
	j.progress, j.forgotten = Progress{}, j.hasProgress
}

// ForgetOrphans takes progress before an offset that has no submission for what is left of jobs that were forgotten, and
// returns their number. All submissions before the offset intakeBefore must have been applied, among them those of all
// jobs of which progress is stored before progressBefore.
func (t *JobTable) ForgetOrphans(intakeBefore, progressBefore uint64) int {
	n := 0
	for id, j := range t.jobs {
		if _, unreadable := t.unreadable[id]; unreadable || j.submission.submission != nil || !j.hasProgress || j.forgotten {
			continue
		}
		if j.progressOffset >= progressBefore {
			continue
		}
		j.forgetBefore(intakeBefore)
		j.forgetProgress()
		t.noteChange(id, j)
		n++
	}
	return n
}

// Remains returns the deletions of what the store still holds of up to limit jobs that were forgotten: of their
// submissions and cancellations, and of the progress of those jobs that have neither.
//
// No deletion may be carried out after the ID has been submitted again: those of intake only while the topic ends where
// it was read to, those of progress only in the order of the dispatcher's appends. Otherwise it deletes records of a new
// job.
func (t *JobTable) Remains(limit int) (intake, progress []Record) {
	for i, id := range slices.Sorted(maps.Keys(t.remains)) {
		if i == limit {
			break
		}
		j := t.jobs[id]
		oldSubmission, oldCancellation := j.hasOldSubmission(), j.hasOldCancellation()
		if oldCancellation {
			intake = append(intake, Record{Key: prefixCancellation + id})
		}
		if oldSubmission {
			intake = append(intake, Record{Key: prefixSubmission + id})
		}
		if j.forgotten && !oldSubmission && !oldCancellation {
			progress = append(progress, Record{Key: prefixProgress + id})
		}
	}
	return intake, progress
}
