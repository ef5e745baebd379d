package hvslope

import (
	"encoding/json"
	"runtime"
	"time"
)

// repetitions of every measurement of time; the table shows the median.
const repetitions = 9

// cost is the time and the allocated bytes of one operation.
type cost struct{ nanoseconds, bytes float64 }

// measure runs f a number of times and divides its cost by the operations
// that one run makes.
func measure(operations int, f func()) cost {
	var took, allocated []float64
	for range repetitions {
		c := once(f)
		took = append(took, c.nanoseconds/float64(operations))
		allocated = append(allocated, c.bytes/float64(operations))
	}
	return cost{median(took), median(allocated)}
}

func once(f func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	f()
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	return cost{float64(took.Nanoseconds()), float64(after.TotalAlloc - before.TotalAlloc)}
}

// retained returns the heap that the result of build keeps.
func retained[T any](build func() T) float64 {
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

// encode returns v as JSON; the types that it is used with can't fail.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
