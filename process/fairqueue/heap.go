package fairqueue

// flowHeap orders flows by start tag, then by when they became ready. It
// implements heap.Interface.
type flowHeap[T any] []*flow[T]

// Len implements sort.Interface.
func (h flowHeap[T]) Len() int { return len(h) }

// Less implements sort.Interface.
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].readySequence < h[j].readySequence
}

// Swap implements sort.Interface.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	f.heapIndex = -1
	*h = old[:last]
	return f
}
