package member

import (
	"context"
	"slices"
	"time"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
)

// kindsEvery is how many heartbeats go without the kinds before one has them.
const kindsEvery = 5

// demandEvery is the interval at which entry VMs of one failure domain tell each
// other of a demand that moved, so that slots follow it.
const demandEvery = 50 * time.Millisecond

// beatLoop sends heartbeats to one entry VM: at the regular interval, and sooner
// when others fell silent here or, within the failure domain, the demand moved.
func (m *Member) beatLoop(ctx context.Context, to settings.VM) {
	var sent time.Time
	var silent []vm.ID
	told := 0
	every(ctx, demandEvery, func() {
		now := time.Now()
		demand := told
		if to.FailureDomain == m.config.Self.FailureDomain {
			demand = m.config.Demand()
		}
		missed := m.silent(now)
		if now.Sub(sent) < vm.HeartbeatEvery && !moved(told, demand) && slices.Equal(silent, missed) {
			return
		}
		sent, told, silent = now, demand, missed
		m.beat(ctx, to.VM)
	})
}

// silent returns the other entry VMs of the settings that are not heard.
func (m *Member) silent(now time.Time) []vm.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silentNow(now)
}

// silentNow is silent for a caller that holds mu.
func (m *Member) silentNow(now time.Time) []vm.ID {
	var ids []vm.ID
	for _, v := range m.config.VMs {
		if v.VM != m.config.Self.VM && !m.view.Alive(now, v.VM) {
			ids = append(ids, v.VM)
		}
	}
	return ids
}

// moved reports whether a demand differs enough to divide slots anew.
func moved(before, now int) bool {
	return 4*max(before-now, now-before) > max(before, now)
}

// own returns the heartbeat of this entry VM. The caller holds mu.
func (m *Member) own(now time.Time, withKinds bool) vm.Heartbeat {
	m.sequence++
	h := vm.Heartbeat{
		VM:            m.config.Self.VM,
		FailureDomain: m.config.Self.FailureDomain,
		Incarnation:   m.config.Incarnation,
		Sequence:      m.sequence,
		Draining:      m.draining,
		ControlIndex:  m.config.ControlIndex(),
		Demand:        m.config.Demand(),
		Silent:        m.silentNow(now),
	}
	if !withKinds {
		return h
	}
	h.Kinds = []string{}
	for _, k := range m.kinds {
		h.Kinds = append(h.Kinds, string(k))
	}
	return h
}

func (m *Member) beat(ctx context.Context, to vm.ID) {
	now := time.Now()
	m.mu.Lock()
	m.beats[to]++
	h := m.own(now, m.beats[to]%kindsEvery == 1 || now.Sub(m.kindsSince) < 2*vm.HeartbeatEvery)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	// A loss is what the other side's View is made to notice.
	_ = m.config.Mesh.Notify(ctx, to, report.UseHeartbeat, methodHeartbeat, h)
}

func (m *Member) heartbeat(_ context.Context, from vm.ID, h vm.Heartbeat) (struct{}, error) {
	if h.VM != from {
		return struct{}{}, nil
	}
	now := time.Now()
	m.mu.Lock()
	if !m.view.Alive(now, from) || m.view.Incarnation(from) != h.Incarnation {
		delete(m.told, from) // it may have missed what it was told, or forgot it
	}
	newer := m.view.Observe(now, h)
	m.mu.Unlock()
	if newer {
		m.config.Heard(h)
	}
	if newer && h.FailureDomain == m.config.Self.FailureDomain {
		m.refresh()
	}
	return struct{}{}, nil
}
