// Package lead elects the entry VM of a failure domain that gives orders to its
// workers. Election needs no quorum: entry VMs exchange heartbeats that carry the
// newest [Claim] that each knows, and a worker rejects orders whose fencing token
// ([Fence]) is lower than one that it has seen. A failure domain that is
// partitioned from the others, or has one entry VM left, therefore keeps working.
package lead

import (
	"hash/fnv"
	"time"

	"tamarackpin.example/internal/vm"
)

// Fence is a fencing token. It orders the claims of all entry VMs, and no two
// entry VMs draw the same one.
type Fence int64

// A Fence holds the time of the claim in its high bits and a hash of the entry
// VM's id in its low fenceVMBits bits.
const (
	fenceUnit   = 100 * time.Millisecond
	fenceVMBits = 16
)

// Time returns the time of day at which f was drawn, on the clock of the VM that drew it,
// or later.
func (f Fence) Time() time.Time { return time.Unix(0, int64(f>>fenceVMBits)*int64(fenceUnit)) }

// Claim names the process that leads and the fence of its orders. A Claim
// without a VM has been given up.
type Claim struct {
	Fence       Fence          `json:"fence"`
	VM          vm.ID          `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
}

// nextFence returns a Fence of the drawer with this name, higher than after. It is at least the time of
// day, so that it also exceeds the fences of claims that no entry VM remembers.
// A Leadership passes the highest fence that it knows, so the fences that it draws
// rise.
func nextFence(now time.Time, drawer string, after Fence) Fence {
	h := fnv.New32a()
	_, _ = h.Write([]byte(drawer))
	count := max(now.UnixNano()/int64(fenceUnit), int64(after>>fenceVMBits)+1)
	return Fence(count<<fenceVMBits | int64(h.Sum32()&(1<<fenceVMBits-1)))
}
