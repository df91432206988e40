package fleet

import (
	"context"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// The methods between VMs.
const (
	methodSync  peer.Method = "fleet.sync"
	methodKnown peer.Method = "fleet.known"
)

// syncRequest asks a control VM for what is new.
type syncRequest struct {
	Self    vm.Presence     `json:"self"`
	Version routes.Version  `json:"version"`       // of the table in force
	Of      vm.Incarnation  `json:"of,omitempty"`  // the process that the cursors belong to
	VMs     vm.RosterCursor `json:"vms,omitempty"` // news up to here is known
	Workers worker.Cursor   `json:"workers,omitempty"`
	Reports []pool.Report   `json:"reports,omitempty"` // of the groups that the sender orders
	// Division is that of the workers of the sender's failure domain.
	Division lead.Division `json:"division,omitzero"`
	Wait     wire.Duration `json:"wait,omitempty"` // keep the question so long unless there is news
}

// syncReply answers a syncRequest.
type syncReply struct {
	Self        vm.Presence     `json:"self"`
	Table       *routes.Table   `json:"table,omitempty"`
	VMs         []agedVM        `json:"vms,omitempty"`
	VMCursor    vm.RosterCursor `json:"vm_cursor"`
	Workers     []agedWorker    `json:"workers,omitempty"`
	WorkerCount worker.Cursor   `json:"worker_cursor"`
	Reports     []agedReport    `json:"reports,omitempty"` // of the other groups
	// Division is that of the workers of the failure domain of the VM that asked.
	Division lead.Division `json:"division,omitzero"`
}

type agedReport struct {
	pool.Report
	Age wire.Duration `json:"age"`
}

type agedVM struct {
	vm.Presence
	Age wire.Duration `json:"age"`
}

type agedWorker struct {
	worker.Announcement
	Gone bool          `json:"gone,omitempty"`
	Age  wire.Duration `json:"age"`
}

// Serve registers what a VM answers to others: every VM tells what it knows at
// once, a control VM keeps the question until there is news.
func (k *Knowledge) Serve(x *peer.Mux) {
	peer.Handle(x, methodKnown, func(_ context.Context, _ vm.ID, q syncRequest) (syncReply, error) {
		n, _ := k.since(time.Now(), q)
		return n, nil
	})
	if k.self.Control {
		peer.Handle(x, methodSync, func(ctx context.Context, _ vm.ID, q syncRequest) (syncReply, error) { return k.answer(ctx, q), nil })
	}
}

// answer waits for news that q does not know of.
func (k *Knowledge) answer(ctx context.Context, q syncRequest) syncReply {
	k.ObserveVM(time.Now(), q.Self, 0)
	k.SetDivision(q.Self.FailureDomain, q.Division)
	k.mu.Lock()
	for _, r := range q.Reports {
		k.recordReport(time.Now(), r)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait.Std(), restWait))
	defer cancel()
	for {
		next := k.Changed()
		n, pressing := k.since(time.Now(), q)
		if pressing {
			return n
		}
		select {
		case <-ctx.Done():
			return n
		case <-next:
		}
	}
}

// since returns what q does not know, and whether any of it is pressing: all but
// the heartbeats that say nothing new.
func (k *Knowledge) since(now time.Time, q syncRequest) (n syncReply, pressing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if q.Of != k.self.Incarnation {
		q.VMs, q.Workers = 0, 0
	}
	n = syncReply{Self: k.self, VMCursor: k.roster.Cursor(), WorkerCount: k.book.Cursor()}
	if t := k.table.Load(); t != nil && t.Version > q.Version {
		n.Table, pressing = t, true
	}
	if d := k.divisions[q.Self.FailureDomain]; d.Epoch > q.Division.Epoch {
		n.Division, pressing = d, true
	}
	for p := range k.roster.All {
		if p.Since > q.VMs && p.VM != q.Self.VM {
			n.VMs = append(n.VMs, agedVM{p.Presence, wire.Duration(max(0, now.Sub(p.Heard))).Round()})
			pressing = true
		}
	}
	for h := range k.book.All {
		if h.Beat > q.Workers && q.Self.Callers && h.FailureDomain == q.Self.FailureDomain {
			n.Workers = append(n.Workers, agedWorker{h.Announcement, h.Gone, wire.Duration(max(0, now.Sub(h.At))).Round()})
			pressing = pressing || h.Since > q.Workers
		}
	}
	for key, r := range k.reports {
		of := key.domain != q.Self.FailureDomain || r.Epoch != 0 && r.VM != q.Self.VM
		if age := now.Sub(r.at); q.Self.Callers && of && age < reportAge {
			n.Reports = append(n.Reports, agedReport{r.Report, wire.Duration(age).Round()})
		}
	}
	return n, pressing
}

// merge records the reply of a control VM.
func (k *Knowledge) merge(now time.Time, n syncReply) {
	k.ObserveVM(now, n.Self, 0)
	for _, p := range n.VMs {
		k.ObserveVM(now, p.Presence, p.Age.Std())
	}
	for _, w := range n.Workers {
		k.ObserveWorker(now, w.Announcement, w.Age.Std())
		if w.Gone {
			k.DeregisterWorker(w.Worker, w.Incarnation)
		}
	}
	k.mu.Lock()
	for _, r := range n.Reports {
		k.recordReport(now.Add(-r.Age.Std()), r.Report)
	}
	k.mu.Unlock()
	k.SetDivision(k.Self().FailureDomain, n.Division)
	k.AdoptTable(n.Table, n.Self.VM)
}
