// Package standin plays a small deployment of the platform program on loopback addresses:
// its processes, runners, clients and the operator, as the users' pages describe them.
package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small site files.
const (
	HeartbeatMs = 1500
	ContactMs   = 3000
	HoldMaxMs   = 1000
	StopMs      = 50
	GraceS      = 6
)

// VM is one machine: a process of the platform program.
type VM struct {
	Name, IP, Zone string
	Core           bool

	d       *Deployment
	folder  string // data folder of the present disk
	started int    // number of starts

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	code    int
}

// Deployment is a set of VMs with the same ports.
type Deployment struct {
	Folder string
	Record *Record
	Binary string
	Cores  []*VM
	Fronts []*VM

	peer, metrics, control, callers, ready int
	prefix                                 string
	next                                   int
}

// New returns a deployment of three core VMs, one in each of the zones a, b and c, and of
// the given number of entry VMs in each zone. Nothing is started.
func New(record *Record, fronts ...int) *Deployment {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.Fail("temporary folder: %v", err)
	}
	d := &Deployment{Folder: folder, Record: record, Binary: "target/tamarackpin"}
	d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	zones := []string{"a", "b", "c"}
	for _, z := range zones {
		d.Cores = append(d.Cores, d.AddVM("core-"+z, z, true))
	}
	for i, n := range fronts {
		for k := range n {
			d.Fronts = append(d.Fronts, d.AddVM(fmt.Sprintf("front-%s-%d", zones[i], k+1), zones[i], false))
		}
	}
	base := d.freePorts(5)
	d.peer, d.metrics, d.control, d.callers, d.ready = base, base+1, base+2, base+3, base+4
	return d
}

// AddVM returns a new VM at an address of its own. It is not started.
func (d *Deployment) AddVM(name, zone string, core bool) *VM {
	d.next++
	return &VM{Name: name, IP: fmt.Sprintf("%s%d", d.prefix, d.next), Zone: zone, Core: core, d: d}
}

// freePorts returns the first of n ports that are free on all addresses used.
func (d *Deployment) freePorts(n int) int {
	for range 100 {
		base := 20000 + rand.IntN(10000)
		free := true
		for p := base; p < base+n && free; p++ {
			for i := 1; i <= d.next && free; i++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.prefix, i, p))
				free = err == nil
				if free {
					_ = l.Close()
				}
			}
		}
		if free {
			return base
		}
	}
	d.Record.Fail("no free ports")
	return 0
}

// RunnerAddress returns a free address for a runner.
func (d *Deployment) RunnerAddress() string {
	d.next++
	return fmt.Sprintf("%s%d:%d", d.prefix, d.next, d.callers+10)
}

// Seeds returns the control addresses of the first three core VMs.
func (d *Deployment) Seeds() []string {
	var seeds []string
	for _, v := range d.Cores[:3] {
		seeds = append(seeds, v.Control())
	}
	return seeds
}

// Control returns the address that runners and the operator call.
func (v *VM) Control() string { return fmt.Sprintf("%s:%d", v.IP, v.d.control) }

// Callers returns the address that clients call.
func (v *VM) Callers() string { return fmt.Sprintf("%s:%d", v.IP, v.d.callers) }

// Start starts the process. bootstrap is true only when the whole deployment starts for the
// first time. emptyDisk gives the VM a new empty data folder.
func (v *VM) Start(bootstrap, emptyDisk bool) {
	d := v.d
	v.started++
	s := map[string]any{
		"name": v.Name, "ip": v.IP, "failure_domain": v.Zone, "processor": "0.4", "memory_mb": 284,
		"peer_port": d.peer, "metrics_port": d.metrics, "seeds": d.Seeds(), "first_start": bootstrap,
		"lease_max": fmt.Sprintf("%dms", HoldMaxMs), "stop_max": fmt.Sprintf("%dms", StopMs), "shutdown_limit": fmt.Sprintf("%ds", GraceS),
	}
	if v.Core {
		if v.folder == "" || emptyDisk {
			v.folder = filepath.Join(d.Folder, fmt.Sprintf("%s-disk-%d", v.Name, v.started))
			if err := os.MkdirAll(v.folder, 0o700); err != nil {
				d.Record.Fail("data folder: %v", err)
			}
		}
		s["control"], s["data_folder"] = v.Control(), v.folder
	} else {
		s["callers"], s["readiness"] = v.Callers(), fmt.Sprintf("%s:%d", v.IP, d.ready)
	}
	b, err := json.Marshal(s)
	if err != nil {
		d.Record.Fail("settings: %v", err)
	}
	path := filepath.Join(d.Folder, v.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		d.Record.Fail("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(d.Folder, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.Record.Fail("log: %v", err)
	}
	c := exec.Command(d.Binary)
	c.Env = append(os.Environ(), "TAMARACKPIN_SETTINGS="+path)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		d.Record.Fail("starting %s: %v", v.Name, err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = c, exited
	v.mu.Unlock()
	go func() {
		_ = c.Wait()
		v.mu.Lock()
		v.code = c.ProcessState.ExitCode()
		v.mu.Unlock()
		close(exited)
	}()
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(s)
	}
}

// Wait waits for the end of the process and returns its exit code.
func (v *VM) Wait(limit time.Duration) (code int, ended bool) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited == nil {
		return 0, true
	}
	select {
	case <-exited:
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.code, true
	case <-time.After(limit):
		return 0, false
	}
}

// Kill kills the process and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	v.Wait(5 * time.Second)
}

// StartAll starts all VMs for the first time.
func (d *Deployment) StartAll() {
	for _, v := range append(append([]*VM(nil), d.Cores...), d.Fronts...) {
		v.Start(true, false)
	}
}

// Close ends all processes, and removes the folder unless KEEP is set.
func (d *Deployment) Close(extra ...*VM) {
	all := append(append(append([]*VM(nil), d.Cores...), d.Fronts...), extra...)
	for _, v := range all {
		v.Signal(syscall.SIGCONT)
		v.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Folder)
	} else {
		fmt.Fprintln(os.Stderr, d.Folder)
	}
}
