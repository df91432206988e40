// Command woken-cancel plays review/8: clients submit jobs and cancel them while the front machine that they reach is
// frozen.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

const (
	jobs     = 1
	deadline = 12 * time.Second
	freeze   = 3500 * time.Millisecond // for_s of node_freeze in the site's list of troubles
)

func main() { stand.Main([]int{3, 2, 2}, 4, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	// The first machine of a zone orders its runners, so the second one only takes in jobs.
	frozen := d.Fronts[1]
	if trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { frozen.Signal(syscall.SIGCONT) })
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	acked := make(map[string]time.Time)
	for k := range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("5c0e7a21d94b%04x", k)
			time.Sleep(time.Duration(100+30*k) * time.Millisecond)
			var post sync.WaitGroup
			post.Go(func() { _, _ = d.Submit(frozen, "q", id, deadline, stand.Job(900, 500, 1, 1, 1, 1, 1, 1, 1)) })
			time.Sleep(time.Second)
			// The platform selects the node by a hash of the client: the cancel reaches the same one. It is repeated until it
			// is acknowledged.
			for range 5 {
				if status, _ := d.Cancel(frozen, "q", id); status == 200 || status == 410 {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			post.Wait()
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	v := stand.Held
	for id, at := range acked {
		for _, s := range b.Starts(id) {
			if late := s.At.Sub(at); late > stand.CancelMs {
				d.Record.Printf("broken: %s started %s %.3f s after the acknowledgement of the cancel", s.Runner, s.Task, late.Seconds())
				v = stand.Broken
			}
		}
	}
	if len(acked) < jobs {
		d.Record.Printf("only %d of %d cancels were acknowledged", len(acked), jobs)
	}
	return v
}
