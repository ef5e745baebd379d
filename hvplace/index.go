package hvplace

import (
	"math/bits"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvinterference"
)

// The index sorts the hosts of a zone into buckets by their free accelerators,
// processors and memory. The size classes of processors and memory grow by
// about the square root of two; the largest one covers 512 cores and 512 GB.
const (
	acceleratorClasses = 5
	sizeClasses        = 24

	processorUnit     = 250         // a quarter of a core
	memoryUnit        = 250 * hv.MB // a quarter of a gigabyte
	maxBoundaryChecks = 16          // hosts examined per search of buckets in which some hosts are too small
	allSizeClasses    = 1<<sizeClasses - 1
)

type bucketKey struct {
	accelerators, processors, memory int
}

// entry is a host in the index.
type entry struct {
	view        hv.HostView
	zone        *zone
	bucket      bucketKey
	bucketIndex int
	indexed     bool
	batchTasks  int
	// lastPlaced is the time of the last placement on the host.
	lastPlaced time.Time
	// offsets holds, by service, how far the slowdown on this host is from the
	// average.
	offsets   map[string]*hvinterference.Estimate
	snapshots snapshots
}

func (e *entry) free() hv.Resources { return e.view.Host.Capacity.Sub(e.view.Committed) }

// zone is the index of one availability zone.
type zone struct {
	name    string
	hosts   int
	buckets [acceleratorClasses][sizeClasses][sizeClasses][]*entry
	// occupied is a bit mask of the memory classes with a host, by accelerator
	// and processor class.
	occupied [acceleratorClasses][sizeClasses]uint32
}

// sizeClass returns the size class of v: 0 below one unit, then two classes for
// each power of two.
func sizeClass(v, unit int64) int {
	if v < unit {
		return 0
	}
	x := uint64(v / unit)
	k := bits.Len64(x) - 1
	upper := 0
	if k > 0 {
		upper = int(x>>(k-1)) & 1
	}
	return min(1+2*k+upper, sizeClasses-1)
}

func acceleratorClass(accelerators int64) int {
	switch {
	case accelerators <= 2:
		return int(max(accelerators, 0))
	case accelerators <= 4:
		return 3
	}
	return 4
}

func bucketOf(r hv.Resources) bucketKey {
	return bucketKey{acceleratorClass(r.Accelerators), sizeClass(r.Processors, processorUnit), sizeClass(int64(r.Memory), int64(memoryUnit))}
}

func (z *zone) insert(e *entry) {
	p := bucketOf(e.free())
	bucket := &z.buckets[p.accelerators][p.processors][p.memory]
	e.bucket, e.bucketIndex, e.indexed = p, len(*bucket), true
	*bucket = append(*bucket, e)
	z.occupied[p.accelerators][p.processors] |= 1 << p.memory
}

func (z *zone) remove(e *entry) {
	if !e.indexed {
		return
	}
	p := e.bucket
	bucket := &z.buckets[p.accelerators][p.processors][p.memory]
	last := len(*bucket) - 1
	(*bucket)[e.bucketIndex] = (*bucket)[last]
	(*bucket)[e.bucketIndex].bucketIndex = e.bucketIndex
	(*bucket)[last] = nil
	*bucket = (*bucket)[:last]
	if last == 0 {
		z.occupied[p.accelerators][p.processors] &^= 1 << p.memory
	}
	e.indexed = false
}

// update moves a host whose free resources changed to its new bucket.
func (z *zone) update(e *entry) {
	if e.indexed && bucketOf(e.free()) == e.bucket {
		return
	}
	z.remove(e)
	z.insert(e)
}

// search collects candidate hosts for a task.
type search struct {
	need    hv.Resources
	limit   int
	random  func(int) int
	buckets [][]*entry
	// examined counts the hosts that were compared with the need of a task.
	examined int
}

// sample appends up to limit hosts of a zone that can hold the task to found.
// Classes with few free accelerators come first, to keep the others for tasks
// that need them.
func (s *search) sample(z *zone, found []*entry) []*entry {
	key := bucketOf(s.need)
	want := len(found) + s.limit
	for g := key.accelerators; g < acceleratorClasses && len(found) < want; g++ {
		found = s.sampleFitting(z, g, key, found, want)
		if len(found) < want {
			found = s.sampleBoundary(z, g, key, found, want)
		}
	}
	return found
}

// sampleFitting samples the buckets in which every host can hold the task.
func (s *search) sampleFitting(z *zone, g int, key bucketKey, found []*entry, want int) []*entry {
	if g == key.accelerators && g >= 3 {
		return found
	}
	s.buckets = s.buckets[:0]
	total := 0
	for processors := key.processors + 1; processors < sizeClasses; processors++ {
		for set := z.occupied[g][processors] & atLeast(key.memory+1); set != 0; set &= set - 1 {
			bucket := z.buckets[g][processors][bits.TrailingZeros32(set)]
			s.buckets = append(s.buckets, bucket)
			total += len(bucket)
		}
	}
	return s.draw(total, found, want)
}

func atLeast(class int) uint32 { return allSizeClasses &^ (1<<class - 1) }

// draw takes hosts at even distances from a random start, so that every host in
// the buckets is equally likely.
func (s *search) draw(total int, found []*entry, want int) []*entry {
	n := min(total, want-len(found))
	if n == 0 {
		return found
	}
	start := s.random(total)
	for i := range n {
		found = append(found, s.nth((start+i*total/n)%total))
	}
	s.examined += n
	return found
}

func (s *search) nth(i int) *entry {
	for _, bucket := range s.buckets {
		if i < len(bucket) {
			return bucket[i]
		}
		i -= len(bucket)
	}
	return nil
}

// sampleBoundary examines a bounded number of hosts in the buckets in which
// only some hosts can hold the task. Because of the random start, a task that
// is retried eventually sees every host.
func (s *search) sampleBoundary(z *zone, g int, key bucketKey, found []*entry, want int) []*entry {
	checks := maxBoundaryChecks
	for processors := key.processors; processors < sizeClasses; processors++ {
		set := z.occupied[g][processors] & atLeast(key.memory)
		if processors > key.processors && (g != key.accelerators || g < 3) {
			set &= 1 << key.memory
		}
		for ; set != 0 && checks > 0 && len(found) < want; set &= set - 1 {
			bucket := z.buckets[g][processors][bits.TrailingZeros32(set)]
			start := s.random(len(bucket))
			for i := 0; i < len(bucket) && checks > 0 && len(found) < want; i++ {
				e := bucket[(start+i)%len(bucket)]
				checks--
				s.examined++
				if s.need.Fits(e.free()) {
					found = append(found, e)
				}
			}
		}
	}
	return found
}
