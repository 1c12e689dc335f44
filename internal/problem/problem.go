// Package problem writes refusals as application/problem+json and says in a
// header whether the request was run.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome says whether a request was run: not-run, run or unknown.
const HeaderOutcome = "Savoryhoist-Outcome"

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	NotRun  Outcome = "not-run"
	Run     Outcome = "run"
	Unknown Outcome = "unknown"
)

// Problem is a refusal.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	// Field names the wrong part of the request.
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is when a repetition may succeed; 0 means that it will not.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem of a request that was not run.
func New(status int, field, detail string) Problem {
	return Problem{Status: status, Title: http.StatusText(status), Field: field, Detail: detail, Outcome: NotRun}
}

// Write sends the problem.
func (p Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
