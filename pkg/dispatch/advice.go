package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Advice is what the configuration says about a queue whose policy decides
// which workers may run a step. Only a service outside knows the policy.
type Advice struct {
	// Decision is how long one question takes, PerWorker how much more each worker named.
	Decision, PerWorker time.Duration
}

// Limits of questions.
const (
	// mostNamed is how many workers one question names; callers' objectives
	// count one question about 30 workers a step.
	mostNamed = 30
	// mostAsked is how many questions one asker has open: the service handles
	// one at a time for each asking machine.
	mostAsked = 2
	// answerMargin is how much longer than stated an answer may take.
	answerMargin = 1500 * time.Millisecond
	// askAgainAfter is the delay after a question that was refused or not answered.
	askAgainAfter = 150 * time.Millisecond
	// avoidAsker is how long a worker whose question was not answered gets no other.
	avoidAsker = 2 * time.Second
	// ticketSlack is kept of a ticket's time for the way of a start to its runner.
	ticketSlack = 200 * time.Millisecond
	// askBefore is how much earlier than necessary a question is asked.
	askBefore = 100 * time.Millisecond
	// silentLong is after which silence the tasks that last at a worker are
	// taken to need another one soon: a second before they must have ended.
	silentLong = 4 * time.Second
)

func (a *Advice) takes(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// Question asks which workers may run a step.
type Question struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Asker is the worker whose agent asks.
	Asker string          `cbor:"-"`
	Step  workflow.StepID `cbor:"2,keyasint"`
	// Instances are the runners' names of their present lives.
	Instances []string `cbor:"3,keyasint"`
	// Timeout is how long the answer may take, in nanoseconds on the wire.
	Timeout time.Duration `cbor:"4,keyasint"`
}

// question is a question that has not been answered.
type question struct {
	step  *stepState
	asker *host
	// named are the lives of the workers that the question names.
	named map[*host]uint64
	until time.Time
}

// ruling is what is known about one life of a worker.
type ruling struct {
	life    uint64
	allowed bool
	ticket  string
	until   time.Time
}

// rulings are what a step knows of the workers that may run it.
type rulings struct {
	of map[*host]ruling
	// asked is set while a question is open, notBefore delays the next.
	asked     bool
	notBefore time.Time
}

// ticket returns what a start of the step at a worker must carry.
func (s *stepState) ticket(h *host) string { return s.rulings.of[h].ticket }

// ruled reports whether the policy of the step's queue lets a worker run it.
func (s *stepState) ruled(now time.Time, q *Queue, h *host) bool {
	r := s.rulings.of[h]
	return q.Advice == nil || r.life == h.life && r.allowed && now.Before(r.until)
}

// consult asks for advice that is needed now or soon, in the order of the line.
func (b *Board) consult(now time.Time, o *Orders) {
	b.forgetUnanswered(now)
	if !b.advised {
		return
	}
	var steps []*stepState
	for _, j := range b.jobs {
		if q := b.queues[j.sub.Queue]; q.Advice != nil && !j.phase.Ended() {
			steps = b.unadvised(now, j, &q, steps)
		}
	}
	for _, s := range b.inOrder(now, steps) {
		asker := b.asker(now)
		if asker == nil {
			return
		}
		b.ask(now, s, asker, o)
	}
}

// unadvised appends the steps of a job that need advice now or soon.
func (b *Board) unadvised(now time.Time, j *jobState, q *Queue, steps []*stepState) []*stepState {
	for _, o := range j.occs {
		for _, s := range o.steps {
			if !s.closed && !s.rulings.asked && !now.Before(s.rulings.notBefore) && s.needsAdvice(now, q) && b.canLearn(now, s, q) {
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// needsAdvice reports whether tasks of the step are to be placed within the
// time that a question takes.
func (s *stepState) needsAdvice(now time.Time, q *Queue) bool {
	lead := q.Advice.takes(mostNamed) + askBefore
	return s.open && s.waiting > 0 || !s.open && s.opensWithin(now, lead) || s.spec.Lasts && s.losesSoon(now)
}

// opensWithin reports whether all earlier steps are expected to be done within d.
func (s *stepState) opensWithin(now time.Time, d time.Duration) bool {
	for _, a := range s.spec.After {
		e := s.occ.steps[a]
		if e.done == len(e.tasks) {
			continue
		}
		if !e.open || e.waiting > 0 {
			return false
		}
		for i := range e.tasks {
			if t := &e.tasks[i]; !t.done && len(t.runs) > 0 && t.runs[0].left(now) > d {
				return false
			}
		}
	}
	return true
}

// losesSoon reports whether tasks at a worker that is not heard any more are
// about to be started elsewhere.
func (s *stepState) losesSoon(now time.Time) bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.host.silent && now.Sub(r.host.heard) > silentLong {
				return true
			}
		}
	}
	return false
}

// canLearn reports whether a question about a step would help: there is a
// worker to name, and no ticket is fresh or those that are have no room while
// another worker has.
func (b *Board) canLearn(now time.Time, s *stepState, q *Queue) bool {
	later := now.Add(q.Advice.takes(mostNamed) + askBefore)
	named, fresh, roomy, other := false, false, false, false
	for _, h := range b.workers {
		if !b.usable(now, s, q, h) || s.denied(h) {
			continue
		}
		named = true
		room := s.spec.Reserved().Fits(h.free())
		if s.ruled(later, q, h) {
			fresh = true
			roomy = roomy || room
		} else {
			other = other || room
		}
	}
	return named && (!fresh || !roomy && other)
}

// denied reports whether a worker is known not to be allowed; that does not change.
func (s *stepState) denied(h *host) bool {
	r, ok := s.rulings.of[h]
	return ok && r.life == h.life && !r.allowed
}

// asker returns the worker whose agent asks the next question, or nil.
func (b *Board) asker(now time.Time) *host {
	var best *host
	for _, h := range b.workers {
		if h.silent || h.lapsed || h.life == 0 || h.asking >= mostAsked || now.Before(h.asksAfter) {
			continue
		}
		if best == nil || h.asking < best.asking || h.asking == best.asking && h.name < best.name {
			best = h
		}
	}
	return best
}

// ask orders a question about a step.
func (b *Board) ask(now time.Time, s *stepState, asker *host, o *Orders) {
	q := b.queues[s.occ.job.sub.Queue]
	named := b.named(now, s, &q)
	if len(named) == 0 {
		return
	}
	b.asked++
	timeout := mostAsked*q.Advice.takes(len(named)) + answerMargin
	open := &question{step: s, asker: asker, named: make(map[*host]uint64, len(named)), until: now.Add(timeout)}
	out := Question{Seq: b.asked, Asker: asker.name, Step: s.stepID(), Timeout: timeout}
	for _, h := range named {
		open.named[h] = h.life
		out.Instances = append(out.Instances, h.instance)
	}
	b.questions[b.asked] = open
	asker.asking++
	s.rulings.asked = true
	o.questions = append(o.questions, out)
}

// named returns the workers that a question about a step names: those that may
// be allowed, the best ones first.
func (b *Board) named(now time.Time, s *stepState, q *Queue) []*host {
	type rated struct {
		host  *host
		full  bool
		score float64
	}
	var all []rated
	for _, h := range b.workers {
		if b.usable(now, s, q, h) && !s.denied(h) && h.instance != "" {
			all = append(all, rated{h, !s.spec.Reserved().Fits(h.free()), b.score(s, &s.tasks[0], h)})
		}
	}
	slices.SortFunc(all, func(x, y rated) int {
		return cmp.Or(compareBool(x.full, y.full), cmp.Compare(x.score, y.score), cmp.Compare(x.host.name, y.host.name))
	})
	out := make([]*host, 0, mostNamed)
	for i := range all[:min(len(all), mostNamed)] {
		out = append(out, all[i].host)
	}
	return out
}

// forgetUnanswered gives up questions that were not answered in time.
func (b *Board) forgetUnanswered(now time.Time) {
	for seq, open := range b.questions {
		if now.After(open.until) {
			open.asker.asksAfter = now.Add(avoidAsker)
			b.closeQuestion(now, seq, askAgainAfter)
		}
	}
}

func (b *Board) closeQuestion(now time.Time, seq uint64, delay time.Duration) {
	open := b.questions[seq]
	delete(b.questions, seq)
	open.asker.asking--
	open.step.rulings.asked = false
	open.step.rulings.notBefore = now.Add(delay)
}

// Advised takes in the answer to a question: the tickets of the workers that
// are allowed, by instance, and how long they are valid. It returns the step, or
// false if the question was given up.
func (b *Board) Advised(now time.Time, seq uint64, tickets map[string]string, valid time.Duration) (workflow.StepID, bool) {
	open := b.questions[seq]
	if open == nil {
		return workflow.StepID{}, false
	}
	b.closeQuestion(now, seq, 0)
	s := open.step
	if s.rulings.of == nil {
		s.rulings.of = make(map[*host]ruling)
	}
	for h, life := range open.named {
		if h.life != life {
			continue
		}
		ticket, allowed := tickets[h.instance]
		s.rulings.of[h] = ruling{life: life, allowed: allowed, ticket: ticket, until: now.Add(valid - ticketSlack)}
	}
	return s.stepID(), true
}

// NotAdvised notes that a question was refused or not answered. It returns the
// step, or false if the question was given up.
func (b *Board) NotAdvised(now time.Time, seq uint64) (workflow.StepID, bool) {
	open := b.questions[seq]
	if open == nil {
		return workflow.StepID{}, false
	}
	b.closeQuestion(now, seq, askAgainAfter)
	return open.step.stepID(), true
}

// Unticketed notes that a runner did not accept a task's ticket.
func (b *Board) Unticketed(worker string, task workflow.TaskID) {
	s, _ := b.task(task)
	h := b.workers[worker]
	if s != nil && h != nil {
		delete(s.rulings.of, h)
	}
}
