// Command probe tries single situations.
package main

import (
	"os"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.Main([]int{2, 2, 2}, 2, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	switch os.Getenv("PROBE") {
	case "dot":
		for k := range 3 {
			go d.Submit(d.Fronts[0], "q", "a.b"+string(rune('0'+k)), 3*time.Second, stand.Job(500, 1000, 4))
		}
		time.Sleep(8 * time.Second)
		for k := range 3 {
			_, _ = d.Submit(d.Fronts[0], "q", "00000000000000a"+string(rune('0'+k)), 3*time.Second, stand.Job(500, 1000, 2))
		}
	case "queues":
		go d.Submit(d.Fronts[0], "q", "5c0e7a21d94b36f8", 8*time.Second, stand.Job(2000, 1000, 2))
		time.Sleep(300 * time.Millisecond)
		_, _ = d.Submit(d.Fronts[1], "warm", "5c0e7a21d94b36f8", 8*time.Second, stand.Job(100, 1000, 5))
	case "long":
		_, _ = d.Submit(d.Fronts[0], "warm", "5c0e7a21d94b36f8", 15*time.Second, stand.Job(2000, 1000, 1))
	}
	time.Sleep(2 * time.Second)
	return stand.Held
}
