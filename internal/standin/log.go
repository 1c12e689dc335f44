// Package standin simulates the services of the platform in memory, for tests,
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

const maxAppendBytes = 8 << 20

// maxPageBatches is the largest number of batches that one read returns.
const maxPageBatches = 1000

// LogFaults selects the faults that the log simulates.
type LogFaults struct {
	// Down makes every call over HTTP fail with status 503.
	Down bool `json:"down"`
	// DelayMS is the delay of every call over HTTP, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// LoseReplies is the number of appends whose response is lost after the write.
	LoseReplies int `json:"lose-replies"`
	// MaxBatches is the number of batches that a stream retains; 0 retains all.
	MaxBatches int `json:"keep"`
}

// Log is an in-memory append-only log service. The zero value is an empty log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	appends uint64
}

type logStream struct {
	firstOffset uint64
	batches     [][]byte
	changed     chan struct{}
}

// SetFaults replaces the faults that the log simulates.
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

// Append adds a batch to a stream and returns its offset. Faults do not affect it,
// except that MaxBatches drops old batches.
func (l *Log) Append(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addBatch(stream, data)
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

// applyFaults applies the faults that affect every call and reports whether to
// carry out the call.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !l.applyFaults(w, r) {
		return
	}
	offset, replyLost := l.append(r.PathValue("stream"), data)
	if replyLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, services.AppendResult{Offset: offset})
}

// append writes a batch for a call over HTTP. replyLost is set if the fault LoseReplies
// withholds the response.
func (l *Log) append(name string, data []byte) (offset uint64, replyLost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset = l.addBatch(name, data)
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return offset, true
	}
	return offset, false
}

// addBatch writes a batch. The caller holds mu.
func (l *Log) addBatch(name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.firstOffset + uint64(len(s.batches))
	s.batches = append(s.batches, data)
	if l.faults.MaxBatches > 0 && len(s.batches) > l.faults.MaxBatches {
		excess := len(s.batches) - l.faults.MaxBatches
		s.batches = s.batches[excess:]
		s.firstOffset += uint64(excess)
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
	if !l.applyFaults(w, r) {
		return
	}
	offset, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for {
		page, dropped, changed := l.readPage(r.PathValue("stream"), offset)
		if dropped {
			writeJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Batches) > 0 || wait <= 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// readPage returns the batches of a stream from an offset on, or dropped if the stream
// no longer retains that offset. changed is closed when a batch is added.
func (l *Log) readPage(name string, offset uint64) (page services.LogPage, dropped bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page.FirstOffset = s.firstOffset
	page.NextOffset = s.firstOffset + uint64(len(s.batches))
	if offset < s.firstOffset {
		return page, true, s.changed
	}
	for o := offset; o < page.NextOffset && len(page.Batches) < maxPageBatches; o++ {
		page.Batches = append(page.Batches, services.LogBatch{Offset: o, Data: s.batches[o-s.firstOffset]})
	}
	return page, false, s.changed
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
