package worker

// Limits of the learned model.
const (
	// learningRate is how far one reading corrects the model.
	learningRate = 0.1
	// startingSlope stands for a class of which nothing is known yet.
	startingSlope = 0.3
	// largestSlope bounds what a class can be blamed for.
	largestSlope = 20
)

// Pair names a latency-critical service and a batch class beside it.
type Pair struct {
	// Service is the name of the latency-critical service.
	Service string
	// Class is the name of the batch class.
	Class string
}

// Part is a batch class's share of a worker's processors, from 0 to 1.
type Part struct {
	// Class is the name of the batch class.
	Class string
	// Share is the part of the processors that it uses.
	Share float64
}

// Interference learns how much a batch class raises the tail latency of a
// service beside it. Pressure is the tail divided by its objective; the model
// is pressure = idle(service) + load x sum of slope(service, class) x share.
// The zero value knows nothing.
type Interference struct {
	idle  map[string]float64
	slope map[Pair]float64
}

// Slope returns the pressure that class adds to service with all processors at full load.
func (m *Interference) Slope(service, class string) float64 {
	if s, ok := m.slope[Pair{Service: service, Class: class}]; ok {
		return s
	}
	return startingSlope
}

// Expect returns the pressure expected at a load from 0 to 1.
func (m *Interference) Expect(service string, load float64, parts []Part) float64 {
	sum := m.idle[service]
	for _, p := range parts {
		sum += load * p.Share * m.Slope(service, p.Class)
	}
	return sum
}

// Observe corrects the model by one reading: a normalised step towards the
// pressure seen, shared over the classes in proportion to their part.
func (m *Interference) Observe(service string, load float64, parts []Part, pressure float64) {
	if m.idle == nil {
		m.idle = make(map[string]float64)
		m.slope = make(map[Pair]float64)
	}
	norm := 1.0
	for _, p := range parts {
		norm += load * p.Share * load * p.Share
	}
	step := learningRate * (pressure - m.Expect(service, load, parts)) / norm
	m.idle[service] = max(m.idle[service]+step, 0)
	for _, p := range parts {
		pair := Pair{Service: service, Class: p.Class}
		m.slope[pair] = min(max(m.Slope(service, p.Class)+step*load*p.Share, 0), largestSlope)
	}
}

// Estimate learns the mean of a value of which samples arrive one by one. The
// zero value has no sample.
type Estimate struct {
	mean    float64
	samples int
}

// estimateWindow is the number of samples after which old ones fade.
const estimateWindow = 50

// Add takes one sample in.
func (e *Estimate) Add(v float64) {
	e.samples = min(e.samples+1, estimateWindow)
	e.mean += (v - e.mean) / float64(e.samples)
}

// Mean returns the mean, or otherwise if there is no sample.
func (e *Estimate) Mean(otherwise float64) float64 {
	if e.samples == 0 {
		return otherwise
	}
	return e.mean
}
