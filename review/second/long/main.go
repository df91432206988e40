// Command long searches for faults of the core after some thousand reads and changes of the configuration, when
// its log has been replaced by a snapshot.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.Main([]int{1, 1, 1}, 1, play) }

func read(d *stand.Deployment, n *stand.Node) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return stand.Call(ctx, "GET", "http://"+n.ControlAddr()+"/api/Config.Read", "", nil, nil)
}

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	v := stand.Held
	version := 1
	change := func(rows int) {
		version += 3
		qs := []string{"warm", "q"}
		for i := range rows {
			qs = append(qs, fmt.Sprintf("x%d-%d", version, i))
		}
		if !d.Replace(stand.Config(version, qs...), 10*time.Second) {
			d.Record.Printf("broken: no acknowledgement of %d", version)
			v = stand.Broken
		}
	}
	check := func(when string) {
		for _, n := range d.Cores {
			if n.Alive() {
				st, text := 0, ""
				for range 40 {
					if st, text = read(d, n); st == 200 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				good := strings.Contains(text, fmt.Sprintf(`"Version":%d`, version))
				d.Record.Printf("%s: read at %s: %d, has version %d: %v", when, n.Name, st, version, good)
				if !good {
					d.Record.Printf("broken: %.200s", text)
					v = stand.Broken
				}
			}
		}
	}
	reads := func(count int) {
		var wg sync.WaitGroup
		for k := range 16 {
			wg.Go(func() {
				for range count / 16 {
					_, _ = read(d, d.Cores[k%3])
				}
			})
		}
		wg.Wait()
	}
	for round := range 3 {
		for range 40 {
			change(40)
		}
		reads(2200)
		change(100)
		check(fmt.Sprintf("round %d", round))
		d.Cores[round%3].Kill()
		reads(500)
		change(30)
		reads(1600)
		_ = d.Cores[round%3].Start(false)
		time.Sleep(3 * time.Second)
		check("after a restart behind a snapshot")
		for _, n := range d.Cores {
			n.Signal(syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range d.Cores {
			_ = n.Start(false)
		}
		time.Sleep(3 * time.Second)
		check("after a kill of all")
	}
	// A new core machine with an empty disk; the third one is gone for good.
	fresh := d.AddCore("zone-c")
	_ = fresh.Start(false)
	time.Sleep(4 * time.Second)
	d.Cores[2].Signal(syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	check("after a replacement")
	d.Cores[0].Kill()
	change(5)
	check("with the new one and another")
	return v
}
