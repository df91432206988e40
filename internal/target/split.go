package target

import (
	"hash/fnv"

	"tamarackpin.example/internal/vm"
)

// Claim is the claim of an entry VM on the slots of its failure domain.
type Claim struct {
	VM     vm.ID
	Demand int // its tasks, of each row at most the row's weight
}

// Split divides the slots of target id among the claims, which must be ordered by
// VM. Half of the slots are divided evenly, so that a burst finds slots where it
// arrives, and half by demand, so that an entry VM with more tasks gets more.
// Entry VMs that know the same claims compute the same parts, and these add up to
// slots; while they know different claims, the target's own limit holds.
func Split(id ID, slots int, claims []Claim) map[vm.ID]int {
	parts := make(map[vm.ID]int, len(claims))
	if len(claims) == 0 {
		return parts
	}
	total := 0
	for _, c := range claims {
		total += c.Demand
	}
	byDemand := slots / 2
	if total == 0 {
		byDemand = 0
	}
	remaining := slots
	for _, c := range claims {
		part := (slots - byDemand) / len(claims)
		if total > 0 {
			part += byDemand * c.Demand / total
		}
		parts[c.VM] = part
		remaining -= part
	}
	// The first VM depends on the target, so that no VM gets all remainders.
	first := int(hash(id) % uint32(len(claims)))
	for i := 0; remaining > 0; i++ {
		parts[claims[(first+i)%len(claims)].VM]++
		remaining--
	}
	return parts
}

func hash(id ID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}
