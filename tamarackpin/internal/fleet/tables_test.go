package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// largeTable returns a table with so many rows, named at random as operators' rows are,
// and the document it came from.
func largeTable(v routes.Version, rows int) *routes.Table {
	rng := rand.New(rand.NewPCG(1, 1))
	t := &routes.Table{Version: v, Services: []routes.Service{{Name: "bunkerdesk", MaxConnections: 64}}}
	for i := range rows {
		r := routes.Row{
			Name: routes.RowName(fmt.Sprintf("r-%07x", rng.Uint32())), Host: fmt.Sprintf("host%d.example", i%10), Prefix: fmt.Sprintf("/q%06x/", rng.Uint32()),
			Service: worker.Service("bunkerdesk"), Timeout: 1500 * time.Millisecond, Latency: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 3,
		}
		t.Rows = append(t.Rows, r)
		b, _ := json.Marshal(r)
		t.Source = append(t.Source, b...)
	}
	return t
}

// TestLargeTableIsNotInSyncReplies guards the memory and the links of control VMs: a
// table of 2,000 rows must not be in the replies to each of a hundred VMs, and the changes
// to it are encoded once for all of them (large days with big_config).
func TestLargeTableIsNotInSyncReplies(t *testing.T) {
	const maxReplyBytes, maxTableBytes = 4 << 10, 200 << 10
	control := knowledge("ip-01", "a")
	control.AdoptTable(largeTable(1, 50), "")
	control.AdoptTable(largeTable(2, 2000), "")
	for i := range 100 {
		req := syncRequest{Self: vm.Presence{VM: vm.ID(fmt.Sprint("ip-", i)), FailureDomain: "a", Callers: true}, Version: 1, Announced: 1, Deltas: true}
		reply, urgent := control.changesSince(time.Now(), req)
		b, err := json.Marshal(reply)
		if err != nil || len(b) > maxReplyBytes || !urgent || reply.Version != 2 {
			t.Fatalf("reply of %d bytes, urgent: %v, version %d, %v", len(b), urgent, reply.Version, err)
		}
		req.Announced = reply.Version
		if _, urgent := control.changesSince(time.Now(), req); urgent {
			t.Fatal("a version that the sender is fetching is announced to it again")
		}
	}
	first, err := control.history.reply(1)
	if err != nil || len(first) > maxTableBytes {
		t.Fatalf("the change has %d bytes, %v", len(first), err)
	}
	if again, _ := control.history.reply(1); &again[0] != &first[0] {
		t.Error("the change was encoded again")
	}
}

// TestSmallChangeOfLargeTable: a change of one row among 2,000 is sent as that row.
func TestSmallChangeOfLargeTable(t *testing.T) {
	control, entry := knowledge("ip-01", "a"), knowledge("ip-02", "a")
	control.AdoptTable(largeTable(1, 2000), "")
	entry.AdoptTable(largeTable(1, 2000), "")
	next := largeTable(2, 2000)
	next.Rows[7].Timeout = time.Second
	control.AdoptTable(next, "")
	reply, _ := control.changesSince(time.Now(), syncRequest{Self: entry.Self(), Version: 1, Announced: 1, Deltas: true})
	b, err := json.Marshal(reply)
	if err != nil || len(b) > 2<<10 {
		t.Errorf("the reply has %d bytes, %v", len(b), err)
	}
	entry.merge(time.Now(), reply)
	row, _, ok := entry.Table().Match(next.Rows[7].Host, next.Rows[7].Prefix)
	if !ok || row.Timeout != time.Second || entry.Table().Version != 2 || len(entry.Table().Rows) != 2000 {
		t.Errorf("version %d with %d rows; the changed row is %+v, %v", entry.Table().Version, len(entry.Table().Rows), row, ok)
	}
}

// TestTableIsFetchedOnce: of five VMs that announce a large table one is asked for it, and
// another one if that does not deliver it.
func TestTableIsFetchedOnce(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	addresses := make(map[vm.ID]string)
	var calls atomic.Int64
	var servers []chan struct{}
	for i := range 5 {
		id := vm.ID(fmt.Sprintf("ip-0a00000%d", i+1))
		k := knowledge(id, "a")
		var x peer.Mux
		peer.Handle(&x, methodTable, func(ctx context.Context, from vm.ID, req tableRequest) (json.RawMessage, error) {
			calls.Add(1)
			time.Sleep(100 * time.Millisecond)
			return k.serveTable(ctx, from, req)
		})
		if i > 0 { // the first announces a table and has none
			k.AdoptTable(largeTable(9, 2000), "")
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[id] = l.Addr().String()
		done := make(chan struct{})
		servers = append(servers, done)
		go func() {
			defer close(done)
			s := &peer.Server{Self: id, Mux: &x, Log: zap.NewNop(), Known: func(vm.ID) bool { return true }}
			_ = s.Serve(ctx, l)
		}()
	}
	entry := knowledge("ip-0a000009", "a")
	m := &peer.Mesh{Self: "ip-0a000009", Recorder: &report.Recorder{}, Address: func(id vm.ID) (string, bool) { a, ok := addresses[id]; return a, ok }}
	t.Cleanup(func() {
		m.Close()
		stop()
		for _, done := range servers {
			<-done
		}
	})
	s := &Syncer{Knowledge: entry, Mesh: m, Log: zap.NewNop()}
	for range 3 {
		for i := range 5 {
			s.TableAnnounced(ctx, vm.ID(fmt.Sprintf("ip-0a00000%d", i+1)), 9)
		}
	}
	for end := time.Now().Add(5 * time.Second); entry.tableVersion() != 9 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if entry.tableVersion() != 9 || len(entry.Table().Rows) != 2000 || calls.Load() != 2 {
		t.Errorf("version %d after %d calls, want version 9 after 2", entry.tableVersion(), calls.Load())
	}
}

// BenchmarkTableChange measures what one control VM does to tell 100 VMs of a change of a
// table, by its number of rows and of changed rows.
func BenchmarkTableChange(b *testing.B) {
	for _, c := range []struct{ rows, changed int }{{50, 1}, {2000, 1}, {2000, 1950}} {
		b.Run(fmt.Sprintf("%drows,%dchanged", c.rows, c.changed), func(b *testing.B) {
			base, next := largeTable(1, c.rows), largeTable(2, c.rows)
			for i := range c.changed {
				next.Rows[i].Timeout = time.Second
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				control := knowledge("ip-01", "a")
				control.AdoptTable(base, "")
				control.AdoptTable(next, "")
				bytes = 0
				for i := range 100 {
					req := syncRequest{Self: vm.Presence{VM: vm.ID(fmt.Sprint("ip-", i)), FailureDomain: "a", Callers: true}, Version: 1, Announced: 1, Deltas: true}
					reply, _ := control.changesSince(time.Now(), req)
					raw, err := json.Marshal(reply)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(raw)
					if reply.Delta == nil {
						raw, err := control.history.reply(1)
						if err != nil {
							b.Fatal(err)
						}
						bytes += len(raw)
					}
				}
			}
			b.ReportMetric(float64(bytes)/100, "bytes/VM")
		})
	}
}
