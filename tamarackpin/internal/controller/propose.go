package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/control"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
	"tamarackpin.example/tamarackpin/internal/replica"
)

// proposal is a command on its way to the leader.
type proposal struct {
	Command control.Command `json:"command"`
}

// reply is the leader's answer to a proposal, or who leads instead.
type reply struct {
	Result control.Result `json:"result"`
	Leads  bool           `json:"leads"`
	Leader vm.ID          `json:"leader,omitempty"`
}

// Propose has the quorum decide about c. It looks for the leader for searchTimeout;
// once a leader took the command in, it is not proposed again.
func (k *Controller) Propose(ctx context.Context, c control.Command) (control.Result, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	search, stop := context.WithTimeout(ctx, searchTimeout)
	defer stop()
	next := 0
	for {
		to := k.mayLead(next)
		next++
		r, err := k.proposeTo(ctx, to, c)
		switch {
		case err != nil:
			return control.Result{}, err
		case r.Leads:
			k.follow(ctx, to, r.Result.Index)
			return r.Result, r.Result.Refusal
		case r.Leader != "" && r.Leader != to:
			k.leader.Store(&r.Leader)
			next = 0
		}
		select {
		case <-search.Done():
		case <-time.After(retryEvery):
		}
		if search.Err() != nil {
			return control.Result{}, code.New(code.TableUnavailable, "no leader of the control quorum was found within %s", searchTimeout)
		}
	}
}

// mayLead returns whom to ask on the nth try: the known leader first, then the
// members in turn. Only those are asked that are heard: a command that is sent
// to a silent one has an unsure outcome, where a refusal would be true. It
// returns an empty id if no member is heard.
func (k *Controller) mayLead(n int) vm.ID {
	var members []vm.ID
	leader := k.leader.Load()
	for _, s := range k.config.Living() {
		v, _ := k.config.Settings.Find(s.Heartbeat.VM)
		if !v.Control {
			continue
		}
		if n == 0 && leader != nil && v.VM == *leader {
			return v.VM
		}
		members = append(members, v.VM)
	}
	if len(members) == 0 {
		return ""
	}
	return members[n%len(members)]
}

func (k *Controller) proposeTo(ctx context.Context, to vm.ID, c control.Command) (reply, *code.Error) {
	switch to {
	case "":
		return reply{}, nil
	case k.self.VM:
		return k.member.propose(ctx, c)
	}
	r, err := peer.Call[reply](ctx, k.config.Mesh, to, report.UseControl, methodPropose, proposal{c})
	if err == nil {
		return r, nil
	}
	if refusal, ok := peer.Refusal(err); ok {
		return reply{}, refusal
	}
	if errors.Is(err, peer.ErrNotSent) {
		return reply{}, nil // someone else may lead
	}
	return reply{}, code.New(code.TableOutcomeUnsure, "%v", err)
}

// propose proposes c if this member leads, and waits until it is decided.
func (m *member) propose(ctx context.Context, c control.Command) (reply, *code.Error) {
	data, err := json.Marshal(c)
	if err != nil {
		return reply{}, code.New(code.Internal, "encoding a control command: %v", err)
	}
	d, err := m.replica.Propose(ctx, data)
	switch {
	case errors.Is(err, replica.ErrReplaced):
		return reply{}, code.New(code.TableUnavailable, "%v", err)
	case err != nil:
		return reply{}, code.New(code.TableOutcomeUnsure, "the change was not decided in time: %v", err)
	case !d.Leads:
		return reply{Leader: d.Leader}, nil
	}
	result, ok := d.Result.(control.Result)
	if !ok {
		return reply{}, code.New(code.Internal, "the control state answered %T", d.Result)
	}
	return reply{Result: result, Leads: true}, nil
}

// followTimeout bounds how long a proposer waits for its own View.
const followTimeout = time.Second

// follow waits a little until the View in force here is as late as index, so
// that a proposer sees what it changed. It reports whether it is.
func (k *Controller) follow(ctx context.Context, leader vm.ID, index quorum.Index) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for k.View().Index < index {
		if leader != "" && leader != k.self.VM {
			k.fetches.Offer(leader)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryEvery):
		}
	}
	return true
}

// Confirm returns once the View in force is at least as late as the state of
// the quorum when it was called.
func (k *Controller) Confirm(ctx context.Context) *code.Error {
	result, refusal := k.Propose(ctx, control.Command{})
	if refusal != nil {
		return refusal
	}
	if !k.follow(ctx, k.mayLead(0), result.Index) {
		return code.New(code.NotReady, "the view of index %d did not arrive", result.Index)
	}
	return nil
}

// historyRequest asks for the newest changes.
type historyRequest struct {
	Most int `json:"most"`
}

// History returns the newest accepted changes of the table, oldest first, from
// this member or another.
func (k *Controller) History(ctx context.Context, most int) ([]table.Entry, *code.Error) {
	for n := range len(k.config.Settings.VMs) {
		to := k.mayLead(n)
		switch to {
		case "":
			continue
		case k.self.VM:
			return k.serveLocalHistory(ctx, most), nil
		}
		entries, err := peer.Call[[]table.Entry](ctx, k.config.Mesh, to, report.UseControl, methodHistory, historyRequest{most})
		if err == nil {
			return entries, nil
		}
	}
	return nil, code.New(code.TableUnavailable, "no member of the control quorum can be reached")
}

func (k *Controller) serveLocalHistory(ctx context.Context, most int) (entries []table.Entry) {
	k.member.replica.Do(ctx, func(*quorum.Core, time.Time) { entries = k.member.state.Table().History(most) })
	return entries
}

func (k *Controller) register(x *peer.Mux) {
	peer.Handle(x, methodFetch, k.serveFetch)
	peer.Handle(x, methodChanged, k.serveChanged)
	if k.member == nil {
		return
	}
	peer.Handle(x, methodMessage, func(ctx context.Context, _ vm.ID, msg quorum.Message) (struct{}, error) {
		k.member.replica.Receive(ctx, msg)
		return struct{}{}, nil
	})
	peer.Handle(x, methodPropose, func(ctx context.Context, _ vm.ID, p proposal) (reply, error) {
		r, refusal := k.member.propose(ctx, p.Command)
		if refusal != nil {
			return reply{}, refusal
		}
		return r, nil
	})
	peer.Handle(x, methodIdentify, func(ctx context.Context, _ vm.ID, _ struct{}) (replica.Identity, error) {
		id, err := k.member.replica.Identify(ctx)
		if err != nil {
			return id, code.New(code.Draining, "this entry VM stopped")
		}
		return id, nil
	})
	peer.Handle(x, methodHistory, func(ctx context.Context, _ vm.ID, r historyRequest) ([]table.Entry, error) {
		return k.serveLocalHistory(ctx, r.Most), nil
	})
}
