package standin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Start is one start of a task on a target.
type Start struct {
	Work       string    `json:"work"` // the id in its body
	Target     string    `json:"target"`
	Submission string    `json:"submission,omitempty"`
	At         time.Time `json:"at"`
}

// Record is every start on some targets. It is safe for concurrent use. The
// zero Record is empty.
type Record struct {
	mu     sync.Mutex // guards all below
	starts map[string][]Start
	last   map[string]time.Time // by target
	count  int
}

// Add takes in a start.
func (r *Record) Add(s Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts == nil {
		r.starts = make(map[string][]Start)
		r.last = make(map[string]time.Time)
	}
	r.last[s.Target] = s.At
	r.starts[s.Work] = append(r.starts[s.Work], s)
	r.count++
}

// Starts returns the starts of one piece of work.
func (r *Record) Starts(work string) []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.starts[work])
}

// Last returns when a target last started a task.
func (r *Record) Last(target string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[target]
}

// Summary is what a Record comes to.
type Summary struct {
	Starts  int       `json:"starts"`
	Works   int       `json:"works"`   // pieces of work started at least once
	Doubled [][]Start `json:"doubled"` // work started more than once, each with its starts
}

// Summary returns the Summary of r.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{Starts: r.count, Works: len(r.starts), Doubled: [][]Start{}}
	for _, work := range slices.Sorted(maps.Keys(r.starts)) {
		if starts := r.starts[work]; len(starts) > 1 {
			s.Doubled = append(s.Doubled, slices.Clone(starts))
		}
	}
	return s
}
