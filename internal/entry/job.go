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

	"savoryhoist.example/savoryhoist/internal/platform"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Limits on a submission.
const (
	maxJobBody = 1 << 20
	maxTasks   = 10000
	// submitTimeout bounds the wait for the log.
	submitTimeout = 5 * time.Second
	// idLength is the number of hex digits of a job id.
	idLength = 20
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
	// Waiting says why a pending task does not run yet.
	Waiting string `json:"waiting,omitempty"`
}

func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	d := e.document()
	if d == nil {
		problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet").Write(w)
		return
	}
	team, ok := e.team(w, r, d)
	if !ok {
		return
	}
	var s Submission
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBody))
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
	spec := newSpec(time.Now(), team, class, &s, r.Header.Get("Idempotency-Key"))
	if known, ok := e.viewJob(spec.ID, team.Name); ok {
		writeJSON(w, http.StatusOK, known)
		return
	}
	if p := e.append(r.Context(), &record.Submit{Spec: spec}); p != nil {
		p.Write(w)
		return
	}
	e.log.Info().Str("decision", "accept-job").Str("job", spec.ID).Str("team", team.Name).Str("class", spec.Class).Msg("")
	w.Header().Set("Location", "/jobs/"+spec.ID)
	writeJSON(w, http.StatusCreated, JobView{ID: spec.ID, Team: spec.Team, Class: spec.Class, Phase: job.Pending.String()})
}

func checkSubmission(d *bundle.Document, s *Submission) (class *bundle.BatchClass, field, detail string) {
	class, ok := d.BatchClass(s.Class)
	switch {
	case !ok:
		return nil, "class", "the bundle in force has no such batch class"
	case s.Tasks > maxTasks:
		return nil, "tasks", "must be at most 10000"
	case !s.Size.Valid() || s.Size == (worker.Resources{}):
		return nil, "size", "must ask for something, and for nothing negative"
	case s.ExpectedMS < 0:
		return nil, "expected-ms", "must not be negative"
	}
	return class, "", ""
}

func newSpec(now time.Time, team *bundle.Team, class *bundle.BatchClass, s *Submission, key string) record.Spec {
	spec := record.Spec{
		ID: jobID(team.Name, key), Team: team.Name, Class: s.Class, Tasks: max(s.Tasks, 1), Gang: s.Gang, Size: s.Size,
		ExpectedMS: s.ExpectedMS, SubmittedAt: now.UnixMilli(), Payload: s.Payload,
		MaxFailures: uint32(class.MaxAttempts), TakeoverMS: class.TakeoverAfter.Std().Milliseconds(),
	}
	if !s.NeededBy.IsZero() {
		spec.NeededBy = s.NeededBy.UnixMilli()
	}
	return spec
}

// jobID is the same for every submission of a team under the same key.
func jobID(team, key string) string {
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:])[:idLength]
}

// append waits until a caller's record is in the log.
func (e *Entry) append(ctx context.Context, m record.Message) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := e.writer.Append(ctx, m)
	if err == nil {
		return nil
	}
	p := problem.New(http.StatusServiceUnavailable, "", "the log is slow; repeat with the same Idempotency-Key")
	p.RetryAfter = submitTimeout
	if !errors.Is(err, platform.ErrBackpressure) && !errors.Is(err, record.ErrUnavailable) {
		p.Outcome = problem.Unknown
	}
	return &p
}

func (e *Entry) serveJobs(w http.ResponseWriter, r *http.Request) {
	d := e.document()
	if d == nil {
		problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet").Write(w)
		return
	}
	team, ok := e.team(w, r, d)
	if !ok {
		return
	}
	out := []JobView{}
	e.jobs.mu.Lock()
	e.jobs.fold.Each(func(j *job.Job) bool {
		if j.Spec().Team == team.Name {
			out = append(out, viewOf(j, false))
		}
		return true
	})
	e.jobs.mu.Unlock()
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	writeJSON(w, http.StatusOK, out)
}

func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request) {
	if v, ok := e.ownJob(w, r); ok {
		writeJSON(w, http.StatusOK, v)
	}
}

func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	v, ok := e.ownJob(w, r)
	if !ok {
		return
	}
	if p := e.append(r.Context(), &record.Cancel{Jobs: []string{v.ID}}); p != nil {
		p.Write(w)
		return
	}
	e.log.Info().Str("decision", "cancel-job").Str("job", v.ID).Msg("")
	w.WriteHeader(http.StatusAccepted)
}

func (e *Entry) ownJob(w http.ResponseWriter, r *http.Request) (JobView, bool) {
	d := e.document()
	if d == nil {
		problem.New(http.StatusServiceUnavailable, "", "no bundle is in force yet").Write(w)
		return JobView{}, false
	}
	team, ok := e.team(w, r, d)
	if !ok {
		return JobView{}, false
	}
	v, ok := e.viewJob(r.PathValue("id"), team.Name)
	if !ok {
		problem.New(http.StatusNotFound, "id", "the team has no such job").Write(w)
	}
	return v, ok
}

func (e *Entry) viewJob(id, team string) (JobView, bool) {
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	j, ok := e.jobs.fold.Job(id)
	if !ok || j.Spec().Team != team {
		return JobView{}, false
	}
	v := viewOf(j, true)
	e.explainWaiting(j, &v)
	return v, true
}

// explainWaiting fills in why pending tasks wait; jobs.mu is held.
func (e *Entry) explainWaiting(j *job.Job, v *JobView) {
	for i := range v.Tasks {
		if reason, ok := e.jobs.scheduler.Waiting(j, uint32(i)); ok {
			v.Tasks[i].Waiting = reason
		}
	}
}

func viewOf(j *job.Job, withTasks bool) JobView {
	v := JobView{ID: j.Spec().ID, Team: j.Spec().Team, Class: j.Spec().Class, Phase: j.Phase().String()}
	if !withTasks {
		return v
	}
	for i := range j.Tasks() {
		t := j.Task(i)
		v.Tasks = append(v.Tasks, TaskView{
			Phase: t.Phase().String(), Worker: t.Worker(), Attempts: t.Attempt(), Checkpoint: t.Checkpoint(), Detail: t.Detail(),
		})
	}
	return v
}
