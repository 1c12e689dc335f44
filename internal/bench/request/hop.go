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
	// hopBody is the size of the requests and answers, in bytes.
	hopBody = 1024
	// hopParts is how often the two ways take turns.
	hopParts = 10
)

// way is a way to a runner under measurement.
type way struct {
	name   string
	url    string
	header http.Header
	client *http.Client
	times  []time.Duration
	cpu    time.Duration
}

// measureHops compares the way through entry and agent with a chain of two
// empty net/http hops before the same runner, in turns.
func (sum *Summary) measureHops(ctx context.Context, w io.Writer, calls int) error {
	s, err := startSite(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	inner, err := s.host(emptyHop(s.runner))
	if err != nil {
		return err
	}
	outer, err := s.host(emptyHop(inner))
	if err != nil {
		return err
	}
	ways := [...]*way{
		{name: "entry and agent", url: "http://" + s.entry.Address() + "/services/" + siteService + "/x", header: http.Header{entry.HeaderTeam: {siteTeam}}},
		{name: "two empty hops", url: outer + "/x"},
	}
	for i := range ways {
		ways[i].client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	}
	for part := range hopParts + 1 {
		for _, y := range ways {
			if err := y.measure(ctx, calls/hopParts, part > 0); err != nil {
				return errors.Wrap(err, y.name)
			}
		}
	}
	for _, y := range ways {
		_, _ = fmt.Fprintf(w, "%s: p50 %.0f us, p99 %.0f us, %.0f us of processor time a request of 1 KB\n", y.name,
			us(quantile(y.times, 0.5)), us(quantile(y.times, 0.99)), us(y.cpu)/float64(len(y.times)))
	}
	sum.HopP50Ratio = quantile(ways[0].times, 0.5).Seconds() / quantile(ways[1].times, 0.5).Seconds()
	sum.HopCPURatio = ways[0].cpu.Seconds() / ways[1].cpu.Seconds()
	return nil
}

// measure sends requests one after the other; the first part is not counted.
func (y *way) measure(ctx context.Context, calls int, count bool) error {
	body := bytes.Repeat([]byte("x"), hopBody)
	before := processorTime()
	for range calls {
		began := time.Now()
		if err := y.call(ctx, body); err != nil {
			return err
		}
		if count {
			y.times = append(y.times, time.Since(began))
		}
	}
	if count {
		y.cpu += processorTime() - before
	}
	return nil
}

func (y *way) call(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, y.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range y.header {
		req.Header[k] = v
	}
	resp, err := y.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
		return errors.Newf("status %d, %d bytes", resp.StatusCode, len(got))
	}
	return nil
}

// emptyHop passes requests on and does nothing else.
func emptyHop(to string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, to+r.URL.Path, bytes.NewReader(body))
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

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func us(d time.Duration) float64 { return d.Seconds() * 1e6 }
