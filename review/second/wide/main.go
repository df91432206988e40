// Command wide searches for faults with jobs of 2,000 small tasks.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.SetSlots(320); stand.Main([]int{2, 2, 2}, 8, play) }

func rss(d *stand.Deployment) string {
	s := ""
	for _, n := range d.Fronts {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
		for l := range strings.Lines(string(b)) {
			if strings.HasPrefix(l, "VmRSS") || strings.HasPrefix(l, "VmHWM") {
				s += strings.TrimSpace(l) + " "
			}
		}
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID()))
		s += fmt.Sprint(len(fds), "; ")
	}
	return s
}

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	var wg sync.WaitGroup
	for k := range 6 {
		wg.Go(func() {
			_, _ = d.Submit(d.Fronts[k%6], "q", fmt.Sprintf("%016x", 0xabc000+k), 8*time.Second, stand.Job(300, 50, 2000))
		})
	}
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		d.Record.Printf("%s", rss(d))
	}
	wg.Wait()
	for k := range 6 {
		_, _ = d.Submit(d.Fronts[k], "q", fmt.Sprintf("%016x", 0xabd000+k), 2*time.Second, stand.Job(300, 50, 2))
	}
	for _, n := range d.Fronts {
		if !n.Alive() {
			d.Record.Printf("broken: %s ended", n.Name)
			return stand.Broken
		}
	}
	return stand.Held
}
