package queue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// runningTask is a started task of TestBookingsDoNotWaitBehindBursts.
type runningTask struct {
	at      time.Duration // when it ends, from the start of the test
	id      TaskID
	service time.Duration
}

// runningHeap has the task on top that ends first.
type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningTask)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// TestBookingsDoNotWaitBehindBursts simulates bursts of bulk work beside a steady
// flow of bookings, far below their share, on 13 slots: a booking must wait only
// for the next free slots, not for the burst to end (issue 5).
func TestBookingsDoNotWaitBehindBursts(t *testing.T) {
	const seed, slots, speed = 1, 13, 2.0
	r := rand.New(rand.NewPCG(seed, 0))
	q := newQueue(t, row("bulk", 5, false, 1000, 10000), row("zbooking", 10, false, 1000, 10000))
	q.SetSlots(slots)
	type arrival struct {
		at   time.Duration
		p    string
		work time.Duration
	}
	var arrivals []arrival
	nextBooking, nextBurst := time.Duration(0), time.Duration(0)
	for len(arrivals) < 20000 {
		if nextBooking < nextBurst {
			arrivals = append(arrivals, arrival{nextBooking, "zbooking", time.Duration(120 * math.Exp(.4*r.NormFloat64()) * float64(time.Millisecond))})
			nextBooking += time.Duration(r.ExpFloat64() * float64(60*time.Millisecond))
			continue
		}
		for range 40 {
			arrivals = append(arrivals, arrival{nextBurst, "bulk", time.Duration(250 * math.Exp(.9*r.NormFloat64()) * float64(time.Millisecond))})
		}
		nextBurst += time.Duration(r.ExpFloat64() * float64(1500*time.Millisecond))
	}
	work := make(map[TaskID]arrival)
	var running runningHeap
	var waits []time.Duration
	for i := 0; i < len(arrivals) || len(running) > 0; {
		now := time.Duration(math.MaxInt64)
		if i < len(arrivals) {
			now = arrivals[i].at
		}
		if len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(runningTask)
			now = e.at
			q.Done(e.id, e.service)
		} else {
			a := arrivals[i]
			i++
			id := TaskID(i)
			work[id] = a
			expected := 150 * time.Millisecond
			if a.p == "bulk" {
				expected = 375 * time.Millisecond
			}
			if e := q.Add(start.Add(now), Task{ID: id, Key: key(a.p), Deadline: start.Add(now + time.Hour), Expected: expected}); e != nil {
				t.Fatal(e)
			}
		}
		for len(running) < slots {
			task, ok := q.Next(start.Add(now), anyRow)
			if !ok {
				break
			}
			a := work[task.ID]
			q.SetExpected(task.ID, time.Duration(float64(task.Expected)/speed))
			service := time.Duration(float64(a.work) / speed)
			heap.Push(&running, runningTask{now + service, task.ID, service})
			if a.p == "zbooking" {
				waits = append(waits, now-a.at)
			}
		}
	}
	var late int
	var worst time.Duration
	for _, w := range waits {
		worst = max(worst, w)
		if w > 100*time.Millisecond {
			late++
		}
	}
	t.Logf("%d bookings, %d waited over 100ms, the longest %s", len(waits), late, worst)
	if late*100 > len(waits) {
		t.Errorf("%d of %d bookings waited over 100ms, want at most 1 %%", late, len(waits))
	}
}
