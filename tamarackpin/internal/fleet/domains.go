package fleet

import (
	"time"

	"tamarackpin.example/internal/vm"
)

// CountUsableWorkers returns the number of workers that may be given tasks now, by failure domain. A failure domain that
// is known only from a VM, from a worker that may not be given tasks, or from an order of operators has 0.
func (k *Knowledge) CountUsableWorkers(now time.Time) map[vm.FailureDomain]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := map[vm.FailureDomain]int{k.self.FailureDomain: 0}
	for p := range k.roster.All {
		count[p.FailureDomain] += 0
	}
	for _, d := range k.evacuations.Domains() {
		count[d.FailureDomain] += 0
	}
	for r := range k.registry.All {
		n := count[r.FailureDomain]
		if r.Usable(now) {
			n++
		}
		count[r.FailureDomain] = n
	}
	return count
}
