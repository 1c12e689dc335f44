package endpoint

import "time"

const (
	// timeWeight is the weight of a new sample in a class's mean service time.
	timeWeight = 0.02
	// lateDeviations is how many mean deviations over its mean a request is
	// given to end before its deadline.
	lateDeviations = 2
	// longRatio is how many times the shortest class's mean service time makes work long.
	longRatio = 4
)

// Times learns the mean service time of each class. The zero value knows nothing.
type Times struct {
	classes map[string]*classTime
	least   time.Duration
}

type classTime struct {
	mean      time.Duration
	deviation time.Duration
	long      bool
}

// Expect returns the mean service time of a class and whether its work is
// long; declared is used until something was learned.
func (t *Times) Expect(class string, declared time.Duration) (mean time.Duration, long bool) {
	c, ok := t.classes[class]
	if !ok {
		c = t.add(class, declared)
	}
	return c.mean, c.long
}

// Observe takes in the service time of one request.
func (t *Times) Observe(class string, took time.Duration) {
	c, ok := t.classes[class]
	if !ok {
		t.add(class, took)
		return
	}
	c.deviation += time.Duration(timeWeight * float64((took-c.mean).Abs()-c.deviation))
	c.mean += time.Duration(timeWeight * float64(took-c.mean))
	t.compare()
}

// Room returns how long before its deadline a request of a class must start.
func (t *Times) Room(class string) time.Duration {
	c, ok := t.classes[class]
	if !ok {
		return 0
	}
	return c.mean + lateDeviations*c.deviation
}

func (t *Times) add(class string, mean time.Duration) *classTime {
	if t.classes == nil {
		t.classes = make(map[string]*classTime)
	}
	c := &classTime{mean: mean}
	t.classes[class] = c
	t.compare()
	return c
}

// compare decides anew which classes are long.
func (t *Times) compare() {
	t.least = 0
	for _, c := range t.classes {
		if t.least == 0 || c.mean < t.least {
			t.least = c.mean
		}
	}
	for _, c := range t.classes {
		c.long = c.mean > longRatio*t.least
	}
}
