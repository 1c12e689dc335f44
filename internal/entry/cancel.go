package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// maxCancelled is the most jobs that one call cancels.
const maxCancelled = 10000

// Cancellation is the JSON form of a wave of cancellations.
type Cancellation struct {
	Jobs []string `json:"jobs"`
}

// CancellationResult says what became of a wave of cancellations.
type CancellationResult struct {
	Accepted []string `json:"accepted"`
	// Unknown are jobs that the team does not have.
	Unknown []string `json:"unknown,omitempty"`
	// Repeat are jobs whose data centre did not answer or whose cancellation is
	// not known to be in the log; cancelling them again is safe.
	Repeat []string `json:"repeat,omitempty"`
}

// serveCancelMany cancels many jobs with one record for each data centre.
func (e *Entry) serveCancelMany(w http.ResponseWriter, r *http.Request) {
	d, team, ok := e.caller(w, r)
	if !ok {
		return
	}
	var c Cancellation
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBody)).Decode(&c); err != nil {
		problem.New(http.StatusBadRequest, "body", err.Error()).Write(w)
		return
	}
	if len(c.Jobs) == 0 || len(c.Jobs) > maxCancelled {
		problem.New(http.StatusBadRequest, "jobs", "want 1 to 10000 job ids").Write(w)
		return
	}
	result := CancellationResult{Accepted: []string{}}
	homes := make(map[string][]string)
	for _, id := range c.Jobs {
		f, p := e.findJob(r.Context(), d, team.Name, id)
		switch {
		case p == nil:
			homes[f.dataCentre] = append(homes[f.dataCentre], id)
		case p.Status == http.StatusNotFound:
			result.Unknown = append(result.Unknown, id)
		default:
			result.Repeat = append(result.Repeat, id)
		}
	}
	for home, ids := range homes {
		m := &record.Cancel{Jobs: ids, AtMS: time.Now().UnixMilli()}
		if p := appendTo(r.Context(), e.jobsWriter(home), m); p != nil {
			result.Repeat = append(result.Repeat, ids...)
			continue
		}
		result.Accepted = append(result.Accepted, ids...)
		e.log.Info().Str("decision", "cancel-jobs").Int("jobs", len(ids)).Str("data-centre", home).Msg("")
	}
	sort.Strings(result.Accepted)
	writeJSON(w, http.StatusAccepted, result)
}
