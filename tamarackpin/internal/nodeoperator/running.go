package nodeoperator

import (
	"context"

	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// methodRunning asks an entry VM how many tasks its dispatchers have assigned to workers.
const methodRunning peer.Method = "operator.running"

// runningReply is the reply to methodRunning.
type runningReply struct {
	Running int `json:"running"`
}

// ServeRunning registers the method by which other VMs ask what runs on the workers of this entry VM's groups.
func ServeRunning(x *peer.Mux, running func() int) {
	peer.Handle(x, methodRunning, func(context.Context, vm.ID, struct{}) (runningReply, error) {
		return runningReply{running()}, nil
	})
}

// AskRunning asks another entry VM what [ServeRunning] registered there.
func AskRunning(ctx context.Context, m *peer.Mesh, of vm.ID) (int, error) {
	r, err := peer.Call[runningReply](ctx, m, of, report.UseOther, methodRunning, struct{}{})
	return r.Running, err
}
