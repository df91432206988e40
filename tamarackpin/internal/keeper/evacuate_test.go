package keeper

import (
	"sync"
	"testing"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// TestOrderSurvivesPowerLoss guards against an acknowledged order that is lost when all members are stopped right after the
// acknowledgement, or when one of them has lost its disk as well.
func TestOrderSurvivesPowerLoss(t *testing.T) {
	for _, test := range []struct {
		name     string
		loseDisk bool
	}{{"all disks", false}, {"a disk lost", true}} {
		inCluster(t, func(_ *testing.T, c *cluster) {
			c.startAll()
			c.order(1, true)
			var stops sync.WaitGroup
			for _, m := range c.members {
				stops.Go(m.end)
			}
			stops.Wait()
			if test.loseDisk {
				c.members[0].wipe()
			}
			c.startAll()
			c.awaitEvacuated(true)
			c.order(2, false)
			c.awaitEvacuated(false)
		})
	}
}

// TestLeaderLostDuringOrder: the leader is lost while orders are under way. The operator sends its order again, and it is in
// force once at the end, whether or not the leader had committed a copy of it.
func TestLeaderLostDuringOrder(t *testing.T) {
	const runs, lostWithin = 20, 3 * maxMessageDelay
	var longest time.Duration
	for run := range runs {
		inCluster(t, func(_ *testing.T, c *cluster) {
			c.startAll()
			c.order(0, true)
			leader := c.leader()
			done := make(chan time.Duration, 1)
			go func() { done <- c.order(run, false) }()
			time.Sleep(disconnectDelay + lostWithin*time.Duration(run)/runs)
			leader.end()
			longest = max(longest, <-done)
			c.awaitEvacuated(false)
			leader.start()
			c.awaitEvacuated(false)
		})
	}
	t.Logf("acknowledged after %s at most", longest)
}

// TestOperatorsAtOnce: two operators send opposite orders at the same time through different members. Both are
// acknowledged, and all members agree on the outcome.
func TestOperatorsAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		c.order(0, false)
		for range 5 {
			before := c.leader().knowledge.Evacuations().Revision()
			var operators sync.WaitGroup
			for i, evacuate := range []bool{true, false} {
				operators.Go(func() { c.order(i+1, evacuate) })
			}
			operators.Wait()
			set := c.leader().knowledge.Evacuations()
			if set.Revision() < before+2 {
				t.Errorf("revision %d after two acknowledged orders, %d before", set.Revision(), before)
			}
			c.awaitEvacuated(set.Contains(evacuatedDomain))
		}
	})
}

// TestOrderResent: an order that is in force is acknowledged again, within a second, and changes neither the set nor the age of the
// evacuation.
func TestOrderResent(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		c.order(0, true)
		before := c.awaitEvacuated(true)
		for i := range 3 {
			if took := c.order(i, true); took > time.Second {
				t.Errorf("acknowledged after %s while the quorum is stable", took)
			}
		}
		c.await("the last order at all members", func() bool { return c.awaitEvacuated(true).Revision() == before.Revision()+3 })
		now := time.Now()
		if first, again := before.Age(now, evacuatedDomain), c.leader().knowledge.Evacuations().Age(now, evacuatedDomain); again < first-time.Second || again > first+time.Second {
			t.Errorf("age %s after the order was sent again, want %s", again, first)
		}
	})
}

// TestLateCopyDoesNotWin: a copy of a Begin is read after a later Finish was acknowledged, by a member that was suspended, and its
// sender has gone; or it was read before the Finish, and is proposed late.
func TestLateCopyDoesNotWin(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		c.order(0, true)
		stale := c.awaitEvacuated(true).RevisionOf(evacuatedDomain)
		c.order(0, false)
		finished := c.awaitEvacuated(false)
		for _, test := range []struct {
			name    string
			waiting func() bool
			read    func(k *Keeper, waiting func() bool) *code.Error
		}{
			{"read late", func() bool { return false }, func(k *Keeper, waiting func() bool) *code.Error {
				return k.Evacuate(t.Context(), evacuatedDomain, true, waiting)
			}},
			{"proposed late", firstCalls(1), func(k *Keeper, waiting func() bool) *code.Error {
				_, refusal := k.proposeOrder(t.Context(), &order{FailureDomain: evacuatedDomain, Evacuated: true, Known: stale}, waiting)
				return refusal
			}},
		} {
			for i, m := range c.members {
				if refusal := test.read(m.keeper, test.waiting); refusal == nil || refusal.Code != code.TableUnavailable {
					t.Errorf("%s at member %d: %v", test.name, i, refusal)
				}
			}
			if got := c.awaitEvacuated(false); got.Revision() != finished.Revision() {
				t.Errorf("%s: revision %d, want %d", test.name, got.Revision(), finished.Revision())
			}
		}
		_, refusal := c.members[1].keeper.proposeOrder(t.Context(), &order{FailureDomain: evacuatedDomain, Evacuated: true, Known: stale}, nil)
		if refusal != nil {
			t.Errorf("an order read with an old revision, whose sender waits: %v", refusal)
		}
		c.awaitEvacuated(true)
	})
}

// firstCalls returns a function that returns true as often as n at each of the three members.
func firstCalls(n int) func() bool {
	calls := 0
	return func() bool {
		calls++
		return (calls-1)%(n+1) < n
	}
}

// TestMemberWithEmptyDisk: a member loses its disk. Orders are accepted meanwhile, and it learns of all of them.
func TestMemberWithEmptyDisk(t *testing.T) {
	inCluster(t, func(_ *testing.T, c *cluster) {
		c.startAll()
		c.order(0, true)
		c.members[2].wipe()
		c.order(0, true)
		c.members[2].start()
		c.awaitEvacuated(true)
		c.order(2, false)
		c.awaitEvacuated(false)
	})
}

// TestQuorumWithEarlierBuild: orders are refused while a member runs a build that would drop them from its
// snapshots, and accepted once it is upgraded.
func TestQuorumWithEarlierBuild(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.members[0].earlier = true
		c.startAll()
		c.leader()
		for i, m := range c.members[1:] {
			for range 20 {
				refusal := m.keeper.Evacuate(t.Context(), evacuatedDomain, true, nil)
				if refusal == nil || refusal.Code.Entry().Status != 503 {
					t.Fatalf("member %d: %v", i+1, refusal)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		c.members[0].end()
		c.members[0].earlier = false
		c.members[0].start()
		c.await("an acknowledgement after the upgrade", func() bool {
			return c.members[1].keeper.Evacuate(t.Context(), evacuatedDomain, true, nil) == nil
		})
		c.awaitEvacuated(true)
	})
}

// TestOrderWithoutLostMember: a member is lost for good, and then all others restart, so that none of them has heard what
// build it runs. Orders are accepted at once: the log says that it stores evacuations.
func TestOrderWithoutLostMember(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		c.order(0, true)
		c.await("all members in the log", func() bool {
			all := true
			for _, m := range c.members {
				k := m.running()
				k.replica.Do(t.Context(), func(*quorum.Core, time.Time) { all = all && len(k.state.storing) == 3 })
			}
			return all
		})
		for _, m := range c.members {
			m.end()
		}
		c.members[0].start()
		c.members[1].start()
		c.leader()
		if took := c.order(0, false); took > 2*time.Second {
			t.Errorf("acknowledged after %s", took)
		}
		c.awaitEvacuated(false)
	})
}

// TestUnknownFailureDomain: it is refused with its own code, unless workers, which may name it, have not announced themselves.
func TestUnknownFailureDomain(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		k := c.members[0].running()
		for _, test := range []struct {
			domain     vm.FailureDomain
			configured bool
			want       code.Code
		}{{"zone-z", true, code.UnknownFailureDomain}, {"", true, code.UnknownFailureDomain}, {"zone-z", false, code.TableUnavailable}} {
			if !test.configured {
				c.members[0].settings.FailureDomains = nil
			}
			if refusal := k.Evacuate(t.Context(), test.domain, true, nil); refusal == nil || refusal.Code != test.want {
				t.Errorf("failure domain %q, configured %t: %v, want code %d", test.domain, test.configured, refusal, test.want)
			}
		}
		if refusal := k.checkFailureDomain("zone-a"); refusal != nil {
			t.Errorf("the failure domain of this VM: %v", refusal)
		}
	})
}

// TestSnapshotReachesEmptyDisk: a member with an empty disk gets the set by a snapshot, once the log that had the orders was replaced by
// one, with the age of the evacuation.
func TestSnapshotReachesEmptyDisk(t *testing.T) {
	const entries, atOnce = 2200, 200 // package replica replaces a log of 2,000 entries
	inCluster(t, func(t *testing.T, c *cluster) {
		c.startAll()
		c.order(0, true)
		leader := c.leader()
		for range entries / atOnce {
			var proposals sync.WaitGroup
			for range atOnce {
				proposals.Go(func() {
					if _, err := leader.running().proposeLocal(t.Context(), entry{Barrier: true}); err != nil {
						t.Error(err)
					}
				})
			}
			proposals.Wait()
		}
		compacted := false
		leader.running().replica.Do(t.Context(), func(core *quorum.Core, _ time.Time) { compacted = core.LogLength() < entries })
		if !compacted || !leader.leads() {
			t.Fatalf("the log was replaced: %t; the member leads: %t", compacted, leader.leads())
		}
		empty := c.members[0]
		if empty == leader {
			empty = c.members[1]
		}
		empty.wipe()
		time.Sleep(3 * time.Second)
		empty.start()
		c.awaitEvacuated(true)
		now := time.Now()
		if got, want := empty.knowledge.Evacuations().Age(now, evacuatedDomain), leader.knowledge.Evacuations().Age(now, evacuatedDomain); got < 3*time.Second || (got-want).Abs() > time.Second {
			t.Errorf("age %s at the member with the empty disk, %s at the leader", got, want)
		}
	})
}
