// Command cancels searches for cancels that are acknowledged and do not hold.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.Main([]int{3, 2, 2}, 6, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	faults := os.Getenv("FAULTS")
	var seed uint64
	fmt.Sscan(os.Getenv("SEED"), &seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	end := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked := map[string]time.Time{}
	how := map[string]string{}
	var nodeMu sync.Mutex
	fault := func(name string, f func(o *rand.Rand)) {
		if !strings.Contains(faults, name) {
			return
		}
		o := rand.New(rand.NewPCG(seed, uint64(len(name))))
		wg.Go(func() {
			for time.Now().Before(end.Add(-5 * time.Second)) {
				time.Sleep(time.Duration(1000+o.IntN(3000)) * time.Millisecond)
				f(o)
			}
		})
	}
	fault("kill", func(o *rand.Rand) {
		nodeMu.Lock()
		defer nodeMu.Unlock()
		n := d.Fronts[o.IntN(7)]
		n.Kill()
		time.Sleep(time.Duration(200+o.IntN(1500)) * time.Millisecond)
		_ = n.Start(false)
	})
	fault("freeze", func(o *rand.Rand) {
		nodeMu.Lock()
		defer nodeMu.Unlock()
		n := d.Fronts[o.IntN(7)]
		n.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+o.IntN(3000)) * time.Millisecond)
		n.Signal(syscall.SIGCONT)
	})
	fault("core", func(o *rand.Rand) {
		n := d.Cores[o.IntN(3)]
		n.Kill()
		time.Sleep(time.Duration(200+o.IntN(1500)) * time.Millisecond)
		_ = n.Start(false)
	})
	fault("term", func(o *rand.Rand) {
		nodeMu.Lock()
		defer nodeMu.Unlock()
		n := d.Fronts[o.IntN(7)]
		n.Signal(syscall.SIGTERM)
		n.Wait(6 * time.Second)
		_ = n.Start(false)
	})
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * 100 * float64(time.Millisecond)))
		id := fmt.Sprintf("%08x%08x", seed, k)
		own := rand.New(rand.NewPCG(seed, uint64(k)+99))
		wg.Go(func() {
			a, o := d.Fronts[own.IntN(7)], d.Fronts[own.IntN(7)]
			same := own.IntN(3) == 0
			if same {
				o = a
			}
			ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
			defer cancel()
			posted := make(chan string, 1)
			go func() {
				status, text := stand.Call(ctx, "POST", "http://"+a.FrontAddr()+"/q/"+id, "desk.example", map[string]string{"Deadline-Ms": "12000"}, stand.Job(900, 500, 1, 1, 1, 1, 1, 1, 1, 1))
				posted <- fmt.Sprint(status, " ", text)
			}()
			time.Sleep(time.Duration(50+own.IntN(3000)) * time.Millisecond)
			for try := range 6 {
				dctx, c := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				sent := time.Now()
				status, text := stand.Call(dctx, "DELETE", "http://"+o.FrontAddr()+"/q/"+id, "desk.example", nil, nil)
				c()
				d.Record.Printf("DELETE %s at %s (POST at %s), try %d: %d %s after %.3f s", id, o.Name, a.Name, try, status, text, time.Since(sent).Seconds())
				if status == 200 || status == 410 {
					mu.Lock()
					acked[id], how[id] = time.Now(), fmt.Sprintf("DELETE at %s, try %d: %d; POST at %s", o.Name, try, status, a.Name)
					mu.Unlock()
					break
				}
				time.Sleep(300 * time.Millisecond)
				o = d.Fronts[own.IntN(7)]
			}
			d.Record.Printf("POST %s at %s: %s", id, a.Name, <-posted)
		})
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	v := stand.Held
	n := 0
	for id, at := range acked {
		n++
		for _, s := range b.Starts(id) {
			if late := s.At.Sub(at); late > stand.CancelMs {
				d.Record.Printf("broken: %s started %s %.3f s after the cancel was acknowledged (%s)", s.Runner, s.Task, late.Seconds(), how[id])
				v = stand.Broken
			}
		}
	}
	d.Record.Printf("%d cancels acknowledged", n)
	return v
}
