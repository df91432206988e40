// Command thaw plays review/6: a front machine freezes and wakes again. Clients whose jobs it did not answer in time submit them
// again, at machines of the other zones.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

const (
	jobs     = 24
	deadline = 1500 * time.Millisecond // of the sites' requests
	resend   = 1300 * time.Millisecond // ResendMs
	freeze   = 3500 * time.Millisecond // for_s of node_freeze in the site's list of troubles
)

func main() { stand.Main([]int{3, 2, 2}, 4, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	frozen := d.Fronts[1]
	if trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { frozen.Signal(syscall.SIGCONT) })
	}
	var clients sync.WaitGroup
	for k := range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("5c0e7a21d94b%04x", k)
			body := stand.Job(1100, 1000, 2)
			time.Sleep(time.Duration(100+20*k) * time.Millisecond)
			if status, _ := d.SubmitUntil(frozen, "q", id, deadline, body); status == 200 || status == 503 {
				return
			}
			time.Sleep(resend)
			_, _ = d.SubmitUntil(d.Fronts[3+k%4], "q", id, deadline, body)
		})
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	for _, s := range b.Twice() {
		d.Record.Printf("broken: %s", s)
	}
	if len(b.Twice()) > 0 {
		return stand.Broken
	}
	return stand.Held
}
