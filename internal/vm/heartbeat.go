package vm

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// HeartbeatEvery is the interval at which an entry VM sends heartbeats.
const HeartbeatEvery = 400 * time.Millisecond

// Heartbeat is what one entry VM tells each other one at every interval.
type Heartbeat struct {
	VM            ID            `json:"vm"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Incarnation   Incarnation   `json:"incarnation"`
	Sequence      uint64        `json:"sequence"` // grows by one with each heartbeat of an incarnation
	Draining      bool          `json:"draining,omitempty"`
	ControlIndex  uint64        `json:"control_index"` // of the View that the sender acts on
	Demand        int           `json:"demand"`        // tasks running or waiting
	Kinds         []string      `json:"kinds"`         // kinds that targets of the sender's failure domain run
	// Silent are the entry VMs that the sender does not hear: a witness beside
	// the receiver's own silence.
	Silent []ID `json:"silent,omitempty"`
}

// Check returns an error for a heartbeat that no entry VM sends.
func (h Heartbeat) Check() error {
	if err := CheckName(string(h.VM)); err != nil {
		return errors.Wrap(err, "vm")
	}
	if err := CheckName(string(h.FailureDomain)); err != nil {
		return errors.Wrap(err, "failure_domain")
	}
	if h.Demand < 0 {
		return errors.Newf("demand %d is negative", h.Demand)
	}
	return nil
}

// Runs reports whether targets of the sender's failure domain run kind k.
func (h Heartbeat) Runs(k string) bool { return slices.Contains(h.Kinds, k) }

// newerThan orders heartbeats of one VM.
func (h Heartbeat) newerThan(o Heartbeat) bool {
	if h.Incarnation != o.Incarnation {
		return h.Incarnation > o.Incarnation
	}
	return h.Sequence > o.Sequence
}
