package peer

import (
	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// methodHello is the first call on every connection.
const methodHello Method = "hello"

// ProtocolVersion is the version of the calls between entry VMs.
const ProtocolVersion = 1

// hello says who opened a connection and whom it expects.
type hello struct {
	Version int   `json:"version"`
	From    vm.ID `json:"from"`
	To      vm.ID `json:"to"`
}

// Check returns an error for a hello of another protocol.
func (h hello) Check() error {
	if h.Version != ProtocolVersion {
		return errors.Newf("protocol version %d: want %d", h.Version, ProtocolVersion)
	}
	return nil
}

// empty is a parameter or result that says nothing.
type empty struct{}
