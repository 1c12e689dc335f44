package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// Times of orders.
const (
	// refusedDelay keeps an order that a worker refused from being repeated at once.
	refusedDelay = 100 * time.Millisecond
	// firstLastingDelay and longestLastingDelay bound how long a task that
	// lasts waits after its failures; it is to be at work again within three seconds.
	firstLastingDelay   = 50 * time.Millisecond
	longestLastingDelay = 800 * time.Millisecond
	// stopAgain is how long a stop is given before it is ordered again.
	stopAgain = 1500 * time.Millisecond
	// harmAfter is how long a filling task waits for a worker where it does no
	// harm: a task that has room everywhere is to run within three seconds.
	harmAfter = 2 * time.Second
	// preemptAfter is how long a task that lasts waits for room before others make it.
	preemptAfter = 300 * time.Millisecond
)

func lastingDelay(failures int) time.Duration {
	return min(firstLastingDelay<<min(max(failures-1, 0), 8), longestLastingDelay)
}

// Start is an order to start a task.
type Start struct {
	Worker string
	Life   uint64
	Task   workflow.TaskID
	Run    uint64
	Text   string
	Saved  string
	// Fills and TargetMS are what the worker's guard needs to know.
	Fills    bool
	TargetMS float64
	// Ticket shows that the queue's policy lets the worker run the step.
	Ticket string
	// Harm is how much a filling task is expected to harm the serving ones there, from 0 to 1.
	Harm   float64
	Reason string
}

// Stop is an order to stop a run, or to make sure that it never starts.
type Stop struct {
	Worker string
	Life   uint64
	Task   workflow.TaskID
	Run    uint64
	Reason string
}

// Orders are what Decide returns.
type Orders struct {
	starts    []Start
	stops     []Stop
	questions []Question
}

// Starts returns the tasks to start.
func (o *Orders) Starts() []Start { return o.starts }

// Stops returns the runs to stop.
func (o *Orders) Stops() []Stop { return o.stops }

// Questions returns the questions about steps to ask.
func (o *Orders) Questions() []Question { return o.questions }

// stop orders the end of a run.
func (b *Board) stop(now time.Time, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	r.phase, r.stopped, r.reason = runStopping, now, reason
	b.stops = append(b.stops, Stop{Worker: r.host.name, Life: r.host.life, Task: r.id, Run: r.number, Reason: reason})
}

// Decide returns the orders that are due.
func (b *Board) Decide(now time.Time, wallMS int64) *Orders {
	for _, j := range b.jobs {
		if j.next < j.sub.Spec.Occurrences() && !j.phase.Ended() {
			b.advance(now, wallMS, j)
		}
	}
	o := &Orders{}
	b.consult(now, o)
	for _, s := range b.line(now) {
		b.placeStep(now, s, o)
	}
	b.copyStragglers(now, o)
	b.stopStalled(now)
	b.repeatStops(now)
	o.stops, b.stops = b.stops, nil
	return o
}

// repeatStops orders stops again that have had no effect.
func (b *Board) repeatStops(now time.Time) {
	for _, h := range b.workers {
		for _, r := range h.runs {
			if r.phase == runStopping && now.Sub(r.stopped) >= stopAgain {
				r.stopped = now
				b.stops = append(b.stops, Stop{Worker: h.name, Life: h.life, Task: r.id, Run: r.number, Reason: r.reason})
			}
		}
	}
}

// standing is what decides a step's place in the line.
type standing struct {
	step     *stepState
	lasts    bool
	priority int
	late     bool
	slack    time.Duration
}

// line returns the steps with waiting tasks in the order in which they are placed.
// It answers surges of wide jobs: what can still meet its objective goes before
// what no longer can, the least slack first.
func (b *Board) line(now time.Time) []*stepState {
	steps := make([]*stepState, 0, len(b.ready))
	for s := range b.ready {
		if !s.occ.job.old || len(b.unheard) == 0 {
			steps = append(steps, s)
		}
	}
	return b.inOrder(now, steps)
}

// inOrder sorts steps by urgency.
func (b *Board) inOrder(now time.Time, steps []*stepState) []*stepState {
	all := make([]standing, 0, len(steps))
	for _, s := range steps {
		q := b.queues[s.occ.job.sub.Queue]
		slack := b.deadline(s.occ, q).Sub(now) - time.Duration(s.tail)*time.Millisecond
		all = append(all, standing{step: s, lasts: s.spec.Lasts, priority: q.Priority, late: slack < 0, slack: slack})
	}
	slices.SortFunc(all, func(x, y standing) int {
		return cmp.Or(-compareBool(x.lasts, y.lasts), cmp.Compare(x.priority, y.priority), compareBool(x.late, y.late),
			cmp.Compare(x.slack, y.slack), strings.Compare(x.step.occ.job.sub.ID, y.step.occ.job.sub.ID),
			cmp.Compare(x.step.occ.k, y.step.occ.k), cmp.Compare(x.step.index, y.step.index))
	})
	for i := range all {
		steps[i] = all[i].step
	}
	return steps
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// deadline returns when an occurrence stops being worth its full benefit.
func (b *Board) deadline(o *occurrence, q Queue) time.Time {
	chain := int64(0)
	for _, s := range o.steps {
		chain = max(chain, s.tail)
	}
	return o.began.Add(time.Duration(float64(chain)*q.Stretch)*time.Millisecond + q.Target)
}

// placeStep starts as many waiting tasks of a step as there is room for.
func (b *Board) placeStep(now time.Time, s *stepState, o *Orders) {
	q, ok := b.queues[s.occ.job.sub.Queue]
	if !ok {
		return
	}
	if s.spec.Gang {
		b.placeGang(now, s, q, o)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.after) {
			continue
		}
		h, why := b.choose(now, s, t, q, nil)
		if h == nil {
			if s.spec.Lasts && now.Sub(t.freed) >= preemptAfter {
				b.makeRoom(now, s, q)
			}
			return
		}
		b.start(now, s, i, h, t.lastRun+1, why, o)
	}
}

// start orders a run of a task.
func (b *Board) start(now time.Time, s *stepState, index int, h *host, number uint64, why string, o *Orders) {
	t := &s.tasks[index]
	id := s.id(index)
	b.place(now, s, t, id, h, number)
	h.health.probing = h.health.outcomes.Suspect()
	b.begin(s.occ.job)
	o.starts = append(o.starts, Start{
		Worker: h.name, Life: h.life, Task: id, Run: number, Text: s.occ.job.sub.Spec.Text,
		Saved: t.saved, Fills: s.spec.Fills, TargetMS: s.spec.TargetMS, Ticket: s.ticket(h), Harm: b.blameOf(h, s.spec.Image), Reason: why,
	})
}

// allowed reports whether a worker may run a step at all.
func (b *Board) allowed(now time.Time, s *stepState, q Queue, h *host) bool {
	return b.usable(now, s, &q, h) && s.ruled(now, &q, h)
}

// usable reports whether a worker may run a step as far as its queue's policy lets it.
func (b *Board) usable(now time.Time, s *stepState, q *Queue, h *host) bool {
	return h.life != 0 && !h.silent && !h.lapsed && !h.draining && h.service == q.Service &&
		(s.spec.Label == "" || h.labels[s.spec.Label]) && h.health.usable(now)
}

// choose returns the worker that a task should run on, or nil. Planned holds
// tasks of a gang that take room already.
func (b *Board) choose(now time.Time, s *stepState, t *taskState, q Queue, planned map[*host]int) (*host, string) {
	need := s.spec.Reserved()
	patient := s.spec.Fills && now.Sub(t.freed) < harmAfter && b.harmless(now, s, q)
	var best *host
	lowest := 0.0
	for _, h := range b.workers {
		n := planned[h]
		if !b.allowed(now, s, q, h) || !need.Times(int64(n)+1).Fits(h.free()) {
			continue
		}
		if s.spec.MostPerWorker > 0 && s.perWorker[h.name]+n >= s.spec.MostPerWorker {
			continue
		}
		if running(t, h) || patient && b.loadWith(h, s.spec.Image, s.spec.Size.MilliCPU) >= harmful {
			continue
		}
		score := b.score(s, t, h)
		if best == nil || score < lowest || score == lowest && h.name < best.name {
			best, lowest = h, score
		}
	}
	if best == nil {
		return nil, "no worker has room"
	}
	return best, s.why(best)
}

func running(t *taskState, h *host) bool {
	for _, r := range t.runs {
		if r.host == h {
			return true
		}
	}
	return false
}

func (s *stepState) why(h *host) string {
	switch {
	case s.spec.Lasts:
		return "lasting tasks are kept together"
	case s.spec.Fills:
		return "most processor time left"
	case s.spec.Rack != "" && s.spec.Rack == h.rack:
		return "near its data"
	}
	return "room and pace"
}

// placeGang starts all tasks of a step at once, under one run number.
func (b *Board) placeGang(now time.Time, s *stepState, q Queue, o *Orders) {
	number := uint64(0)
	saved := ""
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.after) {
			return
		}
		number = max(number, t.lastRun)
		saved = max(saved, t.saved)
	}
	for _, rack := range b.racks(s) {
		plan := b.planGang(now, s, q, rack)
		if plan == nil {
			continue
		}
		for i, h := range plan {
			s.tasks[i].saved = saved
			b.start(now, s, i, h, number+1, "the whole gang fits", o)
		}
		return
	}
}

// racks returns the racks to try for a gang; "" stands for any.
func (b *Board) racks(s *stepState) []string {
	if !s.spec.SameRack {
		return []string{""}
	}
	seen := map[string]bool{}
	var out []string
	for _, h := range b.workers {
		if h.rack != "" && !seen[h.rack] {
			seen[h.rack] = true
			out = append(out, h.rack)
		}
	}
	slices.Sort(out)
	if i := slices.Index(out, s.spec.Rack); i > 0 {
		out[0], out[i] = out[i], out[0]
	}
	return append(out, "")
}

func (b *Board) planGang(now time.Time, s *stepState, q Queue, rack string) []*host {
	planned := make(map[*host]int)
	if rack != "" {
		for _, h := range b.workers {
			if h.rack != rack {
				planned[h] = len(s.tasks) + 1<<20
			}
		}
	}
	plan := make([]*host, len(s.tasks))
	for i := range s.tasks {
		h, _ := b.choose(now, s, &s.tasks[i], q, planned)
		if h == nil {
			return nil
		}
		planned[h]++
		plan[i] = h
	}
	return plan
}
