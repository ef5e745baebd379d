package hvcell

import (
	"math"

	"hibiscusvane.example/hibiscusvane/hvfair"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Depths of accounts: a service is divided between queues, a queue between the zones of
// callers, and a zone between sizes of jobs.
const (
	depthService = iota
	depthQueue
	depthZone
	depthSize
)

// accountKey identifies an account; fields below its depth are empty. Long-running tasks
// have accounts of their own, as they hold capacity for good.
type accountKey struct {
	depth       int
	service     string
	longRunning bool
	queue, zone string
	size        hvfair.Size
}

// parent returns the key of the account that an account is a part of.
func (k accountKey) parent() accountKey {
	switch k.depth--; k.depth {
	case depthZone:
		k.size = 0
	case depthQueue:
		k.zone = ""
	case depthService:
		k.queue = ""
	}
	return k
}

// account is what a group of jobs uses of the capacity of a service.
type account struct {
	key      accountKey
	parent   *account
	children []*account
	used     hvfair.Amount
	// priority is that of the queue.
	priority int
	// waiting is true if work of the group waits, and floor the part of the capacity that
	// it then has a claim to. Both are set under contention only.
	waiting bool
	floor   float64
	// capacity is what the accounts of a service share.
	capacity hvfair.Amount
}

// accountOf returns the account for a step, and creates it if needed.
func (c *Cell) accountOf(s *step) *account {
	j := s.round.job
	if a := s.sharing.account; a != nil && a.key.service == j.queue.Service {
		return a
	}
	s.sharing.account = c.account(accountKey{depthSize, j.queue.Service, s.spec.LongRunning, j.Queue, j.Zone, j.size})
	return s.sharing.account
}

func (c *Cell) account(k accountKey) *account {
	if a := c.sharing.accounts[k]; a != nil {
		return a
	}
	a := &account{key: k}
	if k.depth > depthService {
		a.parent = c.account(k.parent())
		a.parent.children = append(a.parent.children, a)
	}
	c.sharing.accounts[k] = a
	c.sharing.order = append(c.sharing.order, a)
	return a
}

// countUse adds a run to the accounts of its step, or with sign -1 removes it.
func (c *Cell) countUse(r *run, sign int64) {
	if !c.options.Policy.Sharing {
		return
	}
	if r.account == nil {
		r.account = c.accountOf(r.task.step)
	}
	use := usedBy(r.task.step.spec)
	for i := range use {
		use[i] *= sign
	}
	for a := r.account; a != nil; a = a.parent {
		a.used = a.used.Add(use)
	}
}

// usedBy returns what a task uses of the shared capacity, allocated or not.
func usedBy(s *hvjob.Step) hvfair.Amount {
	return hvfair.Amount{s.Need.CPU, s.Need.Memory, s.Need.GPU}
}

// setFloors divides the capacity of each service between the queues, zones and sizes with
// waiting work.
func (c *Cell) setFloors(list []candidate) {
	for _, a := range c.sharing.order {
		a.waiting, a.floor = false, 0
	}
	for _, cand := range list {
		leaf := c.accountOf(cand.step)
		leaf.parent.parent.priority = cand.step.round.job.queue.Priority
		for a := leaf; a != nil; a = a.parent {
			a.waiting = true
		}
	}
	c.setCapacities()
	for _, a := range c.sharing.order {
		// Parents are created, and so get their floors, before their parts.
		if a.waiting && a.key.depth == depthService {
			a.floor = 1
		}
		if a.waiting {
			a.divideFloor()
		}
	}
}

// divideFloor divides the floor of an account between its parts with waiting work: by
// weight between queues, and equally between zones and sizes.
func (a *account) divideFloor() {
	var priorities []int
	for _, child := range a.children {
		if child.waiting {
			priorities = append(priorities, child.priority)
		}
	}
	weights := make([]float64, len(a.children))
	for i, child := range a.children {
		if child.waiting {
			weights[i] = hvfair.Weight(child.priority, priorities)
		}
	}
	for i, f := range hvfair.Floors(a.floor, weights) {
		a.children[i].floor = f
	}
}

// setCapacities sets the capacity that the accounts of each service share. What
// long-running tasks hold is not left to others, except for the processors that serving
// tasks do not use.
func (c *Cell) setCapacities() {
	all, lent := map[string]hvfair.Amount{}, map[string]hvfair.Amount{}
	for _, h := range c.hosts {
		if h.connected && h.announced && !h.info.Draining && !c.isEvacuated(h) {
			s, total := h.info.Service, h.info.Capacity
			all[s] = all[s].Add(hvfair.Amount{total.CPU, total.Memory, total.GPU})
			lent[s] = lent[s].Add(hvfair.Amount{int64(float64(h.servingCPU) * (1 - servingUtilization))})
		}
	}
	for _, a := range c.sharing.order {
		if a.key.depth != depthService {
			continue
		}
		a.capacity = all[a.key.service]
		if other := c.sharing.accounts[accountKey{service: a.key.service, longRunning: true}]; other != nil && other != a {
			a.capacity = a.capacity.Sub(other.used).Add(lent[a.key.service])
		}
	}
}

// position is the used part of the floors of a queue, zone and size.
type position struct{ queue, zone, size float64 }

// positions returns the position of work of an account of depthSize.
func (a *account) positions() position {
	zone := a.parent
	return position{zone.parent.position(), zone.position(), a.position()}
}

func (a *account) position() float64 { return hvfair.Position(a.fraction(a.used), a.floor) }

// fraction returns the largest part of a resource of the service that an amount is.
func (a *account) fraction(amount hvfair.Amount) float64 {
	return hvfair.Dominant(amount, a.service().capacity)
}

func (a *account) service() *account {
	for a.parent != nil {
		a = a.parent
	}
	return a
}

// tasksToFloor returns how many tasks of a step may start until one of the floors down
// from the queue to a depth is reached.
func (a *account) tasksToFloor(s *hvjob.Step, depth int) int {
	n, size := math.MaxInt, a.fraction(usedBy(s))
	for ; a.key.depth > depthService; a = a.parent {
		if a.key.depth <= depth {
			n = min(n, hvfair.Tasks(a.fraction(a.used), a.floor, size))
		}
	}
	return n
}

// tasksToFloor returns how many tasks of the step may start until one of the floors down to
// a depth is reached. Preempted tasks go first in their queue, so only its floor counts for
// them.
func (s *step) tasksToFloor(depth int) int {
	a := s.sharing.account
	n := a.tasksToFloor(s.spec, depth)
	if exempt := s.exemptWaiting(); n < exempt {
		n = min(exempt, a.tasksToFloor(s.spec, depthQueue))
	}
	return n
}

// classifyJob returns the size class of a new job.
func (c *Cell) classifyJob(j hvjob.Job) hvfair.Size {
	if !c.options.Policy.Sharing {
		return hvfair.Usual
	}
	sizes := c.sharing.sizes[j.Queue]
	if sizes == nil {
		sizes = &hvfair.Sizes{}
		c.sharing.sizes[j.Queue] = sizes
	}
	work := 0.0
	for _, s := range j.Steps {
		work += float64(s.Count) * float64(max(s.Estimate, 1)) * cores(s.Need)
	}
	return sizes.Classify(work)
}

// gpuCores is the number of cores that one accelerator counts for.
const gpuCores = 8

// cores returns the processors of a need, in cores, with its accelerators.
func cores(need hvjob.Resources) float64 {
	return float64(need.CPU)/hvorder.CoreScale + gpuCores*float64(need.GPU)
}
