package lead

import (
	"math/rand/v2"
	"testing"
	"time"
)

// cutOff loses the heartbeats between VM i and all others, and not the calls to control VMs.
func (s *sim) cutOff(i int, sends, receives bool) {
	for j := range s.vms {
		if j != i {
			s.cut[[2]int{i, j}], s.cut[[2]int{j, i}] = sends, receives
		}
	}
}

// successorKnownAfter is how long after a cut a leader that hears only control VMs leads at most: until the
// claim of its successor, and twice the delay of a control VM.
const successorKnownAfter = LeaderTimeout + 200*time.Millisecond + 2*maxSyncDelay

// TestLeaderCutFromItsPeersStepsDown: a leader that its peers do not hear went on beside its successor for as long as
// a control VM answered it, and took the lead back when a worker had refused it.
func TestLeaderCutFromItsPeersStepsDown(t *testing.T) {
	for _, c := range []struct {
		name            string
		vms             int
		sends, receives bool // lost by the leader
		leads           int
	}{
		{"both directions", 3, true, true, 1},
		{"both directions, one peer", 2, true, true, 1},
		{"it is not heard", 3, true, false, 1},
		{"it does not hear", 3, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(c.vms)
			s.advance(1200 * time.Millisecond)
			s.expectLeader(t, 0, "after the start")
			s.cutOff(0, c.sends, c.receives)
			s.advance(successorKnownAfter)
			for range 200 {
				s.advance(tickInterval)
				if s.expectLeader(t, c.leads, "during the cut"); t.Failed() {
					break
				}
			}
			claims := len(s.claims)
			clear(s.cut)
			s.advance(3 * time.Second)
			s.expectLeader(t, c.leads, "after the cut")
			if claims > 2 || len(s.claims) != claims {
				t.Errorf("%d claims until the end of the cut, %d later: %+v; want one for the cut at most", claims, len(s.claims)-claims, s.claims)
			}
		})
	}
}

// TestHalvesHaveOneLeader: two halves of a failure domain that control VMs hear, but not each other.
func TestHalvesHaveOneLeader(t *testing.T) {
	s := newSim(4)
	s.advance(1200 * time.Millisecond)
	for _, i := range []int{0, 1} {
		for _, j := range []int{2, 3} {
			s.cut[[2]int{i, j}], s.cut[[2]int{j, i}] = true, true
		}
	}
	s.advance(successorKnownAfter)
	for range 400 {
		s.advance(tickInterval)
		if s.expectLeader(t, 2, "during the cut"); t.Failed() {
			t.Fatalf("%s after the start, claims %+v", s.now.Sub(time.Unix(1_700_000_000, 0)), s.claims)
		}
	}
}

// TestCutOffLeaderIsReplacedLater: the VM that should succeed a leader that is cut off is dead, and the others do not wait
// for the leader although control VMs hear it.
func TestCutOffLeaderIsReplacedLater(t *testing.T) {
	s := newSim(4)
	s.advance(1200 * time.Millisecond)
	s.cutOff(0, true, true)
	s.frozen[1] = true
	s.advance(successorKnownAfter + probeDuration + 100*time.Millisecond)
	s.expectLeader(t, 2, "with the successor dead")
}

// TestCutOffVMLeadsAfterItsSuccessor: the only peer replaces a leader that does not hear it, and dies. What control VMs
// tell of it holds the other one up for reportedLeadTimeout at most.
func TestCutOffVMLeadsAfterItsSuccessor(t *testing.T) {
	s := newSim(2)
	s.advance(1200 * time.Millisecond)
	s.cutOff(0, true, true)
	s.advance(4 * time.Second)
	s.expectLeader(t, 1, "during the cut")
	s.frozen[1] = true
	s.advance(reportedLeadTimeout + 100*time.Millisecond)
	s.expectLeader(t, 0, "with the successor dead")
}

// TestOneLeaderUnderRandomCuts: as TestOneLeaderUnderRandomFaults, with VMs that only control VMs hear. While nothing
// else fails, such a VM and the others do not take the lead from each other in turn.
func TestOneLeaderUnderRandomCuts(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := newSim(2 + r.IntN(3))
		s.syncDelay = func(int) time.Duration { return time.Duration(r.Int64N(int64(maxSyncDelay))) }
		for range 12 {
			i := r.IntN(len(s.vms))
			switch r.IntN(6) {
			case 0:
				s.frozen[i] = true
			case 1:
				s.partitioned[i] = true
			case 2:
				s.restart(i)
			case 3:
				clear(s.frozen)
				clear(s.partitioned)
				clear(s.cut)
			default:
				s.cutOff(i, r.IntN(4) > 0, r.IntN(4) > 0)
			}
			s.advance(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		clear(s.frozen)
		clear(s.partitioned)
		clear(s.cut)
		i := r.IntN(len(s.vms))
		s.cutOff(i, true, true)
		s.advance(6 * time.Second)
		claims := len(s.claims)
		for range 250 {
			s.advance(tickInterval)
			if got := s.leaders(); len(got) != 1 || len(s.claims) != claims {
				t.Fatalf("seed %d: leaders %v while VM %d is cut off from its peers, claims %+v", seed, got, i, s.claims[claims:])
			}
		}
		clear(s.cut)
		s.advance(2500 * time.Millisecond)
		if got := s.leaders(); len(got) != 1 {
			t.Fatalf("seed %d: leaders %v after the cuts, want one", seed, got)
		}
	}
}
