package hvadmit

import "container/heap"

// flowHeap is a heap of flows ordered by less. Each flow stores its index in
// each heap, so that an update takes O(log n).
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
	*h.index(f) = notInHeap
	return f
}

// notInHeap is the index of a flow that is not in a heap.
const notInHeap = -1

// update adds f to the heap, moves it to its position or removes it, so that f
// is in the heap if and only if member is true.
func (h *flowHeap) update(f *flow, member bool) {
	i := *h.index(f)
	switch {
	case member && i == notInHeap:
		heap.Push(h, f)
	case member:
		heap.Fix(h, i)
	case i != notInHeap:
		heap.Remove(h, i)
	}
}

// first returns the first flow, or nil if the heap is empty.
func (h *flowHeap) first() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

func newStartTagHeap(index func(f *flow) *int) flowHeap {
	return flowHeap{less: func(a, b *flow) bool { return a.startTag < b.startTag }, index: index}
}

// newQueueLengthHeap returns a heap with the longest queue relative to the
// weight first.
func newQueueLengthHeap(index func(f *flow) *int) flowHeap {
	return flowHeap{less: func(a, b *flow) bool { return a.weightedLength(0) > b.weightedLength(0) }, index: index}
}
