package queue

import "container/heap"

// taskHeap orders the waiting tasks of one row and finds each by its index.
type taskHeap []*waiting

// waiting is a task in a taskHeap.
type waiting struct {
	Task
	row   *rowState
	index int
}

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].earlier(&h[j].Task) }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is for package heap.
func (h *taskHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is for package heap.
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *taskHeap) add(w *waiting)    { heap.Push(h, w) }
func (h *taskHeap) remove(w *waiting) { heap.Remove(h, w.index) }
