package entry

import (
	"context"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// lostAfterRefreshes is how many of its own membership records an entry reads back from
// the log, without reading one of another data centre, before that data centre counts as
// lost. Counting records in the log's order, not time, keeps a log outage from making any
// data centre count as lost.
const lostAfterRefreshes = 3

// maxHomeTries bounds the attempts to generate a job id whose home is this data centre.
const maxHomeTries = 256

// remoteJobsWriters holds the writers to other data centres' jobs streams.
type remoteJobsWriters struct {
	mu      sync.Mutex
	writers map[string]*services.Writer
	group   sync.WaitGroup
	run     func(w *services.Writer)
}

// start sets the context in which writers run.
func (f *remoteJobsWriters) start(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run = func(w *services.Writer) { w.Run(ctx, flushTimeout) }
}

// jobsWriter returns the writer to a data centre's jobs stream, creating it if needed.
func (e *Entry) jobsWriter(dataCentre string) *services.Writer {
	if dataCentre == e.settings.DataCentre {
		return e.localJobsWriter
	}
	f := &e.remoteWriters
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.writers[dataCentre]; ok {
		return w
	}
	if f.writers == nil {
		f.writers = make(map[string]*services.Writer)
	}
	w := services.NewWriter(e.logService, JobsStream(dataCentre), e.writerID, StreamAppendInterval)
	f.writers[dataCentre] = w
	run := f.run
	f.group.Go(func() { run(w) })
	return w
}

// homeDataCentre returns the data centre to whose stream a job is submitted. It depends
// only on the id and the bundle, so that a submission repeated through an entry of another
// data centre is the same job.
func (e *Entry) homeDataCentre(d *bundle.Document, id string) string {
	return rendezvous(id, e.dataCentres(d))
}

// dataCentres returns the names of all data centres in the bundle; without any, of this one.
func (e *Entry) dataCentres(d *bundle.Document) []string {
	if len(d.DataCentres) == 0 {
		return []string{e.settings.DataCentre}
	}
	out := make([]string, len(d.DataCentres))
	for i := range d.DataCentres {
		out[i] = d.DataCentres[i].Name
	}
	return out
}

// rendezvous returns the name with the highest rendezvous weight for key, or "" if there
// are no names.
func rendezvous(key string, names []string) string {
	best, maxWeight := "", uint64(0)
	for _, name := range names {
		if w := rendezvousWeight(name, key); best == "" || w > maxWeight {
			best, maxWeight = name, w
		}
	}
	return best
}

// lostDataCentres returns the data centres that count as lost by lostAfterRefreshes, and
// the remaining ones.
func (e *Entry) lostDataCentres(d *bundle.Document) (lost, remaining []string) {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	lastRefresh := make(map[string]uint64)
	for _, m := range e.knownMembers {
		lastRefresh[m.record.DataCentre] = max(lastRefresh[m.record.DataCentre], m.ownRefreshes)
	}
	for _, name := range e.dataCentres(d) {
		if name != e.settings.DataCentre && lastRefresh[name]+lostAfterRefreshes <= e.ownRefreshes {
			lost = append(lost, name)
			continue
		}
		remaining = append(remaining, name)
	}
	return lost, remaining
}

// entriesOf returns the known entries of a data centre that are not draining, sorted by
// name.
func (e *Entry) entriesOf(dataCentre string, now time.Time) []record.Member {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	var out []record.Member
	for _, m := range e.knownMembers {
		if m.record.DataCentre == dataCentre && !m.record.Leaving && now.Sub(m.lastReadAt) < forgetMemberAfter {
			out = append(out, m.record)
		}
	}
	sortMembers(out)
	return out
}
