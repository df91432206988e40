package vm

import (
	"encoding/hex"
	"net/netip"
	"time"
)

// OfIP returns the ID of the VM with this IP number, in deployments whose VMs
// find each other. A VM that replaces another at the same address is told
// apart by its incarnation and its disk.
func OfIP(a netip.Addr) ID { return ID("ip-" + hex.EncodeToString(a.Unmap().AsSlice())) }

// IP returns the IP number in an ID made by [OfIP].
func (id ID) IP() (netip.Addr, bool) {
	if len(id) < 3 || id[:3] != "ip-" {
		return netip.Addr{}, false
	}
	b, err := hex.DecodeString(string(id[3:]))
	if err != nil {
		return netip.Addr{}, false
	}
	return netip.AddrFromSlice(b)
}

// Presence is what a VM says of itself where no list names it.
type Presence struct {
	VM            ID            `json:"vm"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Incarnation   Incarnation   `json:"incarnation"`
	Callers       bool          `json:"callers,omitempty"` // it takes callers' work
	Control       bool          `json:"control,omitempty"` // it is to be a member of the control quorum
	Draining      bool          `json:"draining,omitempty"`
	Processor     Processor     `json:"processor,omitempty"` // 0 if its settings do not say
}

// RosterCursor counts the news of one Roster.
type RosterCursor uint64

// Present is a VM in a Roster.
type Present struct {
	Presence
	Heard time.Time
	Since RosterCursor // when the Presence last changed
	// Renewed is when the record last changed or Heard had moved by renewalInterval: a VM that does not
	// hear this one itself needs the record again.
	Renewed      RosterCursor
	renewedHeard time.Time // Heard then
}

// Roster is what one VM knows of the others. It is not safe for concurrent use.
// The zero Roster is empty.
type Roster struct {
	vms    map[ID]Present
	cursor RosterCursor
}

// rosterKeep is how long a VM that is not heard is remembered: longer than the
// partitions that the platform names, so that what was cut is found again.
const rosterKeep = 90 * time.Second

// renewalInterval is how often VMs that hear of a VM only through others are told that it is heard. After its
// last renewal a VM is known for another rosterKeep, so one that is lost is forgotten 60 to 90 s later.
const renewalInterval = rosterKeep / 3

// IncarnationTimeout is how long an incarnation of a VM is unheard before a lower one may follow it. An
// incarnation is the time of day at which a process started, on a clock that may have been set back
// since the one before. A delayed message of an earlier process arrives while the present one is heard.
const IncarnationTimeout = 5 * time.Second

// Observe takes in that a VM said this of itself age ago, and reports whether
// that is new. What an earlier incarnation said is ignored.
func (r *Roster) Observe(now time.Time, p Presence, age time.Duration) bool {
	old, known := r.vms[p.VM]
	if known && p.Incarnation != old.Incarnation {
		later := now.Add(-age).Sub(old.Heard)
		if later <= 0 || p.Incarnation < old.Incarnation && later < IncarnationTimeout {
			return false
		}
	}
	if r.vms == nil {
		r.vms = make(map[ID]Present)
	}
	if p.Incarnation == old.Incarnation && old.Draining {
		p.Draining = true // a process that drains ends
	}
	heard := now.Add(-age)
	if known && heard.Before(old.Heard) {
		heard = old.Heard
	}
	next := old
	next.Presence, next.Heard = p, heard
	news := !known || old.Presence != p
	if news || heard.Sub(old.renewedHeard) >= renewalInterval {
		r.cursor++
		next.Renewed, next.renewedHeard = r.cursor, heard
	}
	if news {
		next.Since = r.cursor
	}
	r.vms[p.VM] = next
	return news
}

// Get returns what is known of a VM.
func (r *Roster) Get(id ID) (Present, bool) {
	p, ok := r.vms[id]
	return p, ok
}

// Cursor returns the present RosterCursor.
func (r *Roster) Cursor() RosterCursor { return r.cursor }

// All calls yield for each VM.
func (r *Roster) All(yield func(Present) bool) {
	for _, p := range r.vms {
		if !yield(p) {
			return
		}
	}
}

// Prune drops VMs that were not heard for long.
func (r *Roster) Prune(now time.Time) {
	for id, p := range r.vms {
		if now.Sub(p.Heard) > rosterKeep {
			delete(r.vms, id)
		}
	}
}
