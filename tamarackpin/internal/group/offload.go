package group

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Pings monitor the connection between a gate and each VM to which it offloaded jobs. The
// other VM withdraws the jobs of a gate that it does not hear, before the caller, whose
// connection to that gate broke, retries 1.3 s later as the platform states. The gate gives
// up the jobs at a VM that it does not hear only after that VM has withdrawn them.
const (
	pingInterval = 250 * time.Millisecond
	// silenceTimeout is how long a ping may be without a reply before its VM counts as
	// silent: the silence after which that VM withdraws the jobs (pool.MaxGateSilence), the interval to the
	// last ping that it received, and the time for its stops to reach the workers.
	silenceTimeout = 1500 * time.Millisecond
)

// offloads holds the VMs that run jobs offloaded by this VM's gate. The zero value has
// none. It is safe for concurrent use.
type offloads struct {
	mu  sync.Mutex // guards vms and the job counts
	vms map[vm.ID]*pingedVM
}

// pingedVM is a VM that is pinged while it runs jobs offloaded by this VM's gate.
type pingedVM struct {
	jobs   int
	silent chan struct{} // closed once the VM counts as silent
	dates  chan struct{} // closed once the VM can tell the age of messages, or is of an earlier build
	stop   context.CancelFunc
}

// add counts a job that is offloaded to a VM and returns the VM's pingedVM. The first job
// starts the pings, with a context that is canceled after the last.
func (o *offloads) add(id vm.ID, ping func(ctx context.Context, p *pingedVM)) *pingedVM {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.vms[id]
	if p == nil {
		if o.vms == nil {
			o.vms = make(map[vm.ID]*pingedVM)
		}
		ctx, stop := context.WithCancel(context.Background())
		p = &pingedVM{silent: make(chan struct{}), dates: make(chan struct{}), stop: stop}
		o.vms[id] = p
		go ping(ctx, p)
	}
	p.jobs++
	return p
}

// remove ends the count of a job that add counted.
func (o *offloads) remove(id vm.ID, p *pingedVM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.jobs--; p.jobs == 0 {
		p.stop()
		o.forget(id, p)
	}
}

// markSilent wakes the jobs at a silent VM. A job that is offloaded there later starts
// the pings anew.
func (o *offloads) markSilent(id vm.ID, p *pingedVM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(p.silent)
	o.forget(id, p)
}

// forget removes p unless another pingedVM has replaced it. o.mu is held.
func (o *offloads) forget(id vm.ID, p *pingedVM) {
	if o.vms[id] == p {
		delete(o.vms, id)
	}
}

// Offload forwards a job to the dispatcher of another group, as Forward does, once that VM can tell the age of the forward. It
// withdraws the job once that VM has been silent for silenceTimeout.
func (g *Group) Offload(ctx context.Context, now time.Time, to pool.Report, number uint64, r pool.Request) ForwardResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := g.offloads.add(to.VM, func(ctx context.Context, p *pingedVM) { g.pingLoop(ctx, to.VM, p) })
	defer g.offloads.remove(to.VM, p)
	go func() {
		select {
		case <-ctx.Done():
		case <-p.silent:
			cancel()
		}
	}()
	if to.VM != g.self.VM && !g.contacts.datesMessages(to.VM, now) {
		select {
		case <-p.dates:
		case <-ctx.Done():
			return ForwardResult{Err: ctx.Err()}
		}
	}
	return g.Forward(ctx, now, Leader{VM: to.VM, Group: to.Group, Epoch: to.Epoch}, number, r)
}

// pingLoop pings a VM until ctx is done or the VM counts as silent. Each ping has a
// goroutine of its own, so that a slow reply does not delay the next ping.
func (g *Group) pingLoop(ctx context.Context, id vm.ID, p *pingedVM) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex // guards c
	var c contact
	dates := sync.OnceFunc(func() { close(p.dates) })
	sendPing := func(sentAt time.Time) {
		ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
		defer cancel()
		if g.ping(ctx, id) != nil {
			return // the missing reply counts
		}
		dates()
		mu.Lock()
		defer mu.Unlock()
		c.replied(sentAt)
	}
	for {
		now := time.Now()
		mu.Lock()
		silent := c.isSilent(now)
		c.sent(now)
		mu.Unlock()
		if silent {
			event.Log(g.config.Log, event.OffloadSilent, zap.String("vm", string(id)), zap.Duration("timeout", silenceTimeout))
			g.offloads.markSilent(id, p)
			return
		}
		go sendPing(now)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pingInterval):
		}
	}
}

// ping pings a VM, twice if the first ping has no stamp, since the VM can tell the age of messages from the first stamp on.
func (g *Group) ping(ctx context.Context, id vm.ID) error {
	for range 2 {
		now := time.Now()
		call := ping{Made: g.stampFor(id, now)}
		call.Withdrawn = g.contacts.withdrawalsFor(id)
		reply, err := peer.Call[ping](ctx, g.config.Mesh, id, report.UseForward, methodPing, call)
		if err != nil {
			return err
		}
		if reply.Made == (stamp{}) || id == g.self.VM {
			return nil // an earlier build, or no stamps are needed
		}
		g.receivePingReply(ctx, time.Now(), id, reply)
		if call.Made != (stamp{}) {
			g.contacts.update(process{id, reply.Made.Incarnation}, func(c *lastContact) { c.datedAt = now })
			return nil
		}
	}
	return nil
}

// servePing records a ping of a gate that has a job offloaded here.
func (g *Group) servePing(ctx context.Context, from vm.ID, p ping) (ping, error) {
	// If it fails, the ping does not count as contact.
	_, _ = g.recordMessage(ctx, time.Now(), process{from, p.Made.Incarnation}, p.Made, p.Withdrawn)
	reply := ping{Made: g.replyStamp(from, time.Now()), ReadsWithdrawals: true}
	reply.Withdrawn = g.contacts.withdrawalsFor(from)
	return reply, nil
}

// receivePingReply records the reply to a ping.
func (g *Group) receivePingReply(ctx context.Context, now time.Time, from vm.ID, reply ping) {
	if reply.Made == (stamp{}) {
		return
	}
	sender := process{from, reply.Made.Incarnation}
	_, _ = g.recordMessage(ctx, now, sender, reply.Made, reply.Withdrawn) // as in servePing
	if reply.ReadsWithdrawals {
		g.contacts.update(sender, func(c *lastContact) { c.readsWithdrawals = true })
	}
}
