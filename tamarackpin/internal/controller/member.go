package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/replica"
)

// member is this VM's place in the quorum. Its state belongs to the goroutine
// of the replica.
type member struct {
	k       *Controller
	replica *replica.Replica
	state   control.State
	planner *planning
	told    quorum.Index // index that the other entry VMs were told
}

func newMember(k *Controller) (*member, error) {
	m := &member{k: k, planner: newPlanning(k)}
	var err error
	m.replica, err = replica.New(replica.Config{
		Folder: k.config.Settings.DataFolder, Self: k.self.VM, Log: k.config.Log,
		Machine: replica.Machine{
			Apply: m.apply, Settle: m.settle, Restore: m.restore, Led: func(v vm.ID) { k.leader.Store(&v) },
			Snapshot: func() ([]byte, error) { return json.Marshal(&m.state) },
		},
		Send: func(ctx context.Context, to vm.ID, msg quorum.Message) error {
			return k.config.Mesh.Notify(ctx, to, report.UseControl, methodMessage, msg)
		},
		Ask: func(ctx context.Context, v vm.ID) (replica.Identity, error) {
			return peer.Call[replica.Identity](ctx, k.config.Mesh, v, report.UseControl, methodIdentify, struct{}{})
		},
		Founders: controlVMs(k.config.Settings.VMs), MayFound: true,
		Wanted: func(time.Time, quorum.Config, []quorum.Member) []vm.ID { return controlVMs(k.config.Settings.VMs) },
	})
	return m, err
}

func (m *member) restore(data []byte) error {
	m.state = control.State{}
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, &m.state), "restoring the control state")
}

func (m *member) apply(index quorum.Index, data []byte) (any, error) {
	var c control.Command
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decoding a control command")
	}
	return m.state.Apply(index, c), nil
}

// settle puts the state in force here and tells the other entry VMs of it.
func (m *member) settle(now time.Time, core *quorum.Core) {
	m.planner.plan(now, m, core)
	m.adopt()
	if m.state.Index() == m.told {
		return
	}
	m.told = m.state.Index()
	if core.Role() == quorum.Leader {
		m.k.tell(context.Background(), uint64(m.told))
	}
}

// adopt puts the state in force here, if it is not yet. Where the disk is full,
// that fails, and is tried again at the next tick; the entry VM acts on the View
// that it has.
func (m *member) adopt() {
	if m.state.Index() <= m.k.View().Index {
		return
	}
	if err := m.k.adoptUpdate(m.state.Update(m.k.View().Index, m.k.View().Table.Version())); err != nil {
		m.k.config.Log.Debug("putting a view in force failed", zap.Error(err))
	}
}

// controlVMs returns the members that the settings name, in order.
func controlVMs(vms []settings.VM) []vm.ID {
	var ids []vm.ID
	for _, v := range vms {
		if v.Control {
			ids = append(ids, v.VM)
		}
	}
	return ids
}
