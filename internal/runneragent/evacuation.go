package runneragent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
)

var (
	errEvacuated = errors.New("data centre evacuated")
	errOldOrder  = errors.New("the order is so old that the data centre may have been evacuated since")
)

// maxOrderAgeShare is the age up to which start orders are carried out, as a fraction of Settings.EvacuationBound: 1.5 s of
// 5 s. The dispatcher decides with a set of evacuated data centres that is up to 3 s old. Pings are sent every 0.4 s, and
// the age of an order counts from the last one that had arrived before it was decided.
const maxOrderAgeShare = 0.3

// setEvacuated replaces the evacuated data centres, as the dispatcher has named them. The caller holds mu.
func (a *Agent) setEvacuated(names []string) {
	was := a.inEvacuation()
	a.evacuated = names
	if is := a.inEvacuation(); is != was {
		a.log.Warn().Str("data-centre", a.settings.Zone).Bool("evacuated", is).Strs("all", names).Uint64("term", a.term).Msg("data centre of the worker evacuated or restored")
	}
}

// inEvacuation reports whether the agent knows that its data centre is evacuated. The caller holds mu.
func (a *Agent) inEvacuation() bool {
	return a.settings.Zone != "" && slices.Contains(a.evacuated, a.settings.Zone)
}

// startBefore returns the time before which the starts of orders have to be sent to the runner that were decided after
// the ping with number lastPing had arrived. It is zero if there is no such time: the deployment has no evacuations, or
// the dispatcher names no ping. The caller holds mu.
func (a *Agent) startBefore(now time.Time, lastPing uint64) time.Time {
	if a.settings.EvacuationBound <= 0 || lastPing == 0 {
		return time.Time{}
	}
	sent, known := a.pingTimes.Find(lastPing)
	if !known {
		return now // many pings have been sent since
	}
	return sent.Add(time.Duration(maxOrderAgeShare * float64(a.settings.EvacuationBound)))
}

// checkEvacuation returns why a start must not be sent to the runner now, or nil. The caller holds mu.
func (a *Agent) checkEvacuation(now, startBefore time.Time) error {
	switch {
	case a.inEvacuation():
		a.count("orders-refused-evacuated")
		return errEvacuated
	case !startBefore.IsZero() && !now.Before(startBefore):
		a.count("orders-refused-old")
		return errOldOrder
	}
	return nil
}

// mayStillStart reports whether a start may be sent to the runner now, and refuses it otherwise.
func (a *Agent) mayStillStart(life uint64, key runKey, startBefore time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.checkEvacuation(clock.Steady(), startBefore)
	if err == nil {
		return true
	}
	delete(a.unansweredStarts, key)
	a.refuse(life, key, err)
	return false
}
