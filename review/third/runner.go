package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// capacity is what a runner has, and what a task needs.
type capacity struct{ Cpu, MemMb, Gpu int }

// runner is a worker of the platform: it runs tasks under leases and announces itself.
type runner struct {
	id, zone, service, address string
	guards                     bool
	record                     *record
	controls                   []string // addresses that serve control

	cutFromControl atomic.Bool // its announcements get no answer
	lose           atomic.Pointer[loss]
	cutFromEntry   atomic.Pointer[machine] // exchanges nothing with it

	mu       sync.Mutex // guards the fields below
	labels   []string
	capacity capacity
	up       bool
	life     *life
}

// loss says which share of the orders gets no answer, and whether these are carried out late.
type loss struct {
	share float64
	late  bool
}

// life is one incarnation of a runner.
type life struct {
	r        *runner
	born     int64
	began    time.Time
	labels   []string
	capacity capacity
	server   *http.Server
	stop     context.CancelFunc
	seq      int
	leaving  atomic.Bool
	soon     chan struct{} // has the next heartbeat sent at once
	ackedAt  atomic.Int64  // when a heartbeat that says draining was acknowledged, in Unix milliseconds; 0 before
	lease    atomic.Int64  // as deadline

	mu       sync.Mutex // guards the fields below
	dead     bool
	fence    int64
	deadline int64 // on its clock
	running  map[string]*taskRun
	highest  map[string]int // run that was started or stopped
	ended    []endRow
	lastEnd  int
	wake     chan struct{}
	overfull []string
}

type taskRun struct {
	run     int
	need    capacity
	took    time.Duration
	startAt time.Time
}

type endRow struct {
	n    int
	task string
	run  int
	how  string
}

// spec is what this review's callers send as Spec: the time of a task and its need, which the
// platform's own runners know by other means.
type spec struct {
	Ms   int      `json:"ms"`
	Need capacity `json:"need"`
}

// begin starts a life of the runner.
func (r *runner) begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	now := time.Now()
	life := &life{
		r: r, born: now.UnixMilli(), began: now, labels: r.labels, capacity: r.capacity, stop: stop,
		running: make(map[string]*taskRun), highest: make(map[string]int), wake: make(chan struct{}), soon: make(chan struct{}, 1),
	}
	life.server = &http.Server{Handler: life}
	r.life, r.up = life, true
	go func() { _ = life.server.Serve(l) }()
	go life.work(ctx)
	go life.announce(ctx)
	r.record.note("runner %s/%d starts at %s with labels %v, capacity %+v", r.id, life.born, r.address, life.labels, life.capacity)
	return nil
}

// crash ends the life of the runner: its connections break, and what it ran is gone.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil {
		return
	}
	l.stop()
	_ = l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	for task, t := range l.running {
		r.record.end(r.id, l.born, task, t.run, "lost with the runner")
	}
	l.running = make(map[string]*taskRun)
	r.life, r.up = nil, false
	r.record.note("runner %s/%d crashes", r.id, l.born)
}

// clock is the reading of the steady clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

// work ends the tasks that are done, and all when the lease has expired.
func (l *life) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		l.mu.Lock()
		l.due(time.Now())
		l.mu.Unlock()
	}
}

func (l *life) due(now time.Time) {
	if l.dead {
		return
	}
	expired := l.clock() > l.deadline
	for task, t := range l.running {
		switch {
		case now.Sub(t.startAt) >= t.took:
			l.end(task, "done")
		case expired:
			l.end(task, "lapsed")
		}
	}
}

func (l *life) end(task, how string) {
	t := l.running[task]
	delete(l.running, task)
	l.lastEnd++
	l.ended = append(l.ended, endRow{l.lastEnd, task, t.run, how})
	l.r.record.end(l.r.id, l.born, task, t.run, how)
	close(l.wake)
	l.wake = make(chan struct{})
}

type order struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      int64
	SeenUpto   int
	WaitMs     int64
}

// ServeHTTP carries out an order.
func (l *life) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Expect-Instance"); id != "" && id != l.r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cut := func() bool { m := l.r.cutFromEntry.Load(); return m != nil && m.drew(o.Fence) }
	if cut() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	lost := false
	if x := l.r.lose.Load(); x != nil && rand.Float64() < x.share {
		lost = true
		if x.late {
			path := q.URL.Path
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() { l.carryOutLate(path, o) })
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		panic(http.ErrAbortHandler)
	}
	l.due(time.Now())
	reason := ""
	var lists bool
	switch {
	case o.Fence < l.fence:
		reason = "fence"
	case q.URL.Path == "/api/run-start":
		l.fence = o.Fence
		reason = l.startTask(o)
	case q.URL.Path == "/api/run-stop":
		l.fence = o.Fence
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if t := l.running[o.Task]; t != nil && t.run <= o.Run {
			l.end(o.Task, "stopped")
		}
	case q.URL.Path == "/api/hold":
		l.fence, lists = o.Fence, true
		l.extend(o.DeadlineMs)
		l.forget(o.SeenUpto)
		if len(l.ended) == 0 && o.WaitMs > 0 {
			wake := l.wake
			l.mu.Unlock()
			select {
			case <-wake:
			case <-q.Context().Done():
			case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
			}
			l.mu.Lock()
			if l.dead {
				panic(http.ErrAbortHandler)
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply := map[string]any{"ClockMs": l.clock(), "born": l.born}
	status := http.StatusOK
	if reason != "" {
		status, reply["Reason"] = http.StatusConflict, reason
	} else if lists {
		running, ended := []any{}, []any{}
		for task, t := range l.running {
			percent := min(100, int(100*time.Since(t.startAt)/max(1, t.took)))
			running = append(running, []any{task, t.run, "", percent, t.need.Cpu})
		}
		for _, e := range l.ended[:min(500, len(l.ended))] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
		reply["Running"], reply["Ended"] = running, ended
	}
	if lost || cut() {
		l.mu.Unlock()
		<-q.Context().Done()
		l.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (l *life) carryOutLate(path string, o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || o.Fence < l.fence {
		return
	}
	l.due(time.Now())
	l.fence = o.Fence
	switch path {
	case "/api/run-start":
		l.startTask(o)
	case "/api/run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if t := l.running[o.Task]; t != nil && t.run <= o.Run {
			l.end(o.Task, "stopped")
		}
	case "/api/hold":
		l.extend(o.DeadlineMs)
		l.forget(o.SeenUpto)
	}
}

// extend moves the expiry of all leases; it never shortens, and is at most a second away.
func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+int64(holdMax/time.Millisecond)))
	l.lease.Store(l.deadline)
}

// expired reports whether the leases here have run out, though the runs may not have been ended yet.
func (l *life) expired() bool { return l.clock() > l.lease.Load() }

func (l *life) forget(upto int) {
	for len(l.ended) > 0 && l.ended[0].n <= upto {
		l.ended = l.ended[1:]
	}
}

func (l *life) startTask(o order) (reason string) {
	if t := l.running[o.Task]; t != nil && t.run == o.Run {
		l.extend(o.DeadlineMs)
		return ""
	}
	if o.Run <= l.highest[o.Task] {
		l.extend(o.DeadlineMs)
		return "old"
	}
	if o.DeadlineMs < l.clock() {
		return "late"
	}
	var s spec
	_ = json.Unmarshal([]byte(o.Spec), &s)
	used := s.Need
	for _, t := range l.running {
		used.Cpu, used.MemMb = used.Cpu+t.need.Cpu, used.MemMb+t.need.MemMb
	}
	l.extend(o.DeadlineMs)
	if used.Cpu > l.capacity.Cpu || used.MemMb > l.capacity.MemMb {
		if l.r.guards {
			return "room"
		}
		l.overfull = append(l.overfull, fmt.Sprintf("%s/%d runs %+v, its capacity is %+v, after the start of %s", l.r.id, l.born, used, l.capacity, o.Task))
	}
	if at := l.ackedAt.Load(); at > 0 && time.Now().UnixMilli()-at > 2000 {
		l.overfull = append(l.overfull, fmt.Sprintf("DRAIN: %s/%d starts %s %d ms after its draining was acknowledged", l.r.id, l.born, o.Task, time.Now().UnixMilli()-at))
		l.r.record.note("DRAIN %s starts %s", l.r.id, o.Task)
	}
	l.highest[o.Task] = o.Run
	l.running[o.Task] = &taskRun{o.Run, s.Need, time.Duration(s.Ms) * time.Millisecond, time.Now()}
	l.r.record.begin(start{at: time.Now(), task: o.Task, run: o.Run, worker: l.r.id, born: l.born, labels: l.labels, service: l.r.service, fence: o.Fence, expired: func() bool { return l.expired() }})
	return ""
}

// announce sends a heartbeat at once and then each heartbeatEvery. One that is not acknowledged is
// sent to the next address.
func (l *life) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	at := int(l.born) % len(l.r.controls)
	for ctx.Err() == nil {
		for range len(l.r.controls) {
			if l.beat(ctx, client, l.r.controls[at]) == nil {
				break
			}
			at = (at + 1) % len(l.r.controls)
		}
		select {
		case <-ctx.Done():
		case <-l.soon:
		case <-time.After(heartbeatEvery):
		}
	}
}

// drain has the runner say that it leaves.
func (l *life) drain() {
	l.leaving.Store(true)
	select {
	case l.soon <- struct{}{}:
	default:
	}
}

var errCut = errors.New("no answer")

func (l *life) beat(ctx context.Context, client *http.Client, control string) error {
	if l.r.cutFromControl.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(client.Timeout):
		}
		return errCut
	}
	l.seq++
	leaving, state := l.leaving.Load(), "ready"
	if leaving {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"Service": l.r.service, "Addr": l.r.address, "Zone": l.r.zone, "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": l.capacity, "Labels": l.labels, "ClockMs": l.clock(), "Seq": l.seq, "born": l.born,
	})
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/api/Instances.Heartbeat/"+l.r.id, bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errCut
	}
	if leaving && l.ackedAt.CompareAndSwap(0, time.Now().UnixMilli()) {
		l.r.record.note("%s/%d is draining, which %s has acknowledged", l.r.id, l.born, control)
	}
	return nil
}
