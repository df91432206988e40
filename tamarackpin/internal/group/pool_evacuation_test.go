package group

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
)

// TestEvacuationsArriveWithTheTable guards against a process that has just restarted and starts tasks in a failure domain of which it
// does not know yet that it is evacuated.
func TestEvacuationsArriveWithTheTable(t *testing.T) {
	for _, evacuated := range []vm.FailureDomain{"a", "b"} {
		now := time.Now()
		k := fleet.NewKnowledge(vm.Presence{VM: "ip-0a000001", FailureDomain: "a", Incarnation: 1, Callers: true}, zap.NewNop())
		g := &Group{config: Config{Knowledge: k}, self: k.Self()}
		p := pool.New(now, pool.Config{Fence: 1, LeaseMax: time.Second, EvacuationUnknown: true})
		p.UpdateWorker(now, worker.Record{AnnouncedAt: now, Announcement: worker.Announcement{
			Worker: "w", Incarnation: 1, Sequence: 1, Service: "s", Address: "w", Capacity: worker.Resources{MilliCores: 16000, MemoryMB: 1000}, Clock: 1,
		}})
		p.Submit(now, oneTask("j", time.Second))
		orders, _ := p.TakePending()
		for _, o := range orders {
			p.Receive(now, pool.Reply{Order: o, Done: true, HasClock: true, Clock: 1, RepliedBy: 1, ReceivedAt: now})
		}
		starts := func() (n int) {
			g.setEvacuation(now, p)
			orders, _ := p.TakePending()
			for _, o := range orders {
				if o.Kind == pool.StartOrder {
					n++
				}
			}
			return n
		}
		if n := starts(); n != 0 {
			t.Errorf("%d starts without a table", n)
		}
		k.SetEvacuations(evacuation.Set{}.With(evacuation.Domain{FailureDomain: evacuated, Revision: 1, Evacuated: true, Since: now.Add(-time.Minute)}))
		k.AdoptTable(&routes.Table{Version: 1}, "")
		if n := starts(); (n == 1) != (evacuated == "b") {
			t.Errorf("%d starts of a task in failure domain a while %s is evacuated", n, evacuated)
		}
	}
}
