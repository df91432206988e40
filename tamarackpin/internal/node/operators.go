package node

import (
	"context"
	"net/http"
	"time"

	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/nodeoperator"
)

// operatorsHandler returns the handler of the operators' listener.
func (n *Node) operatorsHandler() http.Handler {
	c := nodeoperator.Config{
		Credential: n.settings.Operators.Credential, Knowledge: n.Knowledge, ClientLeft: clientLeft, Running: n.askRunning, Status: n.status,
	}
	if n.Keeper != nil {
		c.Evacuate = n.Keeper.Evacuate
	}
	if n.group != nil {
		c.Interference = func() any { return n.group.Interference() }
	}
	return nodeoperator.Handler(c)
}

// runningTasks returns the number of tasks that the groups led by this VM have assigned to workers; 0 on a VM without
// callers.
func (n *Node) runningTasks() int {
	if n.group == nil {
		return 0
	}
	return n.group.Counts().Assigned
}

// askRunning returns runningTasks of a VM.
func (n *Node) askRunning(ctx context.Context, of vm.ID) (int, error) {
	if of == n.settings.ID() {
		return n.runningTasks(), nil
	}
	return nodeoperator.AskRunning(ctx, n.mesh, of)
}

// status returns what this VM tells operators about itself.
func (n *Node) status(now time.Time) nodeoperator.Status {
	self := n.Knowledge.Self()
	s := nodeoperator.Status{
		VM: self.VM, Name: n.settings.Name, FailureDomain: self.FailureDomain, Incarnation: self.Incarnation,
		Uptime: wire.Duration(now.Sub(n.startedAt)).Round(), Ready: n.Ready(), Draining: n.draining.Load(), Entry: self.Callers,
		InHand: n.unansweredJobs(), Running: n.runningTasks(), Control: nodeoperator.ControlStatus{Member: self.Control},
		Evacuations: n.Knowledge.Evacuations().Revision(), VMs: len(n.Knowledge.VMs(func(vm.Present) bool { return true })),
	}
	if n.group != nil {
		s.Waiting = n.group.Counts().Waiting
	}
	if t := n.Knowledge.Table(); t != nil {
		s.Control.TableVersion = t.Version
	}
	return s
}
