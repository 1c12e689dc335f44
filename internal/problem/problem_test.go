package problem

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestWrite(t *testing.T) {
	p := New(http.StatusServiceUnavailable, "body", "too much")
	p.RetryAfter = 1100 * time.Millisecond
	w := httptest.NewRecorder()
	p.Write(w)
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	for header, want := range map[string]string{
		"Content-Type": "application/problem+json", HeaderOutcome: "not-run", "Retry-After": "2",
	} {
		if got := w.Header().Get(header); got != want {
			t.Errorf("%s: got %q, want %q", header, got, want)
		}
	}
	want := `{"status":503,"title":"Service Unavailable","detail":"too much","field":"body","outcome":"not-run"}`
	if got := strings.TrimSpace(w.Body.String()); got != want {
		t.Errorf("body: got %s, want %s", got, want)
	}
}
