package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// failoverInterval is how often an entry checks for lost data centres.
const failoverInterval = time.Second

// failover reads the jobs stream of one lost data centre and moves its jobs to the data centre
// of this entry.
type failover struct {
	// dataCentre is the lost data centre.
	dataCentre string
	// stop ends the reading of its jobs stream.
	stop context.CancelFunc

	// mu guards the fields below. It is taken after jobs.mu.
	mu    sync.Mutex
	state job.StateMachine
	// lastReadBegan is when the newest read that reached the end of the stream began.
	lastReadBegan time.Time
	decider       job.Failover
}

// failOver moves jobs of lost data centres to the data centre of this entry until ctx ends. Of
// the entries here, only the one that ranks first by rendezvous hashing starts to do so for a
// given lost data centre.
func (e *Entry) failOver(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	running := make(map[string]*failover)
	for delay.For(ctx, failoverInterval) {
		d := e.document()
		if d == nil || e.draining.Load() {
			continue
		}
		now := time.Now()
		lost, remaining := e.lostDataCentres(d)
		for _, name := range lost {
			if running[name] == nil && e.ranksFirst(now, name) {
				running[name] = e.startFailover(ctx, &group, name)
			}
		}
		for name, f := range running {
			if !e.advanceFailover(now, f, remaining) && !slices.Contains(lost, name) {
				f.stop()
				delete(running, name)
				e.log.Info().Str("decision", "end-failover").Str("data-centre", name).Str("reason", "the data centre is back").Msg("")
			}
		}
	}
}

// ranksFirst reports whether this entry is the one of its data centre that moves the jobs of the
// lost data centre.
func (e *Entry) ranksFirst(now time.Time, lost string) bool {
	return rendezvousRank(e.settings.Name, "failover/"+lost, e.localEntries(now)) == 0
}

// startFailover starts to read the jobs stream of the lost data centre with this name.
func (e *Entry) startFailover(ctx context.Context, group *sync.WaitGroup, name string) *failover {
	ctx, stop := context.WithCancel(ctx)
	f := &failover{dataCentre: name, stop: stop}
	tail := e.newStreamReader(JobsStream(name), f.apply)
	tail.OnExpired = func(ctx context.Context, page record.Page) uint64 {
		return e.recoverStream(ctx, JobsStream(name), page, f.restore)
	}
	group.Go(func() { tail.Run(ctx) })
	e.log.Info().Str("decision", "start-failover").Str("data-centre", name).
		Str("reason", "no entry of it has refreshed its membership record").Msg("")
	return f
}

// apply applies records that were read from the lost data centre's jobs stream. began is when the
// read began, or zero if the read did not reach the end of the stream.
func (f *failover) apply(records []record.Record, next uint64, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		_ = f.state.Apply(r) // records without effect change nothing
	}
	f.state.Advance(next)
	if !began.IsZero() {
		f.lastReadBegan = began
	}
}

// restore replaces the state by that of a snapshot.
func (f *failover) restore(parts []*record.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Restore(parts)
}

// advanceFailover queues the records that a failover requires now, for the lost data centre's
// jobs stream and for that of this entry's data centre. It reports whether any move of a job is
// still unfinished. remaining are the data centres that are not lost.
func (e *Entry) advanceFailover(now time.Time, f *failover, remaining []string) bool {
	home := e.settings.DataCentre
	target := func(id string) string { return rendezvous(id, remaining) }
	e.jobs.mu.Lock()
	f.mu.Lock()
	var forLost []record.Message
	var forHome []*record.Submit
	if !f.lastReadBegan.IsZero() && !e.jobs.lastReadBegan.IsZero() {
		forLost, forHome = f.decider.Decide(now, &f.state, &e.jobs.state, home, target)
	}
	pending := f.decider.Pending(now, &f.state, &e.jobs.state, home)
	f.mu.Unlock()
	e.jobs.mu.Unlock()
	e.queueAll(e.jobsWriter(f.dataCentre), forLost)
	for _, m := range forHome {
		e.log.Info().Str("decision", "move-job").Str("job", m.Spec.ID).Str("from", f.dataCentre).Str("to", home).
			Str("reason", "its data centre is lost").Msg("")
		e.queueAll(e.localJobsWriter, []record.Message{m})
	}
	return pending
}

// queueAll queues the records of a failover without waiting for the log.
func (e *Entry) queueAll(w *services.Writer, messages []record.Message) {
	if len(messages) == 0 {
		return
	}
	if err := w.Enqueue(messages...); err != nil {
		e.log.Warn().Err(err).Int("records", len(messages)).Msg("failover records not queued; trying again later")
	}
}
