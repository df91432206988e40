package experiment

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// Bound is what no dispatcher can beat by much: for a trace, one all-knowing
// queue over the targets of each failure domain, without messages, that binds the
// next task only when a slot is free. Urgent tasks go first, then the earliest
// deadline, then the shortest; the fastest free slot is taken.
type Bound struct {
	Domains []int     // entry VMs in each failure domain
	Speeds  []float64 // of the targets in each failure domain
	Slots   int       // of each target
	Reserve int       // slots of each failure domain that only urgent tasks take, of the fastest targets
}

// job is one task in the model.
type job struct {
	event   int
	arrived time.Duration
	work    time.Duration
	urgent  bool
	due     time.Duration
}

// waitingJobs is a heap of what waits.
type waitingJobs []job

func (w waitingJobs) Len() int { return len(w) }
func (w waitingJobs) Less(i, j int) bool {
	a, b := w[i], w[j]
	if a.urgent != b.urgent {
		return a.urgent
	}
	if a.due != b.due {
		return a.due < b.due
	}
	return a.work < b.work
}
func (w waitingJobs) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push is for package heap.
func (w *waitingJobs) Push(x any) { *w = append(*w, x.(job)) }

// Pop is for package heap.
func (w *waitingJobs) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}

// ending is a task that runs.
type ending struct {
	at     time.Duration
	event  int
	target int
	urgent bool
}

// endings is a heap of what runs, by its end.
type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is for package heap.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop is for package heap.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Ratios returns response time against the ideal, in hundredths, by kind. Events
// come to failure domains as a player with this seed sends them.
func (b Bound) Ratios(t trace.Trace, seed uint64) map[party.Kind]*report.Histogram {
	entries := 0
	for _, n := range b.Domains {
		entries += n
	}
	random := rand.New(rand.NewPCG(seed, 0))
	perDomain := make([][]job, len(b.Domains))
	for i, e := range t {
		d := b.domainOf(random.IntN(entries))
		for _, w := range e.Work {
			perDomain[d] = append(perDomain[d], job{event: i, arrived: e.At.Std(), work: w.Std(), urgent: e.Urgent, due: e.At.Std() + e.Deadline.Std()})
		}
	}
	ends := make([]time.Duration, len(t))
	for _, jobs := range perDomain {
		b.run(jobs, ends)
	}
	return b.sum(t, ends)
}

func (b Bound) domainOf(entry int) int {
	for d, n := range b.Domains {
		if entry < n {
			return d
		}
		entry -= n
	}
	return len(b.Domains) - 1
}

// run plays the jobs of one failure domain, in the order of their arrival.
func (b Bound) run(jobs []job, ends []time.Duration) {
	free := make([]int, len(b.Speeds))
	for i := range free {
		free[i] = b.Slots
	}
	usual := make([]int, len(b.Speeds))
	var waiting waitingJobs
	var running endings
	next := 0
	for next < len(jobs) || len(running) > 0 {
		now := time.Duration(1<<63 - 1)
		if next < len(jobs) {
			now = jobs[next].arrived
		}
		if len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(ending)
			now = e.at
			free[e.target]++
			if !e.urgent {
				usual[e.target]--
			}
			ends[e.event] = max(ends[e.event], e.at)
		} else {
			heap.Push(&waiting, jobs[next])
			next++
		}
		b.bind(now, &waiting, &running, free, usual)
	}
}

// bind starts what can start now.
func (b Bound) bind(now time.Duration, waiting *waitingJobs, running *endings, free, usual []int) {
	kept := b.kept()
	for len(*waiting) > 0 {
		urgent := (*waiting)[0].urgent
		best := -1
		for i, n := range free {
			if n == 0 || !urgent && usual[i] >= b.Slots-kept[i] {
				continue
			}
			if best < 0 || b.Speeds[i] > b.Speeds[best] {
				best = i
			}
		}
		if best < 0 {
			return
		}
		j := heap.Pop(waiting).(job)
		free[best]--
		if !urgent {
			usual[best]++
		}
		took := time.Duration(float64(j.work) / b.Speeds[best])
		heap.Push(running, ending{at: now + took, event: j.event, target: best, urgent: urgent})
	}
}

// kept returns the slots of each target that only urgent tasks take.
func (b Bound) kept() []int {
	fastest := make([]int, len(b.Speeds))
	for i := range fastest {
		fastest[i] = i
	}
	slices.SortStableFunc(fastest, func(i, j int) int { return cmp.Compare(b.Speeds[j], b.Speeds[i]) })
	kept := make([]int, len(b.Speeds))
	left := b.Reserve
	for _, i := range fastest {
		kept[i] = min(left, b.Slots)
		left -= kept[i]
	}
	return kept
}

func (b Bound) sum(t trace.Trace, ends []time.Duration) map[party.Kind]*report.Histogram {
	fastest := 0.0
	for _, s := range b.Speeds {
		fastest = max(fastest, s)
	}
	ratios := map[party.Kind]*report.Histogram{"all": {}}
	for i, e := range t {
		var longest time.Duration
		for _, w := range e.Work {
			longest = max(longest, w.Std())
		}
		ideal := time.Duration(float64(longest) / fastest)
		if ratios[e.Kind] == nil {
			ratios[e.Kind] = &report.Histogram{}
		}
		ratio := int64(100 * (ends[i] - e.At.Std()) / ideal)
		ratios[e.Kind].Record(ratio)
		ratios["all"].Record(ratio)
	}
	return ratios
}
