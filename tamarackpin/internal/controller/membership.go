package controller

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Times of the loops that form the quorum and change its members.
const (
	bootstrapEvery = 200 * time.Millisecond
	memberEvery    = time.Second
	memberSoon     = 50 * time.Millisecond
	// changeAfter is how many rounds in a row a member must show another disk
	// than the quorum knows before it is replaced.
	changeAfter = 3
)

// identity is what a member says of its disk.
type identity struct {
	Member quorum.Member `json:"member"`
	Empty  bool          `json:"empty"` // it was never part of a quorum
}

func (m *member) identify(ctx context.Context) (identity, error) {
	var id identity
	if !m.do(ctx, func(m *member, _ time.Time) { id = identity{m.log.Member, m.empty} }) {
		return id, code.New(code.Draining, "this entry VM stopped")
	}
	return id, nil
}

// ask returns the identity of another member.
func (m *member) ask(ctx context.Context, v vm.ID) (identity, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if v == m.k.self.VM {
		id, err := m.identify(ctx)
		return id, err == nil
	}
	id, err := peer.Call[identity](ctx, m.k.config.Mesh, v, report.UseControl, methodIdentify, struct{}{})
	return id, err == nil && id.Member.VM == v
}

// bootstrapLoop starts the quorum when every member's disk is empty. Only the
// first of them does, and only once it has heard all: a disk that was lost
// later finds the others not empty, and cannot start a second quorum.
func (m *member) bootstrapLoop(ctx context.Context) {
	members := controlVMs(m.k.config.Settings.VMs)
	if m.k.self.VM != members[0] {
		return
	}
	for m.unstarted(ctx) {
		var voters []quorum.Member
		for _, v := range members {
			if id, ok := m.ask(ctx, v); ok && id.Empty {
				voters = append(voters, id.Member)
			}
		}
		if len(voters) == len(members) {
			m.do(ctx, func(m *member, now time.Time) { m.bootstrap(now, voters) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapEvery):
		}
	}
}

func (m *member) unstarted(ctx context.Context) bool {
	id, err := m.identify(ctx)
	return err == nil && id.Empty
}

func (m *member) bootstrap(now time.Time, voters []quorum.Member) {
	if !m.empty {
		return
	}
	saved := quorum.Bootstrap(voters)
	if err := m.log.SaveSnapshot(saved); err != nil {
		m.k.config.Log.Error("starting the control quorum failed", zap.Error(err))
		return
	}
	m.empty = false
	m.saved = saved
	m.core = quorum.New(now, m.log.Member, saved, m.core.Random())
}

// controlVMs returns the members that the settings name, in order.
func controlVMs(vms []settings.VM) []vm.ID {
	var ids []vm.ID
	for _, v := range vms {
		if v.Control {
			ids = append(ids, v.VM)
		}
	}
	slices.Sort(ids)
	return ids
}

// memberLoop keeps the members as the settings say, one step at a time: a VM
// that came back with another disk is taken out, brought up to date as a
// learner, and made a voter again.
func (m *member) memberLoop(ctx context.Context) {
	strange := make(map[quorum.Member]int)
	pause := memberEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = memberEvery
		leads := false
		m.do(ctx, func(m *member, _ time.Time) { leads = m.core.Role() == quorum.Leader })
		if !leads {
			clear(strange)
			continue
		}
		if m.memberRound(ctx, strange) {
			pause = memberSoon
		}
	}
}

// memberRound takes one step and reports whether another may follow at once.
func (m *member) memberRound(ctx context.Context, strange map[quorum.Member]int) (changing bool) {
	wanted := make(map[vm.ID]quorum.Member)
	seen := make(map[quorum.Member]bool)
	for _, v := range controlVMs(m.k.config.Settings.VMs) {
		wanted[v] = quorum.Member{}
		id, ok := m.ask(ctx, v)
		if !ok {
			continue
		}
		seen[id.Member] = true
		strange[id.Member]++
		if strange[id.Member] >= changeAfter {
			wanted[v] = id.Member
		}
	}
	for s := range strange {
		if !seen[s] {
			delete(strange, s)
		}
	}
	m.do(ctx, func(m *member, now time.Time) {
		next, ok := nextConfig(m.core.Config(), wanted, m.core.CaughtUp())
		if changing = ok; !ok {
			return
		}
		if err := m.core.ProposeConfig(now, next); err != nil {
			m.k.config.Log.Debug("changing the control members must wait", zap.Error(err))
		}
	})
	return changing
}

// nextConfig returns the next step from c towards the wanted members. A wanted
// member without a disk is one that cannot be asked now; it stays as it is. A
// member with a new disk is brought up to date as a learner before the old disk
// is taken out, so that the quorum is smaller for a moment only.
func nextConfig(c quorum.Config, wanted map[vm.ID]quorum.Member, caughtUp bool) (quorum.Config, bool) {
	if l := c.Learner; !l.IsZero() {
		return nextOfLearner(c, wanted[l.VM], caughtUp)
	}
	for _, v := range c.Voters {
		if _, listed := wanted[v.VM]; !listed && len(c.Voters) > 1 {
			return quorum.Config{Voters: without(c.Voters, v)}, true
		}
	}
	for v, w := range wanted {
		if voter, votes := c.Disk(v); !w.IsZero() && (!votes || voter != w) {
			return quorum.Config{Voters: c.Voters, Learner: w}, true
		}
	}
	return c, false
}

// nextOfLearner returns the next step while there is a learner; wanted is the
// member that its VM should be.
func nextOfLearner(c quorum.Config, wanted quorum.Member, caughtUp bool) (quorum.Config, bool) {
	switch old, votes := c.Disk(c.Learner.VM); {
	case wanted.IsZero():
		return c, false
	case wanted != c.Learner:
		return quorum.Config{Voters: c.Voters}, true
	case !caughtUp:
		return c, false
	case votes:
		return quorum.Config{Voters: without(c.Voters, old), Learner: c.Learner}, true
	}
	return quorum.Config{Voters: append(slices.Clone(c.Voters), c.Learner)}, true
}

func without(voters []quorum.Member, out quorum.Member) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(voters), func(m quorum.Member) bool { return m == out })
}
