package endpoint

import (
	"container/heap"
	"time"
)

// maxPriority is the highest priority of a class.
const maxPriority = 9

// Ticket is a request that waits for a slot or holds one.
type Ticket struct {
	class       string
	team        string
	priority    int
	long        bool
	deadline    time.Time
	serviceTime time.Duration
	// startMargin is how long before the deadline the request must start.
	startMargin time.Duration

	waiting   bool
	heapIndex int
}

// NewTicket returns a ticket for a request that is expected to hold a slot for
// serviceTime.
func NewTicket(class, team string, priority int, deadline time.Time, serviceTime time.Duration) *Ticket {
	return &Ticket{class: class, team: team, priority: min(max(priority, 0), maxPriority), deadline: deadline, serviceTime: serviceTime, startMargin: serviceTime}
}

// Class returns the request's class.
func (t *Ticket) Class() string { return t.class }

// ServiceTime returns how long the request is expected to hold a slot.
func (t *Ticket) ServiceTime() time.Duration { return t.serviceTime }

// Long reports whether the request is long work.
func (t *Ticket) Long() bool { return t.long }

// SetLong marks the request as long work. It must be called before the ticket is
// offered.
func (t *Ticket) SetLong(long bool) { t.long = long }

// SetStartMargin sets how long before its deadline the request must start, if this
// differs from its expected service time.
func (t *Ticket) SetStartMargin(margin time.Duration) { t.startMargin = margin }

// LatestStart returns the latest time at which the request can start and still end
// before its deadline. If it is still waiting then, it is refused.
func (t *Ticket) LatestStart() time.Time { return t.deadline.Add(-t.startMargin) }

// Deadline returns the time after which the response is of no use.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// tooLate reports whether the request can no longer end before its deadline.
func (t *Ticket) tooLate(now time.Time) bool { return now.After(t.LatestStart()) }

// Queue orders waiting tickets by priority, then short before long work, then by
// fair sharing among teams according to the work that each was given, and within
// a team by the earliest deadline. The zero value is empty.
type Queue struct {
	levels [2 * (maxPriority + 1)]level
	size   int
}

// level holds the tickets of one priority that are all short or all long work.
type level struct {
	teams []*teamQueue
	// virtualTime is that of the team that was served last.
	virtualTime float64
	queuedWork  time.Duration
}

// teamQueue holds one team's tickets of a level. Its virtual time is the work,
// in seconds, that the team was given.
type teamQueue struct {
	team        string
	virtualTime float64
	tickets     ticketHeap
}

type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an element, for package heap.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop removes the last element, for package heap.
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

// WorkAhead returns the expected work that is served before a new ticket like t.
func (q *Queue) WorkAhead(t *Ticket) time.Duration {
	var sum time.Duration
	for i := 0; i <= levelOf(t); i++ {
		sum += q.levels[i].queuedWork
	}
	return sum
}

// Push adds a ticket.
func (q *Queue) Push(t *Ticket) {
	l := &q.levels[levelOf(t)]
	tq := l.teamQueue(t.team)
	if len(tq.tickets) == 0 {
		tq.virtualTime = max(tq.virtualTime, l.virtualTime)
	}
	heap.Push(&tq.tickets, t)
	t.waiting = true
	l.queuedWork += t.serviceTime
	q.size++
}

func (l *level) teamQueue(team string) *teamQueue {
	for _, tq := range l.teams {
		if tq.team == team {
			return tq
		}
	}
	tq := &teamQueue{team: team, virtualTime: l.virtualTime}
	l.teams = append(l.teams, tq)
	return tq
}

// Remove removes a ticket and reports whether it was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	l := &q.levels[levelOf(t)]
	heap.Remove(&l.teamQueue(t.team).tickets, t.heapIndex)
	q.removed(l, t)
	return true
}

func (q *Queue) removed(l *level, t *Ticket) {
	t.waiting = false
	l.queuedWork -= t.serviceTime
	q.size--
}

// Peek returns the ticket to serve next, or nil; shortOnly passes over long work.
func (q *Queue) Peek(shortOnly bool) *Ticket {
	for i := range q.levels {
		if shortOnly && i%2 == 1 {
			continue
		}
		if tq := q.levels[i].nextTeam(); tq != nil {
			return tq.tickets[0]
		}
	}
	return nil
}

// Take removes a ticket that is about to be served and counts its work
// against its team's share.
func (q *Queue) Take(t *Ticket) {
	l := &q.levels[levelOf(t)]
	tq := l.teamQueue(t.team)
	heap.Remove(&tq.tickets, t.heapIndex)
	tq.virtualTime += t.serviceTime.Seconds()
	l.virtualTime = max(l.virtualTime, tq.virtualTime-t.serviceTime.Seconds())
	q.removed(l, t)
	if l.queuedWork <= 0 && len(l.teams) > maxIdleTeams {
		l.teams = nil
	}
}

// maxIdleTeams is the number of teams that an empty level remembers.
const maxIdleTeams = 512

// nextTeam returns the team that was given the least work and has a ticket
// waiting.
func (l *level) nextTeam() *teamQueue {
	if l.queuedWork <= 0 && len(l.teams) == 0 {
		return nil
	}
	var best *teamQueue
	for _, tq := range l.teams {
		if len(tq.tickets) > 0 && (best == nil || tq.virtualTime < best.virtualTime) {
			best = tq
		}
	}
	return best
}

// ShedCandidate returns the ticket to shed first: one of the lowest level, of the team
// that was given the most work.
func (q *Queue) ShedCandidate() *Ticket {
	for i := len(q.levels) - 1; i >= 0; i-- {
		var worst *teamQueue
		for _, tq := range q.levels[i].teams {
			if len(tq.tickets) > 0 && (worst == nil || tq.virtualTime > worst.virtualTime) {
				worst = tq
			}
		}
		if worst != nil {
			return worst.tickets[len(worst.tickets)-1]
		}
	}
	return nil
}
