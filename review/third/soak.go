package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type sjob struct {
	id       string
	steps    []map[string]any
	spec     string
	label    string
	deadline time.Duration

	mu          sync.Mutex
	attempts    []int
	acked       time.Time // cancel
	completedAt time.Time
}

func init() { plays["soak"] = playSoak }

func envInt(k string, d int) int {
	if v, err := strconv.Atoi(os.Getenv(k)); err == nil {
		return v
	}
	return d
}

func playSoak(d *deployment, _ bool) (broken []string, err error) {
	seed := envInt("SEED", 1)
	rng := rand.New(rand.NewPCG(uint64(seed), 7))
	for i, r := range d.runners {
		if i%5 >= 3 {
			r.labels = []string{"b", r.labels[1]}
		}
	}
	d.guards = os.Getenv("UNGUARDED") == ""
	if err := d.up(); err != nil {
		return nil, err
	}
	total := time.Duration(envInt("SECONDS", 60)) * time.Second
	rate := envInt("RATE", 15)
	stop := time.Now().Add(total)
	var all sync.WaitGroup
	var jm sync.Mutex
	jobs := map[string]*sjob{}
	var sent atomic.Int64
	pick := func(zone int) *machine {
		lists := [][]*machine{d.entries[0:3], d.entries[3:5], d.entries[5:7]}
		l := lists[zone]
		return l[rand.IntN(len(l))]
	}
	for zone := range 3 {
		all.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / float64(rate)))
				j := newSoakJob()
				jm.Lock()
				jobs[j.id] = j
				jm.Unlock()
				sent.Add(1)
				all.Go(func() {
					z := zone
					if rand.IntN(100) < 10 {
						all.Go(func() {
							time.Sleep(time.Duration(rand.IntN(1200)) * time.Millisecond)
							for range 6 {
								a := d.cancel(pick(zone), j.id)
								if a.status/100 == 2 || a.status == 410 {
									j.mu.Lock()
									j.acked = a.at
									j.mu.Unlock()
									return
								}
								time.Sleep(300 * time.Millisecond)
							}
						})
					}
					for range 3 {
						a := d.submitRaw(pick(z), j)
						j.mu.Lock()
						j.attempts = append(j.attempts, a.status)
						if a.status == 200 && a.state == "completed" {
							j.completedAt = a.at
						}
						j.mu.Unlock()
						if a.status != 0 && a.status != 502 && a.status != 504 {
							if a.status/100 == 2 && rand.IntN(100) < 4 {
								time.Sleep(time.Duration(1500+rand.IntN(5000)) * time.Millisecond)
								d.submitRaw(pick(rand.IntN(3)), j)
							}
							return
						}
						time.Sleep(1300 * time.Millisecond)
						if rand.IntN(3) == 0 || os.Getenv("EARLY") != "" {
							z = rand.IntN(3)
						}
					}
				})
			}
		})
	}
	// disruptions
	if os.Getenv("CALM") == "" {
		all.Go(func() { d.disrupt(rng, stop.Add(-3*time.Second), &all) })
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	// checks
	done := map[string]map[string]bool{}
	d.record.mu.Lock()
	for t := range d.record.done {
		id := strings.SplitN(t, ".", 2)[0]
		if done[id] == nil {
			done[id] = map[string]bool{}
		}
		done[id][t] = true
	}
	broken = append(broken, d.record.extra...)
	d.record.mu.Unlock()
	completed, refused, failed, cancelled := 0, 0, 0, 0
	for _, j := range jobs {
		starts := d.record.startsOf(j.id)
		allRefused := len(j.attempts) > 0
		for _, s := range j.attempts {
			allRefused = allRefused && (s == 503 || s == 429)
		}
		if allRefused && len(starts) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s started %d tasks, attempts %v", j.id, len(starts), j.attempts))
		}
		switch {
		case !j.completedAt.IsZero():
			completed++
			n := 0
			for _, s := range j.steps {
				n += s["Count"].(int)
			}
			if len(done[j.id]) != n {
				broken = append(broken, fmt.Sprintf("MIXED: %s completed with %d of %d tasks done", j.id, len(done[j.id]), n))
			}
		case !j.acked.IsZero():
			cancelled++
		case allRefused:
			refused++
		default:
			failed++
		}
		for _, s := range starts {
			if s.labels[0] != j.label && j.label != "" && s.labels[1] != j.label {
				broken = append(broken, fmt.Sprintf("ROUTE: %s on %v", s.task, s.labels))
			}
			if !j.acked.IsZero() && s.at.Sub(j.acked) > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.1f s after cancel", s.task, s.at.Sub(j.acked).Seconds()))
			}
		}
	}
	for _, r := range d.runners {
		if r.life != nil {
			r.life.mu.Lock()
			for _, o := range r.life.overfull {
				broken = append(broken, "LIMIT: "+o)
			}
			r.life.mu.Unlock()
		}
	}
	fmt.Printf("seed %d: %d jobs, %d completed, %d refused, %d failed, %d cancelled, %d starts; broken %d\n", seed, len(jobs), completed, refused, failed, cancelled, len(d.record.starts), len(broken))
	for i, b := range broken {
		if i < 6 {
			fmt.Println("  ", b)
		}
	}
	return broken, nil
}

func newSoakJob() *sjob {
	j := &sjob{id: newID(), deadline: time.Duration(1500+rand.IntN(3500)) * time.Millisecond}
	ms := 40 + rand.IntN(200)
	if rand.IntN(4) == 0 {
		ms = 400 + rand.IntN(800)
	}
	need := capacity{1000 + rand.IntN(6000), 64, 0}
	b, _ := json.Marshal(spec{Ms: ms, Need: need})
	j.spec = string(b)
	n := 1
	if rand.IntN(3) == 0 {
		n = 2 + rand.IntN(2)
	}
	switch rand.IntN(5) {
	case 0:
		j.label = "a"
	case 1:
		j.label = "b"
	}
	if os.Getenv("EARLY") != "" && rand.IntN(2) == 0 {
		j.deadline = time.Duration(150+rand.IntN(1200)) * time.Millisecond
	}
	for i := range n {
		s := map[string]any{"Count": 1 + rand.IntN(5), "Cpu": need.Cpu, "MemMb": need.MemMb, "EstimateMs": ms}
		if i > 0 {
			s["DependsOn"] = []int{i - 1}
		}
		if j.label != "" {
			s["RequiredLabel"] = j.label
		}
		if rand.IntN(4) == 0 {
			s["AntiAffinity"] = 1 + rand.IntN(2)
		}
		j.steps = append(j.steps, s)
	}
	return j
}

func (d *deployment) submitRaw(m *machine, j *sjob) answer {
	d.record.know(j)
	b, _ := json.Marshal(map[string]any{"Spec": j.spec, "BestEffort": true, "Phases": j.steps})
	return d.call(http.MethodPost, m, d.path, j.id, b, j.deadline)
}

func (d *deployment) disrupt(rng *rand.Rand, stop time.Time, all *sync.WaitGroup) {
	busy := map[*machine]bool{}
	var mu sync.Mutex
	take := func(l []*machine) *machine {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, m := range l {
			if busy[m] {
				n++
			}
		}
		if n >= 2 {
			return nil
		}
		m := l[rng.IntN(len(l))]
		if busy[m] {
			return nil
		}
		busy[m] = true
		return m
	}
	give := func(m *machine) { mu.Lock(); busy[m] = false; mu.Unlock() }
	rb := map[*runner]bool{}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(200+rng.IntN(1800)) * time.Millisecond)
		pool := d.entries
		if rng.IntN(5) == 0 {
			pool = d.controls
			mu.Lock()
			n := 0
			for _, m := range d.controls {
				if busy[m] {
					n++
				}
			}
			mu.Unlock()
			if n > 0 {
				continue
			}
		}
		if os.Getenv("RELAYS") != "" && rng.IntN(2) == 0 {
			m := append(append([]*machine{}, d.entries...), d.controls...)[rng.IntN(10)]
			share := 0.3 + 0.7*rng.Float64()
			d.record.note("%d connections to %s go silent", m.peers.silence(share), m.name)
			continue
		}
		switch k := rng.IntN(17); k {
		case 15, 16: // an entry VM is slow
			if m := take(d.entries); m != nil {
				for_, stopped := time.Duration(1500+rng.IntN(4000))*time.Millisecond, time.Duration(30+rng.IntN(60))*time.Millisecond
				all.Go(func() {
					d.record.note("%s is slow for %s, stopped for %s of each 110 ms", m.name, for_, stopped)
					for end := time.Now().Add(for_); time.Now().Before(end); {
						_ = m.command.Process.Signal(syscall.SIGSTOP)
						time.Sleep(stopped)
						_ = m.command.Process.Signal(syscall.SIGCONT)
						time.Sleep(110*time.Millisecond - stopped)
					}
					time.Sleep(time.Second)
					give(m)
				})
			}
		case 13, 14: // runners leave, and start again under their ids
			r := d.runners[rng.IntN(len(d.runners))]
			stay, down := time.Duration(2500+rng.IntN(4000))*time.Millisecond, time.Duration(50+rng.IntN(2000))*time.Millisecond
			mu.Lock()
			ok := !rb[r]
			rb[r] = true
			mu.Unlock()
			if ok {
				all.Go(func() {
					l := r.life
					l.drain()
					time.Sleep(stay)
					r.crash()
					l.mu.Lock()
					d.record.mu.Lock()
					for _, o := range l.overfull {
						if strings.HasPrefix(o, "DRAIN") {
							d.record.extra = append(d.record.extra, o)
						}
					}
					d.record.mu.Unlock()
					l.mu.Unlock()
					time.Sleep(down)
					_ = r.begin()
					time.Sleep(time.Second)
					mu.Lock()
					rb[r] = false
					mu.Unlock()
				})
			}
		case 9: // the entry VMs of a zone, or all, are killed at once
			list := [][]*machine{d.entries[0:3], d.entries[3:5], d.entries[5:7], d.entries}[rng.IntN(4)]
			mu.Lock()
			free := true
			for _, m := range d.entries {
				free = free && !busy[m]
			}
			if free {
				for _, m := range list {
					busy[m] = true
				}
			}
			mu.Unlock()
			if free {
				down := time.Duration(100+rng.IntN(1500)) * time.Millisecond
				all.Go(func() {
					for _, m := range list {
						d.signal(m, syscall.SIGKILL)
					}
					for _, m := range list {
						<-m.done
					}
					time.Sleep(down)
					for _, m := range list {
						_ = d.start(m)
						time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
					}
					time.Sleep(time.Second)
					for _, m := range list {
						give(m)
					}
				})
			}
		case 10: // runners are cut off from control; some crash behind the cut and start again
			r := d.runners[rng.IntN(len(d.runners))]
			for_, down := time.Duration(2000+rng.IntN(3500))*time.Millisecond, time.Duration(20+rng.IntN(1000))*time.Millisecond
			mu.Lock()
			ok := !rb[r]
			rb[r] = true
			mu.Unlock()
			if ok {
				all.Go(func() {
					d.record.note("runner %s is cut off from control", r.id)
					r.cutFromControl.Store(true)
					time.Sleep(300 * time.Millisecond)
					r.crash()
					time.Sleep(down)
					_ = r.begin()
					time.Sleep(for_)
					r.cutFromControl.Store(false)
					time.Sleep(time.Second)
					mu.Lock()
					rb[r] = false
					mu.Unlock()
				})
			}
		case 11, 12: // runners lose the path to one entry VM
			m := d.entries[rng.IntN(len(d.entries))]
			for_ := time.Duration(1000+rng.IntN(4500)) * time.Millisecond
			all.Go(func() {
				d.record.note("runners lose the path to %s for %s", m.name, for_)
				for _, r := range d.runners {
					if rand.IntN(2) == 0 {
						r.cutFromEntry.Store(m)
					}
				}
				time.Sleep(for_)
				for _, r := range d.runners {
					r.cutFromEntry.CompareAndSwap(m, nil)
				}
			})
		case 0, 1:
			if m := take(pool); m != nil {
				down := time.Duration(100+rng.IntN(2500)) * time.Millisecond
				all.Go(func() {
					d.signal(m, syscall.SIGKILL)
					<-m.done
					time.Sleep(down)
					_ = d.start(m)
					time.Sleep(time.Second)
					give(m)
				})
			}
		case 2:
			if m := take(pool); m != nil {
				all.Go(func() { _ = d.restart(m); time.Sleep(time.Second); give(m) })
			}
		case 3, 4:
			if m := take(pool); m != nil {
				for_ := time.Duration(100+rng.IntN(3400)) * time.Millisecond
				all.Go(func() {
					d.signal(m, syscall.SIGSTOP)
					time.Sleep(for_)
					d.signal(m, syscall.SIGCONT)
					time.Sleep(time.Second)
					give(m)
				})
			}
		case 5, 6:
			r := d.runners[rng.IntN(len(d.runners))]
			down := time.Duration(20+rng.IntN(2000)) * time.Millisecond
			mu.Lock()
			ok := !rb[r]
			rb[r] = true
			mu.Unlock()
			if ok {
				all.Go(func() {
					r.crash()
					time.Sleep(down)
					_ = r.begin()
					time.Sleep(time.Second)
					mu.Lock()
					rb[r] = false
					mu.Unlock()
				})
			}
		case 7, 8:
			share, for_ := 0.05+0.45*rng.Float64(), time.Duration(1000+rng.IntN(4500))*time.Millisecond
			late := rng.IntN(2) == 0
			all.Go(func() {
				d.record.note("answers are lost: %.2f late=%v for %s", share, late, for_)
				for _, r := range d.runners {
					if rand.IntN(2) == 0 {
						r.lose.Store(&loss{share, late})
					}
				}
				time.Sleep(for_)
				for _, r := range d.runners {
					r.lose.Store(nil)
				}
			})
		}
	}
}
