package nodeoperator

import (
	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Status is what one VM tells about itself. Fields that the status of the server has too have the same names.
type Status struct {
	VM            vm.ID               `json:"vm"`
	Name          string              `json:"name"`
	FailureDomain vm.FailureDomain    `json:"failure_domain"`
	Incarnation   vm.Incarnation      `json:"incarnation"`
	Uptime        wire.Duration       `json:"uptime"`
	Ready         bool                `json:"ready"`
	Draining      bool                `json:"draining"`
	Entry         bool                `json:"entry"`   // it serves callers
	InHand        int64               `json:"in_hand"` // jobs accepted and not answered yet
	Waiting       int                 `json:"waiting"` // tasks of the groups that it leads, without a worker
	Running       int                 `json:"running"` // tasks of the groups that it leads, assigned to workers
	Control       ControlStatus       `json:"control"`
	Evacuations   evacuation.Revision `json:"evacuations_revision"` // highest that it knows
	VMs           int                 `json:"vms"`                  // other VMs that it knows
}

// ControlStatus is what a VM tells about its part in the control quorum and what it has from it.
type ControlStatus struct {
	Member       bool           `json:"member"` // it is a control VM
	TableVersion routes.Version `json:"table_version"`
}
