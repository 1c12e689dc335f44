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
	mux.Handle("POST "+link.PathHeartbeat, link.Handle(e.handleHeartbeat))
	mux.Handle("POST "+link.PathLastContact, link.Handle(e.handleLastContactQuery))
	mux.Handle("POST "+link.PathBundle, link.Handle(e.handleBundleQuery))
	mux.Handle("POST "+link.PathJobs, link.Handle(e.handleJobsQuery))
	mux.Handle("POST "+link.PathDataCentreLoad, link.Handle(e.handleLoadQuery))
	mux.HandleFunc("/services/{service}/", e.serveRequest)
	return mux
}

// handleHeartbeat takes in an agent's heartbeat and returns the reply.
func (e *Entry) handleHeartbeat(_ context.Context, peer link.Peer, sent *link.Heartbeat) (*link.HeartbeatReply, error) {
	if peer.Role() != link.RoleAgent || peer.Name() != sent.Worker || peer.DataCentre() != e.settings.DataCentre {
		return nil, errors.Wrapf(link.ErrPeerRejected, "certificate of %s in %s does not match heartbeat of %s", peer.Name(), peer.DataCentre(), sent.Worker)
	}
	h := e.heartbeatReceiver.Expand(sent)
	if h == nil {
		return &link.HeartbeatReply{ResendWhole: true, AcceptsCompact: true}, nil
	}
	now := time.Now()
	e.routes.applyHeartbeat(now, peer.DataCentre(), h)
	reply := e.heartbeatReply(now, h)
	messages := e.jobs.applyHeartbeat(now, h, reply)
	if len(messages) == 0 {
		return reply, nil
	}
	if err := e.enqueue(messages); err != nil {
		e.log.Warn().Err(err).Str("worker", h.Worker).Msg("records for an agent's reports not queued")
	}
	return reply, nil
}

// heartbeatReply returns the reply to a heartbeat, except for the log reading and the heartbeat
// interval, which batchState.applyHeartbeat sets. The reply leaves out what the agent knows
// already.
func (e *Entry) heartbeatReply(now time.Time, h *link.Heartbeat) *link.HeartbeatReply {
	reply := &link.HeartbeatReply{Draining: e.draining.Load(), AcceptsCompact: true}
	e.bundleMu.Lock()
	digest, version := e.bundle.chain.Digest(), e.bundle.chain.Version()
	e.bundleMu.Unlock()
	e.noteNewerBundle(h, version)
	if digest != h.BundleDigest {
		reply.BundleDigest, reply.BundleVersion = digest, version
	}
	var addresses []string
	for _, m := range e.localEntries(now) {
		addresses = append(addresses, m.Address)
	}
	if link.EntriesDigest(addresses) != h.EntriesDigest {
		reply.Entries = addresses
	}
	return reply
}

// enqueue queues records for this data centre's jobs stream without waiting for the log.
func (e *Entry) enqueue(messages []record.Message) error {
	return e.localJobsWriter.Enqueue(messages...)
}

// applyHeartbeat updates the state from a heartbeat and returns the records to append for the
// heartbeat's task reports. In reply it sets the log reading about the worker and the interval
// at which the agent should send heartbeats.
func (j *batchState) applyHeartbeat(now time.Time, h *link.Heartbeat, reply *link.HeartbeatReply) []record.Message {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.workers == nil {
		j.workers = make(map[string]*workerState)
	}
	j.workers[h.Worker] = &workerState{heartbeat: *h, lastContact: now}
	workerReport, uses := schedulerReport(h)
	j.scheduler.ApplyReport(now, workerReport, uses)
	j.reclaimer.NoteContact(h.Worker, now)
	reply.HeartbeatIntervalMS = lease.HeartbeatInterval(j.countLiveWorkers(now)).Milliseconds()
	logReading, records := j.responder.Respond(now, &j.state, &job.Heartbeat{
		Worker: h.Worker, Incarnation: h.Incarnation, Round: h.Round,
		Ready: h.Ready, Primary: h.Primary, Reports: h.Tasks,
	})
	reply.LogReading = logReading
	return records
}

// countLiveWorkers returns the number of workers whose last contact was at most workerLostAfter
// ago. The workers are counted again at most once a second; mu is held.
func (j *batchState) countLiveWorkers(now time.Time) int {
	if now.Sub(j.liveCountedAt) < time.Second {
		return j.liveCount
	}
	j.liveCountedAt = now
	j.liveCount = 0
	for _, v := range j.workers {
		if now.Sub(v.lastContact) <= workerLostAfter {
			j.liveCount++
		}
	}
	return j.liveCount
}
