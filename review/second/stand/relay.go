package stand

import (
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// relays pass on what the machines send each other, so that a zone can be cut off. Each machine's own listener is
// at another port of the same address (the setting peer_listen).
type relays struct {
	d     *Deployment
	inner int

	mu    sync.Mutex
	zone  string // that is cut off; empty if none is
	conns map[net.Conn][2]string
	mutes map[net.Conn]*atomic.Bool
	stop  []net.Listener
}

// WithRelays puts a relay before each machine's port for the others. It is called before StartAll.
func (d *Deployment) WithRelays() error {
	port, err := d.freePort()
	if err != nil {
		return err
	}
	d.relays = &relays{d: d, inner: port, conns: make(map[net.Conn][2]string), mutes: make(map[net.Conn]*atomic.Bool)}
	for _, n := range append(append([]*Node(nil), d.Cores...), d.Fronts...) {
		if err := d.relays.serve(n); err != nil {
			return err
		}
	}
	return nil
}

// serve opens the listener of a machine. During a cut with refusals that of a front machine of the zone is closed.
func (r *relays) serve(n *Node) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.IP, r.d.peer))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop = append(r.stop, l)
	n.relay = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(n, c)
		}
	}()
	return nil
}

// pass forwards a connection to a machine. The first message names the machine that opened it.
func (r *relays) pass(n *Node, c net.Conn) {
	defer c.Close()
	var head []byte
	from := ""
	for buf := make([]byte, 512); from == ""; {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		k, err := c.Read(buf)
		if err != nil {
			return
		}
		head = append(head, buf[:k]...)
		if _, after, found := strings.Cut(string(head), `"from":"ip-`); found && len(after) >= 8 {
			from = after[:8]
		}
		if len(head) > 4096 {
			return
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	zone := r.zoneOf(from)
	s, err := net.Dial("tcp", net.JoinHostPort(n.IP, strconv.Itoa(r.inner)))
	if err != nil {
		return
	}
	defer s.Close()
	r.mu.Lock()
	if r.apart(zone, n.Zone) {
		r.mu.Unlock()
		reset(c)
		return
	}
	r.conns[c], r.conns[s] = [2]string{zone, n.Zone}, [2]string{zone, n.Zone}
	mute := &atomic.Bool{}
	r.mutes[c] = mute
	r.mu.Unlock()
	if _, err := s.Write(head); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(muted{s, mute}, c); done <- struct{}{} }()
	go func() { _, _ = io.Copy(muted{c, mute}, s); done <- struct{}{} }()
	<-done
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, s)
	delete(r.mutes, c)
	r.mu.Unlock()
}

// muted drops what is written once its flag is set.
type muted struct {
	w    io.Writer
	mute *atomic.Bool
}

func (m muted) Write(b []byte) (int, error) {
	if m.mute.Load() {
		return len(b), nil
	}
	return m.w.Write(b)
}

// Silence has the open connections between the machines go silent for good, without a reset; new ones work. keep is the share
// of them that is left alone.
func (d *Deployment) Silence(keep float64) {
	r := d.relays
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.mutes {
		if rand.Float64() >= keep {
			m.Store(true)
			n++
		}
	}
	d.Record.Printf("%d of %d connections between machines go silent", n, len(r.mutes))
}

func (r *relays) zoneOf(hexIP string) string {
	b, err := hex.DecodeString(hexIP)
	if err != nil || len(b) != 4 {
		return ""
	}
	ip := net.IP(b).String()
	for _, n := range append(append([]*Node(nil), r.d.Cores...), r.d.Fronts...) {
		if n.IP == ip {
			return n.Zone
		}
	}
	return ""
}

// apart reports whether two zones are cut off from each other. r.mu is held.
func (r *relays) apart(a, b string) bool {
	return r.zone != "" && a != b && (a == r.zone || b == r.zone)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// CutZone cuts a zone off from the others, with refusals: connections between them are reset, the zone's front machines
// refuse new ones, and others end at once. Clients still reach all machines.
func (d *Deployment) CutZone(zone string) {
	r := d.relays
	d.Record.Printf("%s is cut off", zone)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone = zone
	for c, z := range r.conns {
		if r.apart(z[0], z[1]) {
			reset(c)
			delete(r.conns, c)
		}
	}
	for _, n := range d.Fronts {
		if n.Zone == zone {
			_ = n.relay.Close()
		}
	}
}

// HealZone ends the cut.
func (d *Deployment) HealZone() {
	r := d.relays
	r.mu.Lock()
	zone := r.zone
	r.zone = ""
	r.mu.Unlock()
	for _, n := range d.Fronts {
		if n.Zone == zone {
			if err := r.serve(n); err != nil {
				d.Record.Printf("%v", err)
			}
		}
	}
	d.Record.Printf("%s is joined again", zone)
}

// apart reports whether a runner of a zone cannot reach a machine.
func (d *Deployment) apart(zone string, n *Node) bool {
	if d.relays == nil {
		return false
	}
	d.relays.mu.Lock()
	defer d.relays.mu.Unlock()
	return d.relays.apart(zone, n.Zone)
}

func (d *Deployment) closeRelays() {
	if d.relays == nil {
		return
	}
	d.relays.mu.Lock()
	defer d.relays.mu.Unlock()
	for _, l := range d.relays.stop {
		_ = l.Close()
	}
}
