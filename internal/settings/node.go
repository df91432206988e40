package settings

import (
	"net/netip"

	"tamarackpin.example/internal/interference"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Node is the settings file of a VM in a deployment with workers, where no file
// lists the VMs: they find each other from a few addresses.
type Node struct {
	Name            string             `json:"name" doc:"Name of this VM, for logs."`
	IP              IP                 `json:"ip" doc:"IP number of this VM; the other VMs know it by this."`
	FailureDomain   vm.FailureDomain   `json:"failure_domain" doc:"Failure domain of this VM."`
	Callers         Address            `json:"callers" optional:"true" doc:"Where callers are served; a VM without it takes no work."`
	Readiness       Address            `json:"readiness" optional:"true" doc:"Where the balancer asks whether this VM is ready."`
	Control         Address            `json:"control" optional:"true" doc:"Where workers and operators are served; a VM with it is a member of the control quorum."`
	Operators       *Operators         `json:"operators" optional:"true" doc:"Where operators are served, on any VM; absent: nowhere."`
	PeerPort        int                `json:"peer_port" min:"1" max:"65535" doc:"Port for the other VMs, the same on all."`
	PeerListen      Address            `json:"peer_listen" optional:"true" doc:"Where the other VMs are served, if a relay passes on what arrives at ip and peer_port."`
	MetricsPort     int                `json:"metrics_port" min:"1" max:"65535" doc:"Port where metrics are served."`
	FailureDomains  []vm.FailureDomain `json:"failure_domains" optional:"true" doc:"All failure domains of the deployment, for orders to evacuate one. Without it, those exist that a VM or a worker is in."`
	EvacuationBound wire.Duration      `json:"evacuation_bound" optional:"true" min:"100ms" max:"1h" doc:"How long after an acknowledged order to evacuate a failure domain tasks may still start there. Without it, the platform states no such bound."`
	Seeds           []Address          `json:"seeds" doc:"Addresses of some control VMs."`
	FirstStart      bool               `json:"first_start" default:"false" doc:"Whether the deployment starts for the first time, with empty disks: the seeds then found the control quorum."`
	DataFolder      string             `json:"data_folder" optional:"true" doc:"Folder for what is kept on disk; needed with control."`
	LeaseMax        wire.Duration      `json:"lease_max" min:"100ms" max:"1m" doc:"Longest time for which a worker lets tasks run without a word."`
	StopMax         wire.Duration      `json:"stop_max" min:"0s" max:"10s" doc:"Longest time that a worker takes to stop a task."`
	ShutdownLimit   wire.Duration      `json:"shutdown_limit" min:"1s" max:"10m" doc:"How long a graceful shutdown may take before the process is killed."`
	Processor       vm.Processor       `json:"processor" optional:"true" doc:"Cores that this VM has: in each failure domain the VM with the most dispatches."`
	MemoryMB        int                `json:"memory_mb" optional:"true" min:"0" max:"1048576" doc:"Memory that this process may use, in MB: it is kept free of garbage well below that. 0 is no limit."`
	Interference    interference.Mode  `json:"interference" default:"avoid" doc:"What a dispatcher does about rows whose tasks slow each other down on one worker: off, observe (learn and log which) or avoid (also place them apart where there is capacity)."`
	LogLevel        LogLevel           `json:"log_level" default:"info" doc:"Least level that is logged: debug, info, warn or error."`
}

// ID returns the name by which the other VMs know this one.
func (n *Node) ID() vm.ID { return vm.OfIP(netip.Addr(n.IP)) }

// Founders returns the VMs of the seeds.
func (n *Node) Founders() []vm.ID {
	var ids []vm.ID
	for _, s := range n.Seeds {
		if a, err := netip.ParseAddrPort(string(s)); err == nil {
			ids = append(ids, vm.OfIP(a.Addr()))
		}
	}
	return ids
}

func (n *Node) check(faults *Faults) {
	if n.Callers == "" && n.Control == "" {
		faults.add("callers", "", "neither callers nor control is given: the VM would serve nobody")
	}
	if n.Callers != "" && n.Readiness == "" {
		faults.add("readiness", "", "missing: a VM that serves callers is asked whether it is ready")
	}
	if n.Control != "" && n.DataFolder == "" {
		faults.add("data_folder", "", "missing: a VM with control keeps the table on its disk")
	}
	if n.Operators != nil {
		n.Operators.checkCredential(faults)
		n.Operators.TLS.check("operators.tls.", true, faults)
	}
	if len(n.Seeds) == 0 {
		faults.add("seeds", "[]", "want one address at least")
	}
}

// IP is an IP number, such as "127.0.0.1".
type IP netip.Addr

// UnmarshalText takes an IP number.
func (i *IP) UnmarshalText(b []byte) error { return (*netip.Addr)(i).UnmarshalText(b) }

// MarshalText writes the number.
func (i IP) MarshalText() ([]byte, error) { return netip.Addr(i).MarshalText() }
