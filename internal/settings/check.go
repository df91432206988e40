package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"tamarackpin.example/internal/vm"
)

// minCredentialLength is the least number of characters of the operators'
// credential.
const minCredentialLength = 16

// maxVMs bounds the list of entry VMs.
const maxVMs = 200

// check adds the faults that lie between fields.
func (s *Settings) check(faults *Faults) {
	s.checkVMs(faults)
	s.Operators.checkCredential(faults)
	s.Callers.TLS.check("callers.tls.", true, faults)
	s.Targets.TLS.check("targets.tls.", true, faults)
	s.Operators.TLS.check("operators.tls.", true, faults)
	s.Peers.TLS.check("peers.tls.", true, faults)
	s.TargetClient.TLS.check("target_client.tls.", false, faults)
	if s.Peers.TLS.Enabled() && s.Peers.TLS.CAFile == "" {
		faults.add("peers.tls.ca_file", "", "missing: entry VMs check each other's certificates")
	}
}

func (s *Settings) checkVMs(faults *Faults) {
	if len(s.VMs) == 0 || len(s.VMs) > maxVMs {
		faults.add("vms", strconv.Itoa(len(s.VMs))+" entries", "want 1 to %d", maxVMs)
		return
	}
	names := make(map[vm.ID]int)
	addresses := make(map[Address]int)
	control := 0
	for i, v := range s.VMs {
		path := fmt.Sprintf("vms[%d].", i)
		if first, twice := names[v.VM]; twice {
			faults.add(path+"vm", strconv.Quote(string(v.VM)), "stands in vms[%d] already", first)
		}
		names[v.VM] = i
		if first, twice := addresses[v.PeerAddress]; twice {
			faults.add(path+"peer_address", strconv.Quote(string(v.PeerAddress)), "stands in vms[%d] already", first)
		}
		addresses[v.PeerAddress] = i
		if a, err := netip.ParseAddrPort(string(v.PeerAddress)); err == nil && a.Port() == 0 {
			faults.add(path+"peer_address", strconv.Quote(string(v.PeerAddress)), "want a port other than 0: the other entry VMs must know it")
		}
		if v.Control {
			control++
		}
	}
	if control == 0 {
		faults.add("vms", "", "no entry has control: want at least one entry VM with a disk")
	}
	s.checkSelf(faults)
}

func (s *Settings) checkSelf(faults *Faults) {
	self, ok := s.Find(s.VM)
	if !ok {
		faults.add("vm", strconv.Quote(string(s.VM)), "is not in vms")
		return
	}
	if self.FailureDomain != s.FailureDomain {
		faults.add("failure_domain", strconv.Quote(string(s.FailureDomain)), "vms says %q", self.FailureDomain)
	}
	if self.Control && s.DataFolder == "" {
		faults.add("data_folder", "", "missing: this entry VM is a member of the control quorum")
	}
}

func (o Operators) checkCredential(faults *Faults) {
	if len(o.Credential) < minCredentialLength {
		faults.add("operators.credential", "", "too short: want at least %d characters", minCredentialLength)
	}
}

func (t TLS) check(path string, server bool, faults *Faults) {
	if !t.Enabled() {
		return
	}
	if (t.CertificateFile == "") != (t.KeyFile == "") || server && t.CertificateFile == "" {
		faults.add(path+"certificate_file", strconv.Quote(t.CertificateFile), "want certificate_file and key_file together")
	}
	if !server && t.CAFile == "" {
		faults.add(path+"ca_file", "", "missing: it switches TLS on")
	}
	for _, f := range []struct{ key, file string }{
		{"certificate_file", t.CertificateFile}, {"key_file", t.KeyFile}, {"ca_file", t.CAFile},
	} {
		if f.file == "" {
			continue
		}
		if _, err := os.Stat(f.file); err != nil {
			faults.add(path+f.key, strconv.Quote(f.file), "cannot be read: %v", err)
		}
	}
}
