package group

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/pool"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

const otherVM vm.ID = "ip-0a000002"

// TestShownContactNeedsAnswers: contact that is shown to a VM without answers, or after the connection has failed, would make
// forwarded jobs wait longer at its successor.
func TestShownContactNeedsAnswers(t *testing.T) {
	startedAt := time.Now()
	var s lastContacts
	shown := func(after time.Duration, connected bool) time.Duration {
		return s.show(otherVM, startedAt.Add(after), connected).Sub(startedAt)
	}
	answer := func(after time.Duration) { s.record(startedAt.Add(after), process{otherVM, 1}, stamp{}) }
	const ms = time.Millisecond
	for _, c := range []struct {
		after     time.Duration
		connected bool
		answered  bool // before the call
		want      time.Duration
	}{
		{0, false, false, 0},
		{100 * ms, true, false, 100 * ms},
		{240 * ms, true, false, 240 * ms},
		{400 * ms, true, false, exchangeTimeout}, // of the first call
		{900 * ms, true, false, exchangeTimeout},
		{1000 * ms, true, true, 1000 * ms},
		{1100 * ms, true, false, 1100 * ms},
		{1150 * ms, false, false, 1100 * ms}, // the connection has failed
		{1300 * ms, false, false, 1100 * ms},
		{1350 * ms, false, true, 1350 * ms},
		{1400 * ms, true, false, 1400 * ms},
		{2000 * ms, true, false, 1350*ms + exchangeTimeout},
	} {
		if c.answered {
			answer(c.after)
		}
		if got := shown(c.after, c.connected); got != c.want {
			t.Errorf("after %s, connected %v, answered %v: shows %s, want %s", c.after, c.connected, c.answered, got, c.want)
		}
	}
}

// TestContactIsShownAfterIdleTime: the last call before an idle time had no answer, and the first one after it, as of a job
// that is offloaded, had a stamp from before that time, with which it is not admitted.
func TestContactIsShownAfterIdleTime(t *testing.T) {
	now := time.Now()
	var s lastContacts
	s.show(otherVM, now, true)
	later := now.Add(time.Minute)
	if at := s.show(otherVM, later, true); at != later {
		t.Errorf("after an idle time the contact shown is %s old", later.Sub(at))
	}
	if later = later.Add(exchangeTimeout / 2); !s.isAnswering(otherVM, later) {
		t.Errorf("the VM is considered unresponsive %s after the first call", exchangeTimeout/2)
	}
}

// TestShownContactDoesNotGoBack: of two calls at about the same time, the one that took the time first may come second.
func TestShownContactDoesNotGoBack(t *testing.T) {
	now := time.Now()
	var s lastContacts
	s.record(now, process{otherVM, 1}, stamp{})
	s.show(otherVM, now, true)
	s.show(otherVM, now.Add(20*time.Millisecond), true)
	s.show(otherVM, now.Add(10*time.Millisecond), true)
	if at := s.shown[otherVM].until.Sub(now); at != 20*time.Millisecond {
		t.Errorf("the newest contact shown is that after %s, want 20ms", at)
	}
	s.showReply(otherVM, now.Add(15*time.Millisecond))
	if at := s.shown[otherVM].until.Sub(now); at != 20*time.Millisecond {
		t.Errorf("after a reply the newest contact shown is that after %s, want 20ms", at)
	}
}

// TestContactAge: the age is to bound, from below, how long ago each earlier dispatcher may have heard the gate.
func TestContactAge(t *testing.T) {
	now := time.Now()
	g, _, _ := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	leader := func(id vm.ID, fence lead.Fence) Leader {
		return Leader{VM: id, Claim: lead.Claim{Fence: fence, VM: id, Incarnation: 7}}
	}
	a, b, unstamped, unknown, self := leader("ip-0a00000a", 1), leader("ip-0a00000b", 2), leader("ip-0a00000c", 3), leader("ip-0a00000d", 4), leader(g.self.VM, 5)
	next, earlierBuild, restarted := leader("ip-0a00000e", 6), leader("ip-0a00000f", 7), leader("ip-0a00000e", 8)
	restarted.Claim.Incarnation++
	for _, l := range []Leader{a, b, next, earlierBuild, unstamped} {
		made := stamp{7, wire.Duration(time.Second)}
		if l == unstamped {
			made = stamp{}
		}
		g.contacts.record(now.Add(-10*time.Second), process{l.VM, 7}, made)
	}
	g.contacts.update(process{next.VM, 7}, func(c *lastContact) { c.readsContactAge = true })
	g.contacts.show(a.VM, now.Add(-2*time.Second), true)
	g.contacts.show(b.VM, now.Add(-700*time.Millisecond), true)
	g.contacts.show(unstamped.VM, now.Add(-5*time.Second), true)
	g.contacts.show(next.VM, now.Add(-100*time.Millisecond), true)
	for _, c := range []struct {
		name    string
		earlier []Leader
		to      Leader
		want    time.Duration
	}{
		{"one", []Leader{a}, next, 2 * time.Second},
		{"the newest of two", []Leader{a, b}, next, 700 * time.Millisecond},
		{"the newest of two, in the other order", []Leader{b, a}, next, 700 * time.Millisecond},
		{"the same claim", []Leader{a, next}, next, 2 * time.Second},
		{"the same claim only", []Leader{next}, next, contactLifetime},
		{"an earlier claim of the same VM", []Leader{leader(next.VM, 5)}, next, 100 * time.Millisecond},
		{"this VM", []Leader{a, self}, next, 0},
		{"a VM to which nothing was shown", []Leader{unknown}, next, 0},
		{"a VM that counts messages as of their arrival", []Leader{unstamped}, next, 0},
		{"to this VM", []Leader{a}, self, 2 * time.Second},
		{"to a VM that does not read it", []Leader{a}, earlierBuild, 0},
		{"to a VM that was never heard", []Leader{a}, unknown, 0},
		{"to a process that was never heard", []Leader{a}, restarted, 0},
	} {
		if got := g.ContactAge(now, c.earlier, c.to); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// TestEarlierBuildGetsNoContactAge: an earlier build refuses a forward with a field that it does not know.
func TestEarlierBuildGetsNoContactAge(t *testing.T) {
	encode := func(v any) string {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	if s := encode(pool.Request{MayBeRunning: true}); strings.Contains(s, "ContactAge") {
		t.Errorf("a request without it has the field: %s", s)
	}
	if s := encode(pool.Request{MayBeRunning: true, EarlierContactAge: time.Second}); !strings.Contains(s, "EarlierContactAge") {
		t.Errorf("a request with it lacks the field: %s", s)
	}
	now := time.Now()
	g, _, _ := newTestGroup("ip-0a000001", now.Add(-time.Minute), nil)
	if s := encode(g.heartbeat(otherVM)); strings.Contains(s, "contact_age") {
		t.Errorf("a call has the field of replies: %s", s)
	}
	gate, _, _ := newTestGroup(otherVM, now.Add(-time.Minute), nil)
	reply, err := g.serveExchange(t.Context(), otherVM, gate.heartbeat(g.self.VM))
	if err != nil || !reply.ReadsContactAge {
		t.Fatalf("the reply to a heartbeat is %+v, %v", reply, err)
	}
	l := Leader{VM: g.self.VM, Claim: lead.Claim{Fence: 2, VM: g.self.VM, Incarnation: g.self.Incarnation}}
	earlier := Leader{VM: "ip-0a00000a", Claim: lead.Claim{Fence: 1, VM: "ip-0a00000a"}}
	gate.contacts.record(now, process{earlier.VM, 1}, stamp{1, wire.Duration(time.Second)})
	gate.contacts.show(earlier.VM, now.Add(-time.Second), true)
	if age := gate.ContactAge(now, []Leader{earlier}, l); age != 0 {
		t.Errorf("before its reply the VM is told %s", age)
	}
	gate.receiveHeartbeat(t.Context(), reply)
	if age := gate.ContactAge(now, []Leader{earlier}, l); age != time.Second {
		t.Errorf("after its reply the VM is told %s, want 1s", age)
	}
}
