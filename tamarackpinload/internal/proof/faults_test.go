package proof

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/tamarackpinload/internal/load"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// seed is that of every choice of the tests in this package.
const seed = 1

// rate is the work a second that the tests play: about a third of what the
// targets can do.
const rate = 60

// answered checks that what was not touched by a fault was answered: bound is
// the most that may be lost or fail.
func answered(t *testing.T, r *load.Results, bound int) {
	t.Helper()
	all := r.Kinds()[len(r.Kinds())-1]
	if bad := all.Lost + all.Failed; bad > bound {
		t.Errorf("%d of %d were lost or failed, want at most %d", bad, all.Sent, bound)
	}
}

// TestKillsUnderLoad kills entry VMs at random moments and starts them again,
// some with a second one lost right after.
func TestKillsUnderLoad(t *testing.T) {
	d := deploy(t, 2, false)
	random := rand.New(rand.NewPCG(seed, 1))
	p := d.play(trace.Bunkerline, 14*time.Second, rate, seed)
	for range 3 {
		time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
		first := random.IntN(len(d.vms))
		d.vms[first].kill()
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			second := (first + 1 + random.IntN(len(d.vms)-1)) % len(d.vms)
			d.vms[second].kill()
			d.vms[second].start()
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		d.vms[first].start()
		for _, v := range d.vms {
			v.awaitReady(15 * time.Second)
		}
	}
	d.judge(p)
	d.awaitWhole(15 * time.Second)
}

// TestFrozenAndResumed stops processes for longer than their leases and lets
// them go on: what they did not know then must harm nobody.
func TestFrozenAndResumed(t *testing.T) {
	d := deploy(t, 2, false)
	random := rand.New(rand.NewPCG(seed, 2))
	p := d.play(trace.Bunkerline, 14*time.Second, rate, seed+1)
	for range 4 {
		time.Sleep(time.Duration(300+random.IntN(500)) * time.Millisecond)
		v := d.vms[random.IntN(len(d.vms))]
		v.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		v.signal(syscall.SIGCONT)
	}
	d.judge(p)
	d.awaitWhole(15 * time.Second)
}

// TestCutFailureDomain cuts each failure domain off in turn: it goes on
// serving, and healing takes nobody's hand.
func TestCutFailureDomain(t *testing.T) {
	d := deploy(t, 2, true)
	p := d.play(trace.Bunkerline, 16*time.Second, rate, seed+2)
	for _, domain := range []string{"durban-a", "richards-bay"} {
		inside := func(v *entryVM) bool { return string(v.domain) == domain }
		time.Sleep(500 * time.Millisecond)
		d.isolate(inside, true)
		time.Sleep(4 * time.Second)
		for _, v := range d.vms {
			if !v.ready() {
				t.Errorf("%s is not ready while %s is cut off", v.name, domain)
			}
		}
		d.isolate(inside, false)
		time.Sleep(2 * time.Second)
	}
	r := d.judge(p)
	d.awaitWhole(15 * time.Second)
	// Each failure domain has its own ledgers and targets, so a cut between
	// them fails nothing.
	answered(t, r, 0)
}

// TestOneWayCuts cuts single directions between entry VMs.
func TestOneWayCuts(t *testing.T) {
	d := deploy(t, 2, true)
	random := rand.New(rand.NewPCG(seed, 3))
	p := d.play(trace.Bunkerline, 12*time.Second, rate, seed+3)
	for range 3 {
		var cut []func()
		for range 4 {
			pair := [2]int{random.IntN(len(d.vms)), random.IntN(len(d.vms))}
			if w, direction := d.cables[pair], random.IntN(2); w != nil {
				w.set(direction, true)
				cut = append(cut, func() { w.set(direction, false) })
			}
		}
		time.Sleep(time.Duration(1500+random.IntN(1500)) * time.Millisecond)
		for _, mend := range cut {
			mend()
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.judge(p)
	d.awaitWhole(20 * time.Second)
}

// TestRollingRestart restarts all seven under load, gracefully: no request is
// cut off and nothing fails.
func TestRollingRestart(t *testing.T) {
	d := deploy(t, 2, false)
	p := d.play(trace.Bunkerline, 45*time.Second, rate, seed+4)
	for _, v := range d.vms {
		v.signal(syscall.SIGTERM)
		select {
		case <-v.ended:
		case <-time.After(40 * time.Second):
			t.Fatalf("%s does not end", v.name)
		}
		if v.exit != nil {
			t.Errorf("%s ended with %v", v.name, v.exit)
		}
		v.start()
		v.awaitReady(15 * time.Second)
		d.awaitWhole(15 * time.Second)
	}
	r := d.judge(p)
	answered(t, r, 0)
	for c, n := range r.Codes() {
		if c != code.OK && c != code.Draining {
			t.Errorf("%d replies of %s", n, c)
		}
	}
}

// TestLostDataFolder deletes the data folder of a member of the quorum while
// it is down: it does not vote before it is readmitted, and the table does not
// go back.
func TestLostDataFolder(t *testing.T) {
	d := deploy(t, 2, false)
	for i, victim := range []*entryVM{d.vms[0], d.vms[3]} {
		old := d.diskOf(victim)
		victim.kill()
		if err := os.RemoveAll(victim.data); err != nil {
			t.Fatal(err)
		}
		version := uint64(i + 1)
		d.change(version, 5)
		victim.start()
		victim.awaitReady(20 * time.Second)
		d.awaitVersion(version+1, d.vms, 5*time.Second)
		d.await(20*time.Second, "the empty disk is readmitted", func() bool {
			now := d.diskOf(victim)
			return now != "" && now != old
		})
	}
}

// diskOf returns the disk that votes for v.
func (d *deployment) diskOf(v *entryVM) string {
	s, err := d.vms[5].status()
	if err != nil || len(s.Control.Voters) != 3 {
		return ""
	}
	for _, m := range s.Control.Voters {
		if m.VM == v.name {
			return m.Disk
		}
	}
	return ""
}

// TestLostLedgers kills both entry VMs of a failure domain at once, so that all
// copies of its ledgers are gone: results that were on disk are still told, and
// every other id is refused as unknown, never taken for new.
func TestLostLedgers(t *testing.T) {
	d := deploy(t, 2, false)
	d.awaitWhole(10 * time.Second)
	disk, other := d.vms[3], d.vms[4]
	s := submission.Submission{Key: key("bay-bunkers", "stock_batch"), Tasks: []submission.Task{{Body: body("lost-1", time.Millisecond)}}}
	ids, err := d.client.IDs(context.Background(), disk.callers, 2)
	if err != nil {
		t.Fatal(err)
	}
	before, err := d.client.Submit(context.Background(), other.callers, ids[0], s, 10*time.Second)
	if err != nil || before.Code != code.OK {
		t.Fatalf("%+v, %v", before, err)
	}
	time.Sleep(500 * time.Millisecond) // results are on disk within 50 ms
	disk.signal(syscall.SIGKILL)
	other.kill()
	<-disk.ended
	disk.start()
	other.start()
	disk.awaitReady(20 * time.Second)
	other.awaitReady(20 * time.Second)
	d.awaitWhole(20 * time.Second)
	after, err := d.client.Submit(context.Background(), d.vms[0].callers, ids[0], s, 10*time.Second)
	if err != nil || after.Code != code.OK || string(after.Answers[0]) != string(before.Answers[0]) {
		t.Errorf("after the loss: %+v, %v", after, err)
	}
	s.Tasks[0].Body = body("lost-2", time.Millisecond)
	unknown, err := d.client.Submit(context.Background(), d.vms[0].callers, ids[1], s, 10*time.Second)
	if err != nil || unknown.Code != code.OutcomeUnknown {
		t.Errorf("an id of the lost generation: %+v, %v", unknown, err)
	}
	if starts := d.record.Starts("lost-2"); len(starts) > 0 {
		t.Errorf("it was started: %v", starts)
	}
}
