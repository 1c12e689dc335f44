package coordinator

import (
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// Route maps requests to a queue of jobs.
type Route struct {
	// Name is the queue's name.
	Name string
	// Host and Prefix must match the host and the beginning of the path of a request.
	Host, Prefix string
	// Timeout bounds the time for answering a request unless it is 0.
	Timeout time.Duration
	// Queue describes how the scheduler treats the jobs of the queue.
	Queue dispatch.Queue
}

// Limits bounds the size and the duration of requests.
type Limits struct {
	BodyBytes, HeaderBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// FindRoute returns the route of a host whose prefix is the longest one that matches path.
func (c *Config) FindRoute(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// queue returns the queue with a name. Of several routes with the name the last one counts.
func (c *Config) queue(name string) (dispatch.Queue, bool) {
	for _, r := range slices.Backward(c.Routes) {
		if r.Name == name {
			return r.Queue, true
		}
	}
	return dispatch.Queue{}, false
}

// queues returns the queues of all routes by name.
func (c *Config) queues() map[string]dispatch.Queue {
	out := make(map[string]dispatch.Queue, len(c.Routes))
	for i := range c.Routes {
		out[c.Routes[i].Name] = c.Routes[i].Queue
	}
	return out
}
