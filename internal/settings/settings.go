// Package settings reads the JSON settings file of an entry VM and checks it
// whole: every fault is found in one go, with its path in the file, its value
// and what is allowed. The page docs/SETTINGS.md is held to the tags of
// [Settings] by a test.
package settings

import (
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Settings is the whole file. A field without a default must be given, unless
// it is marked optional. Numbers keep to the tags min and max.
type Settings struct {
	VM             vm.ID            `json:"vm" doc:"Name of this entry VM; it stands in vms."`
	FailureDomain  vm.FailureDomain `json:"failure_domain" doc:"Failure domain of this entry VM, as in vms."`
	DataFolder     string           `json:"data_folder" optional:"true" doc:"Folder for everything that is kept on disk; needed where vms says control."`
	Callers        Listener         `json:"callers" doc:"Where callers are served."`
	Targets        Listener         `json:"targets" doc:"Where targets announce themselves."`
	Operators      Operators        `json:"operators" doc:"Where operators are served."`
	Peers          Peers            `json:"peers" optional:"true" doc:"How entry VMs speak with each other; the address is this VM's peer_address in vms."`
	TargetClient   TargetClient     `json:"target_client" optional:"true" doc:"How tasks are sent to targets."`
	VMs            []VM             `json:"vms" doc:"All entry VMs of the deployment, the same list in every file."`
	Ledgers        int              `json:"ledgers_per_failure_domain" default:"4" min:"1" max:"64" doc:"Ledgers of submissions in each failure domain; the same number in every file, never changed."`
	Retention      Retention        `json:"retention" optional:"true" doc:"What a ledger keeps of finished submissions."`
	BodyTimeout    wire.Duration    `json:"body_timeout" default:"10s" min:"10ms" max:"5m" doc:"How long a caller may take to send one request."`
	ShutdownLimit  wire.Duration    `json:"shutdown_limit" default:"30s" min:"0s" max:"10m" doc:"How long a graceful shutdown waits for what runs."`
	ShutdownNotice wire.Duration    `json:"shutdown_notice" default:"1s" min:"0s" max:"5m" doc:"How long a graceful shutdown is not ready before it refuses new work, so that the balancer sees it first."`
	MaxInHand      int              `json:"max_in_hand" default:"20000" min:"1" max:"1000000" doc:"Requests and submissions held at once for callers; more are refused."`
	LogLevel       LogLevel         `json:"log_level" default:"info" doc:"Least level that is logged: debug, info, warn or error."`
}

// Listener is one address that is served.
type Listener struct {
	Address Address `json:"address" doc:"IP number and port; port 0 takes a free one and logs which."`
	TLS     TLS     `json:"tls" optional:"true" doc:"TLS for this address; off when absent."`
}

// TLS names the files of one side of a TLS connection.
type TLS struct {
	CertificateFile string `json:"certificate_file" optional:"true" doc:"PEM file with the certificate chain."`
	KeyFile         string `json:"key_file" optional:"true" doc:"PEM file with the private key."`
	CAFile          string `json:"ca_file" optional:"true" doc:"PEM file with the authorities that the other side's certificate must come from."`
}

// Enabled reports whether anything of t is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Operators is the address and the credential of the operators.
type Operators struct {
	Listener
	Credential string `json:"credential" doc:"Bearer token that operators send; at least 16 characters."`
}

// Peers says how entry VMs speak with each other.
type Peers struct {
	TLS TLS `json:"tls" optional:"true" doc:"Mutual TLS between entry VMs; all three files, or none."`
}

// TargetClient says how tasks are sent to targets.
type TargetClient struct {
	TLS TLS `json:"tls" optional:"true" doc:"TLS towards targets; ca_file switches it on, the other two are this side's certificate."`
}

// VM is one entry VM of the deployment.
type VM struct {
	VM            vm.ID            `json:"vm" doc:"Name, unlike all others."`
	FailureDomain vm.FailureDomain `json:"failure_domain" doc:"Its failure domain."`
	PeerAddress   Address          `json:"peer_address" doc:"IP number and port for the other entry VMs; the port is not 0."`
	Control       bool             `json:"control" default:"false" doc:"Whether it has a disk and is a member of the control quorum."`
}

// Retention bounds what a ledger keeps of finished submissions.
type Retention struct {
	Submissions int           `json:"submissions" default:"30000" min:"1" max:"10000000" doc:"Finished submissions that a ledger knows by their id."`
	AnswerBytes int           `json:"answer_bytes" default:"16777216" min:"0" max:"1073741824" doc:"Bytes of answers and bodies that a ledger holds; the oldest answers go first."`
	Answers     wire.Duration `json:"answers" default:"5m" min:"0s" max:"24h" doc:"How long a ledger keeps answers."`
}

// Find returns the entry of id in the list of entry VMs.
func (s *Settings) Find(id vm.ID) (VM, bool) {
	for _, v := range s.VMs {
		if v.VM == id {
			return v, true
		}
	}
	return VM{}, false
}

// Index returns the place of this entry VM among all, for its share of
// fleet-wide limits.
func (s *Settings) Index() int {
	for i, v := range s.VMs {
		if v.VM == s.VM {
			return i
		}
	}
	return 0
}
