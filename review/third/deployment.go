package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of the small deployments.
const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = time.Second
	contact        = 3 * time.Second // ContactMs
	cancelBound    = 3 * time.Second // cancel_ms
	grace          = 6 * time.Second // GraceS
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is a machine of the system with its one process.
type machine struct {
	name, ip, zone, folder string
	settings               string // path of its file
	callers, control       string // host:port
	readiness              string
	peers                  *relay // of its connections from other VMs; nil without
	command                *exec.Cmd
	done                   chan struct{}
}

// deployment is three control VMs, seven entry VMs and fifteen runners in three zones.
type deployment struct {
	record     *record
	binary     string
	repository string
	folder     string
	controls   []*machine
	entries    []*machine
	runners    []*runner
	host, path string   // of the first route
	prefixes   []string // of the other routes
	service    string
	guards     bool

	seeds []string
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newDeployment(r *record, repository, binary string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, repository: repository, binary: binary, folder: folder, host: "desk.example", path: "/work1/", service: "desk", guards: true}
	net := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	callers, ready, control, peers, metrics := freePort(), freePort(), freePort(), freePort(), freePort()
	for i := range 3 {
		ip := fmt.Sprint(net, 10+i)
		d.controls = append(d.controls, &machine{name: fmt.Sprint("control-", i+1), ip: ip, zone: zones[i], control: fmt.Sprint(ip, ":", control)})
	}
	for i, zone := range []int{0, 0, 0, 1, 1, 2, 2} {
		ip := fmt.Sprint(net, 30+i)
		d.entries = append(d.entries, &machine{name: fmt.Sprint("entry-", i+1), ip: ip, zone: zones[zone], callers: fmt.Sprint(ip, ":", callers), readiness: fmt.Sprint(ip, ":", ready)})
	}
	for _, m := range d.controls {
		d.seeds = append(d.seeds, m.control)
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if err := d.writeSettings(m, peers, metrics, true); err != nil {
			return nil, err
		}
	}
	workers := freePort()
	for i := range 15 {
		d.runners = append(d.runners, &runner{
			id: fmt.Sprintf("i-%04x", 0xa00+i), zone: zones[i/5], service: d.service, address: fmt.Sprint(net, 100+i, ":", workers), record: r,
			controls: d.seeds, labels: []string{"a", fmt.Sprintf("r%d-1", i/5+1)}, capacity: capacity{16000, 32768, 0}, guards: true,
		})
	}
	return d, nil
}

// writeSettings writes a settings file as the template of the deploy file renders it.
func (d *deployment) writeSettings(m *machine, peers, metrics int, first bool) error {
	s := map[string]any{
		"name": m.name, "ip": m.ip, "failure_domain": m.zone, "peer_port": peers, "metrics_port": metrics, "failure_domains": zones,
		"seeds": d.seeds, "first_start": first, "lease_max": "1000ms", "stop_max": "50ms", "shutdown_limit": "6s",
		"processor": "0.4", "memory_mb": 284,
	}
	if os.Getenv("RELAYS") != "" {
		s["peer_listen"] = fmt.Sprint(m.ip, ":", peers+1)
		var err error
		if m.peers, err = newRelay(fmt.Sprint(m.ip, ":", peers), fmt.Sprint(m.ip, ":", peers+1)); err != nil {
			return err
		}
	}
	if m.callers != "" {
		s["callers"], s["readiness"] = m.callers, m.readiness
	}
	if m.control != "" {
		m.folder = filepath.Join(d.folder, m.name)
		s["control"], s["data_folder"], s["processor"] = m.control, m.folder, "0.8"
	}
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(d.folder, m.name+".json")
	return os.WriteFile(m.settings, b, 0o600)
}

// start starts the process of a machine.
func (d *deployment) start(m *machine) error {
	if m.done != nil {
		select {
		case <-m.done:
		default:
			return fmt.Errorf("%s runs", m.name)
		}
		if err := startedBefore(m.settings); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	binary, err := filepath.Abs(filepath.Join(d.repository, d.binary))
	if err != nil {
		return err
	}
	m.command = exec.Command(binary)
	m.command.Dir = d.repository
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TAMARACKPIN_SETTINGS=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		err := c.Wait()
		_ = log.Close()
		d.record.note("%s ends: %v", m.name, err)
		close(done)
	}(m.command, m.done)
	d.record.note("%s (%s, %s) is started", m.name, m.ip, m.zone)
	return nil
}

// startedBefore changes a settings file to what it is at the later starts of a process.
func startedBefore(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, bytes.Replace(b, []byte(`"first_start": true`), []byte(`"first_start": false`), 1), 0o600)
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.record.note("%v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// restart stops a machine's process as the platform does, with SIGTERM and, after GraceS, SIGKILL, and starts it again.
func (d *deployment) restart(m *machine) error {
	d.signal(m, syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(grace):
		d.signal(m, syscall.SIGKILL)
		<-m.done
	}
	time.Sleep(100 * time.Millisecond)
	return d.start(m)
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.record.note("all is ended")
	for _, r := range d.runners {
		if r.life != nil {
			r.crash()
		}
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// up starts everything and waits until jobs are served in each zone.
func (d *deployment) up() error {
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for _, r := range d.runners {
		r.guards = d.guards
		if err := r.begin(); err != nil {
			return err
		}
	}
	if err := d.configure(7, d.prefixes...); err != nil {
		return err
	}
	for _, m := range d.entries {
		if err := d.awaitReady(m); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; {
		served := true
		for _, m := range []*machine{d.entries[0], d.entries[3], d.entries[5]} {
			a := d.submit(m, newID(), job{tasks: 1, ms: 20, need: capacity{1000, 64, 0}}, 2*time.Second)
			served = served && a.state == "completed"
		}
		if served {
			break
		}
		if time.Now().After(end) {
			return errors.New("jobs are not served")
		}
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	d.record.note("all is up")
	return nil
}

func (d *deployment) awaitReady(m *machine) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", m.name)
}

// configure sends the configuration, with a route for each prefix of a path, until it is acknowledged.
func (d *deployment) configure(version int, prefixes ...string) error {
	routes := []any{}
	for i, prefix := range append([]string{d.path}, prefixes...) {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprint("r-", i+1), "Host": d.host, "PathPrefix": prefix, "Kind": "non_idempotent", "TimeoutMs": 8000, "TargetLatencyMs": 60,
			"Priority": 0, "Service": d.service, "MaxAttempts": 3, "Stretch": 1.6,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes":  routes,
		"Services": []any{map[string]any{
			"Name": d.service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": d.guards, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range d.seeds {
			resp, err := client.Post("http://"+c+"/api/Config.Replace", "application/json", bytes.NewReader(b))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.note("version %d of the configuration is acknowledged", version)
				return nil
			}
		}
	}
	return errors.New("the configuration is not acknowledged")
}

// job is what a caller submits.
type job struct {
	tasks int
	ms    int
	need  capacity
	label string
	steps int // each depends on the one before; 0 is one
}

// answer is what a caller receives.
type answer struct {
	at     time.Time
	status int // 0 without a response
	state  string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no response: " + a.err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.state))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job to an entry VM, on a connection of its own, as the balancer does.
func (d *deployment) submit(m *machine, id string, j job, deadline time.Duration) answer {
	return d.submitTo(m, d.path, id, j, deadline)
}

// submitTo does what submit does, on the route with a prefix.
func (d *deployment) submitTo(m *machine, prefix, id string, j job, deadline time.Duration) answer {
	s, _ := json.Marshal(spec{Ms: j.ms, Need: j.need})
	var steps []any
	for i := range max(1, j.steps) {
		step := map[string]any{"Count": j.tasks, "Cpu": j.need.Cpu, "MemMb": j.need.MemMb, "EstimateMs": j.ms}
		if j.label != "" {
			step["RequiredLabel"] = j.label
		}
		if i > 0 {
			step["DependsOn"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	b, _ := json.Marshal(map[string]any{"Spec": string(s), "BestEffort": true, "Phases": steps})
	return d.call(http.MethodPost, m, prefix, id, b, deadline)
}

// cancel sends a DELETE for a job to an entry VM.
func (d *deployment) cancel(m *machine, id string) answer { return d.cancelOn(m, d.path, id) }

// cancelOn does what cancel does, on the route with a prefix.
func (d *deployment) cancelOn(m *machine, prefix, id string) answer {
	return d.call(http.MethodDelete, m, prefix, id, nil, 2*time.Second)
}

func (d *deployment) call(method string, m *machine, prefix, id string, body []byte, deadline time.Duration) answer {
	q, err := http.NewRequest(method, "http://"+m.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = d.host
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	d.record.note("%s %s%s to %s", method, prefix, id, m.name)
	resp, err := client.Do(q)
	a := answer{at: time.Now(), err: err}
	if err == nil {
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		a.at, a.status = time.Now(), resp.StatusCode
		var state struct{ State string }
		if json.Unmarshal(b, &state) == nil {
			a.state = state.State
		}
	}
	d.record.note("%s %s%s: %v", method, prefix, id, a)
	return a
}

// starter returns the machine that drew a fence.
func (d *deployment) starter(fence int64) *machine {
	for _, m := range d.entries {
		if m.drew(fence) {
			return m
		}
	}
	return nil
}

// drew reports whether m drew a fence, which ends with a hash of its address.
func (m *machine) drew(fence int64) bool {
	ip, err := netip.ParseAddr(m.ip)
	if err != nil {
		return false
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "ip-%x", ip.AsSlice())
	return uint16(fence) == uint16(h.Sum32())
}
