// Command cut-cancel plays review/9: a job is cancelled at a machine of one zone while another zone, whose machine holds the
// job, is cut off with refusals.
package main

import (
	"fmt"
	"sync"
	"time"

	"tamarackpin.example/review/second/stand"
)

const (
	jobs     = 4
	cut      = 5500 * time.Millisecond // for_s of zone_cut, how refuse, in the site's list of troubles
	contact  = 3 * time.Second         // ContactMs
	deadline = 20 * time.Second
)

func main() { stand.MainWithRelays([]int{3, 1, 2}, 4, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	// Fronts 0 to 2 are those of zone-a, 3 is that of zone-b.
	var healed time.Time
	if trouble {
		d.CutZone("zone-b")
		time.AfterFunc(cut, func() {
			d.HealZone()
			healed = time.Now()
		})
	}
	time.Sleep(500 * time.Millisecond)
	var clients sync.WaitGroup
	var mu sync.Mutex
	acked := make(map[string]time.Time)
	for k := range jobs {
		clients.Go(func() {
			id := fmt.Sprintf("5c0e7a21d94b%04x", k)
			var post sync.WaitGroup
			post.Go(func() {
				_, _ = d.Submit(d.Fronts[3], "q", id, deadline, stand.Job(900, 500, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1))
			})
			time.Sleep(time.Second)
			for range 5 {
				if status, _ := d.Cancel(d.Fronts[k%3], "q", id); status == 200 || status == 410 {
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
			late := s.At.Sub(at)
			// Machines of both sides are in touch again ContactMs after the end of the cut.
			if late > stand.CancelMs && s.At.Sub(healed) > contact {
				d.Record.Printf("broken: %s started %s %.3f s after the acknowledgement of the cancel, %.3f s after the end of the cut", s.Runner, s.Task, late.Seconds(), s.At.Sub(healed).Seconds())
				v = stand.Broken
			}
		}
	}
	if len(acked) < jobs {
		d.Record.Printf("only %d of %d cancels were acknowledged", len(acked), jobs)
	}
	return v
}
