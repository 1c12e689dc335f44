package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testServer is a server with limits. handled counts the requests that its handler has seen.
type testServer struct {
	address              string
	limiter              *Limiter
	handled              atomic.Int64
	headLimit, bodyLimit atomic.Int64
	bodyTime, work       time.Duration
}

// startServer starts a server whose handler answers with the size of the body.
func startServer(t *testing.T, s *testServer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.limiter == nil {
		s.limiter = testLimiter(Derive(0, 0))
	}
	s.address = ln.Addr().String()
	s.headLimit.Store(16384)
	s.bodyLimit.Store(262144)
	if s.bodyTime == 0 {
		s.bodyTime = time.Minute
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		n, err := io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
			t.Error("the context of a request has ended before the request")
		}
		_, _ = fmt.Fprintf(w, "%d %v %q %q", n, err, r.Header.Get("Kept"), r.Header.Get("Dropped"))
	})
	server := NewServer(handler, Requests{
		BodyLimit: func() int { return int(s.bodyLimit.Load()) }, BodyTime: func(*http.Request) time.Duration { return s.bodyTime }, Headers: []string{"Kept"},
		Refuse: func(w http.ResponseWriter, status int, text string) { http.Error(w, text, status) },
	})
	var group sync.WaitGroup
	group.Go(func() {
		_ = server.Serve(s.limiter.Listen(ln, "test", 1, func() int { return int(s.headLimit.Load()) }))
	})
	t.Cleanup(func() { _ = server.Close(); group.Wait() })
}

// dial connects to the server.
func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// answer reads one answer and returns its status and body; the status is 0 if the connection has ended.
func answer(r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

const chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

func withLength(declared, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("b", sent))
}

// inChunks returns a chunked body of n bytes without its end.
func inChunks(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("b", n)) }

// Guards against a handler that sees a request whose body was not read whole, and against limits that refuse a legal one.
func TestBodies(t *testing.T) {
	for _, tc := range []struct {
		name, request string
		bodyTime      time.Duration
		// status is the expected status; 0 means that the connection is closed.
		status  int
		handled int64
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, 200, 1},
		{"an empty body", withLength(0, 0), 0, 200, 1},
		{"a body of the largest size", withLength(262144, 262144), 0, 200, 1},
		{"a body above it", withLength(262145, 0), 0, 413, 0},
		{"chunks", chunked + inChunks(5000) + inChunks(7) + "0\r\n\r\n", 0, 200, 1},
		{"chunks of the largest size", chunked + inChunks(262144) + "0\r\n\r\n", 0, 200, 1},
		{"chunks above it", chunked + inChunks(262145) + "0\r\n\r\n", 0, 413, 0},
		{"a body that stops", withLength(100, 99), 100 * time.Millisecond, 408, 0},
		{"chunks that stop", chunked + inChunks(100), 100 * time.Millisecond, 408, 0},
		{"an invalid chunk", chunked + inChunks(100) + "x\r\n", 0, 400, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &testServer{bodyTime: tc.bodyTime}
			startServer(t, s)
			conn := s.dial(t)
			_, _ = io.WriteString(conn, tc.request)
			if status, text := answer(bufio.NewReader(conn)); status != tc.status {
				t.Errorf("status: got %d (%s), want %d", status, text, tc.status)
			}
			if got := s.handled.Load(); got != tc.handled {
				t.Errorf("handled requests: got %d, want %d", got, tc.handled)
			}
		})
	}
}

// Guards against an empty 200 to a request that the handler has not seen, whose connection is about to be closed for a limit.
func TestConnectionDroppedForALimitGetsNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sent is sent before the connection is dropped, rest afterwards.
		sent, rest string
	}{
		{"the end of a body", withLength(100, 99), "b"},
		{"the end of a body in chunks", chunked + inChunks(100), "0\r\n\r\n"},
		{"a request without a body", "", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"a deletion", "", "DELETE / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"an empty body", "", withLength(0, 0)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := new(testServer)
			startServer(t, s)
			conn := s.dial(t)
			_, _ = io.WriteString(conn, tc.sent)
			want := phaseHead
			if tc.sent != "" {
				want = phaseBody
			}
			s.dropInPhase(t, want)
			_, _ = io.WriteString(conn, tc.rest)
			if status, text := answer(bufio.NewReader(conn)); status != 0 {
				t.Errorf("status: got %d (%s), want none", status, text)
			}
			if got := s.handled.Load(); got != 0 {
				t.Errorf("handled requests: got %d, want 0", got)
			}
		})
	}
}

// dropInPhase drops the only connection as the limiter does before it closes it, once the connection is in a phase.
func (s *testServer) dropInPhase(t *testing.T, want phase) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.limiter.mu.Lock()
		for c := range s.limiter.conns {
			if c.phase == want {
				s.limiter.drop(c)
				s.limiter.mu.Unlock()
				return
			}
		}
		s.limiter.mu.Unlock()
	}
	t.Fatal("no connection to drop")
}

// Guards against a body that counts as whole although its client has ended the connection.
func TestTruncatedBodies(t *testing.T) {
	for _, request := range []string{withLength(100, 99), chunked, chunked + inChunks(100), chunked + "64\r\nbbb", chunked + inChunks(4096) + "0\r\n"} {
		s := new(testServer)
		startServer(t, s)
		conn := s.dial(t)
		_, _ = io.WriteString(conn, request)
		_ = conn.(*net.TCPConn).CloseWrite()
		if status, text := answer(bufio.NewReader(conn)); status != 400 {
			t.Errorf("status: got %d (%s), want 400", status, text)
		}
		if got := s.handled.Load(); got != 0 {
			t.Errorf("handled requests: got %d, want none", got)
		}
	}
}

// Guards against a refusal of a body for which there is no room that the handler has seen.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	s := &testServer{limiter: testLimiter(Limits{Bytes: 1 << 20, Conns: 10})}
	startServer(t, s)
	first := s.dial(t)
	_, _ = io.WriteString(first, withLength(262144, 262143))
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.limiter.mu.Lock()
		reserved := s.limiter.bytes > 3*262144
		s.limiter.mu.Unlock()
		if reserved {
			break
		}
	}
	second := s.dial(t)
	_, _ = io.WriteString(second, withLength(262144, 0))
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("answer: got %d with Retry-After %q, want 503 with a time", response.StatusCode, response.Header.Get("Retry-After"))
	}
	if got := s.handled.Load(); got != 0 {
		t.Errorf("handled requests: got %d, want none", got)
	}
}

// Guards against a time for the body that ends the wait for the answer, or the next request of the connection.
func TestBodyTimeEndsWithTheBody(t *testing.T) {
	s := &testServer{bodyTime: 300 * time.Millisecond, work: 600 * time.Millisecond}
	startServer(t, s)
	conn := s.dial(t)
	reader := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, withLength(10, 10))
		if status, text := answer(reader); status != 200 {
			t.Fatalf("status: got %d (%s), want 200", status, text)
		}
	}
}

// Guards against counting requests that are sent without waiting for answers as one head.
func TestPipelinedRequests(t *testing.T) {
	s := new(testServer)
	startServer(t, s)
	conn := s.dial(t)
	one := withLength(100, 100) + withLength(50000, 50000) + "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.WriteString(conn, strings.Repeat(one, 20)) })
	reader := bufio.NewReader(conn)
	for i := range 60 {
		if status, text := answer(reader); status != 200 {
			t.Fatalf("status of request %d: got %d (%s), want 200", i, status, text)
		}
	}
	group.Wait()
}

// Guards against a limit that does not follow the configuration, and against headers that are dropped though they are used.
func TestHeadLimitFollowsTheConfiguration(t *testing.T) {
	s := new(testServer)
	startServer(t, s)
	request := "GET / HTTP/1.1\r\nHost: x\r\nKept: yes\r\nDropped: " + strings.Repeat("d", 20000) + "\r\n\r\n"
	for _, tc := range []struct {
		limit  int64
		status int
	}{{16384, 431}, {32768, 200}, {16384, 431}} {
		s.headLimit.Store(tc.limit)
		conn := s.dial(t)
		_, _ = io.WriteString(conn, request)
		status, text := answer(bufio.NewReader(conn))
		if status != tc.status {
			t.Errorf("status with a limit of %d: got %d (%s), want %d", tc.limit, status, text, tc.status)
		}
		if want := `0 <nil> "yes" ""`; status == 200 && text != want {
			t.Errorf("answer: got %s, want %s", text, want)
		}
	}
}
