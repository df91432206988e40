package controller

import (
	"encoding/json"
	"slices"
	"time"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// Times of the repair of assignments.
const (
	planEvery = 100 * time.Millisecond
	// settleTime is how long a process must have run before it judges who is
	// alive, unless it hears all.
	settleTime = vm.DeadAfter + time.Second
	// lateTick is a pause of the goroutine after which nothing heard before
	// counts: the process was frozen.
	lateTick = 500 * time.Millisecond
)

// planning runs the control.Planner while this member leads. It belongs to the
// member's goroutine.
type planning struct {
	planner control.Planner
	domains []vm.FailureDomain
	last    time.Time
	from    time.Time // when judgments may begin
	count   int       // entry VMs in the settings
	pending []quorum.Index
}

func newPlanning(k *Controller) *planning {
	p := &planning{count: len(k.config.Settings.VMs), from: k.begun.Add(settleTime)}
	p.planner.Ledgers = k.config.Settings.Ledgers
	for _, v := range k.config.Settings.VMs {
		if !slices.Contains(p.domains, v.FailureDomain) {
			p.domains = append(p.domains, v.FailureDomain)
		}
	}
	return p
}

// plan proposes what the assignments need now.
func (p *planning) plan(now time.Time, m *member, core *quorum.Core) {
	late := !p.last.IsZero() && now.Sub(p.last) > lateTick
	if late {
		p.from = now.Add(settleTime)
	}
	if core.Role() != quorum.Leader {
		p.last = now
		p.pending = nil
		return
	}
	if now.Sub(p.last) < planEvery {
		return
	}
	p.last = now
	if p.busy(core) {
		return
	}
	living := m.k.config.Living()
	if now.Before(p.from) && len(living) < p.count {
		return
	}
	for _, a := range p.planner.Plan(now, &m.state, p.domains, living) {
		p.propose(now, core, a)
	}
}

// busy reports whether the last plan is not decided yet.
func (p *planning) busy(core *quorum.Core) bool {
	p.pending = slices.DeleteFunc(p.pending, func(i quorum.Index) bool { return i <= core.Applied() })
	return len(p.pending) > 0
}

func (p *planning) propose(now time.Time, core *quorum.Core, a control.Assign) {
	data, err := json.Marshal(control.Command{Assign: &a})
	if err != nil {
		return
	}
	if index, _, err := core.Propose(now, data); err == nil {
		p.pending = append(p.pending, index)
	}
}
