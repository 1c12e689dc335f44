// Package standin holds small stand-ins of the platform's services for tests,
// benchmarks and the embedded mode.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/services"
)

// maxAppend is the largest batch that the log takes, in bytes.
const maxAppend = 8 << 20

// maxPage is the most batches that one read returns.
const maxPage = 1000

// LogFaults says how the log misbehaves.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMS slows every call.
	DelayMS int64 `json:"delay-ms"`
	// LoseReplies is the number of appends whose reply is lost after the write.
	LoseReplies int `json:"lose-replies"`
	// Keep is the number of batches kept in a stream; 0 keeps all.
	Keep int `json:"keep"`
}

// Log is an in-memory append-only log service. The zero value is empty.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends uint64
}

type logStream struct {
	first   uint64
	batches [][]byte
	changed chan struct{}
}

// SetFaults switches the log's faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of batches written.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds a batch to a stream without faults.
func (l *Log) Append(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(stream, data)
}

// Handler serves the log over HTTP.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT /faults", l.serveFaults)
	return mux
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
}

// admit applies delay and outage and reports whether the call goes on.
func (l *Log) admit(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.DelayMS > 0 {
		t := time.NewTimer(time.Duration(f.DelayMS) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false
		}
	}
	if f.Down {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppend))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !l.admit(w, r) {
		return
	}
	offset, lost := l.append(r.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, services.LogOffset{Offset: offset})
}

func (l *Log) append(name string, data []byte) (offset uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset = l.add(name, data)
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return offset, true
	}
	return offset, false
}

// add writes a batch; mu is held.
func (l *Log) add(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.first + uint64(len(s.batches))
	s.batches = append(s.batches, data)
	if l.faults.Keep > 0 && len(s.batches) > l.faults.Keep {
		drop := len(s.batches) - l.faults.Keep
		s.batches = s.batches[drop:]
		s.first += uint64(drop)
	}
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (l *Log) stream(name string) *logStream {
	if l.streams == nil {
		l.streams = make(map[string]*logStream)
	}
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, expired, changed := l.page(r.PathValue("stream"), from)
		if expired {
			writeJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Batches) > 0 || wait <= 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) page(name string, from uint64) (page services.LogPage, expired bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page.First = s.first
	page.Next = s.first + uint64(len(s.batches))
	if from < s.first {
		return page, true, s.changed
	}
	for o := from; o < page.Next && len(page.Batches) < maxPage; o++ {
		page.Batches = append(page.Batches, services.LogBatch{Offset: o, Data: s.batches[o-s.first]})
	}
	return page, false, s.changed
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
