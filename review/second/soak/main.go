// Command soak searches for broken rules: it submits jobs of several steps, with labels and limits on the tasks of a step on one
// runner, while it kills, stops and freezes processes and crashes runners, and checks what the runners see. It is
// no case; what it finds becomes one.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

type spec struct {
	Ms, CPU int
	Label   []string // by step
	Anti    []int
	Counts  []int
	Deps    [][]int
}

type world struct {
	mu      sync.Mutex
	d       *stand.Deployment
	running map[string]map[string]runInfo // by runner, by task
	done    map[string]bool               // tasks with an end done
	breaks  []string
	jobs    map[string]*jobInfo
	starts  int
	unguard bool
}

type jobInfo struct {
	s         spec
	rejected  bool // all attempts so far were rejected
	accepted  bool
	finished  time.Time // 2xx
	cancelled time.Time
	started   bool
	state     string
}

type runInfo struct {
	run   int
	cpu   int
	since time.Time
}

func (w *world) broke(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	w.breaks = append(w.breaks, s)
	w.d.Record.Printf("BROKEN %s", s)
}

func parseTask(t string) (job string, step, idx int) {
	p := strings.Split(t, ".")
	fmt.Sscan(p[2], &step)
	fmt.Sscan(p[3], &idx)
	return p[0], step, idx
}

// started is called with w.mu free.
func (w *world) started(r *runner, task string, run int, s spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	job, step, _ := parseTask(task)
	for other, tasks := range w.running {
		if at, ok := tasks[task]; ok {
			w.broke("TWICE %s run %d on %s (since %.3f s) and run %d on %s", task, at.run, other, time.Since(at.since).Seconds(), run, r.id)
		}
	}
	for _, dep := range s.Deps[step] {
		for i := range s.Counts[dep] {
			if !w.done[fmt.Sprintf("%s.0.%d.%d", job, dep, i)] {
				w.broke("ORDER %s started before step %d task %d was done", task, dep, i)
			}
		}
	}
	if l := s.Label[step]; l != "" && l != r.kind && l != r.rack {
		w.broke("ROUTE %s wants label %s, started on %s (%s, %s)", task, l, r.id, r.kind, r.rack)
	}
	if a := s.Anti[step]; a > 0 {
		n := 1
		for t := range w.running[r.id] {
			if j, st, _ := parseTask(t); j == job && st == step && t != task {
				n++
			}
		}
		if n > a {
			w.broke("ROUTE %s: %d tasks of the step on %s, limit %d", task, n, r.id, a)
		}
	}
	sum := s.CPU
	for _, at := range w.running[r.id] {
		sum += at.cpu
	}
	if sum > 16000 && w.unguard {
		w.broke("LIMIT %s brings %s to %d of 16000", task, r.id, sum)
	}
	if w.running[r.id] == nil {
		w.running[r.id] = make(map[string]runInfo)
	}
	w.running[r.id][task] = runInfo{run, s.CPU, time.Now()}
	if j := w.jobs[job]; j != nil {
		j.started = true
		if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
			w.broke("UNASKED %s started %.3f s after its cancel was acknowledged", task, time.Since(j.cancelled).Seconds())
		}
	}
	w.d.Record.Printf("%s starts %s run %d", r.id, task, run)
}

func (w *world) ended(r *runner, task string, run int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running[r.id], task)
	if how == "done" {
		w.done[task] = true
	}
	w.d.Record.Printf("%s ends %s run %d: %s", r.id, task, run, how)
}

type task struct {
	run           int
	began, endsAt time.Time
}

type runner struct {
	w                    *world
	id, zone, kind, rack string
	addr                 string
	cpu                  int

	mu       sync.Mutex
	down     bool
	crashing bool
	conns    []*muteConn
	rate     float64
	drainAck time.Time
	draining bool
	born     time.Time
	fence    int64
	lease    time.Time
	running  map[string]task
	specs    map[string]spec
	highest  map[string]int
	ended    []any
	lastEnd  int
	wake     chan struct{}
	seq      int
	drop     float64 // share of orders without an answer
	late     float64 // of these, those that are carried out late rather than at once
	rng      *rand.Rand
	server   *http.Server
}

func (r *runner) reset() {
	r.born, r.fence, r.lease, r.lastEnd, r.ended, r.seq = time.Now(), 0, time.Time{}, 0, nil, 0
	r.running, r.highest, r.wake, r.specs = map[string]task{}, map[string]int{}, make(chan struct{}), map[string]spec{}
}

func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.addr = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(&muteListener{l, r}) }()
	return nil
}

// muteListener accepts connections that can go silent.
type muteListener struct {
	net.Listener
	r *runner
}

func (l *muteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &muteConn{Conn: c}
	l.r.mu.Lock()
	l.r.conns = append(l.r.conns, m)
	l.r.mu.Unlock()
	return m, nil
}

type muteConn struct {
	net.Conn
	mute atomic.Bool
}

func (c *muteConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.mute.Load() {
			return n, err
		}
	}
}

func (c *muteConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silence has the open connections go silent for good; new ones work.
func (r *runner) silence(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		if r.rng.Float64() < share {
			c.mute.Store(true)
		}
	}
	r.conns = nil
}

func (r *runner) clock() int64 { return int64(float64(time.Since(r.born).Milliseconds())*r.rate) + 1 }

func (r *runner) crash(d time.Duration, kind string) {
	r.mu.Lock()
	if r.crashing {
		r.mu.Unlock()
		return
	}
	r.crashing = true
	for t, at := range r.running {
		r.w.ended(r, t, at.run, "gone with its runner")
	}
	r.down = true
	r.reset()
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
	r.w.d.Record.Printf("%s crashes for %s", r.id, d)
	time.Sleep(d)
	r.mu.Lock()
	r.down, r.crashing = false, false
	if kind != "" {
		r.kind = kind
	}
	r.reset()
	r.mu.Unlock()
	for r.listen() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	r.w.d.Record.Printf("%s is back, kind %s", r.id, r.kind)
}

func (r *runner) tick(stop <-chan struct{}) {
	t := time.NewTicker(2 * time.Millisecond)
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			r.mu.Lock()
			r.endDue(now)
			r.mu.Unlock()
		}
	}
}

func (r *runner) endDue(now time.Time) {
	for t, at := range r.running {
		switch {
		case !now.Before(at.endsAt):
			r.finish(t, "done")
		case now.After(r.lease):
			r.finish(t, "lapsed")
		}
	}
}

func (r *runner) finish(t, how string) {
	at := r.running[t]
	delete(r.running, t)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, t, at.run, how, ""})
	r.w.ended(r, t, at.run, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

type order struct {
	Task              string
	Run               int
	Spec              string
	DeadlineMs, Fence int64
	SeenUpto          int
	WaitMs            int64
}

func (r *runner) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		http.Error(rw, "{}", 400)
		return
	}
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		http.Error(rw, "{}", 421)
		return
	}
	r.mu.Lock()
	if r.rng.Float64() < r.drop {
		if r.rng.Float64() < r.late {
			d := time.Duration(2000+r.rng.IntN(10000)) * time.Millisecond
			r.w.d.Record.Printf("%s will carry out %s %s run %d only in %s", r.id, q.URL.Path, o.Task, o.Run, d)
			time.AfterFunc(d, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if !r.down {
					r.execute(q, o, true)
				}
			})
		} else {
			r.execute(q, o, true)
		}
		r.mu.Unlock()
		<-q.Context().Done()
		return
	}
	defer r.mu.Unlock()
	status, reply := r.execute(q, o, false)
	b, _ := json.Marshal(reply)
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func (r *runner) execute(q *http.Request, o order, noWait bool) (int, map[string]any) {
	r.endDue(time.Now())
	reply := map[string]any{}
	status, reason := 200, ""
	switch {
	case o.Fence < r.fence:
		reason = "fence"
	case q.URL.Path == "/api/run-start":
		r.fence = o.Fence
		reason = r.start(o)
	case q.URL.Path == "/api/run-stop":
		r.fence = o.Fence
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if at, ok := r.running[o.Task]; ok && at.run <= o.Run {
			r.finish(o.Task, "stopped")
		}
	default:
		r.fence = o.Fence
		r.extend(o.DeadlineMs)
		if noWait {
			o.WaitMs = 0
		}
		r.hold(q, o, reply)
	}
	if reason != "" {
		status, reply["Reason"] = 409, reason
	}
	reply["ClockMs"], reply["born"] = r.clock(), r.born.UnixMilli()
	return status, reply
}

func (r *runner) extend(dl int64) {
	u := r.born.Add(time.Duration(float64(min(dl, r.clock()+1000))/r.rate*1e6) * time.Nanosecond)
	if u.After(r.lease) {
		r.lease = u
	}
}

func (r *runner) start(o order) string {
	r.extend(o.DeadlineMs)
	if o.DeadlineMs <= r.clock() {
		return "late"
	}
	if at, ok := r.running[o.Task]; ok && at.run == o.Run {
		return ""
	}
	if o.Run <= r.highest[o.Task] {
		return "old"
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		return "room"
	}
	sum := s.CPU
	for t := range r.running {
		sum += r.specs[t].CPU
	}
	if !r.w.unguard && sum > 16000 {
		return "room"
	}
	if late := time.Since(r.drainAck); !r.drainAck.IsZero() && late > 2*time.Second {
		r.w.mu.Lock()
		r.w.broke("DRAIN %s started on %s %.3f s after the acknowledgement", o.Task, r.id, late.Seconds())
		r.w.mu.Unlock()
	}
	r.highest[o.Task] = o.Run
	now := time.Now()
	r.specs[o.Task] = s
	r.running[o.Task] = task{o.Run, now, now.Add(time.Duration(float64(s.Ms)*(0.7+0.6*r.rng.Float64())) * time.Millisecond)}
	r.w.started(r, o.Task, o.Run, s)
	return ""
}

func (r *runner) hold(q *http.Request, o order, reply map[string]any) {
	if skip := o.SeenUpto - (r.lastEnd - len(r.ended)); skip > 0 {
		r.ended = r.ended[min(skip, len(r.ended)):]
	}
	if len(r.ended) == 0 && o.WaitMs > 0 {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
		case <-q.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		r.mu.Lock()
	}
	now := time.Now()
	running := []any{}
	for t, at := range r.running {
		running = append(running, []any{t, at.run, "", min(100, int(100*now.Sub(at.began)/at.endsAt.Sub(at.began))), 1000})
	}
	reply["Running"], reply["Ended"] = running, append([]any{}, r.ended[:min(500, len(r.ended))]...)
}

func (r *runner) heartbeats(stop <-chan struct{}) {
	at := r.rng.IntN(3)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		for range 3 {
			if down {
				break
			}
			r.mu.Lock()
			r.seq++
			state := "ready"
			if r.draining {
				state = "draining"
			}
			b, _ := json.Marshal(map[string]any{"Service": "desk", "Addr": r.addr, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
				"Capacity": map[string]int{"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": []string{r.kind, r.rack}, "ClockMs": r.clock(), "Seq": r.seq, "born": r.born.UnixMilli()})
			r.mu.Unlock()
			resp, err := client.Post("http://"+r.w.d.Cores[at%3].ControlAddr()+"/api/Instances.Heartbeat/"+r.id, "application/json", strings.NewReader(string(b)))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					if state == "draining" {
						r.mu.Lock()
						if r.drainAck.IsZero() {
							r.drainAck = time.Now()
							r.w.d.Record.Printf("%s: its draining is acknowledged", r.id)
						}
						r.mu.Unlock()
					}
					break
				}
			}
			at++
		}
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func main() {
	seed := flag.Uint64("seed", 1, "")
	length := flag.Duration("for", 40*time.Second, "")
	folder := flag.String("folder", ".", "")
	unguard := flag.Bool("unguarded", false, "")
	faults := flag.String("faults", "kill,term,freeze,crash,drop,late,cancel,core,kind", "")
	perZone := flag.Int("runners", 6, "")
	avoid := flag.Bool("avoid", false, "nothing is submitted at a frozen machine")
	var frozen atomic.Pointer[stand.Node]
	leave := flag.Float64("leave", 0, "share of tries whose client leaves early")
	short := flag.Bool("short", false, "deadlines of 1.5 s")
	wide := flag.Int("wide", 5, "most tasks of a step")
	rate := flag.Float64("rate", 25, "jobs a second")
	flag.Parse()
	rec, err := stand.NewRecord(*folder + "/record.txt")
	if err != nil {
		panic(err)
	}
	d, err := stand.New(rec, []string{"zone-a", "zone-b", "zone-c"}, []int{3, 2, 2})
	if err != nil {
		panic(err)
	}
	rng := rand.New(rand.NewPCG(*seed, 7))
	w := &world{d: d, running: map[string]map[string]runInfo{}, done: map[string]bool{}, jobs: map[string]*jobInfo{}, unguard: *unguard}
	has := func(f string) bool { return strings.Contains(","+*faults+",", ","+f+",") }
	stop := make(chan struct{})
	var runners []*runner
	func() {
		defer d.Close()
		if has("silent") {
			if err := d.WithRelays(); err != nil {
				fmt.Println(err)
				return
			}
		}
		if d.StartAll() != nil {
			return
		}
		for _, z := range d.Zones {
			for i := range *perZone {
				r := &runner{w: w, id: fmt.Sprintf("i-%s-%d", z, i), zone: z, kind: []string{"a", "b"}[i%2], rack: fmt.Sprintf("r%d", i/3), addr: d.Address(), rng: rand.New(rand.NewPCG(*seed, uint64(i)))}
				r.rate = []float64{1, 0.981}[rng.IntN(2)]
				r.reset()
				if r.listen() != nil {
					return
				}
				runners = append(runners, r)
				go r.tick(stop)
				go r.heartbeats(stop)
			}
		}
		cfg := stand.Config(1, "q")
		if *unguard {
			cfg["Services"].([]any)[0].(map[string]any)["AdmissionCheck"] = false
		}
		if !d.Replace(cfg, 15*time.Second) {
			return
		}
		time.Sleep(3 * time.Second)
		end := time.Now().Add(*length)
		var wg sync.WaitGroup
		ctx, cancelAll := context.WithCancel(context.Background())
		defer cancelAll()
		var ok, failed, refused, gone atomic.Int64
		// faults
		every := func(name string, least, most time.Duration, f func(r *rand.Rand)) {
			if !has(name) {
				return
			}
			own := rand.New(rand.NewPCG(rng.Uint64(), 3))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					time.Sleep(least + time.Duration(own.Int64N(int64(most-least))))
					if time.Now().After(end.Add(-6 * time.Second)) {
						return
					}
					f(own)
				}
			}()
		}
		var nodeMu sync.Mutex
		every("kill", 2*time.Second, 6*time.Second, func(o *rand.Rand) {
			nodeMu.Lock()
			n := d.Fronts[o.IntN(len(d.Fronts))]
			n.Kill()
			time.Sleep(time.Duration(300+o.IntN(2000)) * time.Millisecond)
			_ = n.Start(false)
			nodeMu.Unlock()
		})
		every("term", 4*time.Second, 9*time.Second, func(o *rand.Rand) {
			nodeMu.Lock()
			n := d.Fronts[o.IntN(len(d.Fronts))]
			n.Signal(syscall.SIGTERM)
			n.Wait(6 * time.Second)
			time.Sleep(200 * time.Millisecond)
			_ = n.Start(false)
			nodeMu.Unlock()
		})
		every("freeze", 3*time.Second, 8*time.Second, func(o *rand.Rand) {
			nodeMu.Lock()
			n := d.Fronts[o.IntN(len(d.Fronts))]
			frozen.Store(n)
			time.Sleep(20 * time.Millisecond)
			n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(400+o.IntN(3000)) * time.Millisecond)
			n.Signal(syscall.SIGCONT)
			frozen.Store(nil)
			nodeMu.Unlock()
		})
		every("core", 5*time.Second, 12*time.Second, func(o *rand.Rand) {
			n := d.Cores[o.IntN(3)]
			n.Kill()
			time.Sleep(time.Duration(300+o.IntN(3000)) * time.Millisecond)
			_ = n.Start(false)
		})
		every("crash", 1500*time.Millisecond, 4*time.Second, func(o *rand.Rand) {
			r := runners[o.IntN(len(runners))]
			kind := ""
			if has("kind") && o.IntN(2) == 0 {
				kind = []string{"a", "b"}[o.IntN(2)]
			}
			r.crash(time.Duration(300+o.IntN(4000))*time.Millisecond, kind)
		})
		every("drop", 2*time.Second, 6*time.Second, func(o *rand.Rand) {
			set := func(x, late float64) {
				for _, r := range runners {
					r.mu.Lock()
					r.drop, r.late = x, late
					r.mu.Unlock()
				}
			}
			late := 0.0
			if has("late") {
				late = 0.5
			}
			d.Record.Printf("orders are dropped")
			set(0.05, late)
			time.Sleep(time.Duration(1000+o.IntN(4000)) * time.Millisecond)
			set(0, 0)
			d.Record.Printf("orders are not dropped any more")
		})
		every("drain", 1*time.Second, 3*time.Second, func(o *rand.Rand) {
			r := runners[o.IntN(len(runners))]
			r.mu.Lock()
			busy := r.draining || r.crashing
			r.draining = true
			r.mu.Unlock()
			if busy {
				return
			}
			d.Record.Printf("%s drains", r.id)
			time.Sleep(6 * time.Second)
			r.mu.Lock()
			r.draining, r.drainAck = false, time.Time{}
			r.mu.Unlock()
			r.crash(time.Second, "")
		})
		every("silent", 3*time.Second, 8*time.Second, func(o *rand.Rand) {
			share := []float64{0.3, 0.6, 1}[o.IntN(3)]
			d.Silence(1 - share)
			for _, r := range runners {
				r.silence(share)
			}
		})
		every("slow", 3*time.Second, 7*time.Second, func(o *rand.Rand) {
			nodeMu.Lock()
			n := d.Fronts[o.IntN(len(d.Fronts))]
			d.Record.Printf("%s is slow", n.Name)
			for until := time.Now().Add(time.Duration(3000+o.IntN(2500)) * time.Millisecond); time.Now().Before(until); {
				n.Quiet(syscall.SIGSTOP)
				time.Sleep(time.Duration(40+o.IntN(50)) * time.Millisecond)
				n.Quiet(syscall.SIGCONT)
				time.Sleep(time.Duration(8+o.IntN(12)) * time.Millisecond)
			}
			d.Record.Printf("%s is not slow any more", n.Name)
			nodeMu.Unlock()
		})
		every("scale", 4*time.Second, 7*time.Second, func(o *rand.Rand) {
			z := d.Zones[o.IntN(3)]
			var list []*runner
			for _, r := range runners {
				if r.zone == z && o.IntN(10) < 6 {
					list = append(list, r)
				}
			}
			down := time.Duration(6000+o.IntN(3000)) * time.Millisecond
			var g sync.WaitGroup
			for _, r := range list {
				g.Go(func() { r.crash(down, "") })
			}
			g.Wait()
		})
		// jobs
		number := 0
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rng.ExpFloat64() / *rate * float64(time.Second)))
			number++
			id := fmt.Sprintf("%08x%08x", *seed, number)
			s := spec{Ms: 50 + rng.IntN(500), CPU: 2000 + rng.IntN(6000)}
			if rng.IntN(10) == 0 {
				s.Ms = 1500
			}
			var phases []any
			for i := range 1 + rng.IntN(3) {
				c := 1 + rng.IntN(*wide)
				label, anti := "", 0
				if rng.IntN(3) == 0 {
					label = []string{"a", "b", "r0", "r1"}[rng.IntN(4)]
				}
				if rng.IntN(2) == 0 {
					anti = 1 + rng.IntN(2)
				}
				p := map[string]any{"Count": c, "Cpu": s.CPU, "MemMb": 64, "EstimateMs": s.Ms}
				deps := []int{}
				if i > 0 && rng.IntN(4) > 0 {
					deps = []int{i - 1}
					p["DependsOn"] = deps
				}
				if label != "" {
					p["RequiredLabel"] = label
				}
				if anti > 0 {
					p["AntiAffinity"] = anti
				}
				s.Label, s.Anti, s.Counts, s.Deps = append(s.Label, label), append(s.Anti, anti), append(s.Counts, c), append(s.Deps, deps)
				phases = append(phases, p)
			}
			b, _ := json.Marshal(s)
			body := map[string]any{"Spec": string(b), "BestEffort": true, "Phases": phases}
			j := &jobInfo{s: s, rejected: true}
			w.mu.Lock()
			w.jobs[id] = j
			w.mu.Unlock()
			own := rand.New(rand.NewPCG(rng.Uint64(), 1))
			deadline := time.Duration(1500+own.IntN(8000)) * time.Millisecond
			if *short {
				deadline = 1500 * time.Millisecond
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 4 {
					n := d.Fronts[own.IntN(len(d.Fronts))]
					for *avoid && frozen.Load() == n {
						n = d.Fronts[own.IntN(len(d.Fronts))]
					}
					patience := deadline
					if own.Float64() < *leave {
						patience = time.Duration(20+own.IntN(1400)) * time.Millisecond
					}
					cctx, cancel := context.WithTimeout(ctx, patience)
					var doCancel *time.Timer
					if has("cancel") && own.IntN(12) == 0 {
						other := d.Fronts[own.IntN(len(d.Fronts))]
						doCancel = time.AfterFunc(time.Duration(20+own.IntN(800))*time.Millisecond, func() {
							dctx, c := context.WithTimeout(ctx, 3*time.Second)
							defer c()
							if status, _ := stand.Call(dctx, "DELETE", "http://"+other.FrontAddr()+"/q/"+id, "desk.example", nil, nil); status == 200 {
								w.mu.Lock()
								j.cancelled = time.Now()
								w.mu.Unlock()
							}
						})
					}
					status, text := stand.Call(cctx, "POST", "http://"+n.FrontAddr()+"/q/"+id, "desk.example", map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, body)
					cancel()
					d.Record.Printf("POST %s at %s: %d %s", id, n.Name, status, text)
					if doCancel != nil {
						doCancel.Stop()
					}
					w.mu.Lock()
					if status == 503 && j.rejected && j.started {
						w.broke("REFUSED %s was refused with 503 and had started", id)
					}
					if status != 503 && status != 429 {
						j.rejected = false
					}
					if status == 200 && strings.Contains(text, "completed") {
						for st, c := range s.Counts {
							for i := range c {
								if !w.done[fmt.Sprintf("%s.0.%d.%d", id, st, i)] {
									w.broke("MIXED %s is shown as completed, task %d.%d has not ended done", id, st, i)
								}
							}
						}
					}
					w.mu.Unlock()
					switch {
					case status == 200:
						ok.Add(1)
						return
					case status == 503:
						refused.Add(1)
						return
					case status == 400 || status == 404:
						failed.Add(1)
						return
					}
					time.Sleep(1300 * time.Millisecond)
				}
				gone.Add(1)
			}()
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		for id, j := range w.jobs {
			if j.rejected && j.started {
				w.broke("REFUSED %s started though all its attempts were rejected", id)
			}
		}
		w.mu.Unlock()
		for _, n := range append(append([]*stand.Node(nil), d.Cores...), d.Fronts...) {
			if !n.Alive() {
				d.Record.Printf("%s has ended by itself", n.Name)
				fmt.Println(n.Name, "has ended by itself")
			}
		}
		fmt.Printf("seed %d: %d jobs, ok %d, refused %d, failed %d, gone %d, starts %d, breaks %d\n", *seed, number, ok.Load(), refused.Load(), failed.Load(), gone.Load(), w.starts, len(w.breaks))
		for _, b := range w.breaks {
			fmt.Println("  ", b)
		}
	}()
	if len(w.breaks) > 0 {
		os.Exit(1)
	}
}
