package entry

import (
	"context"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of the check whether a worker that is silent to this entry is lost. A worker is lost if
// it is silent to all entries.
const (
	// confirmInterval is the time between two rounds of asking the other entries about silent
	// workers.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout bounds one query to another entry.
	confirmTimeout = time.Second
	// unconfirmedLostAfter is how long a worker is silent before it counts as lost although
	// some entry did not answer.
	unconfirmedLostAfter = 2 * job.LostAfter
)

// confirmSilentWorkers checks with the other entries whether silent workers are lost, until
// ctx ends.
func (e *Entry) confirmSilentWorkers(ctx context.Context) {
	for delay.For(ctx, confirmInterval) {
		e.jobs.mu.Lock()
		suspects := e.jobs.reclaimer.Suspects(time.Now(), &e.jobs.state)
		e.jobs.mu.Unlock()
		if len(suspects) > 0 && !e.draining.Load() {
			e.confirmLost(ctx, suspects)
		}
	}
}

// confirmLost marks those suspects as lost that no other entry had contact with recently.
func (e *Entry) confirmLost(ctx context.Context, suspects []string) {
	askedAt := time.Now()
	contacts, complete := e.queryLastContacts(ctx, suspects)
	now := time.Now()
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	for _, h := range contacts {
		e.jobs.reclaimer.NoteContact(h.Worker, askedAt.Add(-time.Duration(h.AgoMS)*time.Millisecond))
	}
	for _, name := range suspects {
		if e.jobs.reclaimer.Lost(now, name, complete, unconfirmedLostAfter) {
			e.jobs.reclaimer.ConfirmLost(now, name)
		}
	}
}

// queryLastContacts asks all other entries of the data centre in parallel for their last
// contacts with workers; complete means that all of them answered.
func (e *Entry) queryLastContacts(ctx context.Context, workers []string) (contacts []link.WorkerContact, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	entries := e.localEntries(time.Now())
	replies := make([]link.LastContactReply, len(entries))
	errs := make([]error, len(entries))
	var group sync.WaitGroup
	for i, m := range entries {
		if m.Name != e.settings.Name {
			group.Go(func() { errs[i] = e.queryLastContactsAt(ctx, m, workers, &replies[i]) })
		}
	}
	group.Wait()
	complete = true
	for i := range replies {
		contacts = append(contacts, replies[i].Contacts...)
		complete = complete && errs[i] == nil
	}
	return contacts, complete
}

// queryLastContactsAt asks the entry m for its last contacts with workers and decodes the answer
// into reply.
func (e *Entry) queryLastContactsAt(ctx context.Context, m record.Member, workers []string, reply *link.LastContactReply) error {
	err := e.entryClient.Call(ctx, m.Address, link.PathLastContact, &link.LastContactQuery{Workers: workers}, reply)
	if err != nil {
		e.log.Warn().Err(err).Str("entry", m.Name).Msg("query about silent workers failed")
	}
	return err
}

// handleLastContactQuery tells another entry which workers this entry had contact with recently.
// It names no worker if this entry could not read the log recently: such contacts do not count,
// because they pass nothing from the log on to the worker.
func (e *Entry) handleLastContactQuery(_ context.Context, _ link.Peer, q *link.LastContactQuery) (*link.LastContactReply, error) {
	now := time.Now()
	reply := new(link.LastContactReply)
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if now.Sub(e.jobs.responder.LastReadBegan()) > job.LostAfter {
		return reply, nil
	}
	for _, name := range q.Workers {
		v, ok := e.jobs.workers[name]
		if ok && now.Sub(v.lastContact) <= job.LostAfter {
			reply.Contacts = append(reply.Contacts, link.WorkerContact{Worker: name, AgoMS: now.Sub(v.lastContact).Milliseconds()})
		}
	}
	return reply, nil
}
