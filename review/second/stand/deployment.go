// Package stand starts a small deployment of the project's own program, with the command
// and the settings of the deploy file, and has stand-ins for the runners, the clients and
// the operator, which do what PROTOCOL says. All addresses are loopback addresses.
package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is the program of the deploy file's roles, relative to the repository root.
const Program = "target/tamarackpin"

// Record is the file in which a case says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Node is one machine with one process.
type Node struct {
	Name, IP, Zone string
	Core           bool
	d              *Deployment
	cmd            *exec.Cmd
	relay          net.Listener
	exited         chan struct{}
}

// Deployment is the machines, and the ports that are the same on all of them.
type Deployment struct {
	Record                                  *Record
	Cores, Fronts                           []*Node
	frontend, ready, control, peer, metrics int
	folder                                  string
	prefix                                  string
	Zones                                   []string
	seq                                     int
	relays                                  *relays
}

// New returns a deployment with a core machine in each zone, and the given number of
// front machines in each. Nothing is started.
func New(r *Record, zones []string, fronts []int) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: r, folder: folder, Zones: zones}
	d.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for _, p := range []*int{&d.frontend, &d.ready, &d.control, &d.peer, &d.metrics} {
		if *p, err = d.freePort(); err != nil {
			return nil, err
		}
	}
	for i, z := range zones {
		d.Cores = append(d.Cores, &Node{Name: "core-" + z, IP: d.nextIP(), Zone: z, Core: true, d: d})
		for k := range fronts[i] {
			d.Fronts = append(d.Fronts, &Node{Name: fmt.Sprintf("front-%s-%d", z, k+1), IP: d.nextIP(), Zone: z, d: d})
		}
	}
	return d, nil
}

func (d *Deployment) nextIP() string {
	d.seq++
	return d.prefix + fmt.Sprint(d.seq)
}

// Address returns a loopback address with any free port, for a stand-in.
func (d *Deployment) Address() string { return d.nextIP() + ":0" }

// Wait waits for the end of the machine's process, and kills it after limit.
func (n *Node) Wait(limit time.Duration) {
	select {
	case <-n.exited:
	case <-time.After(limit):
		n.Kill()
	}
}

// AddCore returns another core machine, with an empty disk, that is not started.
func (d *Deployment) AddCore(zone string) *Node {
	n := &Node{Name: "core-new-" + zone, IP: d.nextIP(), Zone: zone, Core: true, d: d}
	d.Cores = append(d.Cores, n)
	return n
}

func (d *Deployment) freePort() (int, error) {
	for range 100 {
		p := 20000 + rand.IntN(12000)
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", d.prefix, p))
		if err != nil {
			continue
		}
		_ = l.Close()
		return p, nil
	}
	return 0, fmt.Errorf("no free port")
}

// FrontAddr is where clients reach a front machine.
func (n *Node) FrontAddr() string { return fmt.Sprintf("%s:%d", n.IP, n.d.frontend) }

// ControlAddr is where runners and the operator reach a core machine.
func (n *Node) ControlAddr() string { return fmt.Sprintf("%s:%d", n.IP, n.d.control) }

// settings renders what deploy/settings.json.tmpl gives on the machine.
func (n *Node) settings(bootstrap bool) map[string]any {
	var seeds []string
	for _, c := range n.d.Cores[:3] {
		seeds = append(seeds, c.ControlAddr())
	}
	s := map[string]any{
		"name": n.Name, "ip": n.IP, "failure_domain": n.Zone, "processor": "0.4", "memory_mb": 284,
		"peer_port": n.d.peer, "metrics_port": n.d.metrics, "seeds": seeds, "first_start": bootstrap,
		"lease_max": "1000ms", "stop_max": "50ms", "shutdown_limit": "6s",
	}
	if n.Core {
		s["control"], s["data_folder"], s["processor"], s["memory_mb"] = n.ControlAddr(), filepath.Join(n.d.folder, n.Name), "0.8", 280
	} else {
		s["callers"], s["readiness"] = n.FrontAddr(), fmt.Sprintf("%s:%d", n.IP, n.d.ready)
	}
	if n.d.relays != nil {
		s["peer_listen"] = fmt.Sprintf("%s:%d", n.IP, n.d.relays.inner)
	}
	return s
}

// Start starts the machine's process. bootstrap is true only when the whole system starts for the first time.
func (n *Node) Start(bootstrap bool) error {
	b, err := json.MarshalIndent(n.settings(bootstrap), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.d.folder, n.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	if n.Core {
		if err := os.MkdirAll(filepath.Join(n.d.folder, n.Name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(n.d.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(Program)
	n.cmd.Env = []string{"TAMARACKPIN_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(n.cmd); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.exited)
	n.d.Record.Printf("%s starts at %s", n.Name, n.IP)
	return nil
}

// Signal sends a signal to the machine's process.
func (n *Node) Signal(s syscall.Signal) {
	n.d.Record.Printf("%s gets %s", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Quiet sends a signal that is not recorded.
func (n *Node) Quiet(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Kill kills the machine's process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// PID is the id of the machine's process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// LogFile is where the process writes its log.
func (n *Node) LogFile() string { return filepath.Join(n.d.folder, n.Name+".log") }

// Alive reports whether the process has not ended.
func (n *Node) Alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// StartAll starts all processes for the first time.
func (d *Deployment) StartAll() error {
	for _, n := range append(append([]*Node(nil), d.Cores...), d.Fronts...) {
		if err := n.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes that were started and removes the temporary folder.
func (d *Deployment) Close() {
	defer d.closeRelays()
	for _, n := range append(append([]*Node(nil), d.Cores...), d.Fronts...) {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Fprintln(os.Stderr, d.folder)
	}
}

// Config returns a configuration with one queue for each name in queues, all of the service "desk".
func Config(version int, queues ...string) map[string]any {
	var routes []any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"Name": "r-" + q, "Host": "desk.example", "PathPrefix": "/" + q + "/", "Kind": "non_idempotent", "TimeoutMs": 20000,
			"TargetLatencyMs": 60, "Priority": 0, "Service": "desk", "MaxAttempts": 3, "Stretch": 1.6,
		})
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// Call sends a request and returns the status and the body; status 0 stands for no response.
func Call(ctx context.Context, method, url, host string, header map[string]string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		reader = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	// One connection a call: the platform spreads new connections over the nodes.
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// Replace sends a configuration, as the operator does, until a core machine acknowledges it.
func (d *Deployment) Replace(config map[string]any, limit time.Duration) bool {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		n := d.Cores[i%len(d.Cores)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, text := Call(ctx, "POST", "http://"+n.ControlAddr()+"/api/Config.Replace", "", nil, config)
		cancel()
		if status == 200 {
			d.Record.Printf("%s acknowledges configuration %v", n.Name, config["Version"])
			return true
		}
		if status >= 400 && status < 500 {
			d.Record.Printf("%s refuses configuration %v: %d %s", n.Name, config["Version"], status, text)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Submit posts a job to a front machine and records what was sent and answered. body is the job.
func (d *Deployment) Submit(n *Node, queue, id string, deadline time.Duration, body map[string]any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	d.Record.Printf("client sends POST /%s/%s to %s", queue, id, n.Name)
	status, text := Call(ctx, "POST", "http://"+n.FrontAddr()+"/"+queue+"/"+id, "desk.example", map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, body)
	d.Record.Printf("POST /%s/%s to %s is answered %d %s", queue, id, n.Name, status, text)
	return status, text
}

// SubmitUntil does what Submit does, and closes the connection at the deadline.
func (d *Deployment) SubmitUntil(n *Node, queue, id string, deadline time.Duration, body map[string]any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	d.Record.Printf("client sends POST /%s/%s to %s", queue, id, n.Name)
	status, text := Call(ctx, "POST", "http://"+n.FrontAddr()+"/"+queue+"/"+id, "desk.example", map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, body)
	d.Record.Printf("POST /%s/%s to %s is answered %d %s", queue, id, n.Name, status, text)
	return status, text
}

// Cancel deletes a job at a front machine.
func (d *Deployment) Cancel(n *Node, queue, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.Record.Printf("client sends DELETE /%s/%s to %s", queue, id, n.Name)
	status, text := Call(ctx, "DELETE", "http://"+n.FrontAddr()+"/"+queue+"/"+id, "desk.example", nil, nil)
	d.Record.Printf("DELETE /%s/%s to %s is answered %d %s", queue, id, n.Name, status, text)
	return status, text
}

// Job is a best-effort job with one step for each count, each after the one before. Its tasks take ms.
func Job(ms, millicores int, counts ...int) map[string]any {
	var phases []any
	for i, c := range counts {
		p := map[string]any{"Count": c, "Cpu": millicores, "MemMb": 64, "EstimateMs": ms}
		if i > 0 {
			p["DependsOn"] = []int{i - 1}
		}
		phases = append(phases, p)
	}
	return map[string]any{"Spec": fmt.Sprintf("ms=%d", ms), "BestEffort": true, "Phases": phases}
}

// AwaitService submits short jobs to each front machine until all have answered one with success.
func (d *Deployment) AwaitService(queue string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i, n := range d.Fronts {
		for k := 0; ; k++ {
			if status, _ := d.Submit(n, queue, fmt.Sprintf("%08x%08x", 0xfeed0000+i, k), 1500*time.Millisecond, Job(20, 1000, 1)); status == 200 {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return true
}
