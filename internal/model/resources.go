package model

import "fmt"

// Resources is an amount of each dimension a worker offers.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `msgpack:"cpu" json:"milli_cpu"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `msgpack:"mem" json:"memory_mb"`
	// Accelerators counts whole devices.
	Accelerators int64 `msgpack:"acc" json:"accelerators"`
}

// Dimensions lists the names of the resource dimensions in the order of At.
var Dimensions = [...]string{"milli_cpu", "memory_mb", "accelerators"}

// At returns the amount of the i-th dimension of Dimensions.
func (r Resources) At(i int) int64 {
	switch i {
	case 0:
		return r.MilliCPU
	case 1:
		return r.MemoryMB
	default:
		return r.Accelerators
	}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; dimensions may go negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Exceeds returns the name of the first dimension in which r is more than room, or "".
func (r Resources) Exceeds(room Resources) string {
	for i, name := range Dimensions {
		if r.At(i) > room.At(i) {
			return name
		}
	}
	return ""
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// String formats r for people, for example "1500m/2048MB/1".
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMB/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
