// Package keeper keeps the operators' table of a deployment whose VMs find each
// other: the table of the highest version that a majority of the control VMs'
// disks holds. It is what the operators' calls come down to.
package keeper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/replica"
)

// The methods between control VMs.
const (
	methodMessage  peer.Method = "keeper.message"
	methodIdentify peer.Method = "keeper.identify"
	methodPropose  peer.Method = "keeper.propose"
)

// Times of the members and of proposals.
const (
	// goneAfter is how long a member is silent before it is taken out in favour
	// of others: longer than the freezes and cuts that the platform names.
	goneAfter = 8 * time.Second
	// decideTimeout bounds a proposal: two elections.
	decideTimeout = 3 * time.Second
	retryEvery    = 50 * time.Millisecond
)

// entry is what the log holds: a table, or nothing for a barrier.
type entry struct {
	Table   *routes.Table `json:"table,omitempty"`
	Barrier bool          `json:"barrier,omitempty"`
}

// Config is what a Keeper needs.
type Config struct {
	Settings  *settings.Node
	Knowledge *fleet.Knowledge
	Mesh      *peer.Mesh
	Log       *zap.Logger
}

// Keeper is one control VM's part. It must be made by [New]. It is safe for
// concurrent use.
type Keeper struct {
	config  Config
	self    vm.ID
	replica *replica.Replica
	table   *routes.Table // belongs to the replica's goroutine
}

// New opens the disk and registers what the Keeper serves.
func New(c Config, x *peer.Mux) (*Keeper, error) {
	k := &Keeper{config: c, self: c.Settings.ID()}
	var err error
	k.replica, err = replica.New(replica.Config{
		Folder: c.Settings.DataFolder, Self: k.self, Log: c.Log,
		Machine: replica.Machine{
			Apply: k.apply, Restore: k.restore, Led: func(vm.ID) {},
			Settle:   func(time.Time, *quorum.Core) { c.Knowledge.AdoptTable(k.table, k.self) },
			Snapshot: func() ([]byte, error) { return json.Marshal(k.table) },
		},
		Send: func(ctx context.Context, to vm.ID, m quorum.Message) error {
			return c.Mesh.Notify(ctx, to, report.UseControl, methodMessage, m)
		},
		Ask: func(ctx context.Context, v vm.ID) (replica.Identity, error) {
			return peer.Call[replica.Identity](ctx, c.Mesh, v, report.UseControl, methodIdentify, struct{}{})
		},
		Founders: c.Settings.Founders(), MayFound: c.Settings.FirstStart,
		Wanted: k.wanted,
	})
	if err != nil {
		return nil, err
	}
	peer.Handle(x, methodMessage, func(ctx context.Context, _ vm.ID, m quorum.Message) (struct{}, error) {
		k.replica.Receive(ctx, m)
		return struct{}{}, nil
	})
	peer.Handle(x, methodIdentify, func(ctx context.Context, _ vm.ID, _ struct{}) (replica.Identity, error) {
		return k.replica.Identify(ctx)
	})
	peer.Handle(x, methodPropose, func(ctx context.Context, _ vm.ID, e entry) (verdict, error) { return k.decide(ctx, e) })
	return k, nil
}

// Run takes part in the quorum until ctx is done or the disk cannot be trusted.
func (k *Keeper) Run(ctx context.Context) error { return k.replica.Run(ctx) }

func (k *Keeper) restore(data []byte) error {
	k.table = nil
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, &k.table), "restoring the table")
}

// apply returns the table that counts after the entry.
func (k *Keeper) apply(_ quorum.Index, data []byte) (any, error) {
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decoding a table entry")
	}
	if e.Table != nil {
		k.table = routes.Later(k.table, e.Table)
	}
	return k.table, nil
}

// wanted returns the VMs that should be members: those that are, but for dead
// ones that others replace, and the control VMs that live.
func (k *Keeper) wanted(now time.Time, c quorum.Config) []vm.ID {
	alive := map[vm.ID]bool{k.self: true}
	for _, p := range k.config.Knowledge.VMs(func(p vm.Present) bool { return p.Control && now.Sub(p.Heard) < goneAfter }) {
		alive[p.VM] = true
	}
	return members(c, alive, len(k.config.Settings.Seeds))
}

// members returns the living VMs, and the silent voters as long as there are
// not enough living ones without them.
func members(c quorum.Config, alive map[vm.ID]bool, least int) []vm.ID {
	var ids []vm.ID
	for id := range alive {
		ids = append(ids, id)
	}
	living := 0
	for _, v := range c.Voters {
		if alive[v.VM] {
			living++
		}
	}
	for _, v := range c.Voters {
		if !alive[v.VM] && living < max(least, len(c.Voters)-1) {
			ids = append(ids, v.VM)
		}
	}
	return ids
}

// verdict is what became of a proposal, or who leads instead.
type verdict struct {
	Leads  bool          `json:"leads"`
	Leader vm.ID         `json:"leader,omitempty"`
	Table  *routes.Table `json:"table,omitempty"` // that counts
}

// decide proposes e if this member leads.
func (k *Keeper) decide(ctx context.Context, e entry) (verdict, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return verdict{}, code.New(code.Internal, "encoding a table: %v", err)
	}
	d, err := k.replica.Propose(ctx, data)
	if err != nil {
		return verdict{}, code.New(code.TableOutcomeUnsure, "%v", err)
	}
	table, _ := d.Result.(*routes.Table)
	return verdict{d.Leads, d.Leader, table}, nil
}

// propose finds the leader and has it decide about e.
func (k *Keeper) propose(ctx context.Context, e entry) (*routes.Table, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	to := k.self
	for {
		v, err := k.decideAt(ctx, to, e)
		if err != nil && !peer.NotSent(err) {
			return nil, code.Of(err)
		}
		if v.Leads {
			return v.Table, nil
		}
		to = k.self
		if v.Leader != "" {
			to = v.Leader
		}
		select {
		case <-ctx.Done():
			return nil, code.New(code.TableUnavailable, "no leader of the control quorum was found within %s", decideTimeout)
		case <-time.After(retryEvery):
		}
	}
}

func (k *Keeper) decideAt(ctx context.Context, to vm.ID, e entry) (verdict, error) {
	if to == k.self {
		return k.decide(ctx, e)
	}
	return peer.Call[verdict](ctx, k.config.Mesh, to, report.UseControl, methodPropose, e)
}

// Replace takes in a table. It returns without error once a table at least as
// late is on a majority of the disks.
func (k *Keeper) Replace(ctx context.Context, t *routes.Table) *code.Error {
	if err := t.Check(); err != nil {
		return code.New(code.BadField, "%v", err)
	}
	if held := k.config.Knowledge.Table(); held != nil && held.Version >= t.Version {
		return nil // it counts already, or will never
	}
	_, refusal := k.propose(ctx, entry{Table: t})
	return refusal
}

// Read returns the newest table, or a refusal where that is not sure.
func (k *Keeper) Read(ctx context.Context) (*routes.Table, *code.Error) {
	t, refusal := k.propose(ctx, entry{Barrier: true})
	if refusal == nil && t == nil {
		return nil, code.New(code.TableUnavailable, "there is no table yet")
	}
	return t, refusal
}
