// Command stops searches for requests that end without an answer around a SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.SetSlots(64); stand.Main([]int{3, 2, 2}, 4, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	for k := range 24 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(k), uint64(time.Now().UnixNano())))
			n := d.Fronts[k%7]
			client := &http.Client{Timeout: 15 * time.Second}
			if k%2 == 0 {
				client.Transport = &http.Transport{DisableKeepAlives: true}
			} else {
				client.Transport = &http.Transport{}
			}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(r.IntN(60)) * time.Millisecond):
				}
				id := fmt.Sprintf("%016x", r.Uint64())
				method, body := "POST", stand.Job(20+r.IntN(300), 200, 1+r.IntN(2))
				if r.IntN(12) == 0 {
					body = stand.Job(4000, 200, 1)
				}
				if r.IntN(6) == 0 {
					method, body = "DELETE", nil
				}
				raw, _ := json.Marshal(body)
				q, _ := http.NewRequestWithContext(context.Background(), method, "http://"+n.FrontAddr()+"/q/"+id, strings.NewReader(string(raw)))
				q.Host = "desk.example"
				q.Header.Set("Deadline-Ms", fmt.Sprint(1500+r.IntN(8000)))
				sent := time.Now()
				resp, err := client.Do(q)
				key := ""
				if err != nil {
					key = "error"
					if took := time.Since(sent); took > 200*time.Millisecond || len(b.Starts(id)) > 0 {
						mu.Lock()
						lost++
						mu.Unlock()
						d.Record.Printf("no answer: %s %s at %s after %.3f s, %d starts: %v", method, id, n.Name, took.Seconds(), len(b.Starts(id)), err)
					}
				} else {
					_, err := io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					key = fmt.Sprint(method, " ", resp.StatusCode)
					if err != nil {
						d.Record.Printf("no whole answer: %s %s: %v", method, id, err)
					}
				}
				mu.Lock()
				counts[key]++
				mu.Unlock()
			}
		})
	}
	for i := range 9 {
		time.Sleep(1500 * time.Millisecond)
		n := d.Fronts[i%7]
		n.Signal(syscall.SIGTERM)
		n.Wait(6 * time.Second)
		d.Record.Printf("%s has ended", n.Name)
		time.Sleep(300 * time.Millisecond)
		_ = n.Start(false)
	}
	close(stop)
	wg.Wait()
	d.Record.Printf("%v, lost %d", counts, lost)
	if lost > 0 {
		return stand.Broken
	}
	return stand.Held
}
