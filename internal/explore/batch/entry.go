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

// Times of an entry.
const (
	readEvery    = 150 * time.Millisecond
	decideEvery  = 250 * time.Millisecond
	confirmEvery = 500 * time.Millisecond
	unasked      = 2 * job.LostAfter
	// askAgain is how long the entry leaves a task alone that it has placed.
	askAgain = 2 * time.Second
)

// entry drives a fold, a relay and a taker.
type entry struct {
	w    *world
	name string
	host host

	fold    job.StateMachine
	relay   job.HeartbeatResponder
	taker   job.Reclaimer
	heard   map[string]time.Time
	placed  map[record.TaskID]time.Time
	waiting []record.Message
	writer  string
	seq     uint64
	sending bool
}

func newEntry(w *world, name string) *entry {
	e := &entry{w: w, name: name, host: newHost(w)}
	e.boot()
	return e
}

func (e *entry) boot() {
	e.fold, e.relay, e.taker = job.StateMachine{}, job.HeartbeatResponder{}, job.Reclaimer{}
	e.relay.SetRules(e.w.rules.Relay)
	e.taker.SetRules(e.w.rules.Taker)
	e.heard = make(map[string]time.Time)
	e.placed = make(map[record.TaskID]time.Time)
	e.waiting, e.seq, e.sending = nil, 0, false
	e.writer = fmt.Sprintf("%s@%d", e.name, e.host.generation)
	e.host.after(e.w.upTo(readEvery), e.read)
	e.host.after(e.w.upTo(decideEvery), e.decide)
	e.host.after(e.w.upTo(confirmEvery), e.confirm)
}

// restart replaces the entry. Half of the time the new one starts from a
// snapshot of another entry's state.
func (e *entry) restart() {
	e.host.generation++
	e.boot()
	other := e.w.anyEntry()
	if other == e || e.w.random.IntN(2) == 0 {
		return
	}
	parts, err := other.fold.Snapshot("s", 0)
	if err == nil {
		err = e.fold.Restore(parts)
	}
	if err != nil {
		e.w.history.violate("snapshot: %v", err)
	}
}

// queue hands records to the writer.
func (e *entry) queue(messages ...record.Message) {
	e.waiting = append(e.waiting, messages...)
	e.host.after(time.Millisecond, e.flush)
}

func (e *entry) flush() {
	if e.sending || len(e.waiting) == 0 {
		return
	}
	e.sending = true
	batch := e.waiting
	e.waiting = nil
	first := e.seq + 1
	e.seq += uint64(len(batch))
	e.append(batch, first)
}

// append repeats a batch under the same sequence numbers until it is acknowledged.
func (e *entry) append(batch []record.Message, first uint64) {
	settled := false
	again := func() {
		if !settled {
			settled = true
			e.append(batch, first)
		}
	}
	e.host.after(2*callTimeout, again)
	e.w.log.append(e.host.process(), e.writer, first, batch, func(ok bool) {
		if settled || !ok {
			return
		}
		settled = true
		e.sending = false
		e.flush()
	})
}

// read follows the log.
func (e *entry) read() {
	began := e.host.clock()
	settled := false
	next := func() {
		if !settled {
			settled = true
			e.host.after(readEvery, e.read)
		}
	}
	e.host.after(2*callTimeout, next)
	e.w.log.read(e.host.process(), e.fold.NextOffset(), func(batches []batchOf, whole bool) {
		if settled {
			return
		}
		e.apply(batches)
		if whole {
			e.relay.NoteRead(began)
		}
		next()
	})
}

func (e *entry) apply(batches []batchOf) {
	for _, b := range batches {
		for _, r := range b.records {
			_ = e.fold.Apply(r)
		}
		if n := len(b.records); n > 0 {
			e.fold.Advance(b.records[n-1].Position().Offset() + 1)
		}
	}
}

func (e *entry) heartbeat(b *job.Heartbeat) lease.LogReading {
	now := e.host.clock()
	e.heard[b.Worker] = now
	e.taker.NoteContact(b.Worker, now)
	reading, records := e.relay.Respond(now, &e.fold, b)
	if len(records) > 0 {
		e.queue(records...)
	}
	return reading
}

// decide places pending tasks and takes over those of lost workers.
func (e *entry) decide() {
	e.host.after(decideEvery, e.decide)
	if e.relay.LastReadBegan().IsZero() {
		return
	}
	now := e.host.clock()
	if out := e.taker.Decide(now, &e.fold); len(out) > 0 {
		e.queue(out...)
	}
	e.place(now)
}

// place gives every pending task to a random live worker: some do not fit.
func (e *entry) place(now time.Time) {
	var live []string
	for _, m := range e.w.workers {
		if at, ok := e.heard[m.name]; ok && now.Sub(at) < job.LostAfter {
			live = append(live, m.name)
		}
	}
	if len(live) == 0 {
		return
	}
	for _, id := range e.jobIDs() {
		j, _ := e.fold.Job(id)
		e.placeJob(now, j, live)
	}
}

func (e *entry) jobIDs() []string {
	var ids []string
	e.fold.Each(func(j *job.Job) bool {
		if !j.Ended() {
			ids = append(ids, j.Spec().ID)
		}
		return true
	})
	slices.Sort(ids)
	return ids
}

func (e *entry) placeJob(now time.Time, j *job.Job, live []string) {
	var placements []record.Placement
	for i := range j.Tasks() {
		t := j.Task(i)
		id := record.TaskID{Job: j.Spec().ID, Index: uint32(i)}
		if t.Phase() != job.Pending || now.Sub(e.placed[id]) < askAgain {
			continue
		}
		name := live[e.w.random.IntN(len(live))]
		if !j.Spec().Size.Fits(e.room(name)) && !e.w.chance(0.1) {
			continue
		}
		e.placed[id] = now
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

func (e *entry) room(name string) worker.Resources {
	left := machineSize
	e.fold.EachActive(name, func(_ record.AssignmentID, j *job.Job, _ *job.Task) { left = left.Minus(j.Spec().Size) })
	return left
}

// confirm asks the other entries about silent workers.
func (e *entry) confirm() {
	e.host.after(confirmEvery, e.confirm)
	suspects := e.taker.Suspects(e.host.clock(), &e.fold)
	if len(suspects) == 0 {
		return
	}
	asked := e.host.clock()
	self := e.host.process()
	answers := 0
	for _, other := range e.w.entries {
		if other == e || e.w.isCut(e.name, other.name) {
			continue
		}
		e.w.send(func() {
			other.host.after(0, func() {
				ago := other.heardAgo(suspects)
				if e.w.isCut(other.name, e.name) {
					return
				}
				e.w.reply(self, func() {
					answers++
					for name, d := range ago {
						e.taker.NoteContact(name, asked.Add(-d))
					}
				})
			})
		})
	}
	e.host.after(4*usualDelay, func() {
		now := e.host.clock()
		for _, name := range suspects {
			if e.taker.Lost(now, name, answers >= entries-1, unasked) {
				e.taker.ConfirmLost(now, name)
			}
		}
	})
}

func (e *entry) heardAgo(names []string) map[string]time.Duration {
	out := make(map[string]time.Duration)
	now := e.host.clock()
	if now.Sub(e.relay.LastReadBegan()) > job.LostAfter {
		return out
	}
	for _, name := range names {
		if at, ok := e.heard[name]; ok && now.Sub(at) <= job.LostAfter {
			out[name] = now.Sub(at)
		}
	}
	return out
}
