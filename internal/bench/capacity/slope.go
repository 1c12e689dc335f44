package capacity

import (
	"math"
	"runtime"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// Figure is a number that is written with three digits.
type Figure float64

// MarshalJSON writes the figure with three significant digits.
func (f Figure) MarshalJSON() ([]byte, error) {
	digits := 3
	if math.Abs(float64(f)) >= 1000 {
		digits = int(math.Log10(math.Abs(float64(f)))) + 1
	}
	return strconv.AppendFloat(nil, float64(f), 'g', digits, 64), nil
}

// Slope is a cost measured at several sizes: base plus per times the size.
type Slope struct {
	Name  string    `json:"name"`
	Unit  string    `json:"unit"`
	Sizes []float64 `json:"sizes"`
	Costs []Figure  `json:"costs"`
	Base  Figure    `json:"base"`
	Per   Figure    `json:"per"`
}

func (s *Slope) add(size, cost float64) {
	s.Sizes = append(s.Sizes, size)
	s.Costs = append(s.Costs, Figure(cost))
}

// fit works out base and slope by least squares.
func (s *Slope) fit() {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		y := float64(s.Costs[i])
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	per := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Per = Figure(per)
	s.Base = Figure((sy - per*sx) / n)
}

// at returns the cost at a size.
func (s *Slope) at(size float64) float64 { return float64(s.Base) + float64(s.Per)*size }

// most returns the highest cost measured.
func (s *Slope) most() float64 { return float64(slices.Max(s.Costs)) }

// per returns the slope.
func (s *Slope) per() float64 { return float64(s.Per) }

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns what this process has used of processors so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure fits a slope to the cost at each size.
func measure(name, unit string, sizes []int, cost func(size int) float64) Slope {
	s := Slope{Name: name, Unit: unit}
	for _, size := range sizes {
		s.add(float64(size), cost(size))
	}
	s.fit()
	return s
}
