package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxCancelledJobs is the most jobs that one request cancels.
const maxCancelledJobs = 10000

// Cancellation is the JSON form of a request that cancels many jobs.
type Cancellation struct {
	Jobs []string `json:"jobs"`
}

// CancellationResult is the JSON form of the response to a Cancellation.
type CancellationResult struct {
	Accepted []string `json:"accepted"`
	// Unknown are ids that belong to no job of the team.
	Unknown []string `json:"unknown,omitempty"`
	// Repeat are ids of jobs whose data centre did not answer or whose cancellation is not
	// known to be in the log. Cancelling them again is safe.
	Repeat []string `json:"repeat,omitempty"`
}

// serveCancelMany cancels many jobs by appending one record for each data centre.
func (e *Entry) serveCancelMany(w http.ResponseWriter, r *http.Request) {
	d, team, ok := e.authenticateCaller(w, r)
	if !ok {
		return
	}
	var c Cancellation
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBodyBytes)).Decode(&c); err != nil {
		problem.New(http.StatusBadRequest, "body", err.Error()).Write(w)
		return
	}
	if len(c.Jobs) == 0 || len(c.Jobs) > maxCancelledJobs {
		problem.New(http.StatusBadRequest, "jobs", "must be 1 to 10000 job ids").Write(w)
		return
	}
	result, homes := e.groupByDataCentre(r.Context(), e.dataCentres(d), team.Name, c.Jobs)
	for home, ids := range homes {
		m := &record.Cancel{Jobs: ids, AtMS: time.Now().UnixMilli()}
		if p := appendRecord(r.Context(), e.jobsWriter(home), m); p != nil {
			result.Repeat = append(result.Repeat, ids...)
			continue
		}
		result.Accepted = append(result.Accepted, ids...)
		e.log.Info().Str("decision", "cancel-jobs").Int("jobs", len(ids)).Str("data-centre", home).Msg("")
	}
	sort.Strings(result.Accepted)
	writeJSON(w, http.StatusAccepted, result)
}

// groupByDataCentre groups the ids of a team's jobs by the data centre that has the job. An id
// that is not found goes to the result's Unknown or, if some data centre did not answer, to its
// Repeat.
func (e *Entry) groupByDataCentre(ctx context.Context, dataCentres []string, team string, ids []string) (CancellationResult, map[string][]string) {
	dataCentreOf := make(map[string]string)
	complete := true
	for _, name := range dataCentres {
		views, _, p := e.queryJobs(ctx, name, &link.JobsQuery{Team: team, UpToDate: true})
		complete = complete && p == nil
		for i := range views {
			dataCentreOf[views[i].ID] = name
		}
	}
	result := CancellationResult{Accepted: []string{}}
	homes := make(map[string][]string)
	for _, id := range ids {
		home, ok := dataCentreOf[id]
		switch {
		case ok:
			homes[home] = append(homes[home], id)
		case complete:
			result.Unknown = append(result.Unknown, id)
		default:
			result.Repeat = append(result.Repeat, id)
		}
	}
	return result, homes
}
