package report

// Use names what a message is for.
type Use string

// The uses of messages between the system's processes and towards targets.
const (
	UseTask      Use = "task"      // a task sent to a target
	UseForward   Use = "forward"   // a request passed on to another entry VM
	UseLedger    Use = "ledger"    // records and acknowledgements
	UseHeartbeat Use = "heartbeat" // between entry VMs
	UseTarget    Use = "target"    // announcements passed on
	UseControl   Use = "control"   // the quorum and the push of its state
	UseOther     Use = "other"
)

// Traffic counts messages.
type Traffic struct {
	Sent   uint64 `json:"sent"`
	Wasted uint64 `json:"wasted"` // did no useful work: refused, lost or doubled
	Bytes  uint64 `json:"bytes"`
}

func (t *Traffic) add(o Traffic) {
	t.Sent += o.Sent
	t.Wasted += o.Wasted
	t.Bytes += o.Bytes
}
