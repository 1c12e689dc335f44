package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Times of scheduling.
const (
	// scheduleEvery is the longest time between two looks at the queue.
	scheduleEvery = 100 * time.Millisecond
)

// jobs is the entry's state of batch work.
type jobs struct {
	mu   sync.Mutex
	born time.Time
	fold job.StateMachine
	// began is when the newest read of the stream began.
	began   time.Time
	changed chan struct{}
	workers map[string]*workerView
	// liveCount is how many of them were heard lately when they were counted.
	liveCount int
	counted   time.Time
	relay     job.HeartbeatResponder
	taker     job.Reclaimer
	// forgot is when ended jobs were looked for last.
	forgot time.Time

	scheduler queue.Scheduler
	random    *rand.Rand
	// delivered is when the records that are being folded were delivered.
	delivered time.Time
	// configured is the document that the scheduler follows.
	configured *bundle.Document
	// looked is when silent workers were looked for last.
	looked time.Time
}

type workerView struct {
	heartbeat link.Heartbeat
	heard     time.Time
}

// notify wakes the scheduler; mu is held.
func (j *jobs) notify() {
	if j.changed == nil {
		return
	}
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// attach makes the scheduler follow the fold, before anything is folded.
func (j *jobs) attach(now time.Time) {
	j.born = now
	j.delivered = now
	j.random = rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)) //nolint:gosec // placement only
	j.fold.OnTaskChange = func(id record.TaskID, owner *job.Job, t *job.Task) {
		j.scheduler.TaskChanged(j.delivered, id, owner, t)
	}
}

func (j *jobs) init() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changed = make(chan struct{}, 1)
	if j.workers == nil {
		j.workers = make(map[string]*workerView)
	}
}

// schedule places pending tasks and takes over those of lost workers until ctx ends.
func (e *Entry) schedule(ctx context.Context) {
	e.jobs.init()
	tick := time.NewTicker(scheduleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.jobs.changed:
		}
		if e.leaving.Load() {
			continue
		}
		e.appendDecisions(ctx, e.decide(time.Now()))
	}
}

// appendTimeout bounds the wait for scheduling records to reach the log.
const appendTimeout = 5 * time.Second

func (e *Entry) appendDecisions(ctx context.Context, messages []record.Message) {
	if len(messages) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := e.writer.Append(ctx, messages...); err != nil {
		e.log.Warn().Err(err).Int("records", len(messages)).Msg("scheduling records not appended yet")
	}
}

// decide returns the records that the present state calls for.
func (e *Entry) decide(now time.Time) []record.Message {
	document := e.document()
	neighbours := e.neighbours(now)
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if document == nil || e.jobs.began.IsZero() {
		return nil
	}
	out := append(e.takeOver(now), e.forget(now, neighbours)...)
	e.configure(now, document)
	e.dropSilent(now)
	backup := func(jobID string) time.Duration {
		return time.Duration(rank(e.settings.Name, jobID, neighbours)) * queue.BackupDelay
	}
	decisions := e.jobs.scheduler.Decide(now, &e.jobs.fold, backup, e.jobs.random)
	e.countQueue()
	for i := range decisions {
		e.logDecision(&decisions[i])
		if m := decisions[i].Message(); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// configure hands a new bundle to the scheduler; jobs.mu is held.
func (e *Entry) configure(now time.Time, d *bundle.Document) {
	if e.jobs.configured == d {
		return
	}
	e.jobs.configured = d
	e.jobs.scheduler.Configure(now, d, &e.jobs.fold)
}

// forgetWorkerAfter is how long a worker without tasks may be silent before
// nothing is kept of it.
const forgetWorkerAfter = 10 * time.Minute

// dropSilent tells the scheduler of workers that fell silent; jobs.mu is held.
func (e *Entry) dropSilent(now time.Time) {
	if now.Sub(e.jobs.looked) < workerLostAfter/2 {
		return
	}
	e.jobs.looked = now
	for name, v := range e.jobs.workers {
		silent := now.Sub(v.heard)
		if silent > workerLostAfter {
			e.jobs.scheduler.Fleet().MarkLost(name)
		}
		if silent > forgetWorkerAfter && !e.jobs.scheduler.Fleet().Knows(name) {
			delete(e.jobs.workers, name)
		}
	}
}

// countQueue keeps the gauges of waiting work; jobs.mu is held.
func (e *Entry) countQueue() {
	q := e.jobs.scheduler.Queue()
	gometrics.GetOrRegisterGauge("queue-waiting", e.registry).Update(int64(q.Len()))
	gometrics.GetOrRegisterGauge("queue-parked", e.registry).Update(int64(q.Parked()))
	gometrics.GetOrRegisterGauge("tasks-held", e.registry).Update(int64(e.jobs.scheduler.Fleet().AllocationCount()))
}

func (e *Entry) logDecision(d *queue.Decision) {
	spec := d.Job().Spec()
	gometrics.GetOrRegisterCounter("decisions-"+d.Kind().String(), e.registry).Inc(1)
	if len(d.Placements()) == 0 && len(d.Revoked()) == 0 {
		e.log.Info().Str("decision", d.Kind().String()).Str("job", spec.ID).Str("class", spec.Class).
			Str("reason", d.Reason()).Msg("")
	}
	for _, p := range d.Placements() {
		e.log.Info().Str("decision", d.Kind().String()).Str("task", p.Task.String()).Str("worker", p.Worker).
			Str("class", spec.Class).Str("reason", d.Reason()).Msg("")
	}
	for _, h := range d.Revoked() {
		e.log.Info().Str("decision", d.Kind().String()).Str("task", h.Task.String()).Str("for-job", spec.ID).
			Str("reason", d.Reason()).Msg("")
	}
}

// report returns what the scheduler needs to know of a heartbeat.
func report(h *link.Heartbeat) (*worker.Report, []queue.ClassUse) {
	r := &worker.Report{
		Name: h.Worker, Rack: h.Rack, Service: h.Service, Total: h.Total, Free: h.Free, Ready: h.Ready, Draining: h.Leaving,
		Pressure: h.Pressure,
	}
	if h.Slots > 0 {
		r.Load = min(float64(h.InFlight)/float64(h.Slots), 1)
	}
	uses := make([]queue.ClassUse, len(h.Uses))
	for i, u := range h.Uses {
		uses[i] = queue.ClassUse{Class: u.Class, Granted: u.Granted, Used: u.Used}
	}
	return r, uses
}
