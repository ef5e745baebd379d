package hvslope

import (
	"encoding/json"
	"runtime"
	"time"
)

// repetitions is how often each time is measured; the table shows the median.
const repetitions = 9

// cost is the time and the allocated bytes of one operation.
type cost struct{ nanoseconds, bytes float64 }

// measure runs f repeatedly and returns the median cost of one of the operations
// that each run of f makes.
func measure(operations int, f func()) cost {
	var took, allocated []float64
	for range repetitions {
		c := measureOnce(f)
		took = append(took, c.nanoseconds/float64(operations))
		allocated = append(allocated, c.bytes/float64(operations))
	}
	return cost{median(took), median(allocated)}
}

func measureOnce(f func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	f()
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	return cost{float64(took.Nanoseconds()), float64(after.TotalAlloc - before.TotalAlloc)}
}

// retainedHeap returns the heap bytes that the result of build retains.
func retainedHeap[T any](build func() T) float64 {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	v := build()
	after := heap()
	runtime.KeepAlive(v)
	return after - before
}

// encode returns v as JSON. It panics on errors, which the types passed to it
// never cause.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
