// Package proof runs seven entry VMs as processes, with stand-in targets and
// callers, and does to them what happens to machines: kills, freezes, cuts,
// lost disks. The judge is the targets' own record of starts, and what callers
// and operators were told.
package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpinload/internal/caller"
	"tamarackpin.example/tamarackpinload/internal/load"
	"tamarackpin.example/tamarackpinload/internal/standin"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

const credential = "credential-of-the-tests"

// domains are the failure domains of the seven entry VMs.
var domains = []vm.FailureDomain{"durban-a", "durban-a", "durban-a", "durban-b", "durban-b", "richards-bay", "richards-bay"}

// control marks the entry VMs with a disk: no failure domain holds a majority.
var control = []bool{true, false, false, true, false, true, false}

// binary is the server, built once with the race detector.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "tamarackpin")
	build := exec.Command("go", "build", "-race", "-o", binary, "tamarackpin.example/tamarackpin")
	build.Dir = "../../../tamarackpin"
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the server: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// entryVM is one process.
type entryVM struct {
	t         *testing.T
	name      vm.ID
	domain    vm.FailureDomain
	settings  string
	data      string
	log       string
	callers   string
	targets   string
	operators string
	command   *exec.Cmd
	ended     chan struct{}
	exit      error
}

// deployment is seven of them with their targets.
type deployment struct {
	t      *testing.T
	vms    []*entryVM
	cables map[[2]int]*cable // by the indices of caller and called
	fleet  standin.Fleet
	record standin.Record
	client *caller.Client
}

// deploy starts everything and waits until it is ready. With cables, the
// processes speak through relays that can be cut.
func deploy(t *testing.T, targetsEach int, cuttable bool) *deployment {
	t.Helper()
	d := &deployment{t: t, cables: make(map[[2]int]*cable), client: caller.New(2 * time.Minute)}
	d.layOut(t, cuttable)
	for _, v := range d.vms {
		v.start()
	}
	for _, v := range d.vms {
		v.awaitReady(20 * time.Second)
	}
	d.putTable(append(trace.Bunkerline.Rows(), trace.Tangles.Rows()...))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		d.fleet.Wait()
	})
	if err := d.fleet.Start(ctx, d.targetConfigs(targetsEach)); err != nil {
		t.Fatal(err)
	}
	d.await(10*time.Second, "every entry VM knows its targets", func() bool {
		for _, v := range d.vms {
			var states []json.RawMessage
			if v.get("/v1/targets", &states) != nil || len(states) != targetsEach {
				return false
			}
		}
		return true
	})
	return d
}

func (d *deployment) layOut(t *testing.T, cuttable bool) {
	ports := freePorts(4 * len(domains))
	folder := t.TempDir()
	peerAddress := func(i int) string { return fmt.Sprint("127.0.0.1:", ports[4*i]) }
	for i := range domains {
		name := fmt.Sprint("vm", i)
		v := &entryVM{
			t: t, name: vm.ID(name), domain: domains[i],
			settings: filepath.Join(folder, name+".json"), data: filepath.Join(folder, name), log: filepath.Join(folder, name+".log"),
			callers: fmt.Sprint("127.0.0.1:", ports[4*i+1]), targets: fmt.Sprint("127.0.0.1:", ports[4*i+2]), operators: fmt.Sprint("127.0.0.1:", ports[4*i+3]),
		}
		d.vms = append(d.vms, v)
		var list []map[string]any
		for j := range domains {
			address := peerAddress(j)
			if cuttable && i != j {
				w := newCable(t, address)
				d.cables[[2]int{i, j}] = w
				address = w.address()
			}
			list = append(list, map[string]any{"vm": fmt.Sprint("vm", j), "failure_domain": domains[j], "peer_address": address, "control": control[j]})
		}
		file := map[string]any{
			"vm": name, "failure_domain": domains[i], "vms": list, "shutdown_notice": "500ms",
			"callers": map[string]any{"address": v.callers}, "targets": map[string]any{"address": v.targets},
			"operators": map[string]any{"address": v.operators, "credential": credential},
		}
		if control[i] {
			file["data_folder"] = v.data
		}
		b, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(v.settings, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// nextPort is below the ports that the system gives to connections, so that
// nobody takes one between the look and the use.
var nextPort = 12000 + os.Getpid()%18*1000

// freePorts returns ports that are free.
func freePorts(count int) []int {
	var ports []int
	for len(ports) < count {
		nextPort++
		if nextPort > 30000 {
			nextPort = 12000
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", nextPort))
		if err != nil {
			continue // someone else's
		}
		defer l.Close()
		ports = append(ports, nextPort)
	}
	return ports
}

func (d *deployment) targetConfigs(each int) []standin.Config {
	entries := make(map[vm.FailureDomain][]string)
	for _, v := range d.vms {
		entries[v.domain] = append(entries[v.domain], v.targets)
	}
	kinds := append(trace.Bunkerline.Kinds(), trace.Tangles.Kinds()...)
	var configs []standin.Config
	for _, domain := range []vm.FailureDomain{"durban-a", "durban-b", "richards-bay"} {
		for i := range each {
			configs = append(configs, standin.Config{
				ID: target.ID(fmt.Sprintf("%s-t%d", domain, i)), FailureDomain: domain, Slots: 8, Connections: 60,
				Kinds: kinds, Speed: float64(1 + i%4), Entries: entries[domain], Record: &d.record,
			})
		}
	}
	return configs
}

func (v *entryVM) start() {
	v.t.Helper()
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.t.Fatal(err)
	}
	defer log.Close()
	v.command = exec.Command(binary, "serve", "--settings", v.settings)
	v.command.Stderr = log
	if err := v.command.Start(); err != nil {
		v.t.Fatal(err)
	}
	ended := make(chan struct{})
	v.ended = ended
	command := v.command
	go func() {
		v.exit = command.Wait()
		close(ended)
	}()
	v.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-ended
		v.checkLog()
	})
}

// checkLog fails the test if the race detector or a panic spoke.
func (v *entryVM) checkLog() {
	b, err := os.ReadFile(v.log)
	if err != nil {
		return
	}
	for _, bad := range []string{"DATA RACE", "panic:", `"event":109`} {
		if i := bytes.Index(b, []byte(bad)); i >= 0 {
			v.t.Errorf("%s logged %s:\n%s", v.name, bad, b[max(0, i-200):min(len(b), i+3000)])
			return
		}
	}
}

func (v *entryVM) signal(s syscall.Signal) {
	if err := v.command.Process.Signal(s); err != nil {
		v.t.Errorf("signal %v to %s: %v", s, v.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (v *entryVM) kill() {
	v.signal(syscall.SIGKILL)
	<-v.ended
}

func (v *entryVM) awaitReady(within time.Duration) {
	v.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		if v.ready() {
			return
		}
		if time.Now().After(end) {
			b, _ := os.ReadFile(v.log)
			v.t.Fatalf("%s is not ready within %s:\n%s", v.name, within, b)
		}
	}
}

func (v *entryVM) ready() bool { return v.get("/ready", nil) == nil }

var operatorHTTP = &http.Client{Timeout: 8 * time.Second}

// call makes an operators' call.
func (v *entryVM) call(method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+v.operators+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := operatorHTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

func (v *entryVM) get(path string, out any) error { return v.call(http.MethodGet, path, nil, out) }

// status is what the tests read of an entry VM's status.
type status struct {
	Control struct {
		Role    string `json:"role"`
		Leader  vm.ID  `json:"leader"`
		Version uint64 `json:"table_version"`
		Voters  []struct {
			VM   vm.ID  `json:"vm"`
			Disk string `json:"disk"`
		} `json:"voters"`
	} `json:"control"`
	Ledgers []struct {
		Ledger  submission.LedgerID `json:"ledger"`
		Role    string              `json:"role"`
		Epoch   uint64              `json:"epoch"`
		Backup  holder              `json:"backup"`
		Joining holder              `json:"joining"`
	} `json:"ledgers"`
}

// holder is who holds a copy.
type holder struct {
	VM vm.ID `json:"vm"`
}

func (v *entryVM) status() (status, error) {
	var s status
	err := v.get("/v1/status", &s)
	return s, err
}

// putTable makes the first table and waits until it is in force everywhere.
func (d *deployment) putTable(rows []table.Row) {
	d.t.Helper()
	change := table.Change{ID: "first", Set: rows}
	d.await(20*time.Second, "the first table is accepted", func() bool {
		return d.vms[1].call(http.MethodPost, "/v1/table/changes", change, nil) == nil
	})
	d.awaitVersion(1, d.vms, 2*time.Second)
}

func (d *deployment) awaitVersion(version uint64, vms []*entryVM, within time.Duration) {
	d.t.Helper()
	d.await(within, fmt.Sprintf("version %d is in force", version), func() bool {
		for _, v := range vms {
			if s, err := v.status(); err != nil || s.Control.Version < version {
				return false
			}
		}
		return true
	})
}

func (d *deployment) await(within time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not within %s: %s", within, what)
		}
	}
}

// awaitWhole waits until every ledger has a primary and a backup.
func (d *deployment) awaitWhole(within time.Duration) {
	d.t.Helper()
	var seen []string
	defer func() {
		if d.t.Failed() {
			d.t.Logf("ledgers:\n%s", strings.Join(seen, "\n"))
		}
	}()
	d.await(within, "every ledger has a backup", func() bool {
		roles := 0
		seen = nil
		for _, v := range d.vms {
			s, err := v.status()
			if err != nil {
				return false
			}
			for _, l := range s.Ledgers {
				seen = append(seen, fmt.Sprintf("%s: %+v", v.name, l))
				if l.Role == "primary" && l.Backup.VM != "" {
					roles++
				}
			}
		}
		return roles == 4*3
	})
}

// playing is a trace that is being played.
type playing struct {
	done    chan struct{}
	results *load.Results
}

// play plays a workload in the background.
func (d *deployment) play(w trace.Workload, length time.Duration, rate float64, seed uint64) *playing {
	p := &playing{done: make(chan struct{})}
	player := load.Player{Client: d.client, Run: fmt.Sprint(w.Name, "-", seed), Fastest: 4, Wait: time.Minute}
	for _, v := range d.vms {
		player.Entries = append(player.Entries, v.callers)
	}
	t := w.Make(seed, length, rate)
	d.t.Logf("plays %d events of %s, seed %d", len(t), w.Name, seed)
	go func() {
		defer close(p.done)
		p.results = player.Play(context.Background(), t, seed)
	}()
	return p
}

// judge waits for the end of a trace and checks what holds under any fault.
func (d *deployment) judge(p *playing) *load.Results {
	d.t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * time.Minute):
		d.t.Fatal("the callers wait for replies for over 2 minutes")
	}
	var text strings.Builder
	_ = p.results.WriteText(&text)
	d.t.Logf("\n%s", text.String())
	for _, f := range p.results.Faults() {
		d.t.Errorf("wrong answer: %s", f)
	}
	d.checkStarts(p.results)
	return p.results
}

// checkStarts: no task of a submission started twice, no request that is not
// idempotent ran twice, and what was said not to have run did not.
func (d *deployment) checkStarts(r *load.Results) {
	d.t.Helper()
	for _, starts := range d.record.Summary().Doubled {
		if starts[0].Submission != "" || !r.Idempotent(starts[0].Work) {
			d.t.Errorf("started %d times: %+v", len(starts), starts)
		}
	}
	for _, work := range r.SaidNotRun() {
		if starts := d.record.Starts(work); len(starts) > 0 {
			d.t.Errorf("said not to have run, and ran: %+v", starts)
		}
	}
}

// reports returns the merged report.
func (d *deployment) report(from int) *report.Report {
	d.t.Helper()
	var r report.Report
	if err := d.vms[from].get("/v1/report", &r); err != nil {
		d.t.Fatal(err)
	}
	return &r
}

// parallel runs fn for every entry VM.
func (d *deployment) parallel(fn func(v *entryVM)) {
	var all sync.WaitGroup
	for _, v := range d.vms {
		all.Go(func() { fn(v) })
	}
	all.Wait()
}

// key is a row of the tables of the tests.
func key(p, k string) party.Key { return party.Key{Party: party.ID(p), Kind: party.Kind(k)} }
