package coordinator

import (
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// Route leads callers to a queue of jobs.
type Route struct {
	// Name is the queue's name.
	Name string
	// Host and Prefix are what a request must carry.
	Host, Prefix string
	// Timeout bounds how long a caller is kept waiting.
	Timeout time.Duration
	Queue   dispatch.Queue
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes, HeaderBytes   int
	HeaderTimeout, IdleAfter time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// Find returns the route of a host with the longest prefix of path.
func (c *Config) Find(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

func (c *Config) queues() map[string]dispatch.Queue {
	out := make(map[string]dispatch.Queue, len(c.Routes))
	for i := range c.Routes {
		out[c.Routes[i].Name] = c.Routes[i].Queue
	}
	return out
}
