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
	// scheduleInterval is the longest time between two scheduling passes; changes of the jobs
	// start a pass at once.
	scheduleInterval = 100 * time.Millisecond
)

// batchState is an entry's state of all batch jobs of its data centre, of the workers that run
// them and of their scheduling.
type batchState struct {
	mu sync.Mutex
	// startedAt is when the entry started.
	startedAt time.Time
	state     job.StateMachine
	// lastReadBegan is when the newest read that reached the end of the jobs stream began.
	lastReadBegan time.Time
	// applied, if set, is closed after records were applied; see nextApplied.
	applied chan struct{}
	// changed wakes the scheduler after records were applied.
	changed chan struct{}
	workers map[string]*workerState
	// liveCount is how many workers had a recent last contact at liveCountedAt.
	liveCount     int
	liveCountedAt time.Time
	responder     job.HeartbeatResponder
	reclaimer     job.Reclaimer
	// lastForgetAt is when the entry last looked for ended jobs to drop.
	lastForgetAt time.Time

	scheduler queue.Scheduler
	random    *rand.Rand
	// appliedAt is when the newest records read were applied. The scheduler takes it as the
	// time of the changes in these records.
	appliedAt time.Time
	// configuredDocument is the bundle document that the scheduler is configured with.
	configuredDocument *bundle.Document
	// lastSilenceCheckAt is when the entry last checked for silent workers.
	lastSilenceCheckAt time.Time
}

// workerState is a worker's newest heartbeat and the time of its arrival.
type workerState struct {
	heartbeat   link.Heartbeat
	lastContact time.Time
}

// notify wakes the scheduler; mu is held.
func (j *batchState) notify() {
	if j.changed == nil {
		return
	}
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// connectScheduler sets up that task changes of the state machine reach the scheduler; now is
// the time at which the entry starts. It must be called before any record is applied.
func (j *batchState) connectScheduler(now time.Time) {
	j.startedAt = now
	j.appliedAt = now
	j.random = rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)) //nolint:gosec // placement only
	j.state.OnTaskChange = func(id record.TaskID, owner *job.Job, t *job.Task) {
		j.scheduler.TaskChanged(j.appliedAt, id, owner, t)
	}
}

// init creates what the scheduling loop needs: the channel that wakes it and the map of workers.
func (j *batchState) init() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changed = make(chan struct{}, 1)
	if j.workers == nil {
		j.workers = make(map[string]*workerState)
	}
}

// schedule places pending tasks and reclaims those of lost workers until ctx ends.
func (e *Entry) schedule(ctx context.Context) {
	e.jobs.init()
	tick := time.NewTicker(scheduleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-e.jobs.changed:
		}
		if e.draining.Load() {
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
	if err := e.localJobsWriter.Append(ctx, messages...); err != nil {
		e.log.Warn().Err(err).Int("records", len(messages)).Msg("scheduling records not appended")
	}
}

// decide decides on the jobs in their current state and returns the records to append for these
// decisions.
func (e *Entry) decide(now time.Time) []record.Message {
	document := e.document()
	entries := e.localEntries(now)
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if document == nil || e.jobs.lastReadBegan.IsZero() {
		return nil
	}
	out := append(e.reclaimTasks(now), e.forgetEndedJobs(now, entries)...)
	e.configure(now, document)
	e.dropSilentWorkers(now)
	backup := func(jobID string) time.Duration {
		return time.Duration(rendezvousRank(e.settings.Name, jobID, entries)) * queue.BackupDelay
	}
	decisions := e.jobs.scheduler.Decide(now, &e.jobs.state, backup, e.jobs.random)
	e.updateQueueGauges()
	for i := range decisions {
		e.logDecision(&decisions[i])
		if m := decisions[i].Message(); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// configure configures the scheduler with a new bundle document; jobs.mu is held.
func (e *Entry) configure(now time.Time, d *bundle.Document) {
	if e.jobs.configuredDocument == d {
		return
	}
	e.jobs.configuredDocument = d
	e.jobs.scheduler.Configure(now, d, &e.jobs.state)
}

// forgetWorkerAfter is how long a worker without tasks may be silent before it is dropped from
// batchState.workers.
const forgetWorkerAfter = 10 * time.Minute

// dropSilentWorkers marks silent workers as lost in the scheduler and drops those without
// tasks after forgetWorkerAfter; jobs.mu is held.
func (e *Entry) dropSilentWorkers(now time.Time) {
	if now.Sub(e.jobs.lastSilenceCheckAt) < workerLostAfter/2 {
		return
	}
	e.jobs.lastSilenceCheckAt = now
	for name, v := range e.jobs.workers {
		silentFor := now.Sub(v.lastContact)
		if silentFor > workerLostAfter {
			e.jobs.scheduler.Fleet().MarkLost(name)
		}
		if silentFor > forgetWorkerAfter && !e.jobs.scheduler.Fleet().Knows(name) {
			delete(e.jobs.workers, name)
		}
	}
}

// updateQueueGauges updates the gauges of queued tasks and allocations; jobs.mu is held.
func (e *Entry) updateQueueGauges() {
	q := e.jobs.scheduler.Queue()
	gometrics.GetOrRegisterGauge("queue-waiting", e.registry).Update(int64(q.Len()))
	gometrics.GetOrRegisterGauge("queue-parked", e.registry).Update(int64(q.ParkedCount()))
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

// schedulerReport returns the parts of a heartbeat that the scheduler uses.
func schedulerReport(h *link.Heartbeat) (*worker.Report, []queue.ClassUse) {
	r := &worker.Report{
		Name: h.Worker, Rack: h.Rack, Service: h.Service, Total: h.Total, Free: h.Free, Ready: h.Ready, Draining: h.Draining,
		Pressure: h.Pressure,
	}
	if h.Slots > 0 {
		r.Load = min(float64(h.InFlight)/float64(h.Slots), 1)
	}
	uses := make([]queue.ClassUse, len(h.ClassUses))
	for i, u := range h.ClassUses {
		uses[i] = queue.ClassUse{Class: u.Class, Granted: u.Granted, Used: u.Used}
	}
	return r, uses
}
