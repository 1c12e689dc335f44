package endpoint

import (
	"math/rand/v2"
	"time"
)

const (
	// spillMargin is how many times the link's cost the saved wait must be.
	spillMargin = 2
	// sumStaleAfter is how long a data centre's sum is believed.
	sumStaleAfter = 3 * time.Second
)

// Sum is what is known of a service in another data centre.
type Sum struct {
	DataCentre string
	// Slots counts the slots of the endpoints that take requests.
	Slots int
	// InFlight counts the requests that run or wait there.
	InFlight int
	// Entries is the number of entries that may send there.
	Entries int
	// RoundTrip is the time to there and back.
	RoundTrip time.Duration
}

// Neighbours holds the sums of one service in other data centres. The zero
// value is empty.
type Neighbours struct {
	sums []neighbour
}

type neighbour struct {
	sum   Sum
	heard time.Time
	// sent counts this process's own requests in flight there, and counted
	// those among them that the report knew of.
	sent, counted int
}

// Observe takes in a sum that replaces the data centre's earlier one.
func (n *Neighbours) Observe(now time.Time, s Sum) {
	for i := range n.sums {
		if n.sums[i].sum.DataCentre == s.DataCentre {
			sent := n.sums[i].sent
			n.sums[i] = neighbour{sum: s, heard: now, sent: sent, counted: sent}
			return
		}
	}
	n.sums = append(n.sums, neighbour{sum: s, heard: now})
}

// Spill returns the data centre that a request should go to instead of
// waiting here, and the reason. It does so only if the wait saved outweighs
// the link by a margin. Each process takes no more than its part of the free
// slots at a time, so that entries do not crowd into one place. The caller must
// call Done when the request has ended.
func (n *Neighbours) Spill(now time.Time, random *rand.Rand, wait time.Duration) (dataCentre, reason string) {
	free := 0
	for i := range n.sums {
		free += n.sums[i].free(now, wait)
	}
	if free == 0 {
		return "", "no data centre saves more than the link costs"
	}
	at := random.IntN(free)
	for i := range n.sums {
		s := &n.sums[i]
		if at -= s.free(now, wait); at < 0 {
			s.sent++
			return s.sum.DataCentre, "the wait saved outweighs the link"
		}
	}
	return "", ""
}

// Done notes that a request sent to a data centre has ended.
func (n *Neighbours) Done(dataCentre string) {
	for i := range n.sums {
		if n.sums[i].sum.DataCentre == dataCentre {
			n.sums[i].sent--
		}
	}
}

// free returns how many more requests may be sent there now.
func (s *neighbour) free(now time.Time, wait time.Duration) int {
	if now.Sub(s.heard) > sumStaleAfter || wait < spillMargin*s.sum.RoundTrip {
		return 0
	}
	part := (s.sum.Slots - s.sum.InFlight) / max(s.sum.Entries, 1)
	return max(0, part-max(0, s.sent-s.counted))
}
