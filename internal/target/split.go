package target

import (
	"hash/fnv"

	"tamarackpin.example/internal/vm"
)

// Claim is one entry VM's claim on the slots of its failure domain.
type Claim struct {
	VM     vm.ID
	Demand int // tasks there, of each row at most its weight
}

// Split divides the slots of target id among the claims, which must be in the
// order of their VMs. Half of the slots are divided evenly and half by demand,
// so that a burst finds slots where it arrives and work finds more where it
// waits. Entry VMs that know the same claims compute the same parts, and the
// parts add up to slots; the target's own bound holds while they do not.
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
	rest := slots
	for _, c := range claims {
		part := (slots - byDemand) / len(claims)
		if total > 0 {
			part += byDemand * c.Demand / total
		}
		parts[c.VM] = part
		rest -= part
	}
	// Each target starts at another VM, so that no VM collects the remainders.
	first := int(hash(id) % uint32(len(claims)))
	for i := 0; rest > 0; i++ {
		parts[claims[(first+i)%len(claims)].VM]++
		rest--
	}
	return parts
}

func hash(id ID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}
