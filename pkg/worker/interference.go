package worker

// Parameters of the learned model.
const (
	// learningRate is the fraction of the prediction error that one observation
	// corrects.
	learningRate = 0.1
	// defaultSlope is the slope of a class that has not been observed beside
	// the service.
	defaultSlope = 0.3
	// maxSlope limits the pressure that can be attributed to one class.
	maxSlope = 20
)

// ServiceClass is a latency-critical service and a batch class that runs beside it.
type ServiceClass struct {
	// Service is the name of the latency-critical service.
	Service string
	// Class is the name of the batch class.
	Class string
}

// ClassShare is a batch class's share of a worker's CPU.
type ClassShare struct {
	// Class is the name of the batch class.
	Class string
	// Share is the fraction of the worker's CPU that the class uses, from 0 to
	// 1.
	Share float64
}

// Interference is a linear model, learned online, of how much each batch class
// raises the tail latency of a service on the same machine: pressure =
// idle(service) + load x sum over classes of slope(service, class) x
// share(class), where pressure is the tail latency divided by its objective.
// The zero value has learned nothing.
type Interference struct {
	idlePressure map[string]float64
	slopes       map[ServiceClass]float64
}

// Slope returns the pressure that class adds to service when the service is at
// full load and the class uses the whole CPU.
func (m *Interference) Slope(service, class string) float64 {
	if s, ok := m.slopes[ServiceClass{Service: service, Class: class}]; ok {
		return s
	}
	return defaultSlope
}

// Predict returns the pressure that the model predicts for a service at the given
// load beside classes with the given shares. The load is the fraction of the service's
// request slots in use, from 0 to 1.
func (m *Interference) Predict(service string, load float64, shares []ClassShare) float64 {
	sum := m.idlePressure[service]
	for _, p := range shares {
		sum += load * p.Share * m.Slope(service, p.Class)
	}
	return sum
}

// Observe corrects the model by the pressure of a service measured at the given load
// beside classes with the given shares. It makes one step of normalised least mean
// squares: each class's slope changes in proportion to load times its share.
func (m *Interference) Observe(service string, load float64, shares []ClassShare, pressure float64) {
	if m.idlePressure == nil {
		m.idlePressure = make(map[string]float64)
		m.slopes = make(map[ServiceClass]float64)
	}
	norm := 1.0
	for _, p := range shares {
		norm += load * p.Share * load * p.Share
	}
	step := learningRate * (pressure - m.Predict(service, load, shares)) / norm
	m.idlePressure[service] = max(m.idlePressure[service]+step, 0)
	for _, p := range shares {
		pair := ServiceClass{Service: service, Class: p.Class}
		m.slopes[pair] = min(max(m.Slope(service, p.Class)+step*load*p.Share, 0), maxSlope)
	}
}

// RunningMean is a mean of samples in which old samples fade. The zero value has no
// sample.
type RunningMean struct {
	mean    float64
	samples int
}

// maxMeanWeight is the number of samples from which on the mean becomes an
// exponentially weighted moving average, in which old samples fade.
const maxMeanWeight = 50

// Add adds one sample.
func (e *RunningMean) Add(v float64) {
	e.samples = min(e.samples+1, maxMeanWeight)
	e.mean += (v - e.mean) / float64(e.samples)
}

// Mean returns the mean, or fallback if there is no sample.
func (e *RunningMean) Mean(fallback float64) float64 {
	if e.samples == 0 {
		return fallback
	}
	return e.mean
}
