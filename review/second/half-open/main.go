// Command half-open tries what happens if a client's connection breaks and the front machine does not learn of it, as when what is
// between them loses its power. It is no case: no page names that disruption between clients and machines.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"tamarackpin.example/review/second/stand"
)

func main() { stand.Main([]int{2, 2, 2}, 3, play) }

func play(d *stand.Deployment, b *stand.Book, trouble bool) stand.Verdict {
	const id = "5c0e7a21d94b36f8"
	body := stand.Job(3000, 1000, 2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return stand.NotRun
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", d.Fronts[0].FrontAddr())
		if err != nil {
			return
		}
		defer s.Close()
		go func() { _, _ = io.Copy(onlyData{s}, c) }()
		time.Sleep(500 * time.Millisecond)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		time.Sleep(10 * time.Second)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	status, text := stand.Call(ctx, "POST", "http://"+l.Addr().String()+"/q/"+id, "desk.example", map[string]string{"Deadline-Ms": "8000"}, body)
	d.Record.Printf("the first POST: %d %s", status, text)
	time.Sleep(1300 * time.Millisecond)
	_, _ = d.Submit(d.Fronts[2], "q", id, 8*time.Second, body)
	if n := len(b.Twice()); n > 0 {
		fmt.Println(n, "double runs")
		return stand.Broken
	}
	return stand.Held
}

// onlyData keeps [io.Copy] from closing or splicing anything.
type onlyData struct{ w io.Writer }

func (o onlyData) Write(b []byte) (int, error) { return o.w.Write(b) }
