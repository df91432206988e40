package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Start is a task that a runner has begun.
type Start struct {
	At     time.Time
	Runner string
	Task   string
	Run    int
	Spec   string
}

// Book has all starts and ends of all runners of a case.
type Book struct {
	Record *Record
	mu     sync.Mutex
	starts []Start
	// running has the tasks at work, by runner and task.
	running map[string]map[string]int
	twice   []string
}

// Twice returns the starts of tasks that were at work on another runner at that moment.
func (b *Book) Twice() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.twice...)
}

// NewBook returns an empty Book.
func NewBook(r *Record) *Book { return &Book{Record: r, running: make(map[string]map[string]int)} }

// Starts returns the starts of a job's tasks.
func (b *Book) Starts(job string) []Start {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Start
	for _, s := range b.starts {
		if strings.HasPrefix(s.Task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// Running returns the tasks of a job that are at work now, with their runners.
func (b *Book) Running(job string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for runner, tasks := range b.running {
		for task := range tasks {
			if strings.HasPrefix(task, job+".") {
				list = append(list, task+" on "+runner)
			}
		}
	}
	return list
}

func (b *Book) begin(s Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts = append(b.starts, s)
	for other, tasks := range b.running {
		if run, ok := tasks[s.Task]; ok && other != s.Runner {
			b.twice = append(b.twice, fmt.Sprintf("%s, run %d, was at work on %s when %s started it as run %d", s.Task, run, other, s.Runner, s.Run))
			b.Record.Printf("two runs at the same time: %s", b.twice[len(b.twice)-1])
		}
	}
	if b.running[s.Runner] == nil {
		b.running[s.Runner] = make(map[string]int)
	}
	b.running[s.Runner][s.Task] = s.Run
	b.Record.Printf("%s starts %s, run %d", s.Runner, s.Task, s.Run)
}

func (b *Book) end(runner, task string, run int, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[runner], task)
	b.Record.Printf("%s ends %s, run %d: %s", runner, task, run, how)
}

type work struct {
	run           int
	need          [3]int
	began, endsAt time.Time
}

// Runner is a stand-in for a runner that guards its capacity by a number of slots.
type Runner struct {
	ID, Zone string
	book     *Book
	d        *Deployment
	listener net.Listener
	server   *http.Server
	stop     chan struct{}

	mu       sync.Mutex
	born     time.Time
	fence    int64
	lease    time.Time
	running  map[string]work
	highest  map[string]int
	ended    []any
	lastEnd  int
	wake     chan struct{}
	seq      int
	draining bool
}

// SetSlots sets how many tasks a runner takes at once.
func SetSlots(n int) { slots = n }

// slots is how many tasks a runner takes at once.
var slots = 8

// NewRunner starts a runner.
func NewRunner(d *Deployment, b *Book, id, zone string) (*Runner, error) {
	l, err := net.Listen("tcp", d.nextIP()+":0")
	if err != nil {
		return nil, err
	}
	w := &Runner{
		ID: id, Zone: zone, book: b, d: d, listener: l, stop: make(chan struct{}), born: time.Now(),
		running: make(map[string]work), highest: make(map[string]int), wake: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.tick()
	go w.heartbeats()
	return w, nil
}

// Close ends the runner.
func (w *Runner) Close() {
	close(w.stop)
	_ = w.server.Close()
}

// Drain has the runner say from now on that it drains, beginning with a heartbeat at once.
func (w *Runner) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

func (w *Runner) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *Runner) tick() {
	t := time.NewTicker(2 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-t.C:
			w.mu.Lock()
			w.endDue(now)
			w.mu.Unlock()
		}
	}
}

func (w *Runner) endDue(now time.Time) {
	for task, r := range w.running {
		switch {
		case !now.Before(r.endsAt):
			w.finish(task, "done")
		case now.After(w.lease):
			w.finish(task, "lapsed")
		}
	}
}

func (w *Runner) finish(task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.run, how, ""})
	w.book.end(w.ID, task, r.run, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

type order struct {
	Task              string
	Run               int
	Spec              string
	DeadlineMs, Fence int64
	SeenUpto          int
	WaitMs            int64
}

// ServeHTTP serves run-start, run-stop and hold.
func (w *Runner) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, "{}", http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.ID {
		http.Error(rw, "{}", http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDue(time.Now())
	reply := map[string]any{}
	status, reason := http.StatusOK, ""
	switch {
	case o.Fence < w.fence:
		reason = "fence"
	case r.URL.Path == "/api/run-start":
		w.fence = o.Fence
		reason = w.start(o)
	case r.URL.Path == "/api/run-stop":
		w.fence = o.Fence
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if at, ok := w.running[o.Task]; ok && at.run <= o.Run {
			w.finish(o.Task, "stopped")
		}
	case r.URL.Path == "/api/hold":
		w.fence = o.Fence
		w.extend(o.DeadlineMs)
		w.hold(r, o, reply)
	default:
		status = http.StatusNotFound
	}
	if reason != "" {
		status, reply["Reason"] = http.StatusConflict, reason
	}
	reply["ClockMs"], reply["born"] = w.clock(), w.born.UnixMilli()
	b, _ := json.Marshal(reply)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func (w *Runner) extend(deadline int64) {
	until := w.born.Add(time.Duration(min(deadline, w.clock()+1000)) * time.Millisecond)
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *Runner) start(o order) (reason string) {
	if o.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if at, ok := w.running[o.Task]; ok && at.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	if len(w.running) >= slots {
		return "room"
	}
	w.highest[o.Task] = o.Run
	ms := 100
	if _, err := fmt.Sscanf(o.Spec, "ms=%d", &ms); err != nil {
		ms = 100
	}
	now := time.Now()
	w.running[o.Task] = work{run: o.Run, began: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond)}
	w.book.begin(Start{now, w.ID, o.Task, o.Run, o.Spec})
	return ""
}

// hold forgets the ends that were seen, waits for one, and lists what runs and what ended.
func (w *Runner) hold(r *http.Request, o order, reply map[string]any) {
	if skip := o.SeenUpto - (w.lastEnd - len(w.ended)); skip > 0 {
		w.ended = w.ended[min(skip, len(w.ended)):]
	}
	if len(w.ended) == 0 && o.WaitMs > 0 {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	now := time.Now()
	running := []any{}
	for task, at := range w.running {
		percent := int(100 * now.Sub(at.began) / at.endsAt.Sub(at.began))
		running = append(running, []any{task, at.run, "", min(100, percent), 1000})
	}
	reply["Running"], reply["Ended"] = running, append([]any{}, w.ended[:min(500, len(w.ended))]...)
}

// heartbeats reports every 1.5 s to a core machine, and to the next one if it does not acknowledge.
func (w *Runner) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	at := 0
	for {
		for range len(w.d.Cores) {
			w.mu.Lock()
			w.seq++
			state := "ready"
			if w.draining {
				state = "draining"
			}
			b, _ := json.Marshal(map[string]any{
				"Service": "desk", "Addr": w.listener.Addr().String(), "Zone": w.Zone, "Version": "v1", "Slots": slots, "State": state, "ColdRemainingMs": 0,
				"Capacity": map[string]int{"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": []string{"a", "r1"}, "ClockMs": w.clock(), "Seq": w.seq, "born": w.born.UnixMilli(),
			})
			w.mu.Unlock()
			n := w.d.Cores[at%len(w.d.Cores)]
			if w.d.apart(w.Zone, n) {
				at++
				continue
			}
			resp, err := client.Post("http://"+n.ControlAddr()+"/api/Instances.Heartbeat/"+w.ID, "application/json", bytes.NewReader(b))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			at++
		}
		select {
		case <-w.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
