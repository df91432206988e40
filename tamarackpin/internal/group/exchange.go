package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/peer"
)

const (
	// leaderExchangeInterval allows four heartbeats before an unresponsive leader counts
	// as dead (lead.LeaderTimeout).
	leaderExchangeInterval = 150 * time.Millisecond
	// followerExchangeInterval applies between two VMs neither of which leads, while every
	// group has a leader: about a third of the time after which such a VM counts as dead (5 s,
	// followerTimeout of package lead). These exchanges grow with the square of the number of
	// entry VMs of the failure domain.
	followerExchangeInterval = 1800 * time.Millisecond
	// exchangeTimeout is how long a heartbeat may be without a reply before the next one is
	// sent and the connection is suspected: under half of lead.LeaderTimeout, so that a dead
	// connection is replaced before its leader counts as dead.
	exchangeTimeout = 250 * time.Millisecond
	// lateReplyTimeout is how long the reply to a heartbeat counts. It shows that the VM is
	// alive, and only behind.
	lateReplyTimeout = 2 * lead.LeaderTimeout
	// peerScanInterval is how often exchangeLoop looks for new entry VMs if nothing
	// changes.
	peerScanInterval = 300 * time.Millisecond
)

// heartbeat is both the request and the reply of an exchange between two entry VMs.
type heartbeat struct {
	Self              vm.Presence    `json:"self"`
	Division          lead.Division  `json:"division"`
	Claims            []lead.Claim   `json:"claims"` // newest known to the sender, by group
	Version           routes.Version `json:"version"`
	WorkersIncomplete bool           `json:"partial,omitempty"` // the sender may not know all workers
	// WorkerNewsAge is how long ago a control VM knew no worker that the sender does not know, 0 if it never had news.
	WorkerNewsAge wire.Duration `json:"worker_news_age,omitempty"`
	Made          stamp         `json:"made,omitzero"`
	// Echo is the stamp of the newest heartbeat of the receiver that arrived before.
	Echo stamp `json:"echo,omitzero"`
	// ReadsContactAge is set in replies only, as earlier builds refuse calls with fields that they don't know. The sender
	// reads the field EarlierContactAge of a forwarded request.
	ReadsContactAge bool `json:"reads_contact_age,omitempty"`
	// Withdrawn is as in forwardRequest.
	Withdrawn []uint64 `json:"withdrawn,omitempty"`
	// ReadsRefusedBy is set in replies only, as ReadsContactAge. The sender reads the field RefusedBy of a forwarded request.
	ReadsRefusedBy bool `json:"reads_refused_by,omitempty"`
	// ReadsWithdrawals is set in replies only, as ReadsContactAge. The sender reads the field Withdrawn of all messages.
	ReadsWithdrawals bool `json:"reads_withdrawals,omitempty"`
	evacuationUpdate
}

// heartbeat returns a heartbeat for another entry VM.
func (g *Group) heartbeat(to vm.ID) heartbeat {
	now := time.Now()
	hb := g.heartbeatMade(to, g.stampFor(to, now))
	hb.evacuationUpdate = g.evacuationsFor(now, to)
	return hb
}

// heartbeatMade returns a heartbeat with a stamp that was just made. The stamp is made before the claims are read: if this
// gate forwards its jobs because of a newer claim, either ContactAge includes the stamp, or the heartbeat carries the claim.
func (g *Group) heartbeatMade(to vm.ID, made stamp) heartbeat {
	now := time.Now()
	echo := g.contacts.newestOf(to) // before the directory: the claims are to be as new as the echo says
	d := g.directory.Load()
	hb := heartbeat{Self: g.config.Knowledge.Self(), Division: d.division, WorkersIncomplete: g.workersIncomplete(now), Made: made, Echo: echo, Withdrawn: g.contacts.withdrawalsFor(to)}
	if at := g.workersKnownAt(); !at.IsZero() {
		hb.WorkerNewsAge = wire.Duration(now.Sub(at))
	}
	for _, l := range d.leaders {
		hb.Claims = append(hb.Claims, l.Claim)
	}
	if t := g.config.Knowledge.Table(); t != nil {
		hb.Version = t.Version
	}
	return hb
}

// exchangeLoop runs one exchangeWith for every other entry VM of the failure domain,
// until ctx is done and all of them have returned.
func (g *Group) exchangeLoop(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := make(map[vm.ID]bool)
	for {
		changed := g.config.Knowledge.Changed()
		for _, p := range g.peers() {
			if running[p.VM] {
				continue
			}
			running[p.VM] = true
			loops.Go(func() { g.exchangeWith(ctx, p.VM) })
		}
		select {
		case <-ctx.Done():
			return
		case <-changed: // there may be a new VM
		case <-time.After(peerScanInterval):
		}
	}
}

// peers returns the other entry VMs of the failure domain.
func (g *Group) peers() []vm.Present {
	return g.config.Knowledge.VMs(func(p vm.Present) bool {
		return p.Callers && p.FailureDomain == g.self.FailureDomain
	})
}

// exchangeWith exchanges heartbeats with one VM until ctx is done.
func (g *Group) exchangeWith(ctx context.Context, id vm.ID) {
	unresponsive, draining := false, false
	for ctx.Err() == nil {
		changed, leaderChanged := g.config.Knowledge.Changed(), g.leaderChange()
		drainingNow := g.config.Knowledge.Self().Draining
		if wait := g.untilNextExchange(time.Now(), id); wait > 0 && drainingNow == draining {
			if draining {
				changed = nil // already announced
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			case <-changed: // this VM may have begun to drain, which it announces at once
			case <-leaderChanged: // exchanges with a new leader are more frequent
			}
			continue
		}
		draining = drainingNow
		err := g.sendHeartbeat(ctx, id)
		g.recordExchange(time.Now(), id)
		switch {
		case err == nil:
			unresponsive = false
		case !unresponsive && ctx.Err() == nil:
			unresponsive = true
			event.Log(g.config.Log, event.VMDead, zap.String("vm", string(id)), event.Err(err))
		}
	}
}

// untilNextExchange returns how long to wait before the next exchange with a VM. Either
// side starts an exchange once interval has passed since the last one, whoever started it.
func (g *Group) untilNextExchange(now time.Time, id vm.ID) time.Duration {
	interval := followerExchangeInterval
	for _, l := range g.directory.Load().leaders {
		if l.VM == "" || l.VM == id || l.VM == g.self.VM {
			interval = leaderExchangeInterval
		}
	}
	g.exchangeMu.Lock()
	defer g.exchangeMu.Unlock()
	return g.lastExchanges[id].Add(interval).Sub(now)
}

// recordExchange records the time of an exchange with a VM, successful or not.
func (g *Group) recordExchange(now time.Time, id vm.ID) {
	g.exchangeMu.Lock()
	defer g.exchangeMu.Unlock()
	g.lastExchanges[id] = now
}

// errNoReplyYet is returned by sendHeartbeat if there was no reply within exchangeTimeout.
var errNoReplyYet = errors.Newf("no reply to a heartbeat within %s", exchangeTimeout)

// sendHeartbeat sends a heartbeat and handles the reply. It waits for that for
// exchangeTimeout; a later reply is handled when it arrives.
func (g *Group) sendHeartbeat(ctx context.Context, id vm.ID) error {
	sentAt := time.Now()
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lateReplyTimeout)
		defer cancel()
		reply, err := peer.Call[heartbeat](ctx, g.config.Mesh, id, report.UseHeartbeat, methodExchange, g.heartbeat(id))
		if err == nil {
			g.receiveHeartbeat(ctx, reply)
		}
		done <- err
	}()
	timer := time.NewTimer(exchangeTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		g.config.Mesh.Suspect(id, sentAt)
		return errNoReplyYet
	}
}

// serveExchange replies only after the fetch that the heartbeat may cause.
func (g *Group) serveExchange(ctx context.Context, _ vm.ID, hb heartbeat) (heartbeat, error) {
	g.receiveHeartbeat(ctx, hb)
	now := time.Now()
	reply := g.heartbeatMade(hb.Self.VM, g.replyStamp(hb.Self.VM, now))
	reply.evacuationUpdate = g.evacuationsSince(now, hb.EvacuationRevision)
	reply.ReadsContactAge, reply.ReadsWithdrawals, reply.ReadsEvacuations, reply.ReadsRefusedBy = true, true, true, true
	return reply, nil
}

// receiveHeartbeat handles a heartbeat or the reply to one. It fetches the sender's table
// if that is newer, and syncs from the sender if this VM knows no workers, or if its worker
// list may be incomplete and the sender's is not. One sync runs at a time.
func (g *Group) receiveHeartbeat(ctx context.Context, hb heartbeat) {
	now := time.Now()
	g.recordExchange(now, hb.Self.VM)
	sender := process{hb.Self.VM, hb.Self.Incarnation}
	madeAt := g.contacts.recordArrival(now, sender, hb.Made)
	if !g.announcesSuccessor(hb) {
		_ = g.hear(ctx, sender, madeAt, hb.Withdrawn) // if it fails, the message does not count as contact
	}
	if hb.ReadsContactAge || hb.ReadsWithdrawals || hb.ReadsRefusedBy {
		g.contacts.update(sender, func(c *lastContact) {
			c.readsContactAge = c.readsContactAge || hb.ReadsContactAge
			c.readsWithdrawals = c.readsWithdrawals || hb.ReadsWithdrawals
			c.readsRefusedBy = c.readsRefusedBy || hb.ReadsRefusedBy
		})
	}
	g.receiveEvacuations(now, sender, hb.evacuationUpdate)
	g.config.Knowledge.ObserveVM(now, hb.Self, 0)
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) { g.applyHeartbeat(now, hb) })
	g.config.Syncer.TableAnnounced(ctx, hb.Self.VM, hb.Version)
	newsAt := madeAt.Add(-hb.WorkerNewsAge.Std())
	fetched := g.workersCompleteAt.Load()
	canCompleteWorkers := g.workersIncomplete(now) && !hb.WorkersIncomplete && (fetched == nil || newsAt.After(*fetched))
	if !canCompleteWorkers && g.config.Knowledge.KnowsWorkers() || !g.syncing.CompareAndSwap(false, true) {
		return
	}
	defer g.syncing.Store(false)
	if g.config.Syncer.FetchFrom(ctx, hb.Self.VM) && canCompleteWorkers {
		if at := g.workersCompleteAt.Load(); at == nil || newsAt.After(*at) {
			g.workersCompleteAt.Store(&newsAt)
		}
	}
}

// announcesSuccessor reports whether a heartbeat has a claim or a division that ends a leadership of this VM. Its sender
// may have forwarded its jobs, so it must not extend leases before the goroutine of Run has applied it.
func (g *Group) announcesSuccessor(hb heartbeat) bool {
	d := g.directory.Load()
	for i, l := range d.leaders {
		newer := hb.Division.Epoch > d.division.Epoch || hb.Division.Epoch == d.division.Epoch && i < len(hb.Claims) && hb.Claims[i].Fence > l.Claim.Fence
		if l.VM == g.self.VM && newer {
			return true
		}
	}
	return false
}

// applyHeartbeat adopts a newer division and passes the claims of a heartbeat to the
// leader elections. It runs on the goroutine of Run.
func (g *Group) applyHeartbeat(now time.Time, hb heartbeat) {
	if hb.Division.Epoch > g.division.Epoch && len(hb.Claims) == hb.Division.GroupCount() {
		g.applyDivision(now, hb.Division)
	}
	g.noteStart(now, hb.Self)
	for i, s := range g.groups {
		s.leadership.RecordHeartbeat(now, hb.Self)
		if hb.Division.Epoch == g.division.Epoch && i < len(hb.Claims) {
			s.leadership.RecordClaim(now, hb.Self.VM, hb.Claims[i])
		}
		if c := s.leadership.Claim(); hb.WorkersIncomplete && c.VM == hb.Self.VM && c.Fence > s.syncedFor {
			s.syncedFor = c.Fence
			g.config.Syncer.SyncNow()
		}
	}
	if hb.Division.Epoch == g.division.Epoch {
		after := g.stampedAt(hb.Echo)
		if hb.Made == (stamp{}) {
			after = now // of a build that sends no stamps
		}
		g.contacts.confirm(process{hb.Self.VM, hb.Self.Incarnation}, after)
	}
}
