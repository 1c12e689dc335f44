//go:build review3

package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/platform/standin"
)

// config is the configuration of the deployment: two queues of the same priority, as fitcheck and lastarchive are.
const config = `{"version":1,"routes":[
 {"name":"batch","host":"review.example","path-prefix":"/batch/","service":"bench","timeout-ms":3000,"target-latency-ms":300,"max-attempts":4,"stretch":1.5,"priority":0},
 {"name":"lasting","host":"review.example","path-prefix":"/lasting/","service":"bench","timeout-ms":3000,"target-latency-ms":2500,"max-attempts":3,"stretch":2.2,"priority":0}],
 "services":[{"name":"bench","rejects-overload":true}],"limits":{"max-body-bytes":262144}}`

// lateStore is a store that can carry out an append of accepted jobs late and leave it without an answer.
type lateStore struct {
	store  standin.Store
	record *record
	group  sync.WaitGroup

	mu sync.Mutex
	// late is how many of the next appends to the topic of accepted jobs are carried out after delay and not answered.
	late  int
	delay time.Duration
}

// takeLate returns the delay of an append that is carried out late, or 0.
func (s *lateStore) takeLate() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == 0 {
		return 0
	}
	s.late--
	return s.delay
}

// ServeHTTP carries out a call. POST /review/late?count=N&ms=M announces N late appends.
func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/review/late" {
		count, _ := strconv.Atoi(r.URL.Query().Get("count"))
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		s.mu.Lock()
		s.late, s.delay = count, time.Duration(ms)*time.Millisecond
		s.mu.Unlock()
		return
	}
	if r.URL.Path != "/v1/log-append" || r.URL.Query().Get("topic") != "keyed.intake" {
		s.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	delay := s.takeLate()
	if delay == 0 {
		s.store.ServeHTTP(w, r)
		return
	}
	s.record.line("store: an append of %d bytes to the accepted jobs gets no answer and is carried out %v later", len(body), delay)
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	s.group.Go(func() {
		time.Sleep(delay)
		s.store.ServeHTTP(httptest.NewRecorder(), late)
		s.record.line("store: the append was carried out late")
	})
	<-r.Context().Done() // a channel on which a response is lost returns nothing further
	panic(http.ErrAbortHandler)
}

// serveStore serves the store until ctx ends.
func serveStore(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	network, path := f.String("network", "", "loopback network"), f.String("record", "", "file for the record")
	_ = f.Parse(args) // exits on an error
	s := &lateStore{record: newRecord(*path)}
	s.store.Put("keyed.op", "config", []byte(config))
	return serve(ctx, fmt.Sprintf("%s:%d", storeIP(*network), portStore), s)
}

// serve serves HTTP at an address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) int {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(ln) // returns when ctx ends
	return exitHeld
}
