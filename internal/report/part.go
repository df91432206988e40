package report

import (
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Idle is slot time: each slot counts by itself.
type Idle struct {
	Slots            wire.Duration `json:"slots"`              // time of all slots
	Free             wire.Duration `json:"free"`               // of which no task ran
	FreeWhileWaiting wire.Duration `json:"free_while_waiting"` // of which a task waited
}

// Part is the counts of one entry VM since its start.
type Part struct {
	VM            vm.ID            `json:"vm"`
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Incarnation   vm.Incarnation   `json:"incarnation"`
	Uptime        wire.Duration    `json:"uptime"`
	TableVersion  uint64           `json:"table_version"`
	Idle          Idle             `json:"idle"`
	Messages      map[Use]Traffic  `json:"messages"`
	Rows          []*Row           `json:"rows"`
}
