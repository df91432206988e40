// Package lead decides which entry VM of a failure domain orders its workers.
// There is no vote: the entry VMs tell one another the newest [Claim], and the
// workers refuse every order with a lower fence. A failure domain that is cut
// off, or has one entry VM left, goes on by itself.
package lead

import (
	"hash/fnv"
	"time"

	"tamarackpin.example/internal/vm"
)

// Fence orders the claims of all entry VMs; no two of them draw the same.
type Fence int64

// Parts of a Fence: the time of the claim above, the entry VM below.
const (
	fenceUnit   = 100 * time.Millisecond
	fenceVMBits = 16
)

// Claim says which process orders the workers.
type Claim struct {
	Fence       Fence          `json:"fence"`
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
}

// nextFence returns a Fence of id above after. It starts from the time of day, so that
// it is above those of claims that everybody forgot.
func nextFence(now time.Time, id vm.ID, after Fence) Fence {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	count := max(now.UnixNano()/int64(fenceUnit), int64(after>>fenceVMBits)+1)
	return Fence(count<<fenceVMBits | int64(h.Sum32()&(1<<fenceVMBits-1)))
}
