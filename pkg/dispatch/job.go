package dispatch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Admit takes in an accepted job with what the store holds of its progress.
// An old job may have been started before this term. A job that is known
// already is left alone.
func (b *Board) Admit(now time.Time, wallMS int64, sub *workflow.Submission, p *workflow.Progress, old bool) {
	if _, ok := b.jobs[sub.ID]; ok {
		return
	}
	// The wall clocks of two entries may disagree; waiting is never counted longer than this.
	const longestWait = 30 * time.Second
	waited := min(max(0, time.Duration(wallMS-sub.AcceptedMS)*time.Millisecond), longestWait)
	j := &jobState{sub: sub, accepted: now.Add(-waited), old: old, occs: make(map[int]*occurrence)}
	b.jobs[sub.ID] = j
	if p != nil {
		j.phase, j.endedMS, j.restored = p.Phase, p.EndedMS, p
		j.begun = p.Phase != workflow.PhaseQueued
	}
	if !j.phase.Ended() {
		b.advance(now, wallMS, j)
	}
	b.recall(now, wallMS, sub.ID)
}

// Cancel ends a job: its runs are stopped and nothing of it starts again.
func (b *Board) Cancel(now time.Time, wallMS int64, id string) {
	j := b.jobs[id]
	if j == nil || j.phase.Ended() {
		return
	}
	b.end(now, wallMS, j, workflow.PhaseCancelled)
}

// Known reports whether the board holds a job.
func (b *Board) Known(id string) bool { return b.jobs[id] != nil }

// Phase returns a job's phase.
func (b *Board) Phase(id string) (workflow.Phase, bool) {
	j := b.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.begun && !j.phase.Ended() {
		return workflow.PhaseRunning, true
	}
	return j.phase, true
}

// Pending counts the jobs of each queue of which no task has started.
func (b *Board) Pending() map[string]int {
	out := make(map[string]int)
	for _, j := range b.jobs {
		if !j.begun && !j.phase.Ended() {
			out[j.sub.Queue]++
		}
	}
	return out
}

// Expired returns jobs that ended before a wall time, and drops them.
func (b *Board) Expired(beforeMS int64) []string {
	var out []string
	for id, j := range b.jobs {
		if j.phase.Ended() && j.endedMS < beforeMS && !b.runsAny(j) {
			out = append(out, id)
			delete(b.jobs, id)
		}
	}
	return out
}

func (b *Board) runsAny(j *jobState) bool {
	for _, o := range j.occs {
		for _, s := range o.steps {
			for i := range s.tasks {
				if len(s.tasks[i].runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// advance creates the occurrences that are due.
func (b *Board) advance(now time.Time, wallMS int64, j *jobState) {
	for j.next < j.sub.Spec.Occurrences() && wallMS >= j.sub.Spec.DueMS(j.next) {
		b.create(now, wallMS, j, j.next)
		j.next++
		if j.phase.Ended() {
			return
		}
	}
}

// create sets up one occurrence from the job's description and stored progress.
func (b *Board) create(now time.Time, wallMS int64, j *jobState, k int) {
	o := &occurrence{job: j, k: k, began: now}
	if k == 0 && j.sub.Spec.Times == 0 {
		o.began = j.accepted
	}
	j.occs[k] = o
	for i := range j.sub.Spec.Steps {
		spec := &j.sub.Spec.Steps[i]
		s := &stepState{occ: o, index: i, spec: spec, tasks: make([]taskState, spec.Count), waiting: spec.Count}
		for t := range s.tasks {
			s.tasks[t].freed = now
			s.tasks[t].lastRun = b.runBase
		}
		if spec.MostPerWorker > 0 {
			s.perWorker = make(map[string]int)
		}
		o.steps = append(o.steps, s)
	}
	measureTails(o, b.queues[j.sub.Queue].Advice)
	b.restore(o)
	for _, s := range o.steps {
		if s.done == len(s.tasks) {
			s.closed = true
			o.done++
		}
	}
	b.openSteps(o)
	b.checkOccurrence(now, wallMS, o)
}

// measureTails works out the longest chain of work from each step to the end,
// with a question for advice a step where one is needed.
func measureTails(o *occurrence, advice *Advice) {
	question := int64(0)
	if advice != nil {
		question = advice.takes(mostNamed).Milliseconds()
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.tail += s.spec.EstimateMS + question
		for _, a := range s.spec.After {
			o.steps[a].tail = max(o.steps[a].tail, s.tail)
		}
	}
}

func (b *Board) restore(o *occurrence) {
	p := o.job.restored
	if p == nil {
		return
	}
	for i := range p.Done {
		d := &p.Done[i]
		if d.Occurrence != o.k || d.Step < 0 || d.Step >= len(o.steps) {
			continue
		}
		s := o.steps[d.Step]
		for t := range s.tasks {
			if d.Has(t) && !s.tasks[t].done {
				s.tasks[t].done = true
				s.done++
				s.waiting--
			}
		}
	}
	for _, tp := range p.Tasks {
		if tp.Occurrence != o.k || tp.Step < 0 || tp.Step >= len(o.steps) || tp.Index < 0 || tp.Index >= len(o.steps[tp.Step].tasks) {
			continue
		}
		t := &o.steps[tp.Step].tasks[tp.Index]
		t.failed, t.saved = tp.Failed, tp.Saved
	}
}

// openSteps makes steps ready whose earlier steps are all done.
func (b *Board) openSteps(o *occurrence) {
	for _, s := range o.steps {
		if s.open {
			continue
		}
		s.open = true
		for _, a := range s.spec.After {
			if o.steps[a].done < len(o.steps[a].tasks) {
				s.open = false
				break
			}
		}
		if s.open && s.waiting > 0 {
			b.ready[s] = struct{}{}
		}
	}
}

// checkOccurrence ends the job when all its occurrences are done.
func (b *Board) checkOccurrence(now time.Time, wallMS int64, o *occurrence) {
	j := o.job
	if o.done < len(o.steps) || j.phase.Ended() {
		return
	}
	j.doneOccs++
	if j.doneOccs >= j.sub.Spec.Occurrences() {
		b.end(now, wallMS, j, workflow.PhaseCompleted)
	}
}

// end closes a job and stops whatever still runs of it.
func (b *Board) end(now time.Time, wallMS int64, j *jobState, phase workflow.Phase) {
	j.phase, j.endedMS = phase, wallMS
	b.dirty[j] = struct{}{}
	b.urgent = true
	for _, o := range j.occs {
		for _, s := range o.steps {
			delete(b.ready, s)
			for i := range s.tasks {
				if s.tasks[i].done && s.spec.Gang {
					continue // the other members end with the one that was listed
				}
				for _, r := range s.tasks[i].runs {
					b.stop(now, r, "the job has ended: "+phase.String())
				}
			}
		}
	}
}

// Progress returns what should be stored of a job.
func (j *jobState) progress() *workflow.Progress {
	p := &workflow.Progress{Phase: j.phase, EndedMS: j.endedMS}
	if j.begun && !j.phase.Ended() {
		p.Phase = workflow.PhaseRunning
	}
	if j.phase.Ended() {
		return p
	}
	for k := range j.next {
		o := j.occs[k]
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			s.appendTo(p)
		}
	}
	return p
}

func (s *stepState) appendTo(p *workflow.Progress) {
	done := workflow.DoneStep{Occurrence: s.occ.k, Step: s.index}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			done.Mark(i)
		} else if len(t.failed) > 0 || t.saved != "" {
			p.Tasks = append(p.Tasks, workflow.TaskProgress{Occurrence: s.occ.k, Step: s.index, Index: i, Failed: t.failed, Saved: t.saved})
		}
	}
	if s.done > 0 {
		p.Done = append(p.Done, done)
	}
}

// Change is what should be stored before ends are acknowledged.
type Change struct {
	jobs  map[string]*workflow.Progress
	notes map[string]noted
}

// Jobs returns the progress to store, by job.
func (c *Change) Jobs() map[string]*workflow.Progress { return c.jobs }

// Empty reports whether there is nothing to do.
func (c *Change) Empty() bool { return len(c.jobs) == 0 && len(c.notes) == 0 }

// EachNote calls fn for each worker with the end up to which its list has been taken in.
func (c *Change) EachNote(fn func(worker string, life, end uint64)) {
	for w, n := range c.notes {
		fn(w, n.life, n.end)
	}
}

// Urgent reports whether a caller waits for a change that has not been taken.
func (b *Board) Urgent() bool { return b.urgent }

// Changed reports whether there is a change to take.
func (b *Board) Changed() bool { return len(b.dirty) > 0 || len(b.notes) > 0 }

// TakeChange returns what has changed since the last call.
func (b *Board) TakeChange() *Change {
	c := &Change{jobs: make(map[string]*workflow.Progress, len(b.dirty)), notes: b.notes}
	for j := range b.dirty {
		c.jobs[j.sub.ID] = j.progress()
	}
	b.dirty = make(map[*jobState]struct{})
	b.notes = make(map[string]noted)
	b.urgent = false
	return c
}
