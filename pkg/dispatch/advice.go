package dispatch

import (
	"cmp"
	"slices"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// PlacementPolicy describes the placement policy of a queue: an external service decides which workers
// may run a step, and has to be asked.
type PlacementPolicy struct {
	// Decision is how long the service takes to answer a question, plus PerWorker for each
	// worker that the question names.
	Decision, PerWorker time.Duration
}

// Limits and delays of questions to the placement policy service.
const (
	// maxNamedWorkers is how many workers one question names at most; the latency objectives of
	// callers include one question about 30 workers for each step.
	maxNamedWorkers = 30
	// maxOpenQuestions bounds the open questions of one asker, the worker whose agent sends them:
	// the service handles one question at a time for each asking machine.
	maxOpenQuestions = 2
	// answerTimeoutMargin is how much longer an answer may take than maxOpenQuestions questions
	// are expected to take one after the other.
	answerTimeoutMargin = 1500 * time.Millisecond
	// questionRetryDelay is the delay before asking again after a question was refused or not
	// answered.
	questionRetryDelay = 150 * time.Millisecond
	// askerBackoff is how long an asker gets no further question after one was not answered in
	// time.
	askerBackoff = 2 * time.Second
	// ticketSafetyMargin is subtracted from a ticket's validity: a start order takes time to
	// reach the runner.
	ticketSafetyMargin = 200 * time.Millisecond
	// questionLeadTime is how much earlier than necessary a question is asked.
	questionLeadTime = 100 * time.Millisecond
	// replacementSilence is how long a worker is silent before its long-running tasks are
	// expected to need another worker: one second less than its lease.
	replacementSilence = 4 * time.Second
)

// expectedDuration returns how long the service takes to answer a question that names a number of
// workers.
func (a *PlacementPolicy) expectedDuration(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// Question asks the placement policy service which workers may run a step.
type Question struct {
	// Seq is the sequence number of the question in this term.
	Seq uint64 `cbor:"1,keyasint"`
	// Asker is the worker whose agent sends the question.
	Asker string          `cbor:"-"`
	Step  workflow.StepID `cbor:"2,keyasint"`
	// Instances are the instance IDs of the runners of the workers that the question names.
	Instances []string `cbor:"3,keyasint"`
	// Timeout is how long the answer may take, in nanoseconds on the wire.
	Timeout time.Duration `cbor:"4,keyasint"`
}

// openQuestion is a question that has not been answered.
type openQuestion struct {
	step  *stepState
	asker *workerState
	// lives are the workers that the question names, with the lives of their runners when it was
	// asked.
	lives map[*workerState]uint64
	// expiresAt is when the question counts as not answered.
	expiresAt time.Time
}

// permission is the answer of the placement policy service on one step and one life of a worker's
// runner.
type permission struct {
	life      uint64
	allowed   bool
	ticket    string
	expiresAt time.Time
}

// stepPermissions are the answers of the placement policy service on one step.
type stepPermissions struct {
	byWorker map[*workerState]permission
	// questionOpen is set while a question about the step is open; the next one is not asked
	// before nextQuestionAt.
	questionOpen   bool
	nextQuestionAt time.Time
}

// ticket returns the ticket that an order to start the step at a worker has to carry.
func (s *stepState) ticket(w *workerState) string { return s.permissions.byWorker[w].ticket }

// permitted reports whether the placement policy of the step's queue, if there is one, lets a worker
// run the step.
func (s *stepState) permitted(now time.Time, q *Queue, w *workerState) bool {
	if q.Policy == nil {
		return true
	}
	p := s.permissions.byWorker[w]
	return p.life == w.life && p.allowed && now.Before(p.expiresAt)
}

// askQuestions asks about steps that need permissions now or soon, the most urgent first.
func (sc *Scheduler) askQuestions(now time.Time, o *Orders) {
	sc.expireQuestions(now)
	if !sc.anyPolicy {
		return
	}
	var steps []*stepState
	for _, j := range sc.jobs {
		if q := sc.queues[j.submission.Queue]; q.Policy != nil && !j.phase.Ended() {
			steps = sc.appendStepsToAsk(now, j, &q, steps)
		}
	}
	for _, s := range sc.sortByUrgency(now, steps) {
		asker := sc.chooseAsker(now)
		if asker == nil {
			return
		}
		sc.ask(now, s, asker, o)
	}
}

// appendStepsToAsk appends the steps of a job that need permissions now or soon.
func (sc *Scheduler) appendStepsToAsk(now time.Time, j *jobState, q *Queue, steps []*stepState) []*stepState {
	for _, o := range j.occurrences {
		if !o.begun {
			continue
		}
		for _, s := range o.steps {
			if !s.closed && !s.permissions.questionOpen && !now.Before(s.permissions.nextQuestionAt) && s.placesSoon(now, q) && sc.questionHelps(now, s, q) {
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// placesSoon reports whether tasks of the step are likely to be placed before a question asked
// now would be answered.
func (s *stepState) placesSoon(now time.Time, q *Queue) bool {
	lead := q.Policy.expectedDuration(maxNamedWorkers) + questionLeadTime
	return s.open && s.waitingTasks > 0 || !s.open && s.opensWithin(now, lead) || s.spec.LongRunning && s.losesWorkerSoon(now)
}

// opensWithin reports whether all steps that this one depends on are expected to be done after at
// most d.
func (s *stepState) opensWithin(now time.Time, d time.Duration) bool {
	for _, index := range s.spec.After {
		dependency := s.occurrence.steps[index]
		if dependency.doneTasks == len(dependency.tasks) {
			continue
		}
		if !dependency.open || dependency.waitingTasks > 0 {
			return false
		}
		for i := range dependency.tasks {
			if t := &dependency.tasks[i]; !t.done && len(t.runs) > 0 && t.runs[0].remaining(now) > d {
				return false
			}
		}
	}
	return true
}

// losesWorkerSoon reports whether the step has tasks at a silent worker that are about to be started
// elsewhere.
func (s *stepState) losesWorkerSoon(now time.Time) bool {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.worker.silent && now.Sub(r.worker.lastContact) > replacementSilence {
				return true
			}
		}
	}
	return false
}

// questionHelps reports whether a question about a step would help: there is a worker to name,
// and either no permission outlasts the question, or no permitted worker has room for a task while
// another worker has.
func (sc *Scheduler) questionHelps(now time.Time, s *stepState, q *Queue) bool {
	answeredAt := now.Add(q.Policy.expectedDuration(maxNamedWorkers) + questionLeadTime)
	candidate, permitted, permittedWithRoom, otherWithRoom := false, false, false, false
	for _, w := range sc.fleet {
		if !sc.suitable(now, s, q, w) || s.denied(w) {
			continue
		}
		candidate = true
		room := s.spec.Reserved().Fits(w.free())
		if s.permitted(answeredAt, q, w) {
			permitted = true
			permittedWithRoom = permittedWithRoom || room
		} else {
			otherWithRoom = otherWithRoom || room
		}
	}
	return candidate && (!permitted || !permittedWithRoom && otherWithRoom)
}

// denied reports whether the placement policy has denied the step a worker. A denial is final for
// the life of the worker's runner.
func (s *stepState) denied(w *workerState) bool {
	p, ok := s.permissions.byWorker[w]
	return ok && p.life == w.life && !p.allowed
}

// chooseAsker returns the worker whose agent sends the next question, or nil if none may send one
// now.
func (sc *Scheduler) chooseAsker(now time.Time) *workerState {
	var best *workerState
	for _, w := range sc.fleet {
		if w.silent || w.leaseExpired || w.evacuated || w.life == 0 || w.openQuestionCount >= maxOpenQuestions || now.Before(w.nextQuestionAt) {
			continue
		}
		if best == nil || w.openQuestionCount < best.openQuestionCount {
			best = w
		}
	}
	return best
}

// ask adds a question about a step, to be sent by the asker's agent, to the orders.
func (sc *Scheduler) ask(now time.Time, s *stepState, asker *workerState, o *Orders) {
	q := sc.queues[s.occurrence.job.submission.Queue]
	named := sc.workersToName(now, s, &q)
	if len(named) == 0 {
		return
	}
	sc.lastQuestionSeq++
	timeout := maxOpenQuestions*q.Policy.expectedDuration(len(named)) + answerTimeoutMargin
	open := &openQuestion{step: s, asker: asker, lives: make(map[*workerState]uint64, len(named)), expiresAt: now.Add(timeout)}
	out := Question{Seq: sc.lastQuestionSeq, Asker: asker.name, Step: s.stepID(), Timeout: timeout}
	for _, w := range named {
		open.lives[w] = w.life
		out.Instances = append(out.Instances, w.instance)
	}
	sc.openQuestions[sc.lastQuestionSeq] = open
	asker.openQuestionCount++
	s.permissions.questionOpen = true
	o.questions = append(o.questions, out)
}

// workersToName returns the workers that a question about a step names: those not known to be
// denied, those with room first, then by score.
func (sc *Scheduler) workersToName(now time.Time, s *stepState, q *Queue) []*workerState {
	type rated struct {
		worker *workerState
		full   bool
		score  float64
	}
	var all []rated
	for _, w := range sc.fleet {
		if sc.suitable(now, s, q, w) && !s.denied(w) && w.instance != "" {
			all = append(all, rated{w, !s.spec.Reserved().Fits(w.free()), sc.score(s, w) + s.tasks[0].penalty(now, w)})
		}
	}
	slices.SortFunc(all, func(x, y rated) int {
		return cmp.Or(compareBool(x.full, y.full), cmp.Compare(x.score, y.score), cmp.Compare(x.worker.name, y.worker.name))
	})
	out := make([]*workerState, 0, maxNamedWorkers)
	for i := range all[:min(len(all), maxNamedWorkers)] {
		out = append(out, all[i].worker)
	}
	return out
}

// expireQuestions gives up questions that were not answered in time.
func (sc *Scheduler) expireQuestions(now time.Time) {
	for seq, open := range sc.openQuestions {
		if now.After(open.expiresAt) {
			open.asker.nextQuestionAt = now.Add(askerBackoff)
			sc.closeQuestion(now, seq, questionRetryDelay)
		}
	}
}

// closeQuestion removes an open question; the next one about its step is asked after retryDelay or
// later.
func (sc *Scheduler) closeQuestion(now time.Time, seq uint64, retryDelay time.Duration) {
	open := sc.openQuestions[seq]
	delete(sc.openQuestions, seq)
	open.asker.openQuestionCount--
	open.step.permissions.questionOpen = false
	open.step.permissions.nextQuestionAt = now.Add(retryDelay)
}

// PolicyAnswered records the answer to the question with a sequence number: the tickets of the
// permitted workers, by the instance IDs of their runners, and for how long they are valid. It
// returns the step, or false if the question has expired.
func (sc *Scheduler) PolicyAnswered(now time.Time, seq uint64, tickets map[string]string, validFor time.Duration) (workflow.StepID, bool) {
	open := sc.openQuestions[seq]
	if open == nil {
		return workflow.StepID{}, false
	}
	sc.closeQuestion(now, seq, 0)
	s := open.step
	if s.permissions.byWorker == nil {
		s.permissions.byWorker = make(map[*workerState]permission)
	}
	for w, life := range open.lives {
		if w.life != life {
			continue
		}
		ticket, allowed := tickets[w.instance]
		s.permissions.byWorker[w] = permission{life: life, allowed: allowed, ticket: ticket, expiresAt: now.Add(validFor - ticketSafetyMargin)}
	}
	return s.stepID(), true
}

// PolicyUnanswered records that the placement policy service refused or did not answer question
// seq. It returns the step that the question was about, or false if the question is no longer open,
// for example because it has expired.
func (sc *Scheduler) PolicyUnanswered(now time.Time, seq uint64) (workflow.StepID, bool) {
	open := sc.openQuestions[seq]
	if open == nil {
		return workflow.StepID{}, false
	}
	sc.closeQuestion(now, seq, questionRetryDelay)
	return open.step.stepID(), true
}

// TicketRefused records that a worker's runner refused the ticket of a task, so that a new ticket is
// requested.
func (sc *Scheduler) TicketRefused(worker string, task workflow.TaskID) {
	s, _ := sc.task(task)
	w := sc.workers[worker]
	if s != nil && w != nil {
		delete(s.permissions.byWorker, w)
	}
}
