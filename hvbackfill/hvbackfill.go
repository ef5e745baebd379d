// Package hvbackfill holds the arithmetic of reservations: when the expected ends of
// running work free enough of a host for work that waits, and which other work may use the
// host until then. It has no clock and no state.
package hvbackfill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Endless is the duration of work that does not end by itself, or of which nothing is
// known.
const Endless = time.Duration(math.MaxInt64)

// Amount is an amount of the resources of a host.
type Amount struct {
	// CPU is in thousandths of a core, of the processors that are allocated to tasks.
	CPU int64
	// Unused is in thousandths of a core, of the processors that are left to best-effort
	// tasks.
	Unused int64
	// Memory is in MiB.
	Memory int64
	GPU    int64
}

// Plus returns a + n*b.
func (a Amount) Plus(b Amount, n int64) Amount {
	return Amount{CPU: a.CPU + n*b.CPU, Unused: a.Unused + n*b.Unused, Memory: a.Memory + n*b.Memory, GPU: a.GPU + n*b.GPU}
}

// Max returns the greater of a and b in each dimension.
func (a Amount) Max(b Amount) Amount {
	return Amount{CPU: max(a.CPU, b.CPU), Unused: max(a.Unused, b.Unused), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// Within reports whether a is at most free in each dimension that it needs.
func (a Amount) Within(free Amount) bool {
	return within(a.CPU, free.CPU) && within(a.Unused, free.Unused) && within(a.Memory, free.Memory) && within(a.GPU, free.GPU)
}

func within(need, free int64) bool { return need <= 0 || need <= free }

// Release is an amount that is expected to become free.
type Release struct {
	After  time.Duration
	Amount Amount
}

// Host is what is free on a host now and later.
type Host struct {
	Free Amount
	// Promised is the sum of the promises that were made before.
	Promised Amount
	// Releases is ordered by time.
	Releases []Release
}

// SortReleases orders releases by time.
func SortReleases(list []Release) {
	slices.SortFunc(list, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
}

// Earliest returns the time after which an amount is free beside all promises, and what is
// free beside them then. Releases that are expected at the same time but not needed do not
// count: an overdue run may end any time. It reports false if the releases do not suffice.
func (h *Host) Earliest(need Amount) (after time.Duration, free Amount, ok bool) {
	free = h.Free.Plus(h.Promised, -1)
	if need.Within(free) {
		return 0, free, true
	}
	for i := range h.Releases {
		free = free.Plus(h.Releases[i].Amount, 1)
		if need.Within(free) {
			return h.Releases[i].After, free, true
		}
	}
	return 0, free, false
}

// Demand is what the tasks of a step need at the same time.
type Demand struct {
	// Need is what must be free for one task to start, and Takes what it leaves less of
	// for others. A task that is not best-effort takes unused processors without needing
	// them.
	Need, Takes Amount
	// Count is the number of tasks that start together.
	Count int
}

// On returns what n tasks need on a host. On a host with promises they also leave alone
// what they take without needing it.
func (d Demand) On(h *Host, n int) Amount {
	if h.Promised != (Amount{}) {
		return Amount{}.Plus(d.Takes, int64(n))
	}
	return Amount{}.Plus(d.Need, int64(n))
}

// Slot is a place for one task on the host with this index.
type Slot struct {
	Host  int
	After time.Duration
	// Gathered is true if no single run on the host holds as much as the task needs.
	Gathered bool
}

// AppendSlots appends the places for up to limit tasks of a demand on one host.
func AppendSlots(out []Slot, index int, h *Host, d Demand, limit int) []Slot {
	for n := 1; n <= min(limit, d.Count); n++ {
		after, _, ok := h.Earliest(d.On(h, n))
		if !ok {
			break
		}
		need := d.On(h, n)
		gathered := !slices.ContainsFunc(h.Releases, func(r Release) bool { return need.Within(r.Amount) })
		out = append(out, Slot{Host: index, After: after, Gathered: gathered})
	}
	return out
}

// Choose returns the earliest slots for n tasks, ordered by host, and the time after which
// all of them are free. It changes the order of the slots, and reports false if there are
// too few.
func Choose(slots []Slot, n int) ([]Slot, time.Duration, bool) {
	if n < 1 || len(slots) < n {
		return nil, 0, false
	}
	slices.SortFunc(slots, func(a, b Slot) int { return cmp.Or(cmp.Compare(a.After, b.After), cmp.Compare(a.Host, b.Host)) })
	chosen := slots[:n]
	after := chosen[n-1].After
	slices.SortFunc(chosen, func(a, b Slot) int { return cmp.Compare(a.Host, b.Host) })
	return chosen, after, true
}

// Promise is an amount of a host that is kept for waiting work, which starts after a time.
type Promise struct {
	// Need is what the waiting work needs on the host, and Takes what it takes there.
	Need, Takes Amount
	After       time.Duration
	// Spare is what is free beside the work once there is room for it on this host. Work of
	// several hosts starts later than that, but what is expected to become free on the host
	// until then may be late.
	Spare Amount
}

// Promise adds a promise to n tasks of a demand that start together after a time.
func (h *Host) Promise(d Demand, n int, after time.Duration) Promise {
	p := Promise{Need: Amount{}.Plus(d.Need, int64(n)), Takes: Amount{}.Plus(d.Takes, int64(n)), After: after}
	_, free, _ := h.Earliest(d.On(h, n))
	p.Spare = free.Plus(p.Takes, -1)
	h.Promised = h.Promised.Plus(p.Takes, 1)
	return p
}

// Delays reports whether other work that starts now would keep the promised work waiting:
// it has not ended by then and takes more than is free beside it.
func (p *Promise) Delays(takes Amount, lasts time.Duration) bool {
	if lasts <= p.After {
		return false
	}
	return exceeds(p.Need.CPU, takes.CPU, p.Spare.CPU) || exceeds(p.Need.Unused, takes.Unused, p.Spare.Unused) ||
		exceeds(p.Need.Memory, takes.Memory, p.Spare.Memory) || exceeds(p.Need.GPU, takes.GPU, p.Spare.GPU)
}

// exceeds reports whether more is taken than is spare of what the promise needs.
func exceeds(need, takes, spare int64) bool { return need > 0 && takes > 0 && takes > spare }

// Use records that work has started on the host of a promise, or with n = -1 that its
// start was undone.
func (p *Promise) Use(takes Amount, lasts time.Duration, n int64) {
	if lasts > p.After {
		p.Spare = p.Spare.Plus(takes, -n)
	}
}

// Fulfil records that a promised task has started on the host, or with n = -1 that its
// start was undone.
func (p *Promise) Fulfil(need, takes Amount, n int64) {
	p.Need, p.Takes = p.Need.Plus(need, -n), p.Takes.Plus(takes, -n)
}

// Open reports whether promised work has not started yet.
func (p *Promise) Open() bool {
	return p.Need.CPU > 0 || p.Need.Unused > 0 || p.Need.Memory > 0 || p.Need.GPU > 0
}

// Fit returns how well a task fits on a host, from 0 to 1: 1 less the fraction that stays
// free of the scarcest resource after its start, and less the fraction of the devices that
// stay free if it needs none, as it may leave them without processors.
func Fit(need, free, capacity Amount) float64 {
	rest := 1.0
	rest = min(rest, restFraction(need.CPU, free.CPU, capacity.CPU))
	rest = min(rest, restFraction(need.Memory, free.Memory, capacity.Memory))
	rest = min(rest, restFraction(need.GPU, free.GPU, capacity.GPU))
	if need.GPU == 0 && capacity.GPU > 0 {
		rest += float64(free.GPU) / float64(capacity.GPU)
	}
	return max(1-rest, 0)
}

func restFraction(need, free, capacity int64) float64 {
	if need <= 0 || capacity <= 0 {
		return 1
	}
	return max(float64(free-need)/float64(capacity), 0)
}
