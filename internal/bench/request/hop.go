package request

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/entry"
)

const (
	// bodyBytes is the size of the bodies of requests and responses.
	bodyBytes = 1024
	// hopRounds is how often the two paths are measured in turn.
	hopRounds = 10
)

// requestPath is a path to a runner whose latency and processor time are
// measured.
type requestPath struct {
	name      string
	url       string
	header    http.Header
	client    *http.Client
	latencies []time.Duration
	cpu       time.Duration
}

// measureHops compares the path through entry and agent with a chain of two net/http
// proxies that only forward, before the same runner. The two paths are measured in turn,
// with the given number of requests each, after a first round that is not counted.
func (sum *Summary) measureHops(ctx context.Context, w io.Writer, calls int) error {
	s, err := startTestbed(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	inner, err := s.serve(passThroughHandler(s.runner))
	if err != nil {
		return err
	}
	outer, err := s.serve(passThroughHandler(inner))
	if err != nil {
		return err
	}
	paths := [...]*requestPath{
		{name: "entry and agent", url: "http://" + s.entry.Address() + "/services/" + testbedService + "/x", header: http.Header{entry.HeaderTeam: {testbedTeam}}},
		{name: "two empty hops", url: outer + "/x"},
	}
	for i := range paths {
		paths[i].client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}}
	}
	for round := range hopRounds + 1 {
		for _, p := range paths {
			if err := p.measure(ctx, calls/hopRounds, round > 0); err != nil {
				return errors.Wrap(err, p.name)
			}
		}
	}
	for _, p := range paths {
		_, _ = fmt.Fprintf(w, "%s: p50 %.0f us, p99 %.0f us, %.0f us of processor time a request of 1 KB\n", p.name,
			toMicroseconds(quantile(p.latencies, 0.5)), toMicroseconds(quantile(p.latencies, 0.99)), toMicroseconds(p.cpu)/float64(len(p.latencies)))
	}
	sum.HopP50Ratio = quantile(paths[0].latencies, 0.5).Seconds() / quantile(paths[1].latencies, 0.5).Seconds()
	sum.HopCPURatio = paths[0].cpu.Seconds() / paths[1].cpu.Seconds()
	return nil
}

// measure sends a number of requests one after the other and, if record is set, records
// their latencies and the processor time.
func (p *requestPath) measure(ctx context.Context, calls int, record bool) error {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	before := processorTime()
	for range calls {
		began := time.Now()
		if err := p.call(ctx, body); err != nil {
			return err
		}
		if record {
			p.latencies = append(p.latencies, time.Since(began))
		}
	}
	if record {
		p.cpu += processorTime() - before
	}
	return nil
}

// call sends one request and checks that the response has the same body.
func (p *requestPath) call(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range p.header {
		req.Header[k] = v
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
		return errors.Newf("response differs from the request: status %d, %d bytes", resp.StatusCode, len(got))
	}
	return nil
}

// passThroughHandler returns a handler that forwards requests to a base URL and does
// nothing else.
func passThroughHandler(baseURL string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, baseURL+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		resp, err := client.Do(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func toMicroseconds(d time.Duration) float64 { return d.Seconds() * 1e6 }
