// Package metrics serves a go-metrics registry in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// prefix begins the name of every metric that is served.
const prefix = "savoryhoist_"

// quantiles are the quantiles of each timer that are served.
var quantiles = []float64{0.5, 0.99, 0.999}

// Handler returns a handler that serves the metrics of registry.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, registry)
	})
}

// Write writes the metrics of registry, sorted by name.
func Write(w io.Writer, registry gometrics.Registry) {
	metrics := make(map[string]any)
	names := []string{}
	registry.Each(func(name string, m any) {
		metrics[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, prefix+strings.ReplaceAll(name, "-", "_"), metrics[name])
	}
}

// writeMetric writes one metric under a name; a timer is written as a summary in seconds.
func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.GaugeFloat64:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case gometrics.Timer:
		s := m.Snapshot()
		_, _ = fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for i, v := range s.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], v/1e9)
		}
		_, _ = fmt.Fprintf(w, "%s_seconds_count %d\n%s_seconds_sum %g\n", name, s.Count(), name, float64(s.Sum())/1e9)
	}
}
