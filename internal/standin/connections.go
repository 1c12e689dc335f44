package standin

import (
	"net/http"
	"sync"
)

// Connections lets a test stall the open connections of a server while new ones
// work. The zero value stalls none.
type Connections struct {
	mu sync.Mutex
	// used and stalled hold the remote addresses of connections: of those that have
	// carried a request since the last stall, and of those that are stalled.
	used    map[string]bool
	stalled map[string]bool
}

// Stall stalls every connection that has carried a request so far, permanently.
func (c *Connections) Stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled == nil {
		c.stalled = make(map[string]bool)
	}
	for address := range c.used {
		c.stalled[address] = true
	}
	c.used = nil
}

// Wrap returns a handler that passes requests to next. It neither serves nor responds to
// requests on stalled connections.
func (c *Connections) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.isStalled(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		c.markUsed(r.RemoteAddr)
		next.ServeHTTP(&stallableWriter{ResponseWriter: w, connections: c, request: r}, r)
	})
}

func (c *Connections) markUsed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used == nil {
		c.used = make(map[string]bool)
	}
	c.used[address] = true
}

func (c *Connections) isStalled(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled[address]
}

// stallableWriter drops a response if its connection was stalled after the request arrived.
type stallableWriter struct {
	http.ResponseWriter

	connections *Connections
	request     *http.Request
}

// Write sends data unless the connection is stalled. It then waits until the client
// cancels the request.
func (w *stallableWriter) Write(data []byte) (int, error) {
	if w.connections.isStalled(w.request.RemoteAddr) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(data)
}
