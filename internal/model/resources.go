package model

import "fmt"

// Resources is a vector of amounts, one for each resource dimension of a worker.
type Resources struct {
	// MilliCPU is CPU capacity in thousandths of a core.
	MilliCPU int64 `msgpack:"cpu" json:"milli_cpu"`
	// MemoryMB is memory in mebibytes (MiB, not MB).
	MemoryMB int64 `msgpack:"mem" json:"memory_mb"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `msgpack:"acc" json:"accelerators"`
}

// Dimensions lists the names of the resource dimensions; At takes their indexes.
var Dimensions = [...]string{"milli_cpu", "memory_mb", "accelerators"}

// At returns the amount in the dimension Dimensions[i].
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

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// Exceeds returns the name of the first dimension in which r is more than
// capacity, or "" if r fits.
func (r Resources) Exceeds(capacity Resources) string {
	for i, name := range Dimensions {
		if r.At(i) > capacity.At(i) {
			return name
		}
	}
	return ""
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether the amount in any dimension is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// String formats r as CPU/memory/accelerators, for example "1500m/2048MB/1". MB
// stands for MiB here.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMB/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
