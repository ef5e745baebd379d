package hvplace

import (
	"math/bits"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvinterference"
)

// The index sorts the hosts of a zone into cells by their free accelerators,
// processors and memory, in classes that grow by about the square root of
// two. The classes of the largest size cover 512 cores and 512 GB.
const (
	groupCount = 5
	classCount = 24

	processorUnit = 250         // a quarter of a core
	memoryUnit    = 250 * hv.MB // a quarter of a gigabyte
	probeLimit    = 16          // hosts looked at in cells whose hosts may be too small
	allClasses    = 1<<classCount - 1
)

type position struct {
	group, row, column int
}

// entry is a host in the index.
type entry struct {
	view    hv.HostView
	zone    *zone
	at      position
	slot    int
	indexed bool
	batch   int
	// started is the time of the last placement.
	started   time.Time
	offsets   map[string]*hvinterference.Estimate
	snapshots snapshots
}

func (e *entry) free() hv.Resources { return e.view.Host.Capacity.Sub(e.view.Committed) }

// zone is the index of one availability zone.
type zone struct {
	name  string
	hosts int
	cells [groupCount][classCount][classCount][]*entry
	// rows marks the cells of each row that hold a host.
	rows [groupCount][classCount]uint32
}

// class returns the size class of v: 0 below one unit, then two classes for
// each power of two.
func class(v, unit int64) int {
	if v < unit {
		return 0
	}
	x := uint64(v / unit)
	k := bits.Len64(x) - 1
	half := 0
	if k > 0 {
		half = int(x>>(k-1)) & 1
	}
	return min(1+2*k+half, classCount-1)
}

func group(accelerators int64) int {
	switch {
	case accelerators <= 2:
		return int(max(accelerators, 0))
	case accelerators <= 4:
		return 3
	}
	return 4
}

func positionOf(r hv.Resources) position {
	return position{group(r.Accelerators), class(r.Processors, processorUnit), class(int64(r.Memory), int64(memoryUnit))}
}

func (z *zone) insert(e *entry) {
	p := positionOf(e.free())
	cell := &z.cells[p.group][p.row][p.column]
	e.at, e.slot, e.indexed = p, len(*cell), true
	*cell = append(*cell, e)
	z.rows[p.group][p.row] |= 1 << p.column
}

func (z *zone) remove(e *entry) {
	if !e.indexed {
		return
	}
	p := e.at
	cell := &z.cells[p.group][p.row][p.column]
	last := len(*cell) - 1
	(*cell)[e.slot] = (*cell)[last]
	(*cell)[e.slot].slot = e.slot
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	if last == 0 {
		z.rows[p.group][p.row] &^= 1 << p.column
	}
	e.indexed = false
}

// move puts a host whose free resources changed into its new cell.
func (z *zone) move(e *entry) {
	if e.indexed && positionOf(e.free()) == e.at {
		return
	}
	z.remove(e)
	z.insert(e)
}

// search collects candidates for a need.
type search struct {
	need   hv.Resources
	limit  int
	random func(int) int
	cells  [][]*entry
	// looked counts the hosts that were compared with the need.
	looked int
}

// sample appends up to limit hosts of a zone that have room to found. Groups
// with few free accelerators come first, to keep the others for tasks that
// need them.
func (s *search) sample(z *zone, found []*entry) []*entry {
	from := positionOf(s.need)
	want := len(found) + s.limit
	for g := from.group; g < groupCount && len(found) < want; g++ {
		found = s.certain(z, g, from, found, want)
		if len(found) < want {
			found = s.boundary(z, g, from, found, want)
		}
	}
	return found
}

// certain draws from the cells in which every host has room.
func (s *search) certain(z *zone, g int, from position, found []*entry, want int) []*entry {
	if g == from.group && g >= 3 {
		return found
	}
	s.cells = s.cells[:0]
	total := 0
	for row := from.row + 1; row < classCount; row++ {
		for set := z.rows[g][row] & above(from.column+1); set != 0; set &= set - 1 {
			cell := z.cells[g][row][bits.TrailingZeros32(set)]
			s.cells = append(s.cells, cell)
			total += len(cell)
		}
	}
	return s.draw(total, found, want)
}

func above(column int) uint32 { return allClasses &^ (1<<column - 1) }

// draw takes hosts at even distances from a random start, so that every host
// of the cells is equally likely.
func (s *search) draw(total int, found []*entry, want int) []*entry {
	n := min(total, want-len(found))
	if n == 0 {
		return found
	}
	start := s.random(total)
	for i := range n {
		found = append(found, s.nth((start+i*total/n)%total))
	}
	s.looked += n
	return found
}

func (s *search) nth(i int) *entry {
	for _, cell := range s.cells {
		if i < len(cell) {
			return cell[i]
		}
		i -= len(cell)
	}
	return nil
}

// boundary looks at a bounded number of hosts in the cells in which only some
// hosts have room. The random start makes sure that a task that is tried again
// sees every host sooner or later.
func (s *search) boundary(z *zone, g int, from position, found []*entry, want int) []*entry {
	probes := probeLimit
	for row := from.row; row < classCount; row++ {
		set := z.rows[g][row] & above(from.column)
		if row > from.row && (g != from.group || g < 3) {
			set &= 1 << from.column
		}
		for ; set != 0 && probes > 0 && len(found) < want; set &= set - 1 {
			cell := z.cells[g][row][bits.TrailingZeros32(set)]
			start := s.random(len(cell))
			for i := 0; i < len(cell) && probes > 0 && len(found) < want; i++ {
				e := cell[(start+i)%len(cell)]
				probes--
				s.looked++
				if s.need.Fits(e.free()) {
					found = append(found, e)
				}
			}
		}
	}
	return found
}
