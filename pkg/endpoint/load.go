package endpoint

import "time"

// EstimateWait estimates how long a request would wait for an endpoint here; ok is
// false if no endpoint takes requests.
func (r *Router) EstimateWait(now time.Time, class, team string, priority int, deadline time.Time, declared time.Duration) (delay time.Duration, ok bool) {
	slots, inFlight := r.TotalLoad(now)
	if slots == 0 {
		return 0, false
	}
	if r.queue.Len() == 0 && inFlight < slots {
		return 0, true
	}
	mean, long := r.times.Estimate(class, declared)
	t := NewTicket(class, team, priority, deadline, mean)
	t.long = long
	return r.queueWait(now, t), true
}

// TotalLoad returns the slots of the endpoints that take requests, and the requests
// that run there or wait here.
func (r *Router) TotalLoad(now time.Time) (slots, inFlight int) {
	inFlight = r.queue.Len()
	for _, e := range r.table.list {
		if e.isUsable(now) {
			slots += e.Slots()
			inFlight += e.InFlight()
		}
	}
	return slots, inFlight
}
