package coordinator

import (
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/leadership"
)

const (
	// departureMaxAge is how long an entry keeps a departure. The dispatcher stores that the worker is gone within
	// seconds; departures outlast it, and the one after it, if they are lost before.
	departureMaxAge = time.Minute
	// maxDepartures bounds the departures that an entry keeps. Without its departure a worker is waited for.
	maxDepartures = 4096
)

// departure is the newest departure of a worker: the number of the registration that it concerns, with all earlier ones,
// and the time by which the leases of its runs have ended.
type departure struct {
	number  uint64
	notedAt time.Time
	endsBy  time.Time
	// endedLives are the run ends that the worker's agent has read and no dispatcher had acknowledged.
	endedLives []dispatch.EndedLife
}

// message returns the departure for another entry.
func (d *departure) message(now time.Time, worker string) *peer.Message {
	return &peer.Message{Departure: &peer.Departure{Worker: worker, Number: d.number, EndedLives: d.endedLives, LeasesEndMS: max(0, (d.endsBy.Sub(now) + time.Millisecond - 1).Milliseconds())}}
}

// confirmDeparture notes a departure and sends it back on conn. It closes conn if the departure names an outcome that this
// version does not know.
func (c *Coordinator) confirmDeparture(conn *peer.Conn, d *peer.Departure) {
	if err := checkEndedLives(d.EndedLives); err != nil {
		c.count("messages-skipped", 1)
		c.log.Warn().Err(err).Str("worker", d.Worker).Msg("skipped a departure and closed its connection")
		conn.Close()
		return
	}
	c.noteDeparture(clock.Steady(), d)
	conn.Send(&peer.Message{Departure: d})
}

// noteDeparture keeps the departure of a worker for the terms to come, passes it on to the dispatcher if it is new, and
// takes the worker off the roster if this entry is the dispatcher.
func (c *Coordinator) noteDeparture(now time.Time, d *peer.Departure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Worker == "" || d.Number <= c.departures[d.Worker].number {
		return
	}
	c.forgetDepartures(now)
	if len(c.departures) >= maxDepartures {
		c.count("departures-dropped", 1)
		c.log.Warn().Str("worker", d.Worker).Int("kept", len(c.departures)).Msg("departure dropped: too many are kept")
		return
	}
	if c.departures == nil {
		c.departures = make(map[string]departure)
	}
	noted := departure{number: d.Number, notedAt: now, endsBy: leadership.DepartureEndsBy(now, peer.Duration(d.LeasesEndMS)), endedLives: d.EndedLives}
	c.departures[d.Worker] = noted
	c.log.Info().Str("worker", d.Worker).Uint64("registration", d.Number).Int64("leases-end-ms", d.LeasesEndMS).Msg("worker has left in order")
	if c.dispatcherConn != nil {
		c.dispatcherConn.conn.Send(noted.message(now, d.Worker))
	}
	if c.term != nil {
		c.term.applyEndedLives(now, c, d.Worker, d.EndedLives)
		c.term.applyDeparture(now, c, d.Worker, noted)
	}
}

// forgetDepartures drops departures that are too old to matter. The caller holds mu.
func (c *Coordinator) forgetDepartures(now time.Time) {
	for worker, d := range c.departures {
		if now.Sub(d.notedAt) > departureMaxAge {
			delete(c.departures, worker)
		}
	}
}

// passDeparturesOn sends a dispatcher all departures that this entry keeps. The caller holds mu.
func (c *Coordinator) passDeparturesOn(now time.Time, cc *callConn) {
	c.forgetDepartures(now)
	for worker, d := range c.departures {
		cc.conn.Send(d.message(now, worker))
	}
}

// applyDeparture takes a worker that has left off the roster, at once unless leases of its runs may last. The caller holds
// mu.
func (t *term) applyDeparture(now time.Time, c *Coordinator, worker string, d departure) {
	if !t.roster.Departed(worker, d.number) {
		return
	}
	if !now.Before(d.endsBy) {
		t.takeOff(c, worker, "its agent said that it has left in order")
	}
	if t.departed == nil {
		t.departed = make(map[string]departure)
	}
	t.departed[worker] = d
	notify(c.wakeLead)
}

// checkDeparted stops waiting for the reports of workers that have left, once the store has accepted a write under the
// term that was sent since: before they left, they may have reported the ends of runs to a later dispatcher. A worker whose
// leases lasted may have returned meanwhile: it is then registered anew, or has reported in this term, where its
// lease counts. The caller holds mu.
func (t *term) checkDeparted(now time.Time, c *Coordinator) {
	for worker, d := range t.departed {
		if !t.leasesExpired(now, c, d.endsBy) {
			continue
		}
		delete(t.departed, worker)
		number := t.roster.Number(worker)
		if number > d.number || number != 0 && t.agents[worker] != nil {
			continue
		}
		if number != 0 {
			t.takeOff(c, worker, "its agent said that it stops, and the leases of its runs have ended")
		}
		if t.scheduler.EarlierRunsEnded(worker) {
			c.log.Info().Str("worker", worker).Uint64("term", t.number).Dur("noted", now.Sub(d.notedAt)).Msg("a worker that has left is not waited for")
		}
	}
}
