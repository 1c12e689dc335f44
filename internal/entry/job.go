package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Limits on a submission.
const (
	maxJobBodyBytes = 1 << 20
	maxTasks        = 10000
	// submitTimeout bounds the wait until the record of a caller's submission or cancellation
	// is in the log.
	submitTimeout = 5 * time.Second
	// jobIDLength is the number of hex digits of a job id.
	jobIDLength = 20
)

// Submission is the JSON form of a job that a team submits.
type Submission struct {
	Class      string           `json:"class"`
	Tasks      uint32           `json:"tasks"`
	Gang       bool             `json:"gang"`
	Size       worker.Resources `json:"size"`
	ExpectedMS int64            `json:"expected-ms"`
	NeededBy   time.Time        `json:"needed-by"`
	Payload    json.RawMessage  `json:"payload"`
}

// JobView is the JSON form of a job's state.
type JobView struct {
	ID    string     `json:"id"`
	Team  string     `json:"team"`
	Class string     `json:"class"`
	Phase string     `json:"phase"`
	Tasks []TaskView `json:"tasks,omitempty"`
}

// TaskView is the JSON form of a task's state.
type TaskView struct {
	Phase      string `json:"phase"`
	Worker     string `json:"worker,omitempty"`
	Attempts   uint32 `json:"attempts"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Detail     string `json:"detail,omitempty"`
	// Waiting is the reason why a pending task does not run yet.
	Waiting string `json:"waiting,omitempty"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	d, team, ok := e.authenticateCaller(w, r)
	if !ok {
		return
	}
	var s Submission
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBodyBytes))
	in.DisallowUnknownFields()
	if err := in.Decode(&s); err != nil {
		problem.New(http.StatusBadRequest, "body", err.Error()).Write(w)
		return
	}
	class, field, detail := checkSubmission(d, &s)
	if field != "" {
		problem.New(http.StatusBadRequest, field, detail).Write(w)
		return
	}
	spec := newSpec(time.Now(), team, class, &s)
	spec.ID = e.newJobID(d, team.Name, r.Header.Get("Idempotency-Key"))
	home := e.homeDataCentre(d, spec.ID)
	if views, movedTo := e.localJobs(team.Name, spec.ID); home == e.settings.DataCentre && len(views) == 1 && movedTo == "" {
		writeJSON(w, http.StatusOK, views[0])
		return
	}
	if p := appendRecord(r.Context(), e.jobsWriter(home), &record.Submit{Spec: spec}); p != nil {
		p.Write(w)
		return
	}
	e.log.Info().Str("decision", "accept-job").Str("job", spec.ID).Str("team", team.Name).Str("class", spec.Class).
		Str("data-centre", home).Msg("")
	w.Header().Set("Location", "/jobs/"+spec.ID)
	writeJSON(w, http.StatusCreated, JobView{ID: spec.ID, Team: spec.Team, Class: spec.Class, Phase: job.Pending.String()})
}

// checkSubmission returns the batch class of a submission, or the first invalid field and
// what is wrong with it. A submission without a size gets the size of its class.
func checkSubmission(d *bundle.Document, s *Submission) (class *bundle.BatchClass, field, detail string) {
	class, ok := d.BatchClass(s.Class)
	if ok && s.Size == (worker.Resources{}) {
		s.Size = class.Size
	}
	switch {
	case !ok:
		return nil, "class", "the bundle in force has no such batch class"
	case s.Tasks > maxTasks:
		return nil, "tasks", "must be at most 10000"
	case !s.Size.Valid() || s.Size == (worker.Resources{}):
		return nil, "size", "must not be empty or negative"
	case s.ExpectedMS < 0:
		return nil, "expected-ms", "must not be negative"
	}
	return class, "", ""
}

// newSpec returns the specification of a submitted job, without its id.
func newSpec(now time.Time, team *bundle.Team, class *bundle.BatchClass, s *Submission) record.Spec {
	spec := record.Spec{
		Team: team.Name, Class: s.Class, Tasks: max(s.Tasks, 1), Gang: s.Gang, Size: s.Size,
		ExpectedMS: s.ExpectedMS, SubmittedAtMS: now.UnixMilli(), Payload: s.Payload,
		MaxFailures: uint32(class.MaxFailures), TakeoverMS: class.TakeoverAfter.Std().Milliseconds(),
	}
	if !s.NeededBy.IsZero() {
		spec.NeededByMS = s.NeededBy.UnixMilli()
	}
	return spec
}

// jobID returns the job id for a team's idempotency key: submissions with the same key get the
// same id.
func jobID(team, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + idempotencyKey))
	return hex.EncodeToString(sum[:])[:jobIDLength]
}

// newJobID returns the id of a submitted job. Without an idempotency key the id is random and
// chosen so that its home is this data centre, unless maxHomeTries ids gave none.
func (e *Entry) newJobID(d *bundle.Document, team, idempotencyKey string) string {
	if idempotencyKey != "" {
		return jobID(team, idempotencyKey)
	}
	id := jobID(team, rand.Text())
	for range maxHomeTries {
		if e.homeDataCentre(d, id) == e.settings.DataCentre {
			break
		}
		id = jobID(team, rand.Text())
	}
	return id
}

// appendRecord appends a record on a caller's behalf and waits until the record is in the log.
// If that fails, it returns the error response for the caller.
func appendRecord(ctx context.Context, w *services.Writer, m record.Message) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := w.Append(ctx, m)
	if err == nil {
		return nil
	}
	p := problem.New(http.StatusServiceUnavailable, "", "the log did not accept the record in time; repeat with the same Idempotency-Key")
	p.RetryAfter = submitTimeout
	if !errors.Is(err, services.ErrBackpressure) && !errors.Is(err, record.ErrUnavailable) {
		p.Outcome = problem.Unknown
	}
	return &p
}

func (e *Entry) serveJobs(w http.ResponseWriter, r *http.Request) {
	d, team, ok := e.authenticateCaller(w, r)
	if !ok {
		return
	}
	out := []JobView{}
	for _, name := range e.dataCentres(d) {
		views, _, p := e.queryJobs(r.Context(), name, &link.JobsQuery{Team: team.Name})
		if p != nil {
			w.Header().Add(HeaderPartial, name)
		}
		out = append(out, views...)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	writeJSON(w, http.StatusOK, out)
}

func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request) {
	if f, ok := e.requestedJob(w, r); ok {
		writeJSON(w, http.StatusOK, f.view)
	}
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	f, ok := e.requestedJob(w, r)
	if !ok {
		return
	}
	m := &record.Cancel{Jobs: []string{f.view.ID}, AtMS: time.Now().UnixMilli()}
	if p := appendRecord(r.Context(), e.jobsWriter(f.dataCentre), m); p != nil {
		p.Write(w)
		return
	}
	e.log.Info().Str("decision", "cancel-job").Str("job", f.view.ID).Str("data-centre", f.dataCentre).Msg("")
	w.WriteHeader(http.StatusAccepted)
}

// authenticateCaller returns the bundle document in force and the caller's team, or
// responds with an error.
func (e *Entry) authenticateCaller(w http.ResponseWriter, r *http.Request) (*bundle.Document, *bundle.Team, bool) {
	d := e.document()
	if d == nil {
		problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet").Write(w)
		return nil, nil, false
	}
	team, ok := e.team(w, r, d)
	return d, team, ok
}

// requestedJob returns the job that a request names, or responds with an error.
func (e *Entry) requestedJob(w http.ResponseWriter, r *http.Request) (locatedJob, bool) {
	d, team, ok := e.authenticateCaller(w, r)
	if !ok {
		return locatedJob{}, false
	}
	f, p := e.findJob(r.Context(), d, team.Name, r.PathValue("id"))
	if p != nil {
		p.Write(w)
		return locatedJob{}, false
	}
	return f, true
}

// explainWaiting sets in v, for each task that waits to be started, the reason why it waits; the
// caller holds jobs.mu.
func (e *Entry) explainWaiting(j *job.Job, v *JobView) {
	for i := range v.Tasks {
		if reason, ok := e.jobs.scheduler.WaitReason(j, uint32(i)); ok {
			v.Tasks[i].Waiting = reason
		}
	}
}

// viewOf returns the JSON form of a job; jobs.mu is held.
func (e *Entry) viewOf(j *job.Job, withTasks bool) JobView {
	v := JobView{ID: j.Spec().ID, Team: j.Spec().Team, Class: j.Spec().Class, Phase: j.Phase().String()}
	if !withTasks {
		return v
	}
	for i := range j.TaskCount() {
		t := j.Task(i)
		v.Tasks = append(v.Tasks, TaskView{
			Phase: t.Phase().String(), Worker: t.Worker(), Attempts: t.Attempt(), Checkpoint: t.Checkpoint(), Detail: t.Detail(),
		})
	}
	e.explainWaiting(j, &v)
	return v
}
