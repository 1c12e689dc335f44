package entry

import (
	"context"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// lostAfterRefreshes is how many of its own membership records an entry reads
// back from the log, without one of a data centre, before that counts as lost.
// Counting in the log's order makes a log outage count for nobody.
const lostAfterRefreshes = 3

// homeTries bounds the search for a job id whose home is this data centre.
const homeTries = 256

// foreign holds the writers to other data centres' streams of jobs.
type foreign struct {
	mu      sync.Mutex
	writers map[string]*services.Writer
	group   sync.WaitGroup
	run     func(w *services.Writer)
}

// start makes writers run until ctx ends.
func (f *foreign) start(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run = func(w *services.Writer) { w.Run(ctx, flushTime) }
}

// jobsWriter returns the writer to a data centre's stream of jobs.
func (e *Entry) jobsWriter(dataCentre string) *services.Writer {
	if dataCentre == e.settings.DataCentre {
		return e.writer
	}
	f := &e.foreign
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.writers[dataCentre]; ok {
		return w
	}
	if f.writers == nil {
		f.writers = make(map[string]*services.Writer)
	}
	w := services.NewWriter(e.logPort, JobsStream(dataCentre), e.name, StreamGap)
	f.writers[dataCentre] = w
	run := f.run
	f.group.Go(func() { run(w) })
	return w
}

// home returns the data centre whose stream holds a job. It depends only on
// the id and the bundle, so that a submission repeated through an entry of
// another data centre is still the same job.
func (e *Entry) home(d *bundle.Document, id string) string {
	return rendezvous(id, e.dataCentres(d))
}

// dataCentres returns the names of all data centres that share the work.
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

// rendezvous returns the name of the highest weight for key, or "".
func rendezvous(key string, names []string) string {
	best, most := "", uint64(0)
	for _, name := range names {
		if w := weight(name, key); best == "" || w > most {
			best, most = name, w
		}
	}
	return best
}

// lostDataCentres returns the data centres of which no entry has refreshed its
// membership for long, and those that are left.
func (e *Entry) lostDataCentres(d *bundle.Document) (lost, left []string) {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	last := make(map[string]uint64)
	for _, m := range e.known {
		last[m.record.DataCentre] = max(last[m.record.DataCentre], m.refresh)
	}
	for _, name := range e.dataCentres(d) {
		if name != e.settings.DataCentre && last[name]+lostAfterRefreshes <= e.refreshes {
			lost = append(lost, name)
			continue
		}
		left = append(left, name)
	}
	return lost, left
}

// membersOf returns the entries of a data centre, sorted by name.
func (e *Entry) membersOf(dataCentre string, now time.Time) []record.Member {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	var out []record.Member
	for _, m := range e.known {
		if m.record.DataCentre == dataCentre && !m.record.Leaving && now.Sub(m.seen) < forgetMemberAfter {
			out = append(out, m.record)
		}
	}
	sortMembers(out)
	return out
}
