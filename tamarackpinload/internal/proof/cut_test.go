package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpinload/internal/standin"
)

// cutOff is a failure domain that is cut off, seen from inside.
type cutOff struct {
	*deployment
	inside   []*entryVM
	disk     *entryVM // inside, with a data folder
	diskless *entryVM // inside, without
	outside  *entryVM
}

// TestCutTable drives every row of the table in docs/OPERATORS.md about a
// failure domain that is cut off: the one of the quorum's leader.
func TestCutTable(t *testing.T) {
	c := cutLeaderOff(t)
	ownID, foreignID := c.issueAt(c.diskless), c.issueAt(c.outside)
	c.isolate(func(v *entryVM) bool { return v.domain == c.disk.domain }, true)

	t.Run("a change that the leader was cut off with is unsure", func(t *testing.T) {
		if err := c.changeAt(c.disk, "cut-1"); !isRefusal(err, code.TableOutcomeUnsure) {
			t.Errorf("%v", err)
		}
	})
	time.Sleep(vm.DeadAfter + vm.HeartbeatEvery)
	t.Run("a request for the domain's targets is served", func(t *testing.T) { c.wantRequest(t, "slot_booking", code.OK) })
	t.Run("a kind that runs elsewhere is refused", func(t *testing.T) { c.wantRequest(t, "elsewhere_only", code.NoTarget) })
	t.Run("a new submission is served", func(t *testing.T) { c.wantSubmission(t, c.issueAt(c.diskless), "cut-new", code.OK) })
	t.Run("an id of the domain's ledgers is served", func(t *testing.T) { c.wantSubmission(t, ownID, "cut-own", code.OK) })
	t.Run("an id of a ledger elsewhere is refused", func(t *testing.T) { c.wantSubmission(t, foreignID, "cut-foreign", code.LedgerUnreachable) })
	t.Run("a change is refused", func(t *testing.T) {
		if err := c.changeAt(c.diskless, "cut-2"); !isRefusal(err, code.TableUnavailable) {
			t.Errorf("%v", err)
		}
	})
	t.Run("reads are served and the report names who is missing", func(t *testing.T) {
		var s table.Snapshot
		if err := c.diskless.get("/v1/table", &s); err != nil || s.Version() < 2 {
			t.Errorf("version %d, %v", s.Version(), err)
		}
		index := 0
		for i, v := range c.vms {
			if v == c.diskless {
				index = i
			}
		}
		if r := c.report(index); len(r.Missing) != len(c.vms)-len(c.inside) {
			t.Errorf("missing are %v", r.Missing)
		}
	})
	t.Run("a restarted entry VM with a data folder is ready with its view", func(t *testing.T) {
		c.disk.kill()
		c.disk.start()
		c.disk.awaitReady(15 * time.Second)
		if s, err := c.disk.status(); err != nil || s.Control.Version < 2 {
			t.Errorf("version %d, %v", s.Control.Version, err)
		}
	})
	t.Run("a restarted entry VM without a disk is not ready", func(t *testing.T) {
		id := c.issueAt(c.diskless)
		c.diskless.kill()
		t.Run("an id whose primary died waits for the quorum", func(t *testing.T) {
			got, err := c.client.Submit(context.Background(), c.disk.callers, id, c.submission("cut-dead"), 20*time.Second)
			if err != nil || got.Code != code.LedgerUnreachable {
				t.Errorf("%+v, %v", got, err)
			}
		})
		c.diskless.start()
		time.Sleep(5 * time.Second)
		if c.diskless.ready() {
			t.Error("it is ready")
		}
		c.want(t, c.diskless, "slot_booking", code.NotReady)
	})
	c.isolate(func(v *entryVM) bool { return v.domain == c.disk.domain }, false)
	t.Run("healing needs no hand", func(t *testing.T) {
		c.diskless.awaitReady(15 * time.Second)
		c.wantSubmission(t, foreignID, "cut-foreign", code.OK)
		c.wantSubmission(t, ownID, "cut-own", code.OK, code.OutcomeUnknown)
		c.awaitWhole(20 * time.Second)
		if doubled := c.record.Summary().Doubled; len(doubled) > 0 {
			t.Errorf("started twice: %v", doubled)
		}
	})
}

// cutLeaderOff deploys, adds a kind that runs in one other failure domain only,
// and finds the leader's failure domain.
func cutLeaderOff(t *testing.T) *cutOff {
	c := &cutOff{deployment: deploy(t, 2, true)}
	s, err := c.vms[0].status()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range c.vms {
		if v.name == s.Control.Leader {
			c.disk = v
		}
	}
	if c.disk == nil {
		t.Fatalf("the leader is %q", s.Control.Leader)
	}
	for _, v := range c.vms {
		switch {
		case v.domain != c.disk.domain:
			c.outside = v
		case v != c.disk:
			c.diskless = v
			fallthrough
		default:
			c.inside = append(c.inside, v)
		}
	}
	c.addElsewhere()
	return c
}

// addElsewhere adds a row and a target for a kind that runs outside only.
func (c *cutOff) addElsewhere() {
	row := table.Row{Key: key("durban-coal", "elsewhere_only"), Weight: 1, MaxInFlight: 100, MaxQueue: 100, Deadline: wire.Duration(5 * time.Second), TimeLimit: wire.Duration(5 * time.Second)}
	change := table.Change{ID: "elsewhere", BasedOn: 1, Set: []table.Row{row}}
	c.await(10*time.Second, "the row is accepted", func() bool {
		return c.disk.call(http.MethodPost, "/v1/table/changes", change, nil) == nil
	})
	ctx, stop := context.WithCancel(context.Background())
	c.t.Cleanup(stop)
	err := c.fleet.Start(ctx, []standin.Config{{
		ID: target.ID("elsewhere-t0"), FailureDomain: c.outside.domain, Slots: 8, Connections: 60, Speed: 1,
		Kinds: []party.Kind{"elsewhere_only"}, Entries: []string{c.outside.targets}, Record: &c.record,
	}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.await(10*time.Second, "the kind is served from everywhere", func() bool {
		r, err := c.request(c.diskless, "elsewhere_only")
		return err == nil && r.Code == code.OK
	})
}

func (c *cutOff) request(v *entryVM, kind string) (request.Reply, error) {
	return c.client.Request(context.Background(), v.callers, request.Request{
		Key: key("durban-coal", kind), Deadline: wire.Duration(2 * time.Second), Body: body(fmt.Sprint("cut-", kind, time.Now().UnixNano()), time.Millisecond),
	})
}

func (c *cutOff) wantRequest(t *testing.T, kind string, want code.Code) {
	for _, v := range c.inside {
		c.want(t, v, kind, want)
	}
}

func (c *cutOff) want(t *testing.T, v *entryVM, kind string, want code.Code) {
	t.Helper()
	if r, err := c.request(v, kind); err != nil || r.Code != want {
		t.Errorf("%s through %s: %s %s, %v", kind, v.name, r.Code, r.Message, err)
	}
}

func (c *cutOff) submission(name string) submission.Submission {
	s := submission.Submission{Key: key("bay-bunkers", "stock_batch")}
	for i := range 5 {
		s.Tasks = append(s.Tasks, submission.Task{Body: body(fmt.Sprint(name, ".", i), time.Millisecond)})
	}
	return s
}

// wantSubmission submits through the diskless entry VM.
func (c *cutOff) wantSubmission(t *testing.T, id submission.ID, name string, want ...code.Code) {
	t.Helper()
	got, err := c.client.Submit(context.Background(), c.diskless.callers, id, c.submission(name), 20*time.Second)
	if err != nil {
		t.Error(err)
	}
	for _, w := range want {
		if got.Code == w {
			return
		}
	}
	t.Errorf("submission %s: %s %s, want %v", id, got.Code, got.Message, want)
}

func (c *cutOff) issueAt(v *entryVM) submission.ID {
	c.t.Helper()
	ids, err := c.client.IDs(context.Background(), v.callers, 1)
	if err != nil {
		c.t.Fatal(err)
	}
	return ids[0]
}

func (c *cutOff) changeAt(v *entryVM, id string) error {
	var s table.Snapshot
	if err := v.get("/v1/table", &s); err != nil {
		return err
	}
	rows := s.Rows()
	rows[0].Weight++
	var reply json.RawMessage
	return v.call(http.MethodPost, "/v1/table/changes", table.Change{ID: table.ChangeID(id), BasedOn: s.Version(), Set: rows[:1]}, &reply)
}
