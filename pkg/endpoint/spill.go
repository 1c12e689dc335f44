package endpoint

import (
	"math/rand/v2"
	"time"
)

const (
	// minSavedRoundTrips is the least ratio of the expected wait in this data centre
	// to the round trip to another one at which a request is sent to the other one.
	minSavedRoundTrips = 2
	// loadStaleAfter is how long a data centre's reported load is used.
	loadStaleAfter = 3 * time.Second
)

// DataCentreLoad is the load of a service in another data centre.
type DataCentreLoad struct {
	DataCentre string
	// Slots is the number of slots of the endpoints that take requests.
	Slots int
	// InFlight is the number of requests that run or wait in the data centre.
	InFlight int
	// Entries is the number of entries that may send requests to the data centre. An
	// entry is a process that accepts requests from callers.
	Entries int
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
}

// RemoteDataCentres holds the load of one service in other data centres. The zero value
// is empty.
type RemoteDataCentres struct {
	dataCentres []remoteDataCentre
}

type remoteDataCentre struct {
	load         DataCentreLoad
	lastReportAt time.Time
	// ownInFlight is the number of this process's own requests in flight in the data
	// centre, and ownReported how many of them were in flight when the load was
	// received, so that the load includes them.
	ownInFlight, ownReported int
}

// Observe replaces the load of a data centre.
func (n *RemoteDataCentres) Observe(now time.Time, load DataCentreLoad) {
	for i := range n.dataCentres {
		if n.dataCentres[i].load.DataCentre == load.DataCentre {
			ownInFlight := n.dataCentres[i].ownInFlight
			n.dataCentres[i] = remoteDataCentre{load: load, lastReportAt: now, ownInFlight: ownInFlight, ownReported: ownInFlight}
			return
		}
	}
	n.dataCentres = append(n.dataCentres, remoteDataCentre{load: load, lastReportAt: now})
}

// Spill returns the data centre to which a request should be sent instead of waiting
// for the given time in this one, or "", and the reason. The wait must be at least
// minSavedRoundTrips times the round trip. Each entry uses no more than its part of the
// free slots of the other data centre, so that the entries together do not overload
// that one. The caller must call Done when the request has ended.
func (n *RemoteDataCentres) Spill(now time.Time, random *rand.Rand, wait time.Duration) (dataCentre, reason string) {
	free := 0
	for i := range n.dataCentres {
		free += n.dataCentres[i].sendable(now, wait)
	}
	if free == 0 {
		return "", "no other data centre saves more waiting time than the link costs"
	}
	at := random.IntN(free)
	for i := range n.dataCentres {
		d := &n.dataCentres[i]
		if at -= d.sendable(now, wait); at < 0 {
			d.ownInFlight++
			return d.load.DataCentre, "the waiting time saved exceeds the cost of the link"
		}
	}
	return "", ""
}

// Done records that a request sent to a data centre, which Spill returned, has ended.
func (n *RemoteDataCentres) Done(dataCentre string) {
	for i := range n.dataCentres {
		if n.dataCentres[i].load.DataCentre == dataCentre {
			n.dataCentres[i].ownInFlight--
		}
	}
}

// sendable returns how many more requests may now be sent to the data centre, given how
// long they would wait in this one.
func (d *remoteDataCentre) sendable(now time.Time, wait time.Duration) int {
	if now.Sub(d.lastReportAt) > loadStaleAfter || wait < minSavedRoundTrips*d.load.RoundTrip {
		return 0
	}
	part := (d.load.Slots - d.load.InFlight) / max(d.load.Entries, 1)
	return max(0, part-max(0, d.ownInFlight-d.ownReported))
}
