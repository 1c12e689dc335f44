package endpoint

import (
	"container/heap"
	"time"
)

// maxPriority is the highest priority of a class.
const maxPriority = 9

// Ticket is a request that waits for a slot or holds one.
type Ticket struct {
	class    string
	team     string
	priority int
	long     bool
	deadline time.Time
	work     time.Duration
	// room is how long before the deadline the request must start.
	room time.Duration

	waiting bool
	index   int
}

// NewTicket returns a ticket for a request. Work is how long the request is
// expected to hold a slot.
func NewTicket(class, team string, priority int, deadline time.Time, work time.Duration) *Ticket {
	return &Ticket{class: class, team: team, priority: min(max(priority, 0), maxPriority), deadline: deadline, work: work, room: work}
}

// Class returns the request's class.
func (t *Ticket) Class() string { return t.class }

// Expected returns how long the request is expected to take.
func (t *Ticket) Expected() time.Duration { return t.work }

// Long reports whether the request counts as long work.
func (t *Ticket) Long() bool { return t.long }

// SetLong marks the request as long work, before it is offered anywhere.
func (t *Ticket) SetLong(long bool) { t.long = long }

// SetRoom sets how long before its deadline the request must start, if that
// is not the time that it is expected to take.
func (t *Ticket) SetRoom(room time.Duration) { t.room = room }

// GiveUpAt returns the last moment at which the request can start and still
// end before its deadline. A waiting request is refused then.
func (t *Ticket) GiveUpAt() time.Time { return t.deadline.Add(-t.room) }

// Deadline returns when the answer is of no use any more.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// hopeless reports whether the request cannot end before its deadline.
func (t *Ticket) hopeless(now time.Time) bool { return now.After(t.GiveUpAt()) }

// Queue holds waiting tickets: the most important first, short before long
// work, teams in turn by the work that they were given, and within a team the
// earliest deadline. The zero value is empty.
type Queue struct {
	levels [2 * (maxPriority + 1)]level
	size   int
}

type level struct {
	lines []*teamLine
	// served is the virtual time of the line taken last.
	served float64
	work   time.Duration
}

// teamLine is one team's tickets of a level.
type teamLine struct {
	team   string
	served float64
	heap   ticketHeap
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an element for package heap.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last element for package heap.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

func levelOf(t *Ticket) int {
	l := 2 * (maxPriority - t.priority)
	if t.long {
		l++
	}
	return l
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return q.size }

// WorkAhead returns the work that is served before a new ticket like t.
func (q *Queue) WorkAhead(t *Ticket) time.Duration {
	var sum time.Duration
	for i := 0; i <= levelOf(t); i++ {
		sum += q.levels[i].work
	}
	return sum
}

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	l := &q.levels[levelOf(t)]
	line := l.line(t.team)
	if len(line.heap) == 0 {
		line.served = max(line.served, l.served)
	}
	heap.Push(&line.heap, t)
	t.waiting = true
	l.work += t.work
	q.size++
}

func (l *level) line(team string) *teamLine {
	for _, line := range l.lines {
		if line.team == team {
			return line
		}
	}
	line := &teamLine{team: team, served: l.served}
	l.lines = append(l.lines, line)
	return line
}

// Remove takes out a ticket and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	l := &q.levels[levelOf(t)]
	heap.Remove(&l.line(t.team).heap, t.index)
	q.taken(l, t)
	return true
}

func (q *Queue) taken(l *level, t *Ticket) {
	t.waiting = false
	l.work -= t.work
	q.size--
}

// Peek returns the next ticket; with short, long work is passed over.
func (q *Queue) Peek(short bool) *Ticket {
	for i := range q.levels {
		if short && i%2 == 1 {
			continue
		}
		if line := q.levels[i].next(); line != nil {
			return line.heap[0]
		}
	}
	return nil
}

// Take removes a ticket that is about to be served and counts its work
// against its team's share.
func (q *Queue) Take(t *Ticket) {
	l := &q.levels[levelOf(t)]
	line := l.line(t.team)
	heap.Remove(&line.heap, t.index)
	line.served += t.work.Seconds()
	l.served = max(l.served, line.served-t.work.Seconds())
	q.taken(l, t)
	if l.work <= 0 && len(l.lines) > maxIdleLines {
		l.lines = nil
	}
}

// maxIdleLines is the number of teams that an empty level remembers.
const maxIdleLines = 512

// next returns the team that was given least and has a ticket waiting.
func (l *level) next() *teamLine {
	if l.work <= 0 && len(l.lines) == 0 {
		return nil
	}
	var best *teamLine
	for _, line := range l.lines {
		if len(line.heap) > 0 && (best == nil || line.served < best.served) {
			best = line
		}
	}
	return best
}

// Last returns the ticket to shed first: the least important one, of the team
// that was given most.
func (q *Queue) Last() *Ticket {
	for i := len(q.levels) - 1; i >= 0; i-- {
		var worst *teamLine
		for _, line := range q.levels[i].lines {
			if len(line.heap) > 0 && (worst == nil || line.served > worst.served) {
				worst = line
			}
		}
		if worst != nil {
			return worst.heap[len(worst.heap)-1]
		}
	}
	return nil
}
