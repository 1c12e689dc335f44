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

// HeaderPartial names the data centres whose jobs are missing from a response because they
// did not answer.
const HeaderPartial = "Savoryhoist-Partial"

// Limits on queries to other data centres.
const (
	remoteQueryTimeout = 2 * time.Second
	// maxMovesFollowed bounds how many data centres are asked for a job that was moved.
	maxMovesFollowed = 8
)

// locatedJob is a job and the data centre whose stream holds it.
type locatedJob struct {
	view       JobView
	dataCentre string
}

// findJob looks for a team's job in its home data centre and follows its moves from there.
func (e *Entry) findJob(ctx context.Context, d *bundle.Document, team, id string) (locatedJob, *problem.Problem) {
	dataCentre := e.homeDataCentre(d, id)
	for range maxMovesFollowed {
		views, movedTo, p := e.queryJobs(ctx, dataCentre, &link.JobsQuery{Team: team, ID: id})
		if p != nil {
			return locatedJob{}, p
		}
		if movedTo != "" {
			dataCentre = movedTo
			continue
		}
		if len(views) == 1 {
			return locatedJob{view: views[0], dataCentre: dataCentre}, nil
		}
		break
	}
	p := problem.New(http.StatusNotFound, "id", "the team has no such job")
	return locatedJob{}, &p
}

// queryJobs returns a team's jobs in a data centre: the one with the id of the query and the data centre
// that it was moved to, or all that were not moved if the id is empty. The problem is set if no entry
// of the data centre answered. A job with the id of the query that is not found does not exist.
func (e *Entry) queryJobs(ctx context.Context, dataCentre string, q *link.JobsQuery) (views []JobView, movedTo string, p *problem.Problem) {
	if dataCentre == e.settings.DataCentre {
		views, movedTo, err := e.localJobsUpToDate(ctx, q)
		if err != nil {
			return views, movedTo, e.notUpToDate(err)
		}
		return views, movedTo, nil
	}
	ctx, cancel := context.WithTimeout(ctx, remoteQueryTimeout)
	defer cancel()
	for _, m := range e.entriesOf(dataCentre, time.Now()) {
		var reply link.JobsReply
		err := e.entryClient.Call(ctx, m.Address, link.PathJobs, q, &reply)
		if err == nil {
			err = json.Unmarshal(reply.Views, &views)
		}
		if err == nil {
			return views, reply.MovedTo, nil
		}
		e.log.Warn().Err(err).Str("entry", m.Name).Msg("query for jobs failed")
	}
	out := problem.New(http.StatusServiceUnavailable, "", "no entry of data centre "+dataCentre+" answered")
	out.RetryAfter = remoteQueryTimeout
	return nil, "", &out
}

// localJobsUpToDate returns localJobs, after the stream has been read to its end if the query asks for that or the job
// that it names is not found.
func (e *Entry) localJobsUpToDate(ctx context.Context, q *link.JobsQuery) ([]JobView, string, error) {
	asked := time.Now()
	views, movedTo := e.localJobs(q.Team, q.ID)
	if !q.UpToDate && (q.ID == "" || len(views) > 0) {
		return views, movedTo, nil
	}
	if err := e.readToEnd(ctx, asked); err != nil {
		return views, movedTo, err
	}
	views, movedTo = e.localJobs(q.Team, q.ID)
	return views, movedTo, nil
}

// localJobs returns a team's jobs in this data centre's stream: the one with the given id and
// the data centre it was moved to, or all that were not moved if id is empty.
func (e *Entry) localJobs(team, id string) (views []JobView, movedTo string) {
	views = []JobView{}
	e.jobs.mu.Lock()
	defer e.jobs.mu.Unlock()
	if id != "" {
		j, ok := e.jobs.state.Job(id)
		if !ok || j.Spec().Team != team {
			return views, ""
		}
		return append(views, e.viewOf(j, true)), j.MovedTo()
	}
	e.jobs.state.Each(func(j *job.Job) bool {
		if j.Spec().Team == team && j.MovedTo() == "" {
			views = append(views, e.viewOf(j, false))
		}
		return true
	})
	sort.Slice(views, func(i, k int) bool { return views[i].ID < views[k].ID })
	return views, ""
}

func (e *Entry) handleJobsQuery(ctx context.Context, peer link.Peer, q *link.JobsQuery) (*link.JobsReply, error) {
	if peer.Role() != link.RoleEntry {
		return nil, link.ErrPeerRejected
	}
	views, movedTo, err := e.localJobsUpToDate(ctx, q)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(views)
	return &link.JobsReply{Views: data, MovedTo: movedTo}, err
}
