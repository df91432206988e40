package nodeoperator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/internal/worker"
	"tamarackpin.example/tamarackpin/internal/fleet"
)

// known returns the Knowledge of a VM of failure domain a, which knows entry VMs in a and b, a control VM in c, and
// workers in a and b.
func known(now time.Time, self vm.Presence) *fleet.Knowledge {
	k := fleet.NewKnowledge(self, zap.NewNop())
	for _, p := range []vm.Presence{
		{VM: "ip-a1", FailureDomain: "a", Callers: true},
		{VM: "ip-b1", FailureDomain: "b", Callers: true},
		{VM: "ip-b2", FailureDomain: "b", Callers: true},
		{VM: "ip-c9", FailureDomain: "c", Control: true},
	} {
		p.Incarnation = 1
		k.ObserveVM(now, p, 0)
	}
	for i, d := range []vm.FailureDomain{"a", "a", "b"} {
		k.ObserveWorker(now, worker.Announcement{Worker: worker.ID(fmt.Sprint("w", i)), Incarnation: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:1", FailureDomain: d}, 0, nil)
	}
	return k
}

// call returns what the handler replies, as in a golden file.
func call(h http.Handler, method, path string) []byte {
	r := httptest.NewRequest(method, path, nil)
	r.Header.Set("Authorization", "Bearer right")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return fmt.Appendf(nil, "> %s %s\n%d\n%s", method, path, w.Code, w.Body)
}

// TestCalls compares the reply to each call with its golden file.
func TestCalls(t *testing.T) {
	control := vm.Presence{VM: "ip-c1", FailureDomain: "c", Incarnation: 1, Control: true}
	entry := vm.Presence{VM: "ip-a1", FailureDomain: "a", Incarnation: 1, Callers: true}
	orders := func(_ context.Context, d vm.FailureDomain, evacuate bool, waiting func() bool) *code.Error {
		if d == "nowhere" {
			return code.New(code.NotFound, "there is no failure domain %s; evacuate %t, waiting %t", d, evacuate, waiting())
		}
		return nil
	}
	running := func(_ context.Context, of vm.ID) (int, error) {
		return map[vm.ID]int{"ip-a1": 3, "ip-b1": 5}[of], map[vm.ID]error{"ip-b2": errors.New("timeout")}[of]
	}
	pairs := func() any { return []struct{ Slowed string }{{"quick"}} }
	for _, c := range []struct {
		name, method, path string
		self               vm.Presence
		change             func(*Config)
	}{
		{"evacuations", "GET", "/v1/evacuations", control, nil},
		{"evacuations_entry_vm", "GET", "/v1/evacuations", entry, nil},
		{"begin", "POST", "/v1/evacuations/b/begin", control, nil},
		{"finish", "POST", "/v1/evacuations/b/finish", control, nil},
		{"begin_unknown", "POST", "/v1/evacuations/nowhere/begin", control, nil},
		{"begin_entry_vm", "POST", "/v1/evacuations/b/begin", entry, func(c *Config) { c.Evacuate = nil }},
		{"begin_get", "GET", "/v1/evacuations/b/begin", control, nil},
		{"interference", "GET", "/v1/interference", entry, nil},
		{"interference_control_vm", "GET", "/v1/interference", control, func(c *Config) { c.Interference = nil }},
		{"status", "GET", "/v1/status", entry, nil},
		{"unauthorized", "POST", "/v1/evacuations/b/begin", control, func(c *Config) { c.Credential = "another" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			k := known(now, c.self)
			config := Config{
				Credential: "right", Knowledge: k, Evacuate: orders, Running: running, Interference: pairs,
				Status: func(time.Time) Status {
					return Status{VM: c.self.VM, Name: "n", FailureDomain: c.self.FailureDomain, Incarnation: 1, Uptime: wire.Duration(time.Minute), Ready: true, Entry: true}
				},
			}
			if c.change != nil {
				c.change(&config)
			}
			goldie.New(t).Assert(t, c.name, call(Handler(config), c.method, c.path))
		})
	}
}

// TestDomains guards against a failure domain that is shown as free of tasks because an entry VM did not answer, and against
// an evacuation whose state is shown without its age.
func TestDomains(t *testing.T) {
	now := time.Unix(1000, 0)
	k := known(now, vm.Presence{VM: "ip-c1", FailureDomain: "c", Incarnation: 1, Control: true})
	k.SetEvacuations(evacuation.Set{}.
		With(evacuation.Domain{FailureDomain: "a", Revision: 2, Since: now.Add(-time.Minute)}).
		With(evacuation.Domain{FailureDomain: "b", Revision: 3, Evacuated: true, Since: now.Add(-2 * time.Second)}))
	asked := make(chan vm.ID, 10)
	h := &handler{config: Config{Knowledge: k, Running: func(ctx context.Context, of vm.ID) (int, error) {
		asked <- of
		if _, bounded := ctx.Deadline(); !bounded {
			t.Error("a question without a time limit")
		}
		if of == "ip-b2" {
			return 0, errors.New("timeout")
		}
		return 7, nil
	}}}
	var b bytes.Buffer
	for _, s := range h.domains(t.Context(), now) {
		fmt.Fprintf(&b, "%+v\n", s)
	}
	goldie.New(t).Assert(t, "domains", b.Bytes())
	if len(asked) != 3 {
		t.Errorf("%d VMs were asked, want the three entry VMs", len(asked))
	}
}

// TestOrderOfAClientThatLeft guards against an order that is proposed again for an operator who has left, whose later order
// it would undo.
func TestOrderOfAClientThatLeft(t *testing.T) {
	left := false
	var before, after bool
	config := Config{
		Credential: "right", Knowledge: known(time.Now(), vm.Presence{VM: "ip-c1", FailureDomain: "c", Incarnation: 1, Control: true}),
		ClientLeft: func(context.Context) bool { return left },
		Evacuate: func(ctx context.Context, _ vm.FailureDomain, _ bool, waiting func() bool) *code.Error {
			before = waiting()
			left = true
			after = waiting()
			if end, bounded := ctx.Deadline(); !bounded || time.Until(end) > orderTimeout {
				t.Errorf("the order ends at %s, want within %s", end, orderTimeout)
			}
			return nil
		},
	}
	call(Handler(config), "POST", "/v1/evacuations/b/begin")
	if !before || after {
		t.Errorf("waiting %t before the client left, and %t after", before, after)
	}
}
