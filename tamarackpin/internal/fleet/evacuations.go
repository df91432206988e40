package fleet

import (
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/vm"
)

// Evacuations returns the failure domains that operators evacuate, as far as this VM knows.
func (k *Knowledge) Evacuations() evacuation.Set {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evacuations
}

// SetEvacuations records the newest order for each failure domain of s, unless a newer one is known.
func (k *Knowledge) SetEvacuations(s evacuation.Set) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, changed := time.Now(), false
	for _, d := range s.Domains() {
		if d.Revision <= k.evacuations.RevisionOf(d.FailureDomain) {
			continue
		}
		k.evacuations, changed = k.evacuations.With(d), true
		event.Log(k.log, event.EvacuationChanged, zap.String("failure_domain", string(d.FailureDomain)), zap.Bool("evacuated", d.Evacuated),
			zap.Uint64("revision", uint64(d.Revision)), zap.Duration("age", k.evacuations.Age(now, d.FailureDomain)))
	}
	if changed {
		k.notifyChanged()
	}
}

// KnowsFailureDomain reports whether this VM, another VM, a worker or an operator's order is known that names a failure domain.
func (k *Knowledge) KnowsFailureDomain(d vm.FailureDomain) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.self.FailureDomain == d || k.evacuations.RevisionOf(d) > 0 {
		return true
	}
	for p := range k.roster.All {
		if p.FailureDomain == d {
			return true
		}
	}
	for r := range k.registry.All {
		if r.FailureDomain == d {
			return true
		}
	}
	return false
}
