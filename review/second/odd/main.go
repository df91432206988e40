// Command odd searches for crashes by odd heartbeats, configurations and jobs.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.Main([]int{2, 1, 1}, 2, play) }

var odds = []any{nil, "", "x", -1, 0, 1, 1.5, 1e18, 9223372036854775807, -9223372036854775808, true, []any{}, map[string]any{}, []any{1, "a"}, strings.Repeat("z", 5000), "\x00", 1 << 40, deepMark, "127.0.0.1:99999", "127.0.0.1:0"}

// deepMark stands for a list of lists, deeper than package json encodes.
const deepMark = "@deep@"

var deep = []byte(strings.Repeat("[", 20000) + strings.Repeat("]", 20000))

// call posts a document and returns the status, or 0 and the error.
func call(ctx context.Context, url, host string, header map[string]string, doc any) (int, string) {
	b, err := json.Marshal(doc)
	if err != nil {
		return 0, err.Error()
	}
	b = bytes.ReplaceAll(b, []byte(`"`+deepMark+`"`), deep)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	for k, v := range header {
		q.Header.Set(k, v)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func mutate(r *rand.Rand, v any) any {
	switch x := v.(type) {
	case map[string]any:
		for k := range x {
			switch {
			case r.IntN(12) == 0:
				x[k] = odds[r.IntN(len(odds))]
			case r.IntN(25) == 0:
				delete(x, k)
			default:
				x[k] = mutate(r, x[k])
			}
		}
		return x
	case []any:
		for i := range x {
			if r.IntN(12) == 0 {
				x[i] = odds[r.IntN(len(odds))]
			} else {
				x[i] = mutate(r, x[i])
			}
		}
		return x
	}
	return v
}

func clone(v any) any {
	b, _ := json.Marshal(v)
	var out any
	_ = json.Unmarshal(b, &out)
	return out
}

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	end := time.Now().Add(30 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for k := range 6 {
		r := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(k)))
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				core, front := d.Cores[r.IntN(3)], d.Fronts[r.IntN(4)]
				kind, status, text := "", 0, ""
				switch r.IntN(4) {
				case 0:
					kind = "heartbeat"
					id := fmt.Sprintf("i-odd-%d", r.IntN(20))
					if r.IntN(3) == 0 {
						id = "i-zone-a-1"
					}
					h := map[string]any{"Service": "desk", "Addr": "127.0.0.1:9", "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": []string{"ready", "draining", "x"}[r.IntN(3)], "ColdRemainingMs": 0,
						"Capacity": map[string]any{"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": []any{"a", "r1"}, "ClockMs": 5000 + r.IntN(1000), "Seq": 1 + n, "born": time.Now().UnixMilli() - int64(r.IntN(100000))}
					status, text = call(ctx, "http://"+core.ControlAddr()+"/api/Instances.Heartbeat/"+id, "", nil, mutate(r, clone(h)))
				case 1:
					kind = "config"
					c := clone(stand.Config(2+n, "warm", "q", "z"))
					m, _ := mutate(r, c).(map[string]any)
					status, text = call(ctx, "http://"+core.ControlAddr()+"/api/Config.Replace", "", nil, m)
				case 2:
					kind = "job"
					j := clone(stand.Job(100, 500, 1+r.IntN(4), 1+r.IntN(3)))
					status, text = call(ctx, "http://"+front.FrontAddr()+"/q/"+fmt.Sprintf("%016x", r.Uint64()), "desk.example", map[string]string{"Deadline-Ms": []string{"1500", "-1", "x", "9223372036854775807", "0"}[r.IntN(5)]}, mutate(r, j))
				default:
					kind = "deregister"
					status, text = call(ctx, "http://"+core.ControlAddr()+"/api/Instances.Deregister/"+fmt.Sprintf("i-odd-%d", r.IntN(20)), "", nil, mutate(r, map[string]any{"born": time.Now().UnixMilli()}))
				}
				cancel()
				if status == 0 {
					d.Record.Printf("%s: no answer: %s", kind, text)
				}
				mu.Lock()
				counts[fmt.Sprint(kind, " ", status)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	d.Record.Printf("%v", counts)
	v := stand.Held
	for _, n := range append(append([]*stand.Node(nil), d.Cores...), d.Fronts...) {
		if !n.Alive() {
			d.Record.Printf("broken: %s ended", n.Name)
			v = stand.Broken
		}
		b, _ := os.ReadFile(n.LogFile())
		for l := range strings.Lines(string(b)) {
			if strings.Contains(l, "panic") || strings.Contains(l, "contain") {
				d.Record.Printf("log of %s: %.600s", n.Name, l)
			}
		}
	}
	return v
}
