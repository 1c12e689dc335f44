package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
)

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+link.PathHeartbeat, link.Handle(e.answerHeartbeat))
	mux.Handle("POST "+link.PathSilence, link.Handle(e.answerSilence))
	mux.Handle("POST "+link.PathBundle, link.Handle(e.answerBundle))
	mux.Handle("POST "+link.PathJobs, link.Handle(e.answerJobs))
	mux.Handle("POST "+link.PathSums, link.Handle(e.answerSums))
	mux.HandleFunc("/services/{service}/", e.serveRequest)
	return mux
}

func (e *Entry) answerHeartbeat(_ context.Context, peer link.Peer, sent *link.Heartbeat) (*link.Reading, error) {
	if peer.Role() != link.RoleAgent || peer.Name() != sent.Worker || peer.DataCentre() != e.settings.DataCentre {
		return nil, errors.Wrapf(link.ErrPeer, "certificate of %s in %s, heartbeat of %s", peer.Name(), peer.DataCentre(), sent.Worker)
	}
	h := e.receiver.Expand(sent)
	if h == nil {
		return &link.Reading{Resend: true, Compact: true}, nil
	}
	now := time.Now()
	e.routes.observe(now, peer.DataCentre(), h)
	reading := e.reading(now, h)
	messages := e.jobs.observe(now, h, reading)
	if len(messages) == 0 {
		return reading, nil
	}
	if err := e.enqueue(messages); err != nil {
		e.log.Warn().Err(err).Str("worker", h.Worker).Msg("reports not recorded yet")
	}
	return reading, nil
}

// reading returns what an agent is told besides its tasks. What it knows
// already is left out.
func (e *Entry) reading(now time.Time, h *link.Heartbeat) *link.Reading {
	reading := &link.Reading{Leaving: e.leaving.Load(), Compact: true}
	e.bundleMu.Lock()
	digest, version := e.bundle.chain.Digest(), e.bundle.chain.Version()
	e.bundleMu.Unlock()
	e.noteBundle(h, version)
	if digest != h.Bundle {
		reading.Bundle, reading.BundleVersion = digest, version
	}
	var addresses []string
	for _, m := range e.neighbours(now) {
		addresses = append(addresses, m.Address)
	}
	if link.EntriesDigest(addresses) != h.EntriesSeen {
		reading.Entries = addresses
	}
	return reading
}

// enqueue hands records to the writer without waiting for the log.
func (e *Entry) enqueue(messages []record.Message) error {
	return e.writer.Enqueue(messages...)
}

// observe takes in a heartbeat, fills in what the log says about its worker,
// and returns the records that the heartbeat's reports call for.
func (j *jobs) observe(now time.Time, h *link.Heartbeat, reading *link.Reading) []record.Message {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.workers == nil {
		j.workers = make(map[string]*workerView)
	}
	j.workers[h.Worker] = &workerView{heartbeat: *h, heard: now}
	said, uses := report(h)
	j.scheduler.ApplyReport(now, said, uses)
	j.taker.NoteContact(h.Worker, now)
	reading.PaceMS = lease.HeartbeatInterval(j.live(now)).Milliseconds()
	answer, records := j.relay.Respond(now, &j.fold, &job.Heartbeat{
		Worker: h.Worker, Incarnation: h.Incarnation, Round: h.Round,
		Ready: h.Ready, Primary: h.Primary, Reports: h.Tasks,
	})
	reading.Lease = answer
	return records
}

// live counts the workers heard lately; mu is held.
func (j *jobs) live(now time.Time) int {
	if now.Sub(j.counted) < time.Second {
		return j.liveCount
	}
	j.counted = now
	j.liveCount = 0
	for _, v := range j.workers {
		if now.Sub(v.heard) <= workerLostAfter {
			j.liveCount++
		}
	}
	return j.liveCount
}
