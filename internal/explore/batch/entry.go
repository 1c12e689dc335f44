package batch

import (
	"fmt"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Intervals and time-outs of an entry.
const (
	readInterval    = 150 * time.Millisecond
	decideInterval  = 250 * time.Millisecond
	confirmInterval = 500 * time.Millisecond
	// unconfirmedLostAfter is how long a worker must be silent to count as lost if some
	// other entries did not answer the query for their last contact with it.
	unconfirmedLostAfter = 2 * job.LostAfter
	// placementRetryDelay is how long the entry waits for a placement to take effect in
	// the log before it places the task again.
	placementRetryDelay = 2 * time.Second
)

// entry runs a state machine, a heartbeat responder and a reclaimer.
type entry struct {
	w       *world
	name    string
	process process

	state       job.StateMachine
	responder   job.HeartbeatResponder
	reclaimer   job.Reclaimer
	lastContact map[string]time.Time
	placedAt    map[record.TaskID]time.Time
	queued      []record.Message
	writer      string
	seq         uint64
	// sending is set while an append is not acknowledged.
	sending bool
}

func newEntry(w *world, name string) *entry {
	e := &entry{w: w, name: name, process: newProcess(w)}
	e.start()
	return e
}

// start starts the entry's process without state.
func (e *entry) start() {
	e.state, e.responder, e.reclaimer = job.StateMachine{}, job.HeartbeatResponder{}, job.Reclaimer{}
	e.responder.SetRules(e.w.rules.Responder)
	e.reclaimer.SetRules(e.w.rules.Reclaimer)
	e.lastContact = make(map[string]time.Time)
	e.placedAt = make(map[record.TaskID]time.Time)
	e.queued, e.seq, e.sending = nil, 0, false
	e.writer = fmt.Sprintf("%s@%d", e.name, e.process.generation)
	e.process.after(e.w.randomUpTo(readInterval), e.read)
	e.process.after(e.w.randomUpTo(decideInterval), e.decide)
	e.process.after(e.w.randomUpTo(confirmInterval), e.confirmLost)
}

// restart replaces the entry's process. Half of the time the new process tries to start
// from a snapshot of another entry's state, otherwise it reads the log from the start.
func (e *entry) restart() {
	e.process.generation++
	e.start()
	other := e.w.randomEntry()
	if other == e || e.w.random.IntN(2) == 0 {
		return
	}
	parts, err := other.state.Snapshot("s", 0)
	if err == nil {
		err = e.state.Restore(parts)
	}
	if err != nil {
		e.w.history.addViolation("snapshot: %v", err)
	}
}

// queue queues records for the next append to the log.
func (e *entry) queue(messages ...record.Message) {
	e.queued = append(e.queued, messages...)
	e.process.after(time.Millisecond, e.flush)
}

func (e *entry) flush() {
	if e.sending || len(e.queued) == 0 {
		return
	}
	e.sending = true
	batch := e.queued
	e.queued = nil
	firstSeq := e.seq + 1
	e.seq += uint64(len(batch))
	e.append(batch, firstSeq)
}

// append appends a batch to the log, and repeats the append under the same sequence
// numbers until the log acknowledges it.
func (e *entry) append(batch []record.Message, firstSeq uint64) {
	done := false
	retry := func() {
		if !done {
			done = true
			e.append(batch, firstSeq)
		}
	}
	e.process.after(2*callTimeout, retry)
	e.w.log.append(e.process.generationRef(), e.writer, firstSeq, batch, func(ok bool) {
		if done || !ok {
			return
		}
		done = true
		e.sending = false
		e.flush()
	})
}

// read reads the log's next batches, again and again.
func (e *entry) read() {
	began := e.process.clock()
	done := false
	next := func() {
		if !done {
			done = true
			e.process.after(readInterval, e.read)
		}
	}
	e.process.after(2*callTimeout, next)
	e.w.log.read(e.process.generationRef(), e.state.NextOffset(), func(batches []loggedBatch, reachedEnd bool) {
		if done {
			return
		}
		e.apply(batches)
		if reachedEnd {
			e.responder.NoteRead(began)
		}
		next()
	})
}

func (e *entry) apply(batches []loggedBatch) {
	for _, b := range batches {
		for _, r := range b.records {
			_ = e.state.Apply(r)
		}
		if n := len(b.records); n > 0 {
			e.state.Advance(b.records[n-1].Position().Offset() + 1)
		}
	}
}

func (e *entry) handleHeartbeat(heartbeat *job.Heartbeat) lease.LogReading {
	now := e.process.clock()
	e.lastContact[heartbeat.Worker] = now
	e.reclaimer.NoteContact(heartbeat.Worker, now)
	reading, records := e.responder.Respond(now, &e.state, heartbeat)
	if len(records) > 0 {
		e.queue(records...)
	}
	return reading
}

// decide places pending tasks and reclaims the tasks of lost workers.
func (e *entry) decide() {
	e.process.after(decideInterval, e.decide)
	if e.responder.LastReadBegan().IsZero() {
		return
	}
	now := e.process.clock()
	if out := e.reclaimer.Decide(now, &e.state); len(out) > 0 {
		e.queue(out...)
	}
	e.place(now)
}

// place assigns every pending task to a random live worker, now and then to one whose
// free resources are too small for the task.
func (e *entry) place(now time.Time) {
	var live []string
	for _, m := range e.w.workers {
		if at, ok := e.lastContact[m.name]; ok && now.Sub(at) < job.LostAfter {
			live = append(live, m.name)
		}
	}
	if len(live) == 0 {
		return
	}
	for _, id := range e.jobIDs() {
		j, _ := e.state.Job(id)
		e.placeJob(now, j, live)
	}
}

func (e *entry) jobIDs() []string {
	var ids []string
	e.state.Each(func(j *job.Job) bool {
		if !j.Ended() {
			ids = append(ids, j.Spec().ID)
		}
		return true
	})
	slices.Sort(ids)
	return ids
}

// placeJob assigns the pending tasks of a job to workers from live: in one record if the
// job is a gang, otherwise in one record each.
func (e *entry) placeJob(now time.Time, j *job.Job, live []string) {
	var placements []record.Placement
	for i := range j.TaskCount() {
		t := j.Task(i)
		id := record.TaskID{Job: j.Spec().ID, Index: uint32(i)}
		if t.Phase() != job.Pending || now.Sub(e.placedAt[id]) < placementRetryDelay {
			continue
		}
		name := live[e.w.random.IntN(len(live))]
		if !j.Spec().Size.Fits(e.freeResources(name)) && !e.w.chance(0.1) {
			continue
		}
		e.placedAt[id] = now
		placements = append(placements, record.Placement{Task: id, Worker: name, Attempt: t.Attempt()})
	}
	if len(placements) == 0 {
		return
	}
	if j.Spec().Gang {
		e.queue(&record.Assign{Placements: placements})
		return
	}
	for _, p := range placements {
		e.queue(&record.Assign{Placements: []record.Placement{p}})
	}
}

// freeResources returns the resources of a worker that no active assignment occupies.
func (e *entry) freeResources(name string) worker.Resources {
	free := machineSize
	e.state.EachActive(name, func(_ record.AssignmentID, j *job.Job, _ *job.Task) { free = free.Minus(j.Spec().Size) })
	return free
}

// confirmLost asks the other entries for their last contact with silent workers, and
// confirms as lost the workers that no entry has heard from lately.
func (e *entry) confirmLost() {
	e.process.after(confirmInterval, e.confirmLost)
	suspects := e.reclaimer.Suspects(e.process.clock(), &e.state)
	if len(suspects) == 0 {
		return
	}
	requestedAt := e.process.clock()
	self := e.process.generationRef()
	answers := 0
	for _, other := range e.w.entries {
		if other == e || e.w.isCut(e.name, other.name) {
			continue
		}
		e.w.send(func() {
			other.process.after(0, func() {
				durations := other.sinceLastContact(suspects)
				if e.w.isCut(other.name, e.name) {
					return
				}
				e.w.reply(self, func() {
					answers++
					for name, d := range durations {
						e.reclaimer.NoteContact(name, requestedAt.Add(-d))
					}
				})
			})
		})
	}
	e.process.after(4*maxUsualMessageDelay, func() {
		now := e.process.clock()
		for _, name := range suspects {
			if e.reclaimer.Lost(now, name, answers >= entryCount-1, unconfirmedLostAfter) {
				e.reclaimer.ConfirmLost(now, name)
			}
		}
	})
}

// sinceLastContact returns, by worker, how long ago the entry last heard from the named
// workers. It omits workers that have been silent for longer than job.LostAfter. An entry
// that lags behind the log returns nothing.
func (e *entry) sinceLastContact(names []string) map[string]time.Duration {
	out := make(map[string]time.Duration)
	now := e.process.clock()
	if now.Sub(e.responder.LastReadBegan()) > job.LostAfter {
		return out
	}
	for _, name := range names {
		if at, ok := e.lastContact[name]; ok && now.Sub(at) <= job.LostAfter {
			out[name] = now.Sub(at)
		}
	}
	return out
}
