package gate

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// deliveryInterval is the pause before a cancel is sent again to a VM that did not reply.
const deliveryInterval = 250 * time.Millisecond

// deliverCancel sends the cancel of a job to a VM in the background until it replies: it may hold the job though it did not reply,
// or refused the connection because it is cut off.
func (g *Gate) deliverCancel(to vm.ID, id job.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.undelivered == nil {
		g.undelivered = make(map[vm.ID][]job.ID)
	}
	list, delivering := g.undelivered[to]
	if slices.Contains(list, id) {
		return
	}
	g.undelivered[to] = append(list, id)
	if !delivering {
		go g.deliverCancels(to)
	}
}

// deliverCancels sends a VM the cancels that it has not acknowledged, one after the other, until there are none left or the
// process ends.
func (g *Gate) deliverCancels(to vm.ID) {
	aborted, _ := g.shutdownState()
	for {
		id, found := g.nextUndelivered(time.Now(), to)
		if !found {
			return
		}
		// Canceled rather than timed out, so that a VM that is only slow keeps its connection, on which jobs may be offloaded.
		ctx, cancel := context.WithCancel(aborted)
		timer := time.AfterFunc(cancelTimeout, cancel)
		_, err := peer.Call[bool](ctx, g.Mesh, to, report.UseForward, methodCancel, id)
		timer.Stop()
		cancel()
		if err == nil {
			g.acknowledgeCancel(to, id)
			continue
		}
		g.Log.Debug("a cancel was not delivered", zap.String("job", string(id)), zap.String("vm", string(to)), event.Err(err))
		if !wait(aborted, nil, deliveryInterval) {
			return
		}
	}
}

// nextUndelivered returns a canceled job that a VM has not acknowledged. It drops those beyond cancelRetention, and
// all if the VM is not known any more. If none is left, the delivery ends.
func (g *Gate) nextUndelivered(now time.Time, to vm.ID) (id job.ID, found bool) {
	known := len(g.Knowledge.VMs(func(p vm.Present) bool { return p.VM == to })) > 0
	g.mu.Lock()
	defer g.mu.Unlock()
	list := slices.DeleteFunc(g.undelivered[to], func(id job.ID) bool { return !known || !g.cancelled.has(now, id) })
	if len(list) == 0 {
		delete(g.undelivered, to)
		return "", false
	}
	g.undelivered[to] = list
	return list[0], true
}

// acknowledgeCancel records that a VM has acknowledged a cancel.
func (g *Gate) acknowledgeCancel(to vm.ID, id job.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.undelivered[to] = slices.DeleteFunc(g.undelivered[to], func(other job.ID) bool { return other == id })
}
