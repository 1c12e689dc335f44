// Package worker models the machines that run batch tasks: their resources, the
// ledger of resources granted on a worker, worker health, task placement, and
// the throttling of batch tasks that protects the latency-critical service on
// the same machine.
package worker

import "math"

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a CPU core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"milli-cpu"    yaml:"milli-cpu"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory-mb"    yaml:"memory-mb"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" yaml:"accelerators"`
}

// Plus returns the sum of r and o. Amounts saturate instead of wrapping.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCPU:     saturatingAdd(r.MilliCPU, o.MilliCPU),
		MemoryMB:     saturatingAdd(r.MemoryMB, o.MemoryMB),
		Accelerators: saturatingAdd(r.Accelerators, o.Accelerators),
	}
}

// Minus returns r less o. Amounts may become negative; they saturate instead of wrapping.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCPU:     saturatingAdd(r.MilliCPU, -o.MilliCPU),
		MemoryMB:     saturatingAdd(r.MemoryMB, -o.MemoryMB),
		Accelerators: saturatingAdd(r.Accelerators, -o.Accelerators),
	}
}

// Times returns r multiplied by n. It is zero in every dimension whose amount
// is not positive, and if n is not positive; amounts saturate instead of
// wrapping.
func (r Resources) Times(n int64) Resources {
	return Resources{MilliCPU: saturatingMul(r.MilliCPU, n), MemoryMB: saturatingMul(r.MemoryMB, n), Accelerators: saturatingMul(r.Accelerators, n)}
}

// Max returns the larger amount of r and o in every dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether r fits into o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Valid reports whether no amount is negative.
func (r Resources) Valid() bool {
	return r.MilliCPU >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}

// DominantShare returns the largest fraction that r takes of whole over all
// dimensions that whole has any of (the dominant share of dominant resource
// fairness).
func (r Resources) DominantShare(whole Resources) float64 {
	return max(share(r.MilliCPU, whole.MilliCPU), share(r.MemoryMB, whole.MemoryMB), share(r.Accelerators, whole.Accelerators))
}

// share returns part as a fraction of whole, or 0 if whole is not positive.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// saturatingAdd returns a plus b, limited to the range of int64.
func saturatingAdd(a, b int64) int64 {
	sum := a + b
	if a > 0 && b > 0 && sum < 0 {
		return math.MaxInt64
	}
	if a < 0 && b < 0 && sum >= 0 {
		return math.MinInt64
	}
	return sum
}

// saturatingMul returns a times n, at most math.MaxInt64; it returns 0 unless both
// are positive.
func saturatingMul(a, n int64) int64 {
	if n <= 0 || a <= 0 {
		return 0
	}
	if a > math.MaxInt64/n {
		return math.MaxInt64
	}
	return a * n
}
