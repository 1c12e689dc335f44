package standin

import (
	"net/http"
	"sync"
)

// Connections lets a test make the open connections of a server go silent
// while new ones work. The zero value silences none.
type Connections struct {
	mu     sync.Mutex
	seen   map[string]bool
	silent map[string]bool
}

// Silence makes every connection that has carried a request so far silent for good.
func (c *Connections) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == nil {
		c.silent = make(map[string]bool)
	}
	for address := range c.seen {
		c.silent[address] = true
	}
	c.seen = nil
}

// Wrap returns a handler that neither serves nor answers on silent connections.
func (c *Connections) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isSilent(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		c.note(r.RemoteAddr)
		next.ServeHTTP(&silencedWriter{ResponseWriter: w, connections: c, request: r}, r)
	})
}

func (c *Connections) note(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[string]bool)
	}
	c.seen[address] = true
}

func (c *Connections) isSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[address]
}

// silencedWriter swallows an answer whose connection went silent meanwhile.
type silencedWriter struct {
	http.ResponseWriter

	connections *Connections
	request     *http.Request
}

// Write sends data unless the connection is silent; it then waits for the client to give up.
func (w *silencedWriter) Write(data []byte) (int, error) {
	if w.connections.isSilent(w.request.RemoteAddr) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(data)
}
