package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// TestSilentConnections checks that only connections that were used before are
// stalled.
func TestSilentConnections(t *testing.T) {
	var c Connections
	served := 0
	h := c.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served++
		_, _ = w.Write([]byte("answer"))
	}))
	ask := func(address string) string {
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // on a stalled connection, the handler waits until the client cancels
		r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
		r.RemoteAddr = address
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Body.String()
	}
	if got, want := ask("127.0.0.1:1000"), "answer"; got != want {
		t.Errorf("before: got %q, want %q", got, want)
	}
	c.Stall()
	if got, want := ask("127.0.0.1:1000"), ""; got != want {
		t.Errorf("the old connection: got %q, want %q", got, want)
	}
	if got, want := ask("127.0.0.1:1001"), "answer"; got != want {
		t.Errorf("a new connection: got %q, want %q", got, want)
	}
	if got, want := served, 2; got != want {
		t.Errorf("served: got %d, want %d", got, want)
	}
}

// TestSpansFollowLease checks that a task makes progress only during its lease
// and continues after a renewal.
func TestSpansFollowLease(t *testing.T) {
	now := time.UnixMilli(1000)
	w := NewWorker(worker.Resources{MilliCPU: 1000}, func() time.Time { return now })
	h := w.Handler()
	send(t, h, "/tasks", services.StartOrder{
		WorkerTask: services.WorkerTask{Job: "j", Epoch: 1, LeaseEndMS: 100},
		Payload:    []byte(`{"run-ms":250}`),
	})
	now = now.Add(300 * time.Millisecond)
	send(t, h, "/renew", []services.LeaseRenewal{{Key: "j.0@1", LeaseEndMS: 1000}})
	now = now.Add(400 * time.Millisecond)
	got := w.Runs()
	if len(got) != 1 || len(got[0].Spans) != 2 {
		t.Fatalf("got %+v, want one run of two spans", got)
	}
	for i, want := range []Span{{From: 1000000, To: 1100000}, {From: 1300000, To: 1450000}} {
		if got[0].Spans[i] != want {
			t.Errorf("span %d: got %v, want %v", i, got[0].Spans[i], want)
		}
	}
	if got, want := got[0].EndState, services.TaskSucceeded; got != want {
		t.Errorf("ended: got %q, want %q", got, want)
	}
}

// TestUsageLags checks that usage reports lag by the time set in the faults.
func TestUsageLags(t *testing.T) {
	now := time.UnixMilli(0)
	w := NewWorker(worker.Resources{MilliCPU: 1000}, func() time.Time { return now })
	w.SetFaults(WorkerFaults{UsageLagMS: 500})
	h := w.Handler()
	send(t, h, "/tasks", services.StartOrder{
		WorkerTask: services.WorkerTask{Job: "j", Epoch: 1, LeaseEndMS: 10000, Size: worker.Resources{MilliCPU: 300}},
		Payload:    []byte(`{"run-ms":9000}`),
	})
	for _, want := range []int64{0, 0, 300} {
		var usage services.Usage
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/usage", nil))
		if err := json.NewDecoder(rec.Body).Decode(&usage); err != nil {
			t.Fatal(err)
		}
		if got := usage.Used.MilliCPU; got != want {
			t.Errorf("after %s: got %d, want %d", now.Sub(time.UnixMilli(0)), got, want)
		}
		now = now.Add(300 * time.Millisecond)
	}
}

// send posts a body in JSON to a handler and expects status 200.
func send(t *testing.T, h http.Handler, path string, requestBody any) {
	t.Helper()
	body, err := json.Marshal(requestBody)
	if err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	if got, want := rec.Code, http.StatusOK; got != want {
		t.Fatalf("%s: got status %d, want %d", path, got, want)
	}
}
