// Package worker models what a worker can give: its resources and the ledger
// of what has been granted from them.
package worker

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a processor.
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"milli-cpu"    yaml:"milli-cpu"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory-mb"    yaml:"memory-mb"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" yaml:"accelerators"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r less o. Amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
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
