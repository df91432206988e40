package queue

import "container/heap"

// taskHeap is a heap of the waiting tasks of one row, the first to start on top.
type taskHeap []*queuedTask

// queuedTask is a task that the Queue holds, waiting or running.
type queuedTask struct {
	Task
	row   *rowState
	index int // in the taskHeap, while it waits
}

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].earlier(&h[j].Task) }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface; use add.
func (h *taskHeap) Push(x any) {
	w := x.(*queuedTask)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface; use remove.
func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *taskHeap) add(w *queuedTask)    { heap.Push(h, w) }
func (h *taskHeap) remove(w *queuedTask) { heap.Remove(h, w.index) }
