package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/replica"
)

// identity is the reply to methodIdentify. Earlier builds ignore its second field, and do not send it.
type identity struct {
	replica.Identity
	// StoresEvacuations reports that the member's build applies orders and keeps them in its snapshots.
	StoresEvacuations bool `json:"stores_evacuations,omitempty"`
}

// support has what members announced about their builds. A leader asks all members a few times a
// second (package replica). The zero value has heard of none. It is safe for concurrent use.
type support struct {
	mu      sync.Mutex // guards members
	members map[vm.ID]identity
}

// record records what a member replied.
func (s *support) record(id identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil {
		s.members = make(map[vm.ID]identity)
	}
	s.members[id.Member.VM] = id
}

// storing returns the members that store evacuations, and the others, of those of the quorum: by their last
// reply, or, without one, by the list in the log.
func (s *support) storing(self vm.ID, c quorum.Config, logged []quorum.Member) (storing, others []quorum.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := slices.Clone(c.Voters)
	if !c.Learner.IsZero() {
		members = append(members, c.Learner)
	}
	for _, m := range members {
		id, asked := s.members[m.VM]
		asked = asked && id.Member == m
		if m.VM == self || asked && id.StoresEvacuations || !asked && slices.Contains(logged, m) {
			storing = append(storing, m)
		} else {
			others = append(others, m)
		}
	}
	return storing, others
}

// checkSupport returns an error on a leader while a member of the quorum has not announced that it
// stores evacuations: a member of an earlier build would drop them from its snapshots. It returns the members unless the log
// has them already.
func (k *Keeper) checkSupport(ctx context.Context) (unlogged *[]quorum.Member, refusal *code.Error) {
	for {
		var storing, logged, others []quorum.Member
		behind := false // what earlier leaders logged may not be applied yet
		if !k.replica.Do(ctx, func(core *quorum.Core, _ time.Time) {
			if core.Role() == quorum.Leader {
				logged, behind = k.state.storing, !core.Current()
				storing, others = k.support.storing(k.self, core.Config(), logged)
			}
		}) {
			return nil, code.New(code.TableUnavailable, "%v", replica.ErrStopped)
		}
		switch {
		case len(others) == 0 && sameMembers(storing, logged):
			return nil, nil
		case len(others) == 0:
			return &storing, nil
		case !behind:
			return nil, code.New(code.QuorumOutdated, "control VM %s has not announced that it stores evacuations", others[0].VM)
		}
		select {
		case <-ctx.Done():
			return nil, code.New(code.TableUnavailable, "the leader of the control quorum has not committed anything yet")
		case <-time.After(behindInterval):
		}
	}
}

const (
	// storingInterval is the least time between two proposals of the same members that store evacuations: an entry is
	// committed well within it.
	storingInterval = time.Second
	// behindInterval is the pause before an order is checked again by a leader that has just been elected.
	behindInterval = 10 * time.Millisecond
)

// proposeStoring notes in the log which members store evacuations, if that has changed. A later leader needs it
// for members that it has not heard yet, which may be lost for good. The entry of an order notes it too, so that the next
// order is accepted if the leader is lost right after the first one.
func (k *Keeper) proposeStoring(now time.Time, core *quorum.Core) {
	if !core.Current() {
		return
	}
	storing, _ := k.support.storing(k.self, core.Config(), k.state.storing)
	if sameMembers(storing, k.state.storing) || sameMembers(storing, k.storingProposed) && now.Sub(k.storingProposedAt) < storingInterval {
		return
	}
	k.storingProposed, k.storingProposedAt = storing, now
	data, err := encode(entry{Storing: &storing})
	if err == nil {
		_, _, err = core.Propose(now, data)
	}
	if err != nil {
		k.config.Log.Debug("noting the members that store evacuations failed", zap.Int("members", len(storing)), event.Err(err))
	}
}

func sameMembers(a, b []quorum.Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m quorum.Member) bool { return !slices.Contains(b, m) })
}
