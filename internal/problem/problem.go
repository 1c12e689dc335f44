// Package problem writes error responses to HTTP requests as
// application/problem+json, with a header that says whether the request was run.
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
	// NotRun means that the request was not run and will not be.
	NotRun Outcome = "not-run"
	// Run means that the request was run.
	Run Outcome = "run"
	// Unknown means that the request may or may not have been run, or may still be.
	Unknown Outcome = "unknown"
)

// Problem is an error response to a request.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	// Field names the invalid part of the request: a header, "path", "body" or a field of the
	// body. It is empty if the request is valid.
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is how long the caller should wait before a retry, which may then
	// succeed; 0 means that the response names no time for a retry.
	RetryAfter time.Duration `json:"-"`
}

// New returns the error response with the given HTTP status to a request that was not run.
func New(status int, field, detail string) Problem {
	return Problem{Status: status, Title: http.StatusText(status), Field: field, Detail: detail, Outcome: NotRun}
}

// Write sends the response to the caller.
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
