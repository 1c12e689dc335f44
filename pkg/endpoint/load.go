package endpoint

import "time"

// EstimateWait estimates how long a request with these properties would wait in this
// router's queue; declared is the service time declared for its class. ok is false if
// no endpoint takes requests.
func (r *Router) EstimateWait(now time.Time, class, team string, priority int, deadline time.Time, declared time.Duration) (wait time.Duration, ok bool) {
	slots, inFlight := r.TotalLoad(now)
	if slots == 0 {
		return 0, false
	}
	if r.queue.Len() == 0 && inFlight < slots {
		return 0, true
	}
	mean, long := r.times.Estimate(class, declared)
	request := NewSlotRequest(class, team, priority, deadline, mean)
	request.long = long
	return r.queueWait(now, request), true
}

// TotalLoad returns the number of slots of the endpoints that take requests, and the
// number of requests that are in flight at these endpoints or wait in the router's
// queue.
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
