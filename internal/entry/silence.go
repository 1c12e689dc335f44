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

// Times of the check whether a silent worker is lost.
const (
	// confirmEvery is how often silent workers are asked about.
	confirmEvery = 500 * time.Millisecond
	// confirmTimeout bounds one question to another entry.
	confirmTimeout = time.Second
	// unheardLostAfter is how long a worker is silent before it counts as lost
	// although some entry could not be asked.
	unheardLostAfter = 2 * job.LostAfter
)

// confirmSilence asks the other entries about silent workers until ctx ends.
func (e *Entry) confirmSilence(ctx context.Context) {
	for delay.For(ctx, confirmEvery) {
		e.jobs.mu.Lock()
		suspects := e.jobs.taker.Suspects(time.Now(), &e.jobs.fold)
		e.jobs.mu.Unlock()
		if len(suspects) > 0 && !e.leaving.Load() {
			e.confirm(ctx, suspects)
		}
	}
}

// confirm marks those suspects as lost that no other entry has heard.
func (e *Entry) confirm(ctx context.Context, suspects []string) {
	asked := time.Now()
	heard, complete := e.askSilence(ctx, suspects)
	now := time.Now()
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	for _, h := range heard {
		e.jobs.taker.NoteContact(h.Worker, asked.Add(-time.Duration(h.AgoMS)*time.Millisecond))
	}
	for _, name := range suspects {
		if e.jobs.taker.Lost(now, name, complete, unheardLostAfter) {
			e.jobs.taker.ConfirmLost(now, name)
		}
	}
}

// askSilence asks the other entries of the data centre at once; complete means
// that all of them answered.
func (e *Entry) askSilence(ctx context.Context, workers []string) (heard []link.HeardWorker, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	neighbours := e.neighbours(time.Now())
	replies := make([]link.SilenceReply, len(neighbours))
	errs := make([]error, len(neighbours))
	var group sync.WaitGroup
	for i, m := range neighbours {
		if m.Name != e.settings.Name {
			group.Go(func() { errs[i] = e.askOne(ctx, m, workers, &replies[i]) })
		}
	}
	group.Wait()
	complete = true
	for i := range replies {
		heard = append(heard, replies[i].Heard...)
		complete = complete && errs[i] == nil
	}
	return heard, complete
}

func (e *Entry) askOne(ctx context.Context, m record.Member, workers []string, reply *link.SilenceReply) error {
	err := e.entries.Call(ctx, m.Address, link.PathSilence, &link.SilenceQuery{Workers: workers}, reply)
	if err != nil {
		e.log.Warn().Err(err).Str("entry", m.Name).Msg("asking about silent workers failed")
	}
	return err
}

// answerSilence tells another entry which workers this one has heard. An entry
// that cannot read the log is of no use to a worker and says nothing.
func (e *Entry) answerSilence(_ context.Context, _ link.Peer, q *link.SilenceQuery) (*link.SilenceReply, error) {
	now := time.Now()
	reply := new(link.SilenceReply)
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if now.Sub(e.jobs.relay.LastReadBegan()) > job.LostAfter {
		return reply, nil
	}
	for _, name := range q.Workers {
		v, ok := e.jobs.workers[name]
		if ok && now.Sub(v.heard) <= job.LostAfter {
			reply.Heard = append(reply.Heard, link.HeardWorker{Worker: name, AgoMS: now.Sub(v.heard).Milliseconds()})
		}
	}
	return reply, nil
}
