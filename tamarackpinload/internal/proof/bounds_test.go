package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// The stated bounds.
const (
	takeoverBound    = 3 * time.Second
	targetBound      = 3 * time.Second
	changeBound      = 2 * time.Second
	idleControlBytes = 26_000 // a second, for each entry VM
)

// change makes the next version of the table through entry VM by, sending it
// again until its fate is known.
func (d *deployment) change(basedOn uint64, by int) {
	d.t.Helper()
	c := table.Change{ID: table.ChangeID(fmt.Sprint("change-", basedOn)), BasedOn: table.Version(basedOn), Set: []table.Row{{
		Key: key("extra", "extra"), Weight: 1 + int(basedOn%9), MaxInFlight: 10, MaxQueue: 10, Deadline: wire.Duration(time.Second), TimeLimit: wire.Duration(time.Second),
	}}}
	var last error
	d.await(20*time.Second, "a change is accepted", func() bool {
		if err := d.vms[by].call(http.MethodPost, "/v1/table/changes", c, nil); err != nil && (last == nil || err.Error() != last.Error()) {
			last = err
			d.t.Logf("change %s: %v", c.ID, err)
		} else if err == nil {
			return true
		}
		return false
	})
}

// body is the body of a task for the stand-ins.
func body(id string, work time.Duration) []byte {
	return fmt.Appendf(nil, `{"id":%q,"work":%q}`, id, work)
}

// TestTakeoverBound kills a ledger's primary: its backup answers within the
// bound. The caller waits at another entry VM.
func TestTakeoverBound(t *testing.T) {
	d := deploy(t, 2, false)
	var ids []submission.ID
	var primary *entryVM
	d.await(20*time.Second, "an id of a ledger whose primary is not vm0", func() bool {
		for _, v := range d.vms[1:3] {
			if all, err := d.client.IDs(context.Background(), v.callers, 1); err == nil && v.holds(all[0].Ledger) {
				ids, primary = all, v
				return true
			}
		}
		return false
	})
	s := submission.Submission{Key: key("bay-bunkers", "stock_batch")}
	for i := range 20 {
		s.Tasks = append(s.Tasks, submission.Task{Body: body(fmt.Sprint("takeover-", i), time.Millisecond)})
	}
	primary.kill()
	begun := time.Now()
	got, err := d.client.Submit(context.Background(), d.vms[0].callers, ids[0], s, 30*time.Second)
	took := time.Since(begun)
	if err != nil || got.Code != code.OK {
		t.Fatalf("%+v, %v", got, err)
	}
	t.Logf("answered %s after the primary's death", took)
	if took > takeoverBound {
		t.Errorf("the takeover took %s, want at most %s", took, takeoverBound)
	}
}

// holds reports whether v is primary of ledger l.
func (v *entryVM) holds(l submission.LedgerID) bool {
	s, err := v.status()
	if err != nil {
		return false
	}
	for _, held := range s.Ledgers {
		if held.Role == "primary" && held.Ledger == l {
			return true
		}
	}
	return false
}

// TestLeavingTargetGetsNothing lets a target leave, and another die, under
// load.
func TestLeavingTargetGetsNothing(t *testing.T) {
	d := deploy(t, 3, false)
	leaving, dying := d.fleet.Targets()[0], d.fleet.Targets()[1]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var n atomic.Int64
	for _, v := range d.vms[:3] {
		for range 8 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					_, _ = d.client.Request(context.Background(), v.callers, request.Request{
						Key: key("durban-coal", "slot_booking"), Body: body(fmt.Sprint("leave-", n.Add(1)), 5*time.Millisecond),
					})
				}
			})
		}
	}
	time.Sleep(time.Second)
	leaving.Quit()
	dying.Kill()
	left := time.Now()
	time.Sleep(targetBound + 2*time.Second)
	close(stop)
	callers.Wait()
	for _, tgt := range []string{"durban-a-t0", "durban-a-t1"} {
		if last := d.record.Last(tgt); last.Sub(left) > targetBound {
			t.Errorf("%s was given a task %s after it left", tgt, last.Sub(left))
		}
	}
	r := d.report(0)
	t.Logf("messages to targets: %+v", r.Messages[report.UseTask])
}

// TestChangeBound measures how long an accepted change takes to be in force
// everywhere.
func TestChangeBound(t *testing.T) {
	d := deploy(t, 1, false)
	for version := uint64(1); version < 6; version++ {
		d.change(version, int(version)%len(d.vms))
		begun := time.Now()
		d.awaitVersion(version+1, d.vms, changeBound)
		t.Logf("version %d was in force everywhere %s after it was accepted", version+1, time.Since(begun).Round(time.Millisecond))
	}
}

// TestIdleControlTraffic counts what an idle system sends for control.
func TestIdleControlTraffic(t *testing.T) {
	d := deploy(t, 5, false)
	d.awaitWhole(10 * time.Second)
	control := func() (bytes uint64) {
		for use, m := range d.report(0).Messages {
			if use != report.UseTask && use != report.UseForward {
				bytes += m.Bytes
			}
		}
		return bytes
	}
	const span = 5 * time.Second
	before := control()
	time.Sleep(span)
	perVM := float64(control()-before) / span.Seconds() / float64(len(d.vms))
	t.Logf("control sends %.0f bytes a second for each entry VM", perVM)
	if perVM > idleControlBytes {
		t.Errorf("want at most %d", idleControlBytes)
	}
}

// TestOperatorsRace lets operators race with equal versions through all entry
// VMs and send again what was lost, while members of the quorum are killed and
// frozen: of each version there is one, and it stays.
func TestOperatorsRace(t *testing.T) {
	d := deploy(t, 1, false)
	const rounds = 6
	for round := range rounds {
		switch round {
		case 1:
			d.vms[3].kill()
		case 2:
			d.vms[3].start()
		case 3:
			d.vms[5].signal(syscall.SIGSTOP)
		case 4:
			d.vms[5].signal(syscall.SIGCONT)
		}
		d.raceOnce(uint64(round + 1))
	}
	d.awaitVersion(rounds+1, d.vms, 15*time.Second)
	var history []table.Entry
	if err := d.vms[6].get("/v1/table/history?most=100", &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != rounds+1 {
		t.Errorf("%d changes are in the history, want %d", len(history), rounds+1)
	}
}

// raceOnce has one operator at each of four entry VMs change the same version.
func (d *deployment) raceOnce(basedOn uint64) {
	d.t.Helper()
	var won atomic.Int64
	var operators sync.WaitGroup
	for i, v := range []*entryVM{d.vms[0], d.vms[1], d.vms[2], d.vms[6]} {
		operators.Go(func() {
			c := table.Change{ID: table.ChangeID(fmt.Sprintf("race-%d-%d", basedOn, i)), BasedOn: table.Version(basedOn), Set: []table.Row{{
				Key: key("extra", "extra"), Weight: 1 + i, MaxInFlight: 10, MaxQueue: 10, Deadline: wire.Duration(time.Second), TimeLimit: wire.Duration(time.Second),
			}}}
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				err := v.call(http.MethodPost, "/v1/table/changes", c, nil)
				if err == nil {
					won.Add(1)
					return
				}
				if isRefusal(err, code.StaleVersion) {
					return
				}
			}
			d.t.Errorf("the change %s was not settled", c.ID)
		})
	}
	operators.Wait()
	if won.Load() != 1 {
		d.t.Errorf("%d of the changes based on version %d were accepted", won.Load(), basedOn)
	}
}

func isRefusal(err error, c code.Code) bool {
	return err != nil && strings.Contains(err.Error(), fmt.Sprintf(`"code":%d`, c))
}
