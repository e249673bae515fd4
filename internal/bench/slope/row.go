// Package slope measures how the memory, messages and processor time of galenaward's parts grow with their size.
package slope

import (
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Row is the measurement of a quantity at one size.
type Row struct {
	// Quantity names what was measured, Element the kind of element whose number is Size.
	Quantity, Element string
	Size              int
	// Value is the total for all elements, in Unit.
	Value float64
	Unit  string
}

// String returns the row together with the value per element.
func (r Row) String() string {
	return fmt.Sprintf("%-34s %-22s size %-7d %14.1f %-3s  %10.3f %s each", r.Quantity, r.Element, r.Size, r.Value, r.Unit,
		r.Value/float64(r.Size), r.Unit)
}

// Units of rows.
const (
	micros = "µs"
	bytes  = "B"
)

// heapBytes returns the bytes of heap that the result of build keeps reachable: the median of three measurements.
func heapBytes(build func() any) float64 {
	tries := make([]float64, 3)
	for i := range tries {
		before := heapInUse()
		kept := build()
		tries[i] = heapInUse() - before
		runtime.KeepAlive(kept)
	}
	slices.Sort(tries)
	return tries[1]
}

// heapInUse returns the bytes of heap in use after two garbage collections, since objects in a sync.Pool survive the
// first.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanMicros returns the mean time that f takes, in microseconds, over the runs that fit in 200 ms.
func meanMicros(f func()) float64 {
	const duration = 200 * time.Millisecond
	f()
	n := 0
	start := time.Now()
	for time.Since(start) < duration {
		f()
		n++
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}
