package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Methods between VMs: methodSync long-polls a control VM, methodKnown asks any VM
// for what it knows and doesn't wait for a change.
const (
	methodSync  peer.Method = "fleet.sync"
	methodKnown peer.Method = "fleet.known"
)

// syncRequest asks for what the sender doesn't know. The cursors count changes at
// one process of the receiver and are 0 at first.
type syncRequest struct {
	Self    vm.Presence    `json:"self"`
	Version routes.Version `json:"version"` // of the sender's table; 0 without one
	// Announced is the newest version that the sender holds or is fetching.
	Announced routes.Version `json:"announced,omitempty"`
	// Deltas reports that the sender understands Delta and Version of the reply; builds
	// that do not get the whole table in each reply.
	Deltas            bool            `json:"deltas,omitempty"`
	CursorIncarnation vm.Incarnation  `json:"of,omitempty"`  // of the process that issued the cursors
	VMCursor          vm.RosterCursor `json:"vms,omitempty"` // changes up to the cursor are known
	WorkerCursor      worker.Cursor   `json:"workers,omitempty"`
	Reports           []pool.Report   `json:"reports,omitempty"` // of the groups that the sender leads
	// Division is the newest of the sender's failure domain that the sender knows.
	Division lead.Division `json:"division,omitzero"`
	// Evacuations is the newest revision of the evacuations that the sender knows, 0 in calls to processes that have not
	// said that they read the field: earlier builds refuse it.
	Evacuations evacuation.Revision `json:"evacuations,omitempty"`
	Wait        wire.Duration       `json:"wait,omitempty"` // longest delay of the reply while nothing urgent changes
}

// syncReply has the changes after a syncRequest's cursors, and the cursors for the
// next request. Ages are relative to when the reply was made.
type syncReply struct {
	Self  vm.Presence   `json:"self"`
	Table *routes.Table `json:"table,omitempty"`
	// Version is that of the sender's table, 0 without one, and Delta the changes from the
	// requester's version if they are few.
	Version      routes.Version  `json:"version,omitempty"`
	Delta        *routes.Delta   `json:"delta,omitempty"`
	VMs          []agedVM        `json:"vms,omitempty"`
	VMCursor     vm.RosterCursor `json:"vm_cursor"`
	Workers      []agedWorker    `json:"workers,omitempty"`
	WorkerCursor worker.Cursor   `json:"worker_cursor"`
	Reports      []agedReport    `json:"reports,omitempty"` // of groups that the requester doesn't lead
	// Division is that of the requester's failure domain, if newer than requested.
	Division lead.Division `json:"division,omitzero"`
	// ReadsEvacuations reports that the sender reads the field Evacuations of calls.
	ReadsEvacuations bool `json:"reads_evacuations,omitempty"`
	// Evacuations has all evacuations, if the sender knows a higher revision than the requester.
	Evacuations []evacuation.Record `json:"evacuations,omitempty"`
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
	Deregistered bool          `json:"gone,omitempty"`
	Age          wire.Duration `json:"age"`
	// Replaced has the incarnations that this one replaced at the sender.
	Replaced []worker.Incarnation `json:"replaced,omitempty"`
}

// Serve registers the handlers for other VMs' requests: every VM returns what it
// knows at once, and a control VM also serves requests that wait for a change.
func (k *Knowledge) Serve(x *peer.Mux) {
	peer.Handle(x, methodKnown, func(_ context.Context, _ vm.ID, req syncRequest) (syncReply, error) {
		reply, _ := k.changesSince(time.Now(), req)
		return reply, nil
	})
	peer.Handle(x, methodTable, k.serveTable)
	if k.self.Control {
		peer.Handle(x, methodSync, func(ctx context.Context, _ vm.ID, req syncRequest) (syncReply, error) { return k.answer(ctx, req), nil })
	}
}

// answer records what req says about its sender, and replies once there is an
// urgent change or the wait has passed.
func (k *Knowledge) answer(ctx context.Context, req syncRequest) syncReply {
	k.ObserveVM(time.Now(), req.Self, 0)
	k.SetDivision(req.Self.FailureDomain, req.Division)
	k.mu.Lock()
	for _, r := range req.Reports {
		k.recordReport(time.Now(), r)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait.Std(), defaultSyncWait))
	defer cancel()
	for {
		changed := k.Changed()
		reply, urgent := k.changesSince(time.Now(), req)
		if urgent {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-changed:
		}
	}
}

// changesSince returns what the sender of req doesn't know, and whether any of it is
// urgent: all but reports and heartbeats that only renew the last contact.
func (k *Knowledge) changesSince(now time.Time, req syncRequest) (reply syncReply, urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if req.CursorIncarnation != k.self.Incarnation {
		req.VMCursor, req.WorkerCursor = 0, 0
	}
	reply = syncReply{Self: k.self, ReadsEvacuations: true, VMCursor: k.roster.Cursor(), WorkerCursor: k.registry.Cursor()}
	urgent = k.addTable(&reply, req)
	if d := k.divisions[req.Self.FailureDomain]; d.Epoch > req.Division.Epoch {
		reply.Division, urgent = d, true
	}
	if k.evacuations.Revision() > req.Evacuations {
		reply.Evacuations, urgent = k.evacuations.Records(now), true
	}
	for p := range k.roster.All {
		if p.Renewed > req.VMCursor && p.VM != req.Self.VM {
			reply.VMs = append(reply.VMs, agedVM{p.Presence, wire.Duration(max(0, now.Sub(p.Heard))).Round()})
			urgent = urgent || p.Since > req.VMCursor
		}
	}
	for r := range k.registry.All {
		if r.SeenCursor > req.WorkerCursor && req.Self.Callers && r.FailureDomain == req.Self.FailureDomain {
			reply.Workers = append(reply.Workers, agedWorker{r.Announcement, r.Deregistered, wire.Duration(max(0, now.Sub(r.AnnouncedAt))).Round(), r.Replaced})
			urgent = urgent || r.ChangeCursor > req.WorkerCursor
		}
	}
	for key, r := range k.reports {
		fromOther := key.domain != req.Self.FailureDomain || r.Epoch != 0 && r.VM != req.Self.VM
		if age := now.Sub(r.madeAt); req.Self.Callers && fromOther && age < reportMaxAge {
			reply.Reports = append(reply.Reports, agedReport{r.Report, wire.Duration(age).Round()})
		}
	}
	return reply, urgent
}

// addTable adds to a reply what the requester lacks of the table, and reports whether that
// is urgent: an announcement is, unless the requester is fetching that version already.
func (k *Knowledge) addTable(reply *syncReply, req syncRequest) (urgent bool) {
	t := k.table.Load()
	if t == nil || t.Version <= req.Version {
		return false
	}
	if !req.Deltas {
		reply.Table = t
		return true
	}
	reply.Version = t.Version
	if t.Version <= req.Announced {
		return false
	}
	reply.Delta = k.history.inline(req.Version)
	return true
}

// merge records the reply of another VM. A reply about an earlier incarnation of a
// worker doesn't affect the current one (issue 17). Announcements that fail their check are
// left out: other builds may pass on what this one refuses from workers.
func (k *Knowledge) merge(now time.Time, reply syncReply) {
	k.ObserveVM(now, reply.Self, 0)
	for _, p := range reply.VMs {
		k.ObserveVM(now, p.Presence, p.Age.Std())
	}
	for _, w := range reply.Workers {
		checked := w.Announcement
		if w.Deregistered {
			checked.Sequence = 0 // the registry set it to the highest number
		}
		if err := checked.Check(); err != nil {
			k.RefuseWorker(now, w.Worker, err)
			continue
		}
		k.ObserveWorker(now, w.Announcement, w.Age.Std(), w.Replaced)
		if w.Deregistered {
			k.DeregisterWorker(w.Worker, w.Incarnation)
		}
	}
	k.mu.Lock()
	for _, r := range reply.Reports {
		k.recordReport(now.Add(-r.Age.Std()), r.Report)
	}
	k.mu.Unlock()
	k.SetDivision(k.Self().FailureDomain, reply.Division)
	k.SetEvacuations(evacuation.OfRecords(now, reply.Evacuations))
	k.AdoptTable(reply.Table, reply.Self.VM)
	if reply.Delta != nil && reply.Delta.Version > k.tableVersion() {
		if err := k.adoptDelta(*reply.Delta, reply.Self.VM); err != nil {
			k.log.Debug("a change of the table does not apply", zap.String("vm", string(reply.Self.VM)), event.Err(err))
		}
	}
}
