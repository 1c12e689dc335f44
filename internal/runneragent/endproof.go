package runneragent

import "time"

// endProof concludes from refused connections that the runner has ended. A refusal proves that once all calls that had
// begun by then have failed: the answer to one of them may be under way, and a runner that shuts down closes its
// listener before its open connections, on which starts are still carried out. Each call ends within its timeout.
type endProof struct {
	// open holds the numbers of the calls whose answers or errors have not been handled; lastCall is the number of the
	// last call.
	open     map[uint64]struct{}
	lastCall uint64
	// pending is the first refusal since the last answer or proof that waits for calls to end, proven the newest one that
	// waits for none.
	pending, proven refusal
}

// refusal is a refused call; the zero value stands for none.
type refusal struct {
	// began is when the call began, lastCall the number of the last call that had begun when it was refused.
	began    time.Time
	lastCall uint64
}

// begin records that a call begins, and returns its number.
func (p *endProof) begin() uint64 {
	if p.open == nil {
		p.open = make(map[uint64]struct{})
	}
	p.lastCall++
	p.open[p.lastCall] = struct{}{}
	return p.lastCall
}

// answered records that the answer to a call has been handled.
func (p *endProof) answered(number uint64) {
	delete(p.open, number)
	p.pending, p.proven = refusal{}, refusal{}
}

// failed records that a call that began at the given time has failed, because its connection was refused if refused is
// set. If it was not, and the call began after a refusal, it may have reached the next life of the runner.
func (p *endProof) failed(number uint64, began time.Time, refused bool) {
	delete(p.open, number)
	switch {
	case refused && p.pending.began.IsZero():
		p.pending = refusal{began, p.lastCall}
	case !refused && number > p.pending.lastCall:
		p.pending = refusal{}
	}
	if !refused && number > p.proven.lastCall {
		p.proven = refusal{}
	}
	if p.pending.began.IsZero() {
		return
	}
	for o := range p.open {
		if o <= p.pending.lastCall {
			return
		}
	}
	p.proven, p.pending = p.pending, refusal{}
}

// openBefore reports whether a call is open that began before the one with the given number.
func (p *endProof) openBefore(number uint64) bool {
	for o := range p.open {
		if o < number {
			return true
		}
	}
	return false
}
