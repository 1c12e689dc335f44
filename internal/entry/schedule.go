package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Times of scheduling.
const (
	// scheduleEvery is the longest time between two looks at the queue.
	scheduleEvery = 100 * time.Millisecond
	// backupDelay is how long an entry leaves a job to the one ranked before it.
	backupDelay = 1200 * time.Millisecond
	// decisionPending is how long a task is left alone after a record about it was queued.
	decisionPending = 2 * time.Second
)

// jobs is the entry's state of batch work.
type jobs struct {
	mu   sync.Mutex
	born time.Time
	fold job.Fold
	// began is when the newest read of the stream began.
	began   time.Time
	changed chan struct{}
	workers map[string]*workerView
	// seen is when a pending task was first seen, by task and attempt.
	seen map[waiting]time.Time
	// queued is when a record about a waiting task was last queued.
	queued map[waiting]time.Time
	relay  job.Relay
	taker  job.Taker
}

type waiting struct {
	task    record.TaskID
	attempt uint32
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

func (j *jobs) init() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changed = make(chan struct{}, 1)
	j.seen = make(map[waiting]time.Time)
	j.queued = make(map[waiting]time.Time)
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
	out := e.takeOver(now)
	free := e.room(now)
	for _, p := range e.pending(now, document, neighbours) {
		name, ok := place(p.job.Spec().Size, free)
		if !ok {
			continue
		}
		free[name] = free[name].Minus(p.job.Spec().Size)
		e.jobs.queued[p.waiting] = now
		out = append(out, &record.Assign{Placements: []record.Placement{{Task: p.task, Worker: name, Attempt: p.attempt}}})
		e.log.Info().Str("decision", "place-task").Str("task", p.task.String()).Str("worker", name).
			Str("class", p.job.Spec().Class).Str("reason", "most room left").Msg("")
	}
	return out
}

// place returns the worker with the most memory left of those with room.
func place(size worker.Resources, free map[string]worker.Resources) (string, bool) {
	best := ""
	for name, room := range free {
		if !size.Fits(room) {
			continue
		}
		if best == "" || room.MemoryMB > free[best].MemoryMB || (room.MemoryMB == free[best].MemoryMB && name < best) {
			best = name
		}
	}
	return best, best != ""
}

// room returns what each live worker has left by its heartbeat and the fold.
func (e *Entry) room(now time.Time) map[string]worker.Resources {
	out := make(map[string]worker.Resources, len(e.jobs.workers))
	for name, v := range e.jobs.workers {
		if !v.heartbeat.Ready || v.heartbeat.Leaving || now.Sub(v.heard) > workerLostAfter {
			continue
		}
		left := v.heartbeat.Total
		e.jobs.fold.Held(name, func(_ record.Hold, j *job.Job, _ *job.Task) {
			left = left.Minus(j.Spec().Size)
		})
		out[name] = left
	}
	return out
}

type pendingTask struct {
	waiting
	job      *job.Job
	priority int
}

// pending returns the tasks that this entry should place now, most important first.
func (e *Entry) pending(now time.Time, d *bundle.Document, neighbours []record.Member) []pendingTask {
	var out []pendingTask
	e.jobs.fold.Each(func(j *job.Job) bool {
		if j.Ended() {
			return true
		}
		backup := time.Duration(rank(e.settings.Name, j.Spec().ID, neighbours)) * backupDelay
		priority := 0
		if class, ok := d.BatchClass(j.Spec().Class); ok {
			priority = class.Priority
		}
		for i := range j.Tasks() {
			t := j.Task(i)
			if t.Phase() != job.Pending {
				continue
			}
			w := waiting{task: record.TaskID{Job: j.Spec().ID, Index: uint32(i)}, attempt: t.Attempt()}
			if e.jobs.due(now, w, backup) {
				out = append(out, pendingTask{waiting: w, job: j, priority: priority})
			}
		}
		return true
	})
	sort.Slice(out, func(i, k int) bool {
		if out[i].priority != out[k].priority {
			return out[i].priority > out[k].priority
		}
		return out[i].job.Submitted() < out[k].job.Submitted()
	})
	return out
}

// due reports whether a waiting task has waited for backup and is not being placed.
func (j *jobs) due(now time.Time, w waiting, backup time.Duration) bool {
	first, ok := j.seen[w]
	if !ok {
		j.seen[w] = now
		first = now
	}
	return now.Sub(first) >= backup && now.Sub(j.queued[w]) > decisionPending
}
