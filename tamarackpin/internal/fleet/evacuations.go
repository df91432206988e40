package fleet

import "tamarackpin.example/internal/evacuation"

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
	before := k.evacuations.Revision()
	for _, d := range s.Domains() {
		k.evacuations = k.evacuations.With(d)
	}
	if k.evacuations.Revision() != before {
		k.notifyChanged()
	}
}
