package endpoint

import "time"

const (
	// meanWeight is the weight of a new sample in the mean service time of a
	// class, and in its mean deviation.
	meanWeight = 0.02
	// startMarginDeviations is how many mean deviations are added to the mean
	// service time for a request to end before its deadline.
	startMarginDeviations = 2
	// longRatio is the ratio to the shortest class's mean service time above
	// which a class is long work.
	longRatio = 4
)

// ServiceTimes learns the mean service time of each class. The zero value is ready for
// use.
type ServiceTimes struct {
	classes      map[string]*classTime
	shortestMean time.Duration
}

type classTime struct {
	mean time.Duration
	// deviation is the mean absolute deviation from the mean.
	deviation time.Duration
	long      bool
}

// Estimate returns the mean service time of a class and whether the class is long work.
// The declared service time serves as the mean until one has been observed.
func (t *ServiceTimes) Estimate(class string, declared time.Duration) (mean time.Duration, long bool) {
	c, ok := t.classes[class]
	if !ok {
		c = t.add(class, declared)
	}
	return c.mean, c.long
}

// Observe records the service time of one request of a class.
func (t *ServiceTimes) Observe(class string, serviceTime time.Duration) {
	c, ok := t.classes[class]
	if !ok {
		t.add(class, serviceTime)
		return
	}
	c.deviation += time.Duration(meanWeight * float64((serviceTime-c.mean).Abs()-c.deviation))
	c.mean += time.Duration(meanWeight * float64(serviceTime-c.mean))
	t.classifyLong()
}

// StartMargin returns how long before its deadline a request of a class must start, or
// 0 for an unknown class.
func (t *ServiceTimes) StartMargin(class string) time.Duration {
	c, ok := t.classes[class]
	if !ok {
		return 0
	}
	return c.mean + startMarginDeviations*c.deviation
}

// add adds a class with the given mean service time.
func (t *ServiceTimes) add(class string, mean time.Duration) *classTime {
	if t.classes == nil {
		t.classes = make(map[string]*classTime)
	}
	c := &classTime{mean: mean}
	t.classes[class] = c
	t.classifyLong()
	return c
}

// classifyLong decides anew which classes are long work.
func (t *ServiceTimes) classifyLong() {
	t.shortestMean = 0
	for _, c := range t.classes {
		if t.shortestMean == 0 || c.mean < t.shortestMean {
			t.shortestMean = c.mean
		}
	}
	for _, c := range t.classes {
		c.long = c.mean > longRatio*t.shortestMean
	}
}
