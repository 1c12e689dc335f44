package capacity

import (
	"math"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// Figure is a number that is rounded in JSON.
type Figure float64

// MarshalJSON writes the figure with three significant digits, and from 1000 on
// with all digits before the decimal point.
func (f Figure) MarshalJSON() ([]byte, error) {
	digits := 3
	if math.Abs(float64(f)) >= 1000 {
		digits = int(math.Log10(math.Abs(float64(f)))) + 1
	}
	return strconv.AppendFloat(nil, float64(f), 'g', digits, 64), nil
}

// FittedCost is a cost measured at several sizes and the line fitted to it. According to the
// line, the cost at a size is Base + PerUnit * size.
type FittedCost struct {
	Name    string    `json:"name"`
	Unit    string    `json:"unit"`
	Sizes   []float64 `json:"sizes"`
	Costs   []Figure  `json:"costs"`
	Base    Figure    `json:"base"`
	PerUnit Figure    `json:"per"`
}

// addSample adds the cost measured at a size.
func (s *FittedCost) addSample(size, cost float64) {
	s.Sizes = append(s.Sizes, size)
	s.Costs = append(s.Costs, Figure(cost))
}

// fit computes Base and PerUnit from the samples by least squares.
func (s *FittedCost) fit() {
	n := float64(len(s.Sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range s.Sizes {
		y := float64(s.Costs[i])
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	perUnit := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.PerUnit = Figure(perUnit)
	s.Base = Figure((sumY - perUnit*sumX) / n)
}

// costAt returns the cost at a size according to the fitted line.
func (s *FittedCost) costAt(size float64) float64 { return float64(s.Base) + float64(s.PerUnit)*size }

// maxCost returns the highest measured cost.
func (s *FittedCost) maxCost() float64 { return float64(slices.Max(s.Costs)) }

// perUnit returns the additional cost per unit of size.
func (s *FittedCost) perUnit() float64 { return float64(s.PerUnit) }

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost measures the cost at each size and fits a line to it.
func measureCost(name, unit string, sizes []int, cost func(size int) float64) FittedCost {
	s := FittedCost{Name: name, Unit: unit}
	for _, size := range sizes {
		s.addSample(float64(size), cost(size))
	}
	s.fit()
	return s
}
