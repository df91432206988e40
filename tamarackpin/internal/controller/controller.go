// Package controller is this entry VM's part in control: on a VM with a disk
// it is a member of the quorum (packages quorum and wal), and on every VM it
// keeps the newest control.View in force. Entry VMs ask one another for later
// views, so that a view reaches all that can be reached by any way.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/ring"
	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// Sizes and times of the goroutines.
const (
	callTimeout    = time.Second
	proposeTimeout = 5 * time.Second
	// searchTimeout leaves the last member that is asked callTimeout for its answer: a
	// call that is broken off has an unsure outcome, where a refusal would be true.
	searchTimeout = proposeTimeout - callTimeout
	retryEvery    = 50 * time.Millisecond
)

// The methods between entry VMs.
const (
	methodMessage  peer.Method = "control.message"
	methodIdentify peer.Method = "control.identify"
	methodPropose  peer.Method = "control.propose"
	methodFetch    peer.Method = "control.fetch"
	methodChanged  peer.Method = "control.changed"
	methodHistory  peer.Method = "control.history"
)

// Config is what a Controller needs.
type Config struct {
	Settings *settings.Settings
	Mesh     *peer.Mesh
	Log      *zap.Logger
	Living   func() []vm.State
	// View is told each View that comes into force, in order.
	View func(*control.View)
}

// Controller is the control duty. It must be made by [New]. It is safe for
// concurrent use.
type Controller struct {
	config Config
	self   settings.VM
	begun  time.Time
	view   atomic.Pointer[control.View]

	fetches *ring.Ring[vm.ID] // whom to ask for a later view
	adopt   sync.Mutex        // held while a View is put in force, so that they come in order

	member *member // nil on a VM without a disk
	leader atomic.Pointer[vm.ID]
}

// New returns a Controller with what the data folder holds, and registers what
// it serves.
func New(c Config, x *peer.Mux) (*Controller, error) {
	self, _ := c.Settings.Find(c.Settings.VM)
	k := &Controller{config: c, self: self, begun: time.Now(), fetches: ring.New[vm.ID](1)}
	k.view.Store(&control.View{Table: &table.Snapshot{}})
	if err := k.loadView(); err != nil {
		return nil, err
	}
	if self.Control {
		m, err := newMember(k)
		if err != nil {
			return nil, err
		}
		k.member = m
	}
	k.register(x)
	return k, nil
}

// View returns the View in force. Its index is 0 before there is one.
func (k *Controller) View() *control.View { return k.view.Load() }

// Run takes part in control until ctx is done. It returns early only when the
// disk can no longer be trusted.
func (k *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { k.fetchLoop(ctx) })
	if k.member == nil {
		<-ctx.Done()
		return nil
	}
	err := k.member.replica.Run(ctx)
	cancel()
	return err
}

// Heard takes in a heartbeat: an entry VM that knows a later View is asked.
func (k *Controller) Heard(h vm.Heartbeat) {
	if quorum.Index(h.ControlIndex) > k.View().Index {
		k.fetches.Offer(h.VM)
	}
}

// Status is what this entry VM knows of the quorum.
type Status struct {
	Member  bool            `json:"member"` // of the quorum
	Role    quorum.Role     `json:"role,omitempty"`
	Term    quorum.Term     `json:"term,omitempty"`
	Leader  vm.ID           `json:"leader,omitempty"`
	Voters  []quorum.Member `json:"voters,omitempty"`
	Index   quorum.Index    `json:"index"` // of the View in force
	Version table.Version   `json:"table_version"`
}

// Status returns the present Status.
func (k *Controller) Status(ctx context.Context) Status {
	v := k.View()
	s := Status{Index: v.Index, Version: v.Table.Version()}
	if l := k.leader.Load(); l != nil {
		s.Leader = *l
	}
	if k.member == nil {
		return s
	}
	s.Member = true
	k.member.replica.Do(ctx, func(core *quorum.Core, _ time.Time) {
		s.Role, s.Term, s.Leader = core.Role(), core.Term(), core.Leader().VM
		s.Voters = core.Config().Voters
	})
	return s
}
