package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
)

// Thresholds from which the store counts as unavailable.
const (
	// unavailableRefusals is the number of refused calls since the last answer from which there may be an outage.
	unavailableRefusals = 3
	// unavailableFailures is the number of calls without an answer, refused ones among them, from which there may be an
	// outage. Up to a third of all answers are lost, so that fewer calls show nothing: with five, an entry whose store lost
	// a third counted it as unavailable once in two minutes; eight are lost in a row once in 6,561 times.
	unavailableFailures = 8
	// unavailableAfter is the time since the last answer after which a store that fails calls counts as unavailable.
	unavailableAfter = 400 * time.Millisecond
	// silentStoreAfter is how long a call must have waited, without any answer of the store meanwhile, for the store
	// to count as unavailable. A store that is 80 times slower than usual answers within 0.4 s.
	silentStoreAfter = 500 * time.Millisecond
)

// Parameters of probes, which find out whether the store answers.
const (
	// probeStoreAfter is how long a call must have waited, without any answer meanwhile, for probes to begin. The
	// store usually answers within 4 ms.
	probeStoreAfter = 100 * time.Millisecond
	// holdLatencies is the number of recent latencies of the store that a call must have waited, besides
	// probeStoreAfter, for further appends to be held back. A store that is known to be slow so delays none of them.
	holdLatencies = 2
	// latencyDecay is the part of the recent latency that is left after an answer that took less.
	latencyDecay = 0.95
	// holdPollInterval is how often a writer checks whether it may send a held append.
	holdPollInterval = 5 * time.Millisecond
	// probeStoreEvery is the interval of probes. The seven probes until silentStoreAfter and the waiting call are
	// the calls that unavailableFailures asks for.
	probeStoreEvery = 55 * time.Millisecond
	// slowProbeTimeout is the timeout of a probe that a slow store answers in time, too.
	slowProbeTimeout = 450 * time.Millisecond
	// fastProbeTimeout is the timeout of a probe that finds out soon that a store with the usual latency answers
	// again: a connection from before the end of an outage may never be answered.
	fastProbeTimeout = 150 * time.Millisecond
	// slowProbeTurn is the number of probes of an unavailable store of which one has slowProbeTimeout.
	slowProbeTurn = 3
	// watchStoreEvery is how often an entry checks whether the store is silent or a probe is due.
	watchStoreEvery = 25 * time.Millisecond
	// maxWatchDelay is the time between two such checks from which the process counts as having stood still. A
	// process with a fifth of a processor may stand still for 0.1 s at a time in normal operation.
	maxWatchDelay = 300 * time.Millisecond
	// maxContactGap is how long the store may give this entry no answer before others may have acknowledged cancellations
	// that the entry does not know, although the store answers it again. Job records are read every second.
	maxContactGap = 1200 * time.Millisecond
)

// storeHealth decides from calls to the store whether it serves this entry and when to probe it. In the zero value no
// call has been made.
type storeHealth struct {
	// lastSuccess is when the newest call that the store carried out or rejected ended.
	lastSuccess time.Time
	// contactBefore is lastSuccess as it was before the store gave no answer for longer than maxContactGap, and gapEndedAt
	// when it answered again; both are zero once the intake has been read since.
	contactBefore, gapEndedAt time.Time
	// failures counts the calls that the store refused since then, or did not answer although they began since then.
	failures int
	// refusals counts those of them that the store refused, so that they have certainly not been carried out.
	refusals int
	// firstFailure is when the first of these calls began.
	firstFailure time.Time
	// open holds the calls that have not ended.
	open map[*openCall]struct{}
	// lost is set from the time at which the store was found unavailable until its next answer.
	lost bool
	// latency is the longest of the recent answers, which decays with each shorter one.
	latency time.Duration
	// lastProbe is when the newest probe began, and probes their number since the last answer.
	lastProbe time.Time
	probes    int
	// lastWatch is when the newest call of watch was, and resumed when the process ran again after its last pause.
	lastWatch, resumed time.Time
}

// openCall is a call to the store that has not ended.
type openCall struct {
	began time.Time
	// waits is set if the store may delay the answer, or if there are several answers to wait for.
	waits bool
	// delayed is set if the store delays the answer until there are new records.
	delayed bool
	probe   bool
	// cancel ends the call; nil if it cannot be ended.
	cancel context.CancelCauseFunc
}

// begin records that a call begins.
func (h *storeHealth) begin(call *openCall) {
	if h.open == nil {
		h.open = make(map[*openCall]struct{})
	}
	h.open[call] = struct{}{}
	if call.probe {
		h.lastProbe = call.began
		h.probes++
	}
}

// fail records that the store has refused a call, or has not answered it in time.
func (h *storeHealth) fail(call *openCall, refused bool) {
	delete(h.open, call)
	switch {
	case refused:
		h.refusals++
	case call.began.Before(h.lastSuccess):
		return // the store has answered since the call began: only this answer is lost, or succeed returned the call as stuck
	}
	if h.failures == 0 || call.began.Before(h.firstFailure) {
		h.firstFailure = call.began
	}
	h.failures++
}

// succeed records that the store has answered a call. If the store was lost, it reports that the store is regained,
// with the time since the last answer before, and returns the calls that began before the answered one and have waited for
// longer than the answer of a slow store takes: their connections may never be answered. While other calls get no
// answer, that to a delayed call shows nothing: a silent store answers reads that it has delayed.
func (h *storeHealth) succeed(now time.Time, call *openCall) (regained bool, away time.Duration, stuck []*openCall) {
	delete(h.open, call)
	if n, _ := h.unanswered(); call.delayed && (h.lost || n > 0) {
		return false, 0, nil
	}
	regained, away = h.lost, now.Sub(h.lastSuccess)
	if away > maxContactGap && !h.lastSuccess.IsZero() {
		if h.gapEndedAt.IsZero() {
			h.contactBefore = h.lastSuccess
		}
		h.gapEndedAt = now
	}
	h.lastSuccess, h.failures, h.refusals, h.firstFailure, h.lost, h.probes = now, 0, 0, time.Time{}, false, 0
	if !call.waits {
		h.latency = max(now.Sub(call.began), time.Duration(latencyDecay*float64(h.latency)))
	}
	if !regained {
		return false, away, nil
	}
	for other := range h.open {
		if other.began.Before(call.began) && now.Sub(other.began) > silentStoreAfter {
			stuck = append(stuck, other)
		}
	}
	return true, away, stuck
}

// noteIntakeRead records that a read of the intake which began at the given time has reached its end.
func (h *storeHealth) noteIntakeRead(began time.Time) {
	switch {
	case !began.Before(h.gapEndedAt):
		h.contactBefore, h.gapEndedAt = time.Time{}, time.Time{}
	case began.After(h.contactBefore):
		h.contactBefore = began
	}
}

// contactAt returns the time of the newest answer of the store that the cancellations known here go with: after the store
// has given no answer for long, that before, until the intake has been read.
func (h *storeHealth) contactAt() time.Time {
	if !h.gapEndedAt.IsZero() {
		return h.contactBefore
	}
	return h.lastSuccess
}

// unanswered returns the number of calls since the last answer that failed or are open, and when the first of them
// began.
func (h *storeHealth) unanswered() (n int, since time.Time) {
	n, since = h.failures, h.firstFailure
	for call := range h.open {
		if call.waits || call.began.Before(h.lastSuccess) {
			continue
		}
		if n == 0 || call.began.Before(since) {
			since = call.began
		}
		n++
	}
	return n, since
}

// unavailable reports whether calls show that the store does not serve this entry, so that no new record must be
// sent to it.
func (h *storeHealth) unavailable(now time.Time) bool {
	fails := h.refusals >= unavailableRefusals || h.failures >= unavailableFailures
	if h.lost || fails && now.Sub(h.lastSuccess) > unavailableAfter {
		return true
	}
	n, since := h.unanswered()
	if since.Before(h.resumed) {
		since = h.resumed
	}
	return n >= unavailableFailures && now.Sub(since) > silentStoreAfter && now.Sub(h.lastWatch) < maxWatchDelay
}

// noteLoss records that the store is unavailable, and reports whether it was not before.
func (h *storeHealth) noteLoss(now time.Time) bool {
	if h.lost || !h.unavailable(now) {
		return false
	}
	h.lost = true
	return true
}

// watch records that the process runs at present. It has to be called every watchStoreEvery: if calls are further apart,
// the process has stood still, and what it has waited for may have arrived meanwhile.
func (h *storeHealth) watch(now time.Time) {
	if now.Sub(h.lastWatch) >= maxWatchDelay {
		h.resumed = now
	}
	h.lastWatch = now
}

// failing reports whether calls have failed since the last answer of the store.
func (h *storeHealth) failing() bool { return h.failures > 0 }

// failingSince returns from when on the store has not served this entry, and whether that is so.
func (h *storeHealth) failingSince(now time.Time) (time.Time, bool) {
	if !h.failing() && !h.unavailable(now) {
		return time.Time{}, false
	}
	_, since := h.unanswered()
	return since, true
}

// onlyRefuses reports whether calls have failed since the last answer of the store, and all of them were refused. Another
// entry then learns from the store at once whether a record is stored.
func (h *storeHealth) onlyRefuses() bool { return h.failing() && h.refusals == h.failures }

// probeDue reports whether to probe the store, and the timeout of the probe. While the store is unavailable there is
// one probe at a time. Before, probes may overlap, so that a slow store has time to answer each of them.
func (h *storeHealth) probeDue(now time.Time) (timeout time.Duration, due bool) {
	if now.Sub(h.lastProbe) < probeStoreEvery {
		return 0, false
	}
	if !h.unavailable(now) {
		return slowProbeTimeout, h.failing() || h.waitsLong(now, probeStoreAfter)
	}
	for call := range h.open {
		if call.probe {
			return 0, false
		}
	}
	if h.probes%slowProbeTurn == 0 {
		return slowProbeTimeout, true
	}
	return fastProbeTimeout, true
}

// holds reports whether to send no append for now, since the store may have fallen silent: the append might never be
// answered. Soon the store answers, or it counts as unavailable.
func (h *storeHealth) holds(now time.Time) bool {
	return !h.unavailable(now) && h.waitsLong(now, max(probeStoreAfter, holdLatencies*h.latency))
}

// waitsLong reports whether a call has waited for a time without any answer of the store meanwhile.
func (h *storeHealth) waitsLong(now time.Time, after time.Duration) bool {
	if now.Sub(h.lastSuccess) < after || now.Sub(h.resumed) < after {
		return false
	}
	for call := range h.open {
		if !call.waits && now.Sub(call.began) >= after {
			return true
		}
	}
	return false
}

// errStoreRegained is the cause with which a call is ended whose connection the store no longer answers.
var errStoreRegained = errors.New("the store answers again on other connections")

// callStore runs fn, one call to the store, with a timeout of storeTimeout plus extra,
// and records the outcome of the call. extra is 0 unless the store may delay the answer or fn waits for several answers.
func callStore[T any](ctx context.Context, c *Coordinator, extra time.Duration, fn func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+extra)
	defer cancel()
	return trackCall(ctx, c, openCall{waits: extra > 0}, fn)
}

// callDelayed is callStore for a call whose answer the store may delay by wait.
func callDelayed[T any](ctx context.Context, c *Coordinator, wait time.Duration, fn func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	return trackCall(ctx, c, openCall{waits: true, delayed: true}, fn)
}

// trackCall runs fn, one call to the store, and records its outcome.
func trackCall[T any](ctx context.Context, c *Coordinator, call openCall, fn func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call.began, call.cancel = clock.Steady(), cancel
	c.mu.Lock()
	c.health.begin(&call)
	c.mu.Unlock()
	v, err := fn(ctx)
	c.countStoreCall(&call, err)
	c.recordStoreResult(&call, err)
	return v, err
}

// recordStoreResult updates the availability of the store after a call that returned err. An error other than
// store.ErrRefused and store.ErrOutcomeUnknown is an answer of the store, and counts as a success here.
func (c *Coordinator) recordStoreResult(call *openCall, err error) {
	c.mu.Lock()
	now := clock.Steady()
	if errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrOutcomeUnknown) {
		c.health.fail(call, errors.Is(err, store.ErrRefused))
		c.mu.Unlock()
		c.checkStore(now, err)
		return
	}
	regained, away, stuck := c.health.succeed(now, call)
	if regained {
		c.storeLost = make(chan struct{})
	}
	if c.health.gapEndedAt.Equal(now) {
		notify(c.wakeTail) // starts may wait for this read
	}
	c.mu.Unlock()
	if !regained {
		return
	}
	for _, other := range stuck {
		other.cancel(errStoreRegained)
	}
	c.log.Info().Dur("away", away).Int("ended-calls", len(stuck)).Msg("store regained")
}

// checkStore makes submissions fail that wait to be sent, if the store has become unavailable. err is the error of
// the last call that failed, if any.
func (c *Coordinator) checkStore(now time.Time, err error) {
	c.mu.Lock()
	lost := c.health.noteLoss(now)
	unanswered, since := c.health.unanswered()
	if lost {
		close(c.storeLost)
	}
	c.mu.Unlock()
	if lost {
		c.count("store-losses", 1)
		c.log.Warn().Err(err).Int("unanswered", unanswered).Dur("since", now.Sub(since)).Int("waiting", len(c.intake)).
			Msg("store lost; submissions and cancellations fail unless another entry stores them")
	}
}

// watchStore finds out that the store is silent, and probes it while calls get no answer.
func (c *Coordinator) watchStore(ctx context.Context) {
	for clock.WaitForWake(ctx, nil, watchStoreEvery) {
		now := clock.Steady()
		c.mu.Lock()
		c.health.watch(now)
		c.mu.Unlock()
		c.checkStore(now, nil)
		c.mu.Lock()
		timeout, due := c.health.probeDue(now)
		c.mu.Unlock()
		if !due {
			continue
		}
		started := make(chan struct{})
		c.group.Go(func() { c.probeStore(ctx, timeout, started) })
		<-started
	}
}

// waitForStore waits while appends are held back.
func (c *Coordinator) waitForStore(ctx context.Context) {
	for held := false; ; held = true {
		c.mu.Lock()
		holds := c.health.holds(clock.Steady())
		c.mu.Unlock()
		if !holds {
			return
		}
		if !held {
			c.count("intake-held", 1)
		}
		if !clock.WaitForWake(ctx, nil, holdPollInterval) {
			return
		}
	}
}

// probeStore makes a cheap call to the store to find out whether it answers. It closes started once the call counts as
// begun. The connection of a probe that gets no answer is closed, so that a later one goes over a new connection.
func (c *Coordinator) probeStore(ctx context.Context, timeout time.Duration, started chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.count("store-probes", 1)
	_, err := trackCall(ctx, c, openCall{probe: true}, func(ctx context.Context) (*store.Page, error) {
		close(started)
		return c.store.ReadNewest(ctx, store.TopicLeadership, "")
	})
	if err != nil {
		c.log.Debug().Err(err).Dur("timeout", timeout).Msg("probe of the store failed")
	}
}

// countStoreCall counts a call to the store by its outcome err. The latency histogram leaves out calls that wait for
// new records or read several pages.
func (c *Coordinator) countStoreCall(call *openCall, err error) {
	switch {
	case err == nil:
		c.count("store-calls-answered", 1)
		if !call.waits {
			c.observeLatency("store-call", call.began, clock.Steady())
		}
	case errors.Is(err, store.ErrRefused):
		c.count("store-calls-refused", 1)
	case errors.Is(err, store.ErrOutcomeUnknown):
		c.count("store-calls-unanswered", 1)
	default:
		c.count("store-calls-rejected", 1)
	}
}
