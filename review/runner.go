package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runner is a stand-in for a runner. A task's Spec is "work" and the milliseconds of work of
// a task of each step, as in "work 50,900". All of it restarts empty after a crash.
type Runner struct {
	ID, Addr, Zone, Service string
	Labels                  []string
	Cpu, MemMb              int
	Guards                  bool // it refuses what does not fit
	Controls                func() []string
	// Fate decides what becomes of an order: it is carried out and answered, its answer is
	// lost, or it gets no answer and is carried out after a delay. nil answers all.
	Fate    func(path string, fence int64) (lost bool, delay time.Duration)
	OnStart func(r *Runner, s Start) // called with each start of a task
	// ClockAhead is by how much the time of day of its machine is ahead.
	ClockAhead time.Duration
	OnOver     func(r *Runner, task string, used int) // a start beyond the capacity
	OnDrain    func(r *Runner)                        // draining was acknowledged
	OnEnd      func(r *Runner, task string, run int, how string)

	record   *Record
	life     *life
	lifetime sync.Mutex
}

// Start is a task that a runner has begun.
type Start struct {
	Task   string
	Run    int
	Spec   string
	Born   int64
	Labels []string
	At     time.Time
	// Told is how long before the start a call was first answered with Born; 0 if none was.
	Told time.Duration
}

// life is one incarnation.
type life struct {
	r       *Runner
	born    int64
	began   time.Time
	labels  []string
	server  *http.Server
	stopped chan struct{}

	mu       sync.Mutex
	fence    int64
	deadline int64 // on the runner's clock
	running  map[string]*execution
	past     map[string]int // highest run that was stopped or ended
	ends     []end
	ended    int // number of ends
	wake     chan struct{}
	seq      int
	state    string
	told     time.Time // when a call was first answered with born
}

type execution struct {
	run      int
	began    time.Time
	work     time.Duration
	cpu, mem int
	timer    *time.Timer
	stopping bool
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// NewRunner returns a runner that has not begun.
func (d *Deployment) NewRunner(id, zone, service string, labels ...string) *Runner {
	return &Runner{
		ID: id, Addr: d.RunnerAddress(), Zone: zone, Service: service, Labels: labels, Cpu: 16000, MemMb: 32768, Guards: true, record: d.Record,
		Controls: func() []string {
			var list []string
			for _, v := range d.Cores {
				list = append(list, v.Control())
			}
			return list
		},
	}
}

// Begin starts an incarnation: it listens, and then announces itself at once.
func (r *Runner) Begin() {
	l := &life{
		r: r, born: time.Now().Add(r.ClockAhead).UnixMilli(), began: time.Now(), labels: append([]string(nil), r.Labels...), stopped: make(chan struct{}),
		running: make(map[string]*execution), past: make(map[string]int), wake: make(chan struct{}), state: "ready",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", l.serve(l.start))
	mux.HandleFunc("POST /api/run-stop", l.serve(l.stop))
	mux.HandleFunc("POST /api/hold", l.serve(l.hold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	listener, err := net.Listen("tcp", r.Addr)
	if err != nil {
		r.record.Fail("runner %s: %v", r.ID, err)
	}
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	go l.heartbeats()
	go l.lapses()
	r.lifetime.Lock()
	r.life = l
	r.lifetime.Unlock()
	r.record.Printf("runner %s: begins, born %d, labels %v", r.ID, l.born, l.labels)
}

// Crash ends the incarnation: its connections are closed and what it ran is gone.
func (r *Runner) Crash() {
	r.lifetime.Lock()
	l := r.life
	r.life = nil
	r.lifetime.Unlock()
	if l == nil {
		return
	}
	close(l.stopped)
	_ = l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.running {
		x.timer.Stop()
	}
	l.running = make(map[string]*execution)
	r.record.Printf("runner %s: crashes", r.ID)
}

// Drain announces that the runner leaves.
func (r *Runner) Drain() {
	r.lifetime.Lock()
	defer r.lifetime.Unlock()
	r.life.mu.Lock()
	r.life.state = "draining"
	r.life.mu.Unlock()
}

// Running returns the number of tasks that run.
func (r *Runner) Running() int {
	r.lifetime.Lock()
	l := r.life
	r.lifetime.Unlock()
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1000 }

type orderBody struct {
	Task, Spec        string
	Run               int
	Fence, DeadlineMs int64
	SeenUpto, WaitMs  int
	Checkpoint        string
}

func (l *life) serve(f func(o orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if want := req.Header.Get("Expect-Instance"); want != "" && want != l.r.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		b, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		var o orderBody
		if err := json.Unmarshal(b, &o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if l.r.Fate != nil {
			if lost, delay := l.r.Fate(req.URL.Path, o.Fence); lost || delay > 0 {
				if delay > 0 {
					time.AfterFunc(delay, func() { l.late(req.URL.Path, o) })
					time.Sleep(time.Second) // no answer
				} else {
					f(o)
				}
				panic(http.ErrAbortHandler)
			}
		}
		status, body := f(o)
		l.mu.Lock()
		body["ClockMs"], body["born"] = l.clock(), l.born
		if l.told.IsZero() {
			l.told = time.Now()
		}
		l.mu.Unlock()
		out, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(out)
	}
}

// late carries out an order that got no answer, by the incarnation that is there then.
func (l *life) late(path string, o orderBody) {
	l.r.lifetime.Lock()
	now := l.r.life
	l.r.lifetime.Unlock()
	if now == nil {
		return
	}
	status := 0
	switch path {
	case "/api/run-start":
		status, _ = now.start(o)
	case "/api/run-stop":
		status, _ = now.stop(o)
	case "/api/hold":
		o.WaitMs = 0
		status, _ = now.hold(o)
	}
	if path == "/api/run-start" && status == http.StatusOK {
		l.r.record.Printf("runner %s: late start of %s run %d", l.r.ID, o.Task, o.Run)
	}
}

// checkFence reports whether an order with this fence is obeyed. l.mu is held.
func (l *life) checkFence(fence int64) bool {
	if fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}

// extend prolongs the lease of all that runs. l.mu is held.
func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+HoldMaxMs))
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"Reason": reason}
}

func (l *life) start(o orderBody) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkFence(o.Fence) {
		return refusal("fence")
	}
	if o.DeadlineMs <= l.clock() {
		return refusal("late")
	}
	l.extend(o.DeadlineMs)
	if x := l.running[o.Task]; x != nil && x.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= l.past[o.Task] {
		return refusal("old")
	}
	work, cpu, mem := l.r.need(o)
	if l.r.Guards {
		free := l.r.Cpu
		for _, x := range l.running {
			free -= x.cpu
		}
		if cpu > free {
			return refusal("room")
		}
	}
	if !l.r.Guards && l.r.OnOver != nil {
		used := cpu
		for _, other := range l.running {
			used += other.cpu
		}
		if used > l.r.Cpu {
			l.r.OnOver(l.r, o.Task, used)
		}
	}
	x := &execution{run: o.Run, began: time.Now(), work: work, cpu: cpu, mem: mem}
	l.running[o.Task] = x
	x.timer = time.AfterFunc(work, func() { l.finish(o.Task, x, "done") })
	if l.r.OnStart != nil {
		s := Start{Task: o.Task, Run: o.Run, Spec: o.Spec, Born: l.born, Labels: l.labels, At: time.Now()}
		if !l.told.IsZero() {
			s.Told = time.Since(l.told)
		}
		l.r.OnStart(l.r, s)
	}
	l.r.record.Printf("runner %s: starts %s run %d", l.r.ID, o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

// need returns the work and the room of a task, from the Spec: "work MS,MS.. cpu CPU,CPU..",
// one figure for each step.
func (r *Runner) need(o orderBody) (work time.Duration, cpu, mem int) {
	step := 0
	if parts := strings.Split(o.Task, "."); len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
	}
	figure := func(word string) int {
		fields := strings.Fields(o.Spec)
		for i := 0; i+1 < len(fields); i++ {
			if fields[i] == word {
				list := strings.Split(fields[i+1], ",")
				n, _ := strconv.Atoi(list[min(step, len(list)-1)])
				return n
			}
		}
		return 0
	}
	return time.Duration(figure("work")) * time.Millisecond, figure("cpu"), 64
}

func (l *life) finish(task string, x *execution, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRun(task, x, how)
}

// endRun ends a run unless it has ended. l.mu is held.
func (l *life) endRun(task string, x *execution, how string) {
	if l.running[task] != x {
		return
	}
	x.timer.Stop()
	delete(l.running, task)
	l.past[task] = max(l.past[task], x.run)
	l.ended++
	l.ends = append(l.ends, end{l.ended, task, x.run, how})
	close(l.wake)
	l.wake = make(chan struct{})
	l.r.record.Printf("runner %s: %s run %d ends %s", l.r.ID, task, x.run, how)
	if l.r.OnEnd != nil {
		l.r.OnEnd(l.r, task, x.run, how)
	}
}

func (l *life) stop(o orderBody) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checkFence(o.Fence) {
		return refusal("fence")
	}
	l.past[o.Task] = max(l.past[o.Task], o.Run)
	if x := l.running[o.Task]; x != nil && x.run <= o.Run && !x.stopping {
		x.stopping = true
		time.AfterFunc(20*time.Millisecond, func() { l.finish(o.Task, x, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (l *life) hold(o orderBody) (int, map[string]any) {
	l.mu.Lock()
	if !l.checkFence(o.Fence) {
		l.mu.Unlock()
		return refusal("fence")
	}
	if o.DeadlineMs > 0 {
		l.extend(o.DeadlineMs)
	}
	for len(l.ends) > 0 && l.ends[0].n <= o.SeenUpto {
		l.ends = l.ends[1:]
	}
	wake := l.wake
	waits := len(l.ends) == 0 && o.WaitMs > 0
	l.mu.Unlock()
	if waits {
		select {
		case <-wake:
		case <-l.stopped:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	running, ended := []any{}, []any{}
	for name, x := range l.running {
		percent := 100
		if x.work > 0 {
			percent = min(99, int(100*time.Since(x.began)/x.work))
		}
		running = append(running, []any{name, x.run, "", percent, float64(x.cpu)})
	}
	for _, e := range l.ends[:min(500, len(l.ends))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"Running": running, "Ended": ended}
}

// lapses kills all that runs when the lease has expired.
func (l *life) lapses() {
	for {
		select {
		case <-l.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		l.mu.Lock()
		if l.clock() > l.deadline {
			for task, x := range l.running {
				l.endRun(task, x, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// heartbeats announces the runner at once and then about every HeartbeatMs. A node that
// does not acknowledge within a second is followed by the next one.
func (l *life) heartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		controls := l.r.Controls()
		first := rand.IntN(len(controls))
		for i := range controls {
			select {
			case <-l.stopped:
				return
			default:
			}
			if l.announce(client, controls[(first+i)%len(controls)]) {
				break
			}
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(HeartbeatMs*time.Millisecond - 50*time.Millisecond + time.Duration(rand.IntN(100))*time.Millisecond):
		}
	}
}

func (l *life) announce(client *http.Client, control string) bool {
	l.mu.Lock()
	l.seq++
	body := map[string]any{
		"Service": l.r.Service, "Addr": l.r.Addr, "Zone": l.r.Zone, "Version": "v1", "Slots": 8, "State": l.state, "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": l.r.Cpu, "MemMb": l.r.MemMb, "Gpu": 0}, "Labels": l.labels, "ClockMs": l.clock(), "Seq": l.seq, "born": l.born,
	}
	state := l.state
	l.mu.Unlock()
	b, _ := json.Marshal(body)
	resp, err := client.Post(fmt.Sprintf("http://%s/api/Instances.Heartbeat/%s", control, l.r.ID), "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if state == "draining" && resp.StatusCode == http.StatusOK {
		l.r.record.Printf("runner %s: draining acknowledged by %s", l.r.ID, control)
		if l.r.OnDrain != nil {
			l.r.OnDrain(l.r)
		}
	}
	return resp.StatusCode/100 == 2
}
