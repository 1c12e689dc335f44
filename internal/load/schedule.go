package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request or job.
type Arrival struct {
	// due is the time after the start of the run at which the request or job is due.
	due time.Duration
	// stream is the index of the plan's stream: of Jobs if isJob is true, else of Requests.
	stream int
	isJob  bool
	// work is how long a stand-in works on the request, or on each task of the job.
	work time.Duration
	// variant is the index of the variant that the request or job is sent to.
	variant int
	// cancel makes the run cancel the job once it is accepted.
	cancel bool
}

// Due returns the time after the start of the run at which the request or job is due.
func (a Arrival) Due() time.Duration { return a.due }

// Schedule returns all arrivals of a plan in order of time. The total rate is the
// plan's rate times the number of variants, so that each variant gets the plan's
// rate on average. The same seed gives the same schedule.
func (p *Plan) Schedule(seed uint64, variants int) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var out []Arrival
	for i := range p.Requests {
		s := &p.Requests[i]
		for _, at := range arrivals(random, s.Rate, p.Duration, variants) {
			a := Arrival{due: at, stream: i, variant: random.IntN(variants)}
			a.work = time.Duration(random.ExpFloat64() * float64(s.MeanWork))
			if random.Float64() < s.StragglerShare {
				a.work = s.StragglerWork
			}
			out = append(out, a)
		}
	}
	for i := range p.Jobs {
		s := &p.Jobs[i]
		for _, at := range arrivals(random, s.Rate, p.Duration, variants) {
			a := Arrival{due: at, stream: i, isJob: true, variant: random.IntN(variants), work: s.TaskDuration}
			if random.Float64() < s.StragglerShare {
				a.work = s.StragglerDuration
			}
			a.cancel = random.Float64() < s.CancelShare
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.due - b.due) })
	return out
}

// arrivals draws the arrival times, up to duration, of a Poisson process whose rate
// is rateFactor times the rate of steps. It uses thinning: it draws arrivals at the
// highest rate and drops each with the probability that gives the rate at its time.
func arrivals(random *rand.Rand, steps []RateStep, duration time.Duration, rateFactor int) []time.Duration {
	maxRate := 0.0
	for _, s := range steps {
		maxRate = max(maxRate, s.PerSecond)
	}
	if maxRate == 0 {
		return nil
	}
	var out []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / (maxRate * float64(rateFactor)) * float64(time.Second))
		if at >= duration {
			return out
		}
		if random.Float64()*maxRate < rateAt(steps, at) {
			out = append(out, at)
		}
	}
}

// rateAt returns the rate at a time after the start, interpolated between steps.
// Before the first and after the last step the rate is constant.
func rateAt(steps []RateStep, at time.Duration) float64 {
	for i, s := range steps {
		if at >= s.At {
			continue
		}
		if i == 0 {
			return s.PerSecond
		}
		before := steps[i-1]
		fraction := float64(at-before.At) / float64(s.At-before.At)
		return before.PerSecond + fraction*(s.PerSecond-before.PerSecond)
	}
	return steps[len(steps)-1].PerSecond
}
