package hvadmit

import "container/heap"

// flowHeap orders flows by less. Each flow stores its position per heap, so
// that a change costs O(log n).
type flowHeap struct {
	flows []*flow
	less  func(a, b *flow) bool
	index func(f *flow) *int
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool { return h.less(h.flows[i], h.flows[j]) }

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	*h.index(h.flows[i]), *h.index(h.flows[j]) = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	*h.index(f) = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	*h.index(f) = absent
	return f
}

// absent is the position of a flow that is not in a heap.
const absent = -1

// place makes the heap hold f exactly if wanted, in its right position.
func (h *flowHeap) place(f *flow, wanted bool) {
	i := *h.index(f)
	switch {
	case wanted && i == absent:
		heap.Push(h, f)
	case wanted:
		heap.Fix(h, i)
	case i != absent:
		heap.Remove(h, i)
	}
}

// first returns the least flow or nil.
func (h *flowHeap) first() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

func byTag(index func(f *flow) *int) flowHeap {
	return flowHeap{less: func(a, b *flow) bool { return a.tag < b.tag }, index: index}
}

// byLength puts the longest queue for its weight first.
func byLength(index func(f *flow) *int) flowHeap {
	return flowHeap{less: func(a, b *flow) bool { return a.length(0) > b.length(0) }, index: index}
}
