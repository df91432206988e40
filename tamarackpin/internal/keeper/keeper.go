// Package keeper stores what operators order in a deployment whose VMs discover
// each other, replicated on the disks of the control VMs: the table of the highest
// version that a majority of them holds, and the failure domains that are evacuated. The
// operators' calls to read and replace the table, and to evacuate, end here.
package keeper

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/replica"
)

// Methods between control VMs: messages of the quorum, the identity of a member,
// and a proposal to the leader.
const (
	methodMessage  peer.Method = "keeper.message"
	methodIdentify peer.Method = "keeper.identify"
	methodPropose  peer.Method = "keeper.propose"
)

const (
	// replaceAfter is how long a member is unresponsive before others replace it:
	// longer than the freezes and partitions that the platform states.
	replaceAfter = 8 * time.Second
	// proposalTimeout bounds a proposal: two elections.
	proposalTimeout = 3 * time.Second
	// retryInterval is the pause before a proposal looks for the leader again.
	retryInterval = 50 * time.Millisecond
)

// Config has the dependencies of a Keeper; all fields are required.
type Config struct {
	Settings  *settings.Node
	Knowledge *fleet.Knowledge
	Mesh      *peer.Mesh
	Log       *zap.Logger
}

// Keeper is one control VM's member of the quorum that stores the table. It must be
// made by [New]. It is safe for concurrent use.
type Keeper struct {
	config  Config
	self    vm.ID
	replica *replica.Replica
	calls   calls
	support support

	// Used by the replica's goroutine only.
	state state
	// storingProposed has the members that store evacuations that this member last proposed to note.
	storingProposed   []quorum.Member
	storingProposedAt time.Time
}

// New opens the replica's state in the data folder and registers the Keeper's
// methods with x. It fails if that state cannot be opened; [Keeper.Run] must follow.
func New(c Config, x *peer.Mux) (*Keeper, error) {
	k, err := open(c, meshCalls(c.Mesh))
	if err != nil {
		return nil, err
	}
	k.register(x)
	return k, nil
}

// open does what New does with these calls, without registering methods.
func open(c Config, calls calls) (*Keeper, error) {
	k := &Keeper{config: c, self: c.Settings.ID(), calls: calls}
	var err error
	k.replica, err = replica.New(replica.Config{
		Folder: c.Settings.DataFolder, Self: k.self, Log: c.Log,
		Machine: replica.Machine{
			Apply:   func(_ quorum.Index, data []byte) (any, error) { return k.state.apply(time.Now(), data) },
			Restore: func(data []byte) error { return k.state.restore(time.Now(), data) },
			Settle:  k.settle, Snapshot: k.state.encode, Led: func(vm.ID) {},
		},
		Send: calls.message,
		Ask: func(ctx context.Context, v vm.ID) (replica.Identity, error) {
			id, err := calls.identify(ctx, v)
			if err == nil {
				k.support.record(id)
			}
			return id.Identity, err
		},
		Founders: c.Settings.Founders(), MayFound: c.Settings.FirstStart,
		Wanted: k.desiredMembers,
	})
	if err != nil {
		return nil, err
	}
	return k, nil
}

// Run takes part in the quorum until ctx is done, or returns an error once the disk
// cannot be trusted.
func (k *Keeper) Run(ctx context.Context) error { return k.replica.Run(ctx) }

// settle publishes the state on this VM. A leader also notes in the log which members store
// evacuations.
func (k *Keeper) settle(now time.Time, core *quorum.Core) {
	k.config.Knowledge.SetEvacuations(k.state.orders.set) // before the table, with which VMs take the set for known
	k.config.Knowledge.AdoptTable(k.state.table, k.self)
	k.proposeStoring(now, core)
}

// desiredMembers returns the VMs that should be members of the quorum: the
// responsive control VMs, and the unresponsive members that nobody replaces.
func (k *Keeper) desiredMembers(now time.Time, c quorum.Config, silent []quorum.Member) []vm.ID {
	alive := map[vm.ID]bool{k.self: true}
	for _, p := range k.config.Knowledge.VMs(func(p vm.Present) bool { return p.Control && now.Sub(p.Heard) < replaceAfter }) {
		alive[p.VM] = true
	}
	return members(c, alive, silent, len(k.config.Settings.Seeds))
}

// members returns the alive VMs, and the unresponsive voters while there are not
// enough alive voters without them: minMembers, or all voters but one if that is
// more. Of an even number of voters a silent one is left out at once: one voter fewer
// tolerates the loss of as many disks, and a VM that has a successor is lost for good.
func members(c quorum.Config, alive map[vm.ID]bool, silent []quorum.Member, minMembers int) []vm.ID {
	surplus := len(c.Voters)%2 == 0 && len(c.Voters) > minMembers
	removable := func(v quorum.Member) bool { return surplus && slices.Contains(silent, v) }
	var ids []vm.ID
	for id := range alive {
		if v, votes := c.Disk(id); !votes || !removable(v) {
			ids = append(ids, id)
		}
	}
	aliveVoters := 0
	for _, v := range c.Voters {
		if alive[v.VM] {
			aliveVoters++
		}
	}
	for _, v := range c.Voters {
		if !alive[v.VM] && !removable(v) && aliveVoters < max(minMembers, len(c.Voters)-1) {
			ids = append(ids, v.VM)
		}
	}
	return ids
}

// proposalResult is the outcome of a proposal, or the leader if the member asked is
// not it.
type proposalResult struct {
	Leads  bool          `json:"leads"`
	Leader vm.ID         `json:"leader,omitempty"`
	Table  *routes.Table `json:"table,omitempty"` // current one after the proposal
	// Applied reports that the proposed order was applied, and Revision is that of its failure domain
	// after the proposal.
	Applied  bool                `json:"applied,omitempty"`
	Revision evacuation.Revision `json:"revision,omitempty"`
}

// proposeLocal proposes e if this member is the leader, and waits until it is
// applied. After an error with code.TableOutcomeUnsure it may still be applied.
func (k *Keeper) proposeLocal(ctx context.Context, e entry) (proposalResult, error) {
	if e.Order != nil {
		unlogged, refusal := k.checkSupport(ctx)
		if refusal != nil {
			return proposalResult{}, refusal
		}
		e.Storing = unlogged
		e.Order.Proposed = time.Now().UnixMilli()
	}
	data, err := encode(e)
	if err != nil {
		return proposalResult{}, code.New(code.Internal, "encoding a table: %v", err)
	}
	d, err := k.replica.Propose(ctx, data)
	if err != nil {
		return proposalResult{}, code.New(code.TableOutcomeUnsure, "%v", err)
	}
	r, _ := d.Result.(result)
	return proposalResult{d.Leads, d.Leader, r.table, r.applied, r.revision}, nil
}

// propose finds the leader, proposes e there and returns the result. It
// looks for the leader again only if e was surely not proposed: the member asked
// does not lead, or the call was not sent.
func (k *Keeper) propose(ctx context.Context, e entry) (proposalResult, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	to := k.self
	for {
		result, err := k.proposeAt(ctx, to, e)
		if err != nil && !peer.NotSent(err) {
			return proposalResult{}, code.Of(err)
		}
		if result.Leads {
			return result, nil
		}
		to = k.self
		if result.Leader != "" {
			to = result.Leader
		}
		select {
		case <-ctx.Done():
			return proposalResult{}, code.New(code.TableUnavailable, "no leader of the control quorum was found within %s", proposalTimeout)
		case <-time.After(retryInterval):
		}
	}
}

// proposeAt proposes e at another member, or at this one, if that member leads.
func (k *Keeper) proposeAt(ctx context.Context, to vm.ID, e entry) (proposalResult, error) {
	if to == k.self {
		return k.proposeLocal(ctx, e)
	}
	return k.calls.propose(ctx, to, e)
}

// Replace stores a table. It returns nil once a table of the same or a higher
// version is on a majority of the disks. code.BadField says that the table is
// invalid, code.TableUnavailable that it was not stored; after any other error it
// may have been.
func (k *Keeper) Replace(ctx context.Context, t *routes.Table) *code.Error {
	if err := t.Check(); err != nil {
		return code.New(code.BadField, "%v", err)
	}
	if current := k.config.Knowledge.Table(); current != nil && current.Version >= t.Version {
		return nil // stored already, or superseded
	}
	_, refusal := k.propose(ctx, entry{Table: t})
	return refusal
}

// Read returns the newest table, confirmed by a barrier in the log, or an error if it
// cannot be confirmed or there is no table yet.
func (k *Keeper) Read(ctx context.Context) (*routes.Table, *code.Error) {
	result, refusal := k.propose(ctx, entry{Barrier: true})
	if refusal == nil && result.Table == nil {
		return nil, code.New(code.TableUnavailable, "there is no table yet")
	}
	return result.Table, refusal
}
