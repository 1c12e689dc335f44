package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the guarantees that History judges.
const (
	// lateStartAfter is how long after the acknowledged success of a task, or after its job was shown as completed, no
	// run of it starts at all.
	lateStartAfter = time.Second
	// notedAfter is how long after it was listed an end counts as acknowledged, if no disruption is near.
	notedAfter = 100 * time.Millisecond
	// calmBefore and calmAfter are how far from a moment a disruption is near.
	calmBefore, calmAfter = 3 * time.Second, time.Second
	// cancelBound is how long after the acknowledgement of a job's cancellation its tasks may start, and stopBound how
	// long after that they may run.
	cancelBound, stopBound = 3 * time.Second, 400 * time.Millisecond
	// earlyBound is how long before its time a scheduled task may start.
	earlyBound = 250 * time.Millisecond
)

// History records the starts, ends, listings and acknowledgements of runs at all runners, and the violations of the
// guarantees for tasks that must run once: no two runs are in progress at once, no run starts after a success that is
// acknowledged then or later, and none starts long after such a success or after the job was shown as completed. It also
// records starts before their time or out of order, and starts of cancelled jobs. The zero value is empty.
type History struct {
	// Disrupted reports whether a disruption was in effect at some time between two times; if it is nil, there was none. It is
	// set before the first use of the history, and must not call the history.
	Disrupted func(from, to time.Time) bool
	// WallOffset is added to all times that the history is given, so that those that it returns, passes to Disrupted and
	// compares with due times are of the time of day. It is set before the first use, too.
	WallOffset time.Duration
	// Speculative, if set, reports whether several runs of a task may be in progress at a time although its plan does not say
	// so. Its starts are not judged by earlier successes then.
	Speculative func(task string) bool
	// OnStart and OnSuccess, if set, are called when a run starts at a runner, and when the success of a task is acknowledged.
	// They must not call the history.
	OnStart   func(runner, task string, run uint64)
	OnSuccess func(task string)

	mu sync.Mutex
	// tasks holds what happened to each task.
	tasks map[string]*taskHistory
	// successes holds the successful ends, by task or, if one of them represents all tasks of a step, by step.
	successes map[string][]*pastEnd
	// listed holds the successful ends that were listed.
	listed []*pastEnd
	jobs   map[string]*jobHistory
	// completed holds the tasks of which a run has done all its work.
	completed  map[string]bool
	violations []violation
	nearMisses []violation
	// lives describes the beginnings and ends of the lives of runners, and the calls that they have carried out late.
	lives []event
}

// taskHistory is what happened to one task.
type taskHistory struct {
	events     []event
	starts     []*pastStart
	inProgress []*pastStart
}

// jobHistory is what callers saw of one job.
type jobHistory struct{ cancelledAt, completedAt time.Time }

// event is one line of the history of a task.
type event struct {
	at      time.Time
	runner  string
	life    uint64
	kind    string
	run     uint64
	outcome string
}

func (e *event) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s: %s, life %d: run %d %s %s", e.at.Format(time.StampMilli), e.runner, e.life, e.run, e.kind, e.outcome))
}

// violation is the violation of a guarantee for a task.
type violation struct{ text, task string }

// startInfo is what a runner knows of a start.
type startInfo struct {
	runner string
	life   uint64
	task   string
	run    uint64
	// late is set if the runner carried out the start long after it arrived.
	late bool
	plan *JobPlan
	step StepPlan
}

// pastStart is a start. endedAt is the zero time while the run is in progress.
type pastStart struct {
	startInfo
	at, endedAt time.Time
}

func (s *pastStart) String() string {
	return fmt.Sprintf("%s: run %d of %s started at %s", s.at.Format(time.StampMilli), s.run, s.task, s.runner)
}

// pastEnd is an end of a run.
type pastEnd struct {
	start   *pastStart
	outcome string
	at      time.Time
	// voidAt is when the runner's lease expired or its life ended; an end that was not acknowledged before never is.
	voidAt time.Time
	// ackedAt is when the end was acknowledged, and listedAt when the runner has listed it.
	ackedAt  time.Time
	listedAt []time.Time
	// laterStarts holds the starts since the end of tasks that it represents.
	laterStarts []*pastStart
}

// successKey returns the key of the successes that represent a task.
func (i *startInfo) successKey() string {
	if i.step.Gang {
		return i.task[:strings.LastIndexByte(i.task, '.')]
	}
	return i.task
}

func (h *History) disrupted(from, to time.Time) bool {
	return h.Disrupted != nil && h.Disrupted(from, to)
}

// task returns what happened to a task. The caller holds mu.
func (h *History) task(name string) *taskHistory {
	if h.tasks == nil {
		h.tasks, h.successes = make(map[string]*taskHistory), make(map[string][]*pastEnd)
		h.completed = make(map[string]bool)
	}
	if h.tasks[name] == nil {
		h.tasks[name] = &taskHistory{}
	}
	return h.tasks[name]
}

// job returns what callers saw of a job. The caller holds mu.
func (h *History) job(id string) *jobHistory {
	if h.jobs == nil {
		h.jobs = make(map[string]*jobHistory)
	}
	if h.jobs[id] == nil {
		h.jobs[id] = &jobHistory{}
	}
	return h.jobs[id]
}

func (h *History) violate(task, format string, args ...any) {
	h.violations = append(h.violations, violation{fmt.Sprintf(format, args...), task})
}

// noteStart notes that a run started, and which guarantees that violates.
func (h *History) noteStart(now time.Time, info startInfo) *pastStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	t, s := h.task(info.task), &pastStart{startInfo: info, at: now}
	kind := "started"
	if s.late {
		kind = "started, the order was carried out late"
	}
	t.events = append(t.events, event{now, s.runner, s.life, kind, s.run, ""})
	if h.OnStart != nil {
		h.OnStart(s.runner, s.task, s.run)
	}
	if h.Speculative != nil && h.Speculative(s.task) {
		s.step.Speculative = true
	} else {
		h.judgeSuccesses(s)
	}
	for _, other := range t.inProgress {
		if !s.step.Speculative {
			h.violate(s.task, "%s while run %d was in progress at %s", s, other.run, other.runner)
		}
	}
	h.judgeJob(s)
	h.judgeOrder(s)
	t.starts, t.inProgress = append(t.starts, s), append(t.inProgress, s)
	return s
}

// noteEnd notes that a run has ended.
func (h *History) noteEnd(now time.Time, s *pastStart, outcome string) *pastEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	t := h.task(s.task)
	s.endedAt = now
	t.inProgress = slices.DeleteFunc(t.inProgress, func(o *pastStart) bool { return o == s })
	t.events = append(t.events, event{now, s.runner, s.life, "ended", s.run, outcome})
	e := &pastEnd{start: s, outcome: outcome, at: now}
	if outcome == "done" {
		key := s.successKey()
		h.successes[key] = append(h.successes[key], e)
		h.completed[s.task] = true
	}
	return e
}

// noteVoid notes that the runner's lease expired after an end, or that the runner's life ended.
func (h *History) noteVoid(now time.Time, e *pastEnd, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	if e.voidAt.IsZero() {
		e.voidAt = now
		h.noteEvent(now, e, reason)
	}
}

// noteEvent adds an event of an end to the history of its task. The caller holds mu.
func (h *History) noteEvent(now time.Time, e *pastEnd, kind string) {
	t := h.task(e.start.task)
	t.events = append(t.events, event{now, e.start.runner, e.start.life, "with the end", e.start.run, e.outcome + " " + kind})
}

// noteListed notes that a runner has listed an end.
func (h *History) noteListed(now time.Time, e *pastEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	if len(e.listedAt) == 0 {
		h.noteEvent(now, e, "was listed")
		if e.outcome == "done" {
			h.listed = append(h.listed, e)
		}
	}
	e.listedAt = append(e.listedAt, now)
}

// noteAck notes that an end was acknowledged, and whether a run that started between the end and its acknowledgement
// violates a guarantee.
func (h *History) noteAck(now time.Time, e *pastEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	h.noteEvent(now, e, "was acknowledged")
	if !e.voidAt.IsZero() || e.outcome != "done" {
		return
	}
	e.ackedAt = now
	if h.OnSuccess != nil {
		h.OnSuccess(e.start.task)
	}
	if len(e.laterStarts) > 0 && !e.start.step.Speculative {
		s := e.laterStarts[0]
		h.violate(s.task, "%s after the success of run %d at %s, which was acknowledged later", s, e.start.run, e.start.runner)
	}
}

// noteNearMiss notes a call that does harm only if something else comes with it.
func (h *History) noteNearMiss(now time.Time, runner, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	h.nearMisses = append(h.nearMisses, violation{fmt.Sprintf("%s: %s: ", now.Format(time.StampMilli), runner) + fmt.Sprintf(format, args...), ""})
}

// noteForeignCheckpoint notes that a start carried a checkpoint that is not one of its task.
func (h *History) noteForeignCheckpoint(s *pastStart, checkpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(s.task, "%s with the checkpoint %s of another task", s, checkpoint)
}

// noteLife notes that a runner begins or ends a life, or carries out a call late in it.
func (h *History) noteLife(now time.Time, runner, what string, life uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives = append(h.lives, event{at: now.Add(h.WallOffset), runner: runner, life: life, kind: what})
}

// NoteCompleted notes that a caller was shown a job as completed, and which of its tasks were not done.
func (h *History) NoteCompleted(now time.Time, job string, plan *JobPlan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	j := h.job(job)
	if !j.completedAt.IsZero() {
		return
	}
	j.completedAt = now
	for _, key := range plan.successKeys() {
		if len(h.successes[key]) == 0 {
			h.violate(key, "%s: job %s was shown as completed before %s was done", now.Format(time.StampMilli), job, key)
		}
	}
}

// NoteCancelled notes that the cancellation of a job was acknowledged.
func (h *History) NoteCancelled(now time.Time, job string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	if j := h.job(job); j.cancelledAt.IsZero() {
		j.cancelledAt = now
	}
}

// Violations returns descriptions of the violations so far.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return texts(slices.Concat(h.violations, h.judgeListed()))
}

// CancelledViolations returns descriptions of the runs that have gone on until now, or did before, for too long after the
// cancellation of their job.
func (h *History) CancelledViolations(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	return texts(h.judgeCancelled(now))
}

// NearMisses returns descriptions of what would have violated a guarantee had something else come with it.
func (h *History) NearMisses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return texts(h.nearMisses)
}

func texts(violations []violation) []string {
	var out []string
	for _, v := range violations {
		out = append(out, v.text)
	}
	return out
}

// Report returns the violations up to now and the near misses, each with the whole history of its task.
func (h *History) Report(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = now.Add(h.WallOffset)
	var out strings.Builder
	for _, v := range slices.Concat(h.violations, h.judgeListed(), h.judgeCancelled(now)) {
		out.WriteString("violation: " + v.text + "\n")
		if t := h.tasks[v.task]; t != nil {
			for i := range t.events {
				out.WriteString("\t" + t.events[i].String() + "\n")
			}
		}
	}
	for _, v := range h.nearMisses {
		out.WriteString("near miss: " + v.text + "\n")
	}
	for _, e := range h.lives {
		fmt.Fprintf(&out, "%s: %s %s %d\n", e.at.Format(time.StampMilli), e.runner, e.kind, e.life)
	}
	return out.String()
}

// Started reports whether a task of a job was ever started.
func (h *History) Started(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task := range h.tasks {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// Completed reports whether a run of a task has done all its work.
func (h *History) Completed(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.completed[task]
}
