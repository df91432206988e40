package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/fleet"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// cluster is three control VMs in one process. Their calls are encoded and decoded as on the wire, and delayed at random.
type cluster struct {
	t       *testing.T
	members []*clusterMember
}

// clusterMember is one control VM.
type clusterMember struct {
	cluster   *cluster
	settings  settings.Node
	earlier   bool // it runs a build that does not store evacuations
	knowledge *fleet.Knowledge

	mu     sync.Mutex // guards the fields below
	keeper *Keeper    // nil while no process runs
	stop   func()     // ends the process and waits for it; nil while no process runs
}

// evacuatedDomain is a failure domain that the settings of a cluster name.
const evacuatedDomain vm.FailureDomain = "zone-b"

// inCluster runs a test with a cluster, in a synctest bubble: on the machine's clock a member that lacks a processor or its disk for a
// second loses its leadership, and the times that are checked here are exceeded.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t}
		var seeds []settings.Address
		for i := range 3 {
			seeds = append(seeds, settings.Address(fmt.Sprintf("127.0.66.%d:1", i+1)))
		}
		for i := range 3 {
			c.members = append(c.members, &clusterMember{cluster: c, settings: settings.Node{
				IP: settings.IP(netip.MustParseAddr(fmt.Sprintf("127.0.66.%d", i+1))), FailureDomain: "zone-a", Control: seeds[i], Seeds: seeds, FirstStart: true,
				DataFolder: t.TempDir(), FailureDomains: []vm.FailureDomain{"zone-a", evacuatedDomain},
			}})
		}
		defer func() {
			for _, m := range c.members {
				m.end()
			}
			time.Sleep(proposalTimeout) // until calls that are under way have ended
		}()
		test(t, c)
	})
}

// startAll starts all members.
func (c *cluster) startAll() {
	for _, m := range c.members {
		m.start()
	}
}

// errLost is returned by calls whose reply is lost.
var errLost = errors.New("the reply was lost")

// call delivers a call to another member and returns its reply, each encoded as on the wire. A call to a member that does not run is
// not sent.
func call[Params, Result any](ctx context.Context, c *cluster, to vm.ID, p Params, serve func(m *clusterMember, k *Keeper, p Params) (Result, error)) (Result, error) {
	type outcome struct {
		result Result
		err    error
	}
	var none Result
	time.Sleep(rand.N(maxMessageDelay))
	for _, m := range c.members {
		if m.settings.ID() != to {
			continue
		}
		k := m.running()
		if k == nil {
			break
		}
		raw, err := json.Marshal(p)
		if err != nil {
			return none, err
		}
		reply := make(chan outcome, 1)
		go func() {
			var received Params
			var o outcome
			if o.err = wire.DecodeStrict(raw, &received); o.err == nil {
				o.result, o.err = serve(m, k, received)
			}
			time.Sleep(rand.N(maxMessageDelay))
			reply <- o
		}()
		select {
		case o := <-reply:
			if m.running() != k {
				return none, errLost
			}
			return o.result, o.err
		case <-ctx.Done():
			return none, errors.Wrap(ctx.Err(), "calling a member")
		}
	}
	return none, errors.Mark(errors.Newf("%s does not run", to), peer.ErrNotSent)
}

// calls returns the calls of a member.
func (c *cluster) calls() calls {
	return calls{
		message: func(ctx context.Context, to vm.ID, msg quorum.Message) error {
			_, err := call(ctx, c, to, msg, func(_ *clusterMember, k *Keeper, msg quorum.Message) (struct{}, error) {
				k.replica.Receive(ctx, msg)
				return struct{}{}, nil
			})
			return err
		},
		identify: func(ctx context.Context, to vm.ID) (identity, error) {
			return call(ctx, c, to, struct{}{}, func(m *clusterMember, k *Keeper, _ struct{}) (identity, error) {
				id, err := k.identify(ctx)
				id.StoresEvacuations = !m.earlier // if it leads, it notes itself as one that does, and never asks itself
				return id, err
			})
		},
		propose: func(ctx context.Context, to vm.ID, e entry) (proposalResult, error) {
			return call(ctx, c, to, e, func(m *clusterMember, k *Keeper, e entry) (proposalResult, error) {
				if m.earlier && e.Order != nil {
					return proposalResult{}, code.New(code.BadJSON, "unknown field")
				}
				return k.proposeLocal(ctx, e)
			})
		},
	}
}

// start starts a member's process with what its disk holds.
func (m *clusterMember) start() {
	t, id := m.cluster.t, m.settings.ID()
	log := zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)).Named(string(id))
	m.knowledge = fleet.NewKnowledge(vm.Presence{VM: id, FailureDomain: m.settings.FailureDomain, Incarnation: 1, Control: true}, log)
	k, err := open(Config{Settings: &m.settings, Knowledge: m.knowledge, Log: log}, m.cluster.calls())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		if err := k.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keeper, m.stop = k, func() {
		cancel()
		<-ran
	}
}

// running returns the Keeper of the member's process, or nil.
func (m *clusterMember) running() *Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keeper
}

// end ends a member's process, if it runs.
func (m *clusterMember) end() {
	m.mu.Lock()
	stop := m.stop
	m.keeper, m.stop = nil, nil
	m.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// wipe ends a member's process and loses its disk.
func (m *clusterMember) wipe() {
	m.end()
	m.settings.DataFolder = m.cluster.t.TempDir()
}

// leads reports whether a running member leads the quorum.
func (m *clusterMember) leads() (leads bool) {
	if k := m.running(); k != nil {
		k.replica.Do(m.cluster.t.Context(), func(core *quorum.Core, _ time.Time) { leads = core.Role() == quorum.Leader })
	}
	return leads
}

// leader waits for a leader and returns it.
func (c *cluster) leader() (leader *clusterMember) {
	c.await("a leader", func() bool {
		for _, m := range c.members {
			if m.leads() {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

// await waits until a condition holds, for up to 10 s.
func (c *cluster) await(condition string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("there is not %s within 10 s", condition)
		}
	}
}

// awaitEvacuated waits until all running members know the same set, in which the failure domain is evacuated or not, and returns it.
func (c *cluster) awaitEvacuated(evacuated bool) (set evacuation.Set) {
	c.t.Helper()
	c.await(fmt.Sprintf("the order (evacuated: %t) at all members", evacuated), func() bool {
		var revisions []evacuation.Revision
		for _, m := range c.members {
			if m.running() != nil {
				set = m.knowledge.Evacuations()
				if revisions = append(revisions, set.Revision()); set.Contains(evacuatedDomain) != evacuated || set.Revision() != revisions[0] {
					return false
				}
			}
		}
		return true
	})
	return set
}

// operatorTimeout and operatorLimit are how long an operator waits for a reply, and for the acknowledgement in all.
const operatorTimeout, operatorLimit = time.Second, 5 * time.Second

// order sends an order as operators do, to one running member after the other from m on, until it is acknowledged, and
// returns how long that took.
func (c *cluster) order(m int, evacuate bool) time.Duration {
	c.t.Helper()
	startedAt, pause := time.Now(), 50*time.Millisecond
	var last *code.Error
	for time.Since(startedAt) < operatorLimit {
		if k := c.members[m%len(c.members)].running(); k != nil {
			ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
			last = k.Evacuate(ctx, evacuatedDomain, evacuate, func() bool { return ctx.Err() == nil })
			cancel()
			if last == nil {
				return time.Since(startedAt)
			}
			pause *= 2
		}
		time.Sleep(pause)
		m++
	}
	c.t.Errorf("the order (evacuate: %t) was not acknowledged within %s: %v", evacuate, operatorLimit, last)
	return operatorLimit
}
