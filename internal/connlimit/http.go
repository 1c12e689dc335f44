package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
)

const (
	// firstBodyBytes is the first size of the buffer for a body whose length the client does not say.
	firstBodyBytes = 4 << 10
	// retryAfterSeconds is the value of the Retry-After header of a refusal, in seconds.
	retryAfterSeconds = "1"
)

// Requests bounds the requests of a server.
type Requests struct {
	// BodyLimit returns the largest legal body, in bytes; nil means that requests have no body.
	BodyLimit func() int
	// BodyTime returns how long the body of a request may take; it must be set if BodyLimit is.
	BodyTime func(*http.Request) time.Duration
	// Headers are the headers that the handler uses. The others are dropped, since a caller's goroutine would hold them
	// for as long as it waits for the store.
	Headers []string
	// Refuse answers a request that is refused.
	Refuse func(w http.ResponseWriter, status int, text string)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// NewServer returns a server for connections of a Listener, that passes requests to h with their body read whole.
func NewServer(h http.Handler, requests Requests) *http.Server {
	return &http.Server{
		Handler: requests.handler(h), MaxHeaderBytes: HardHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(conn net.Conn, s http.ConnState) {
			if c, ok := conn.(*Conn); ok && s == http.StateIdle {
				c.endRequest()
			}
		},
	}
}

// endRequest notes that the connection waits for its next request.
func (c *Conn) endRequest() {
	c.head = headCount{}
	c.headDone.Store(false)
	c.listener.limiter.setPhase(clock.Steady(), c, phaseIdle, connCharge)
}

// handler returns a handler that reads the body of a request and passes the request to h.
func (q *Requests) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		c.headDone.Store(true)
		kept := make(http.Header, len(q.Headers))
		charge := connCharge + textFactor*(len(r.RequestURI)+len(r.Host))
		for _, name := range q.Headers {
			if v := r.Header.Get(name); v != "" {
				kept.Set(name, v)
				charge += len(v)
			}
		}
		r.Header, r.Trailer = kept, nil
		c.listener.limiter.setPhase(clock.Steady(), c, phaseBody, charge)
		if r.ContentLength != 0 && !q.readBody(c, w, r) {
			c.listener.limiter.keepCharge(clock.Steady(), c, phaseClosing)
			return
		}
		// From here on the connection is not closed until the answer is sent.
		if !c.listener.limiter.keepCharge(clock.Steady(), c, phaseCall) {
			panic(http.ErrAbortHandler) // a handler that returns without an answer sends an empty 200
		}
		h.ServeHTTP(w, r)
	})
}

// readBody reads the body of a request whole, and replaces it by what was read. It reports false if it has answered the
// request instead; the handler has not seen the request then.
func (q *Requests) readBody(c *Conn, w http.ResponseWriter, r *http.Request) bool {
	control := http.NewResponseController(w)
	if q.BodyLimit == nil {
		q.refuse(c, w, http.StatusRequestEntityTooLarge, reasonBodySize, "this request has no body")
		return false
	}
	limit := q.BodyLimit()
	if r.ContentLength > int64(limit) {
		q.refuse(c, w, http.StatusRequestEntityTooLarge, reasonBodySize, "request body larger than "+strconv.Itoa(limit)+" bytes")
		return false
	}
	_ = control.SetReadDeadline(time.Now().Add(q.BodyTime(r)))
	data, err := c.readBody(r.Body, int(r.ContentLength), limit)
	var timeout net.Error
	switch {
	case errors.Is(err, errBodySize):
		q.refuse(c, w, http.StatusRequestEntityTooLarge, reasonBodySize, "request body larger than "+strconv.Itoa(limit)+" bytes")
	case errors.Is(err, ErrLimit):
		w.Header().Set("Retry-After", retryAfterSeconds)
		q.refuse(c, w, http.StatusServiceUnavailable, reasonBodyMemory, "too many large request bodies at once; nothing was submitted")
	case errors.As(err, &timeout) && timeout.Timeout():
		q.refuse(c, w, http.StatusRequestTimeout, reasonBodyTime, "request body took too long; nothing was submitted")
	case err != nil:
		q.Refuse(w, http.StatusBadRequest, "request body incomplete")
	default:
		_ = control.SetReadDeadline(time.Time{}) // the connection serves further requests
		r.Body = &wholeBody{data: data}
		return true
	}
	return false
}

// refuse refuses a request and lets its connection end without reading the rest of the body.
func (q *Requests) refuse(c *Conn, w http.ResponseWriter, status int, reason, text string) {
	c.listener.limiter.note(reason, c)
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // the server would read up to 256 KB of it
	if q.Refuse == nil {
		w.WriteHeader(status)
		return
	}
	q.Refuse(w, status, text)
}

// errBodySize means that a body without a length exceeds the limit.
var errBodySize = errors.New("body too large")

// readBody reads a body of length bytes; a negative length means that the client has not said it. It returns an error
// unless the body was read up to its end.
func (c *Conn) readBody(body io.Reader, length, limit int) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(firstBodyBytes, limit)
	}
	size++ // one byte more, so that a body that has the length, or the limit, is read up to its end
	var data []byte
	for {
		if err := c.reserve(size - cap(data)); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, size), data...)
		for len(data) < size {
			n, err := body.Read(data[len(data):size])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) && len(data) <= limit { // io.ErrUnexpectedEOF is another error
				return data, nil
			}
			if err != nil && !errors.Is(err, io.EOF) {
				return nil, err
			}
			if err != nil {
				break
			}
		}
		if len(data) > limit {
			return nil, errBodySize
		}
		size = min(2*size, limit+1)
	}
}

// reserve charges the connection for n further bytes of a body.
func (c *Conn) reserve(n int) error {
	victims, ok := c.listener.limiter.reserve(clock.Steady(), c, n)
	c.listener.limiter.close(reasonMemory, victims...)
	if !ok {
		return ErrLimit
	}
	return nil
}

// ReadAll reads a body up to limit+1 bytes. A body that a server of NewServer has read is not copied: growing buffers would
// take five times its size, faster than the collector frees them.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	b, ok := body.(*wholeBody)
	if !ok {
		return io.ReadAll(io.LimitReader(body, int64(limit)+1))
	}
	data := b.data[:min(len(b.data), limit+1)]
	b.data = b.data[len(data):]
	return data, nil
}

// wholeBody is a body that has been read. It lets go of the data at its end.
type wholeBody struct{ data []byte }

func (b *wholeBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.data = nil
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close lets go of the rest.
func (b *wholeBody) Close() error {
	b.data = nil
	return nil
}
