package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order in which it happened.
type record struct {
	startedAt time.Time

	mu     sync.Mutex // guards the fields below
	file   *os.File
	starts []start
	live   map[string]start // runs at work, by task
	done   map[string]bool  // tasks of which a run ended as done
	known  map[string]*sjob
	extra  []string
}

// start is a task that a worker has begun.
type start struct {
	at      time.Time
	task    string
	run     int
	worker  string
	born    int64
	labels  []string
	service string
	fence   int64
	beside  []string // tasks of other workers' runs of the same task
	expired func() bool
}

func (s start) job() string { return strings.SplitN(s.task, ".", 2)[0] }

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: f, live: make(map[string]start), done: make(map[string]bool), known: make(map[string]*sjob)}, nil
}

func (r *record) close() { _ = r.file.Close() }

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// begin records a start.
func (r *record) begin(s start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, runs := r.live[s.task]; runs && !o.expired() {
		s.beside = append(s.beside, fmt.Sprintf("run %d on %s/%d", o.run, o.worker, o.born))
	}
	r.starts = append(r.starts, s)
	r.check(s)
	r.live[s.task] = s
	r.write("%s/%d starts %s run %d, fence %d", s.worker, s.born, s.task, s.run, s.fence)
}

// end records the end of a run.
func (r *record) end(worker string, born int64, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, runs := r.live[task]; runs && s.worker == worker && s.born == born && s.run == run {
		delete(r.live, task)
	}
	if how == "done" {
		r.done[task] = true
	}
	r.write("%s/%d ends %s run %d: %s", worker, born, task, run, how)
}

// startsOf returns the starts of a job, or all with "".
func (r *record) startsOf(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if job == "" || s.job() == job {
			list = append(list, s)
		}
	}
	return list
}

// workerOf returns a worker that runs a task of a job, or "".
func (r *record) workerOf(job string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.live {
		if s.job() == job {
			return s.worker
		}
	}
	return ""
}

// always returns the breaks of the rules that hold in every case: TWICE for runs at the same time.
func (r *record) always() []string {
	var broken []string
	for _, s := range r.startsOf("") {
		for _, b := range s.beside {
			broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s starts beside %s", s.task, s.run, s.worker, b))
		}
	}
	return broken
}

func (r *record) know(j *sjob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[j.id] = j
}

func (r *record) check(s start) {
	j := r.known[s.job()]
	if j == nil {
		return
	}
	parts := strings.Split(s.task, ".")
	step := int(parts[2][0] - '0')
	for _, dep := range func() []int { l, _ := j.steps[step]["DependsOn"].([]int); return l }() {
		for i := range j.steps[dep]["Count"].(int) {
			if t := fmt.Sprintf("%s.0.%d.%d", j.id, dep, i); !r.done[t] {
				r.extra = append(r.extra, "ORDER: "+s.task+" starts before "+t+" is done")
			}
		}
	}
	if most, _ := j.steps[step]["AntiAffinity"].(int); most > 0 {
		n := 1
		for t, o := range r.live {
			if t != s.task && o.worker == s.worker && o.born == s.born && strings.HasPrefix(t, fmt.Sprintf("%s.0.%d.", j.id, step)) && !o.expired() {
				n++
			}
		}
		if n > most {
			r.extra = append(r.extra, fmt.Sprintf("ROUTE: %s is number %d of %d on %s", s.task, n, most, s.worker))
		}
	}
}
