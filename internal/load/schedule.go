package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request or job that is due at a moment after the start.
type Arrival struct {
	at       time.Duration
	stream   int
	job      bool
	work     time.Duration
	variant  int
	canceled bool
}

// At returns when the arrival is due.
func (a Arrival) At() time.Duration { return a.at }

// Schedule returns all arrivals of a plan in order of time; each variant gets
// the plan's rates. The same seed gives the same schedule.
func (p *Plan) Schedule(seed uint64, variants int) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var out []Arrival
	for i := range p.Requests {
		s := &p.Requests[i]
		for _, at := range arrivals(random, s.Rate, p.Duration, variants) {
			a := Arrival{at: at, stream: i, variant: random.IntN(variants)}
			a.work = time.Duration(random.ExpFloat64() * float64(s.Work))
			if random.Float64() < s.StragglerShare {
				a.work = s.StragglerWork
			}
			out = append(out, a)
		}
	}
	for i := range p.Jobs {
		s := &p.Jobs[i]
		for _, at := range arrivals(random, s.Rate, p.Duration, variants) {
			a := Arrival{at: at, stream: i, job: true, variant: random.IntN(variants), work: s.Run}
			if random.Float64() < s.StragglerShare {
				a.work = s.StragglerRun
			}
			a.canceled = random.Float64() < s.CancelShare
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.at - b.at) })
	return out
}

// arrivals draws the moments of a Poisson process of varying rate, times factor, by thinning.
func arrivals(random *rand.Rand, steps []Step, length time.Duration, factor int) []time.Duration {
	most := 0.0
	for _, s := range steps {
		most = max(most, s.PerSecond)
	}
	if most == 0 {
		return nil
	}
	var out []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / (most * float64(factor)) * float64(time.Second))
		if at >= length {
			return out
		}
		if random.Float64()*most < rateAt(steps, at) {
			out = append(out, at)
		}
	}
}

// rateAt interpolates between steps; before the first and after the last the rate is constant.
func rateAt(steps []Step, at time.Duration) float64 {
	for i, s := range steps {
		if at >= s.At {
			continue
		}
		if i == 0 {
			return s.PerSecond
		}
		before := steps[i-1]
		part := float64(at-before.At) / float64(s.At-before.At)
		return before.PerSecond + part*(s.PerSecond-before.PerSecond)
	}
	return steps[len(steps)-1].PerSecond
}
