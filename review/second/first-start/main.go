// Command first-start tries whether the deployment comes up if the process of the first seed is killed in the first
// moments of the first start, and started again with Bootstrap false.
package main

import (
	"fmt"
	"os"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() {
	for _, ms := range []int{30, 60, 100, 150, 200, 300, 500} {
		r, err := stand.NewRecord(os.Args[1] + "/record.txt")
		if err != nil {
			panic(err)
		}
		d, err := stand.New(r, []string{"zone-a", "zone-b", "zone-c"}, []int{1, 1, 1})
		if err != nil {
			panic(err)
		}
		if err := d.StartAll(); err != nil {
			panic(err)
		}
		time.Sleep(time.Duration(ms) * time.Millisecond)
		d.Cores[0].Kill()
		time.Sleep(time.Second)
		_ = d.Cores[0].Start(false)
		at := time.Now()
		ok := d.Replace(stand.Config(1, "q"), 15*time.Second)
		fmt.Printf("killed %d ms after the start of all: configuration acknowledged %v, after %.1f s\n", ms, ok, time.Since(at).Seconds())
		d.Close()
	}
}
