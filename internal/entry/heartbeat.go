package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"
)

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+link.PathHeartbeat, link.Handle(e.answerHeartbeat))
	mux.Handle("POST "+link.PathBundle, link.Handle(e.answerBundle))
	return mux
}

func (e *Entry) answerHeartbeat(_ context.Context, peer link.Peer, h *link.Heartbeat) (*link.Reading, error) {
	if peer.Role() != link.RoleAgent || peer.Name() != h.Worker || peer.DataCentre() != e.settings.DataCentre {
		return nil, errors.Wrapf(link.ErrPeer, "certificate of %s in %s, heartbeat of %s", peer.Name(), peer.DataCentre(), h.Worker)
	}
	now := time.Now()
	e.routes.observe(now, peer.DataCentre(), h)
	reading := &link.Reading{Leaving: e.leaving.Load()}
	e.bundleMu.Lock()
	reading.Bundle, reading.BundleVersion = e.bundle.chain.Digest(), e.bundle.chain.Version()
	e.bundleMu.Unlock()
	e.noteBundle(h, reading.BundleVersion)
	for _, m := range e.neighbours(now) {
		reading.Entries = append(reading.Entries, m.Address)
	}
	messages := e.jobs.observe(now, h, reading)
	if len(messages) == 0 {
		return reading, nil
	}
	if err := e.enqueue(messages); err != nil {
		e.log.Warn().Err(err).Str("worker", h.Worker).Msg("reports not recorded yet")
	}
	return reading, nil
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
	j.scheduler.Heard(now, said, uses)
	if j.began.IsZero() || j.queued == nil {
		return nil
	}
	reading.AgeMS = now.Sub(j.began).Milliseconds() + 1
	reading.Next = record.At(j.fold.Next(), 0)
	reported := make(map[record.Hold]bool, len(h.Tasks))
	var out []record.Message
	for i := range h.Tasks {
		reported[h.Tasks[i].Hold] = true
		out = append(out, j.judge(now, h, &h.Tasks[i], reading)...)
	}
	j.fold.Held(h.Worker, func(hold record.Hold, owner *job.Job, t *job.Task) {
		if reported[hold] || !h.Ready {
			return
		}
		if t.Phase() == job.Revoked {
			return // the agent may follow an older order just now: the takeover time decides
		}
		reading.Start = append(reading.Start, link.Order{
			Hold: hold, Spec: *owner.Spec(), Checkpoint: t.Checkpoint(), Started: t.Phase() == job.Running,
		})
	})
	return out
}

// judge compares one report with the fold.
func (j *jobs) judge(now time.Time, h *link.Heartbeat, r *link.TaskReport, reading *link.Reading) []record.Message {
	if r.Hold.Epoch >= reading.Next {
		return nil
	}
	t := j.current(h.Worker, r.Hold)
	if t == nil {
		reading.Stop = append(reading.Stop, link.Stop{Hold: r.Hold, Settled: true})
		return nil
	}
	if r.State == link.TaskRuns && t.Phase() == job.Revoked {
		reading.Stop = append(reading.Stop, link.Stop{Hold: r.Hold})
		return nil
	}
	m := reportRecord(t, r)
	if m == nil || !h.Primary || !j.claim(now, r.Hold) {
		return nil
	}
	return []record.Message{m}
}

func (j *jobs) current(worker string, hold record.Hold) *job.Task {
	owner, ok := j.fold.Job(hold.Task.Job)
	if !ok || int(hold.Task.Index) >= owner.Tasks() {
		return nil
	}
	t := owner.Task(int(hold.Task.Index))
	if !t.Phase().Held() || t.Epoch() != hold.Epoch || t.Worker() != worker {
		return nil
	}
	return t
}

// reportRecord returns the record that a report calls for, or nil.
func reportRecord(t *job.Task, r *link.TaskReport) record.Message {
	switch r.State {
	case link.TaskRuns:
		if t.Phase() == job.Assigned {
			return &record.Started{Holds: []record.Hold{r.Hold}}
		}
		return nil
	case link.TaskSucceeded:
		return &record.Finished{Hold: r.Hold, Outcome: record.OutcomeSucceeded, Detail: r.Detail}
	case link.TaskFailed:
		return &record.Finished{Hold: r.Hold, Outcome: record.OutcomeFailed, Detail: r.Detail}
	case link.TaskStopped:
		return &record.Released{Hold: r.Hold, Ref: r.Ref, Reason: r.Detail}
	}
	return nil
}
