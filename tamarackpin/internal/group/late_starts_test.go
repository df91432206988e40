package group

import (
	"context"
	"testing"
	"time"

	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/latestart"
	"tamarackpin.example/internal/pool"
)

// TestLateStartsAreKnownToTheSuccessor guards against a dispatcher that starts a task
// elsewhere while an order of its predecessor may still start it.
func TestLateStartsAreKnownToTheSuccessor(t *testing.T) {
	leading, other := twoVMs(t, "a")
	task := job.Task{Job: "late"}
	now := time.Now()
	leading.lateStarts.Add(now, latestart.Record{Task: task, Run: 1, Worker: "w1", Expires: now.Add(13 * time.Second)})
	leading.applyDecisions(t.Context(), now)
	other.waitForCommands(t, 1)
	other.runNext(t)
	if later := now.Add(12 * time.Second); other.lateStarts.Permits(later, task, "w2", 1) {
		t.Errorf("the other VM may start the task elsewhere 12 s later")
	}
}

// TestRestartedVMLearnsLateStartsFromFollower: the leader's process restarts and leads again; only a
// follower knows the late starts.
func TestRestartedVMLearnsLateStartsFromFollower(t *testing.T) {
	follower, other := twoVMs(t, "a")
	for _, s := range follower.groups {
		s.dropPool(time.Now())
	}
	now := time.Now()
	task := job.Task{Job: "late"}
	follower.lateStarts.Merge(now, []latestart.Record{{Task: task, Run: 1, Worker: "w1", Expires: now.Add(13 * time.Second)}})
	hb := other.heartbeat(follower.self.VM)
	hb.Self.Incarnation++
	follower.applyHeartbeat(now, hb)
	follower.applyDecisions(t.Context(), now)
	other.waitForCommands(t, 1)
	other.runNext(t)
	if other.lateStarts.Permits(now, task, "w2", 1) {
		t.Error("the restarted VM may start the task elsewhere")
	}
}

// TestLateStartsOfAnAbandonedJobAreKnownElsewhere: the caller of an abandoned job submits it
// again in another failure domain, while an order may still start it in the first one.
func TestLateStartsOfAnAbandonedJobAreKnownElsewhere(t *testing.T) {
	leading, other := twoVMs(t, "b")
	leading.addWorker(t, "w1")
	leading.config.Call = func(context.Context, pool.Order) pool.Reply { return pool.Reply{} }
	request := pool.Request{Job: job.Job{ID: "late", Steps: []job.Step{{Count: 1}}}, Service: "s", Stretch: 3, Latency: time.Minute, RemainingWait: time.Minute}
	p, task := leading.groups[0].pool, job.Task{Job: "late"}
	admission := p.Submit(time.Now(), request)
	orders, _ := p.TakePending()
	for _, o := range orders {
		if o.Kind == pool.StartOrder {
			p.Receive(time.Now(), pool.Reply{Order: o})
		}
	}
	p.Withdraw(time.Now(), admission)
	leading.applyDecisions(t.Context(), time.Now())
	other.waitForCommands(t, 1)
	other.runNext(t)
	if other.lateStarts.Permits(time.Now(), task, "w2", 1) {
		t.Error("the task may start on a worker of the other failure domain")
	}
}

// TestOrderFromBeforeAPauseIsNotSent: a process is paused between a decision and its order, and
// meanwhile replaced. A worker that restarted knows no fence that would refuse the order.
func TestOrderFromBeforeAPauseIsNotSent(t *testing.T) {
	leading, starts := newLeadingGroup(t)
	o := pool.Order{Kind: pool.StartOrder, Task: job.Task{Job: "paused"}, Run: 1, Worker: "w1", Fence: 7, Sent: time.Now().Add(-time.Second)}
	leading.sendOrder(t.Context(), o)
	leading.runNext(t)
	if len(starts) > 0 {
		t.Errorf("an order was sent 1 s after its decision, want at most %s", pool.OrderTimeout)
	}
	if !leading.lateStarts.Empty() {
		t.Error("an order that was not sent counts as a late start")
	}
}

// TestStartOfAReplacedDispatcherIsRecorded: a dispatcher steps down before the reply to its
// start is due.
func TestStartOfAReplacedDispatcherIsRecorded(t *testing.T) {
	leading, _ := newLeadingGroup(t)
	leading.config.Call = func(context.Context, pool.Order) pool.Reply { return pool.Reply{} }
	o := pool.Order{Kind: pool.StartOrder, Task: job.Task{Job: "late"}, Run: 1, Worker: "w1", Fence: 7, Sent: time.Now()}
	leading.sendOrder(t.Context(), o)
	leading.runNext(t)
	if leading.lateStarts.Permits(time.Now(), o.Task, "w2", 1) {
		t.Error("the task may start elsewhere")
	}
}
