package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
)

// HeaderPartial names the data centres whose jobs are missing from a list.
const HeaderPartial = "Savoryhoist-Partial"

// Limits of questions to other data centres.
const (
	remoteTimeout = 2 * time.Second
	// maxFollowed is how many moves of a job are followed.
	maxFollowed = 8
)

// found is a job and the data centre whose stream holds it.
type found struct {
	view       JobView
	dataCentre string
}

// findJob looks for a team's job at its home and follows its moves.
func (e *Entry) findJob(ctx context.Context, d *bundle.Document, team, id string) (found, *problem.Problem) {
	at := e.home(d, id)
	for range maxFollowed {
		views, movedTo, p := e.askJobs(ctx, at, team, id)
		if p != nil {
			return found{}, p
		}
		if movedTo != "" {
			at = movedTo
			continue
		}
		if len(views) == 1 {
			return found{view: views[0], dataCentre: at}, nil
		}
		break
	}
	p := problem.New(http.StatusNotFound, "id", "the team has no such job")
	return found{}, &p
}

// askJobs returns a team's jobs in a data centre: one, or all for an empty id.
func (e *Entry) askJobs(ctx context.Context, dataCentre, team, id string) (views []JobView, movedTo string, p *problem.Problem) {
	if dataCentre == e.settings.DataCentre {
		views, movedTo = e.localJobs(team, id)
		return views, movedTo, nil
	}
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	for _, m := range e.membersOf(dataCentre, time.Now()) {
		var reply link.JobsReply
		err := e.entries.Call(ctx, m.Address, link.PathJobs, &link.JobsQuery{Team: team, ID: id}, &reply)
		if err == nil {
			err = json.Unmarshal(reply.Views, &views)
		}
		if err == nil {
			return views, reply.MovedTo, nil
		}
		e.log.Warn().Err(err).Str("entry", m.Name).Msg("asking about jobs failed")
	}
	out := problem.New(http.StatusServiceUnavailable, "", "no entry of data centre "+dataCentre+" answers")
	out.RetryAfter = remoteTimeout
	return nil, "", &out
}

// localJobs returns a team's jobs in this data centre's stream.
func (e *Entry) localJobs(team, id string) (views []JobView, movedTo string) {
	views = []JobView{}
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if id != "" {
		j, ok := e.jobs.fold.Job(id)
		if !ok || j.Spec().Team != team {
			return views, ""
		}
		return append(views, e.viewOf(j, true)), j.MovedTo()
	}
	e.jobs.fold.Each(func(j *job.Job) bool {
		if j.Spec().Team == team && j.MovedTo() == "" {
			views = append(views, e.viewOf(j, false))
		}
		return true
	})
	sort.Slice(views, func(i, k int) bool { return views[i].ID < views[k].ID })
	return views, ""
}

func (e *Entry) answerJobs(_ context.Context, peer link.Peer, q *link.JobsQuery) (*link.JobsReply, error) {
	if peer.Role() != link.RoleEntry {
		return nil, link.ErrPeer
	}
	views, movedTo := e.localJobs(q.Team, q.ID)
	data, err := json.Marshal(views)
	return &link.JobsReply{Views: data, MovedTo: movedTo}, err
}
