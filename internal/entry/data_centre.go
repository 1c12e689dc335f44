package entry

import (
	"context"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// lostAfterOwnRecords is the number of its own membership records that an entry reads back
// from the log before another data centre of which it read none in between counts as lost.
// The entry counts records in the log's order and not time, because an outage of the log
// must not make any data centre count as lost.
const lostAfterOwnRecords = 3

// maxHomeTries bounds how many random job ids are generated to find one whose home is this
// data centre.
const maxHomeTries = 256

// remoteJobsWriters holds the writers to other data centres' jobs streams.
type remoteJobsWriters struct {
	mu sync.Mutex
	// writers are the writers created so far, by data centre.
	writers map[string]*services.Writer
	// group waits for the goroutines of the writers.
	group sync.WaitGroup
	// run runs a writer until the context given to setContext ends.
	run func(w *services.Writer)
}

// setContext sets the context in which the writers run. It must be called before the first
// writer is created.
func (f *remoteJobsWriters) setContext(ctx context.Context) {
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

// homeDataCentre returns the data centre to whose jobs stream the job with this id is
// submitted. The result depends only on the id and the bundle, so that a submission that is
// repeated through an entry of another data centre creates no second job.
func (e *Entry) homeDataCentre(d *bundle.Document, id string) string {
	return rendezvous(id, e.dataCentres(d))
}

// dataCentres returns the names of all data centres in the bundle, or only that of this
// entry's data centre if the bundle has none.
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

// rendezvous returns the name with the highest weight for key in rendezvous hashing, or ""
// if there are no names.
func rendezvous(key string, names []string) string {
	best, maxWeight := "", uint64(0)
	for _, name := range names {
		if w := rendezvousWeight(name, key); best == "" || w > maxWeight {
			best, maxWeight = name, w
		}
	}
	return best
}

// lostDataCentres returns the data centres that count as lost, and the remaining ones. A
// data centre is lost if this entry has read back lostAfterOwnRecords of its own membership
// records since it last read one of that data centre. The caller must not hold memberMu.
func (e *Entry) lostDataCentres(d *bundle.Document) (lost, remaining []string) {
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	lastRead := make(map[string]uint64) // by data centre, the highest member.ownRecordsRead
	for _, m := range e.knownMembers {
		lastRead[m.record.DataCentre] = max(lastRead[m.record.DataCentre], m.ownRecordsRead)
	}
	for _, name := range e.dataCentres(d) {
		if name != e.settings.DataCentre && lastRead[name]+lostAfterOwnRecords <= e.ownRecordsRead {
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
