// Command late-copy plays review/7: a job is cancelled, and its POST arrives once more afterwards.
package main

import (
	"time"

	"tamarackpin.example/review/second/stand"
)

const job = "5c0e7a21d94b36f8"

func main() { stand.Main([]int{2, 2, 2}, 2, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	body := stand.Job(2000, 1000, 2, 2)
	first, other := d.Fronts[0], d.Fronts[1]
	type answer struct {
		status int
		at     time.Time
	}
	answered := make(chan answer, 1)
	go func() {
		status, _ := d.Submit(first, "q", job, 12*time.Second, body)
		answered <- answer{status, time.Now()}
	}()
	for end := time.Now().Add(3 * time.Second); len(b.Starts(job)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			d.Record.Printf("the job was not started")
			return stand.NotRun
		}
	}
	time.Sleep(300 * time.Millisecond)
	if status, _ := d.Cancel(other, "q", job); status != 200 {
		d.Record.Printf("the cancel was not acknowledged")
		return stand.NotRun
	}
	acked := time.Now()
	a := <-answered
	if a.status != 200 {
		d.Record.Printf("the POST was not answered with 2xx")
		return stand.NotRun
	}
	time.Sleep(5 * time.Second)
	if trouble {
		// "Occasionally, such a request also arrives seconds after the 2xx response for that ID." Nobody waits for its response.
		go d.Submit(first, "q", job, 12*time.Second, body)
	}
	time.Sleep(4 * time.Second)
	v := stand.Held
	for _, s := range b.Starts(job) {
		if late := s.At.Sub(acked); late > stand.CancelMs {
			d.Record.Printf("broken: %s started %s %.3f s after the acknowledgement of the cancel", s.Runner, s.Task, late.Seconds())
			v = stand.Broken
		}
	}
	for _, t := range b.Running(job) {
		d.Record.Printf("broken: %s is still at work %.3f s after the acknowledgement of the cancel", t, time.Since(acked).Seconds())
		v = stand.Broken
	}
	return v
}
