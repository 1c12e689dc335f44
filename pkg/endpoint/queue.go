package endpoint

import (
	"container/heap"
	"time"
)

// maxPriority is the highest priority of a class.
const maxPriority = 9

// SlotRequest is a request for a slot of an endpoint: the scheduling properties of a request
// that waits for a slot or holds one.
type SlotRequest struct {
	class       string
	team        string
	priority    int
	long        bool
	deadline    time.Time
	serviceTime time.Duration
	// startMargin is how long before the deadline the request must start.
	startMargin time.Duration

	// waiting is set while the request is in a Queue.
	waiting bool
	// heapIndex is the index in the requestHeap of the team.
	heapIndex int
}

// NewSlotRequest returns the slot request of a request that is expected to hold a slot for
// serviceTime and whose response is of no use after the deadline.
func NewSlotRequest(class, team string, priority int, deadline time.Time, serviceTime time.Duration) *SlotRequest {
	return &SlotRequest{class: class, team: team, priority: min(max(priority, 0), maxPriority), deadline: deadline, serviceTime: serviceTime, startMargin: serviceTime}
}

// Class returns the request's class.
func (s *SlotRequest) Class() string { return s.class }

// ServiceTime returns how long the request is expected to hold a slot.
func (s *SlotRequest) ServiceTime() time.Duration { return s.serviceTime }

// Long reports whether the request is long work.
func (s *SlotRequest) Long() bool { return s.long }

// SetLong marks the request as long work. It must be called before the request
// is offered to a Gate or Router, or pushed to a Queue.
func (s *SlotRequest) SetLong(long bool) { s.long = long }

// SetStartMargin sets how long before its deadline the request must start, if this
// differs from its expected service time.
func (s *SlotRequest) SetStartMargin(margin time.Duration) { s.startMargin = margin }

// LatestStart returns the latest time at which the request can start and still end
// before its deadline. A request that is still waiting after that is refused when its
// turn comes.
func (s *SlotRequest) LatestStart() time.Time { return s.deadline.Add(-s.startMargin) }

// Deadline returns the time after which the response is of no use.
func (s *SlotRequest) Deadline() time.Time { return s.deadline }

// tooLate reports whether the request can no longer end before its deadline.
func (s *SlotRequest) tooLate(now time.Time) bool { return now.After(s.LatestStart()) }

// Queue orders waiting requests by priority, then short before long work, then by
// fair sharing among teams according to the work that each was given, and within
// a team by the earliest deadline. The zero value is empty.
type Queue struct {
	// levels are ordered from the most to the least important; see levelOf.
	levels [2 * (maxPriority + 1)]level
	size   int
}

// level holds the waiting requests of one priority that are all short or all long
// work.
type level struct {
	teams []*teamQueue
	// virtualTime is the highest virtual time at which a team of the level was given
	// a slot. A team that had nothing waiting starts from it if its own is lower.
	virtualTime float64
	// queuedWork is the sum of the expected service times of the waiting requests.
	queuedWork time.Duration
}

// teamQueue holds one team's waiting requests of a level. Its virtual time grows by the
// expected service time, in seconds, of each of the team's requests that gets a slot.
type teamQueue struct {
	team        string
	virtualTime float64
	requests    requestHeap
}

type requestHeap []*SlotRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an element, for package heap.
func (h *requestHeap) Push(x any) {
	request := x.(*SlotRequest)
	request.heapIndex = len(*h)
	*h = append(*h, request)
}

// Pop removes the last element, for package heap.
func (h *requestHeap) Pop() any {
	old := *h
	request := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return request
}

// levelOf returns the index in Queue.levels of the level of a request: levels of higher
// priority come first, and of one priority short work comes before long work.
func levelOf(request *SlotRequest) int {
	l := 2 * (maxPriority - request.priority)
	if request.long {
		l++
	}
	return l
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// WorkAhead returns the sum of the expected service times of the waiting requests of
// the request's level and of all more important ones.
func (q *Queue) WorkAhead(request *SlotRequest) time.Duration {
	var sum time.Duration
	for i := 0; i <= levelOf(request); i++ {
		sum += q.levels[i].queuedWork
	}
	return sum
}

// Push adds a request.
func (q *Queue) Push(request *SlotRequest) {
	l := &q.levels[levelOf(request)]
	tq := l.teamQueue(request.team)
	if len(tq.requests) == 0 {
		tq.virtualTime = max(tq.virtualTime, l.virtualTime)
	}
	heap.Push(&tq.requests, request)
	request.waiting = true
	l.queuedWork += request.serviceTime
	q.size++
}

// teamQueue returns the queue of a team, which it creates if there is none.
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

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(request *SlotRequest) bool {
	if !request.waiting {
		return false
	}
	l := &q.levels[levelOf(request)]
	heap.Remove(&l.teamQueue(request.team).requests, request.heapIndex)
	q.removed(l, request)
	return true
}

// removed updates the totals after a request was removed from its level.
func (q *Queue) removed(l *level, request *SlotRequest) {
	request.waiting = false
	l.queuedWork -= request.serviceTime
	q.size--
}

// Peek returns the request to serve next, or nil. If shortOnly is set, it passes over
// long work.
func (q *Queue) Peek(shortOnly bool) *SlotRequest {
	for i := range q.levels {
		if shortOnly && i%2 == 1 {
			continue
		}
		if tq := q.levels[i].nextTeam(); tq != nil {
			return tq.requests[0]
		}
	}
	return nil
}

// Take removes a request that is about to be served and counts its work
// against its team's share.
func (q *Queue) Take(request *SlotRequest) {
	l := &q.levels[levelOf(request)]
	tq := l.teamQueue(request.team)
	heap.Remove(&tq.requests, request.heapIndex)
	tq.virtualTime += request.serviceTime.Seconds()
	l.virtualTime = max(l.virtualTime, tq.virtualTime-request.serviceTime.Seconds())
	q.removed(l, request)
	if l.queuedWork <= 0 && len(l.teams) > maxIdleTeams {
		l.teams = nil
	}
}

// maxIdleTeams is the number of teams that an empty level remembers.
const maxIdleTeams = 512

// nextTeam returns, of the teams with a request waiting, the one that was given the
// least work, or nil.
func (l *level) nextTeam() *teamQueue {
	if l.queuedWork <= 0 && len(l.teams) == 0 {
		return nil
	}
	var best *teamQueue
	for _, tq := range l.teams {
		if len(tq.requests) > 0 && (best == nil || tq.virtualTime < best.virtualTime) {
			best = tq
		}
	}
	return best
}

// ShedCandidate returns the request to shed first, or nil: one of the lowest level, of
// the team that was given the most work.
func (q *Queue) ShedCandidate() *SlotRequest {
	for i := len(q.levels) - 1; i >= 0; i-- {
		var worst *teamQueue
		for _, tq := range q.levels[i].teams {
			if len(tq.requests) > 0 && (worst == nil || tq.virtualTime > worst.virtualTime) {
				worst = tq
			}
		}
		if worst != nil {
			return worst.requests[len(worst.requests)-1]
		}
	}
	return nil
}
