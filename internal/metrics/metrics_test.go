package metrics

import (
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

func TestWrite(t *testing.T) {
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter("requests-refused", r).Inc(3)
	gometrics.GetOrRegisterGauge("in-flight", r).Update(7)
	gometrics.GetOrRegisterTimer("requests", r).Update(2 * time.Second)
	var b strings.Builder
	Write(&b, r)
	for _, want := range []string{
		"# TYPE savoryhoist_in_flight gauge\nsavoryhoist_in_flight 7\n",
		"# TYPE savoryhoist_requests_refused counter\nsavoryhoist_requests_refused 3\n",
		"savoryhoist_requests_seconds{quantile=\"0.99\"} 2\n",
		"savoryhoist_requests_seconds_count 1\nsavoryhoist_requests_seconds_sum 2\n",
	} {
		if got := b.String(); !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}
