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
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(memberEvery):
		}
		leads := false
		m.do(ctx, func(m *member, _ time.Time) { leads = m.core.Role() == quorum.Leader })
		if !leads {
			clear(strange)
			continue
		}
		m.memberRound(ctx, strange)
	}
}

func (m *member) memberRound(ctx context.Context, strange map[quorum.Member]int) {
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
		if !ok {
			return
		}
		if err := m.core.ProposeConfig(now, next); err != nil {
			m.k.config.Log.Debug("changing the control members must wait", zap.Error(err))
		}
	})
}

// nextConfig returns the next step from c towards the wanted members. A wanted
// member without a disk is one that cannot be asked now; it stays as it is.
func nextConfig(c quorum.Config, wanted map[vm.ID]quorum.Member, caughtUp bool) (quorum.Config, bool) {
	for _, v := range c.Voters {
		w, listed := wanted[v.VM]
		if !listed || !w.IsZero() && w != v {
			rest := slices.DeleteFunc(slices.Clone(c.Voters), func(o quorum.Member) bool { return o == v })
			return quorum.Config{Voters: rest, Learner: c.Learner}, len(rest) > 0
		}
	}
	if !c.Learner.IsZero() {
		w := wanted[c.Learner.VM]
		switch {
		case w == c.Learner && caughtUp:
			return quorum.Config{Voters: append(slices.Clone(c.Voters), w)}, true
		case w == c.Learner || w.IsZero():
			return c, false
		}
		return quorum.Config{Voters: c.Voters}, true
	}
	for v, w := range wanted {
		if _, votes := c.Disk(v); !votes && !w.IsZero() {
			return quorum.Config{Voters: c.Voters, Learner: w}, true
		}
	}
	return c, false
}
