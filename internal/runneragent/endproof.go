package runneragent

import "time"

// endProof concludes from refused connections that the runner has ended. A refusal proves that once all polls that had
// begun by then have failed: the answer to one of them may be under way, and a runner that shuts down closes its
// listener before its open connections. Each poll ends within its timeout.
type endProof struct {
	// open holds the numbers of the polls whose answers or errors have not been handled; lastPoll is the number of the
	// last poll.
	open     map[uint64]struct{}
	lastPoll uint64
	// pending is the first refusal since the last answer or proof that waits for polls to end, proven the newest one that
	// waits for none.
	pending, proven refusal
}

// refusal is a refused poll; the zero value stands for none.
type refusal struct {
	// began is when the poll began, lastPoll the number of the last poll that had begun when it was refused.
	began    time.Time
	lastPoll uint64
}

// begin records that a poll begins, and returns its number.
func (p *endProof) begin() uint64 {
	if p.open == nil {
		p.open = make(map[uint64]struct{})
	}
	p.lastPoll++
	p.open[p.lastPoll] = struct{}{}
	return p.lastPoll
}

// answered records that the answer to a poll has been handled.
func (p *endProof) answered(number uint64) {
	delete(p.open, number)
	p.pending, p.proven = refusal{}, refusal{}
}

// failed records that a poll that began at the given time has failed, because its connection was refused if refused is
// set. If it was not, and the poll began after a refusal, it may have reached the next life of the runner.
func (p *endProof) failed(number uint64, began time.Time, refused bool) {
	delete(p.open, number)
	switch {
	case refused && p.pending.began.IsZero():
		p.pending = refusal{began, p.lastPoll}
	case !refused && number > p.pending.lastPoll:
		p.pending = refusal{}
	}
	if !refused && number > p.proven.lastPoll {
		p.proven = refusal{}
	}
	if p.pending.began.IsZero() {
		return
	}
	for o := range p.open {
		if o <= p.pending.lastPoll {
			return
		}
	}
	p.proven, p.pending = p.pending, refusal{}
}

// openBefore reports whether a poll is open that began before the one with the given number.
func (p *endProof) openBefore(number uint64) bool {
	for o := range p.open {
		if o < number {
			return true
		}
	}
	return false
}
