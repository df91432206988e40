package keeper

import (
	"context"

	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// calls are the calls to other members; all fields are required.
type calls struct {
	// message delivers a message of the quorum, or loses it.
	message  func(ctx context.Context, to vm.ID, m quorum.Message) error
	identify func(ctx context.Context, to vm.ID) (identity, error)
	propose  func(ctx context.Context, to vm.ID, e entry) (proposalResult, error)
}

// meshCalls returns the calls over a Mesh.
func meshCalls(m *peer.Mesh) calls {
	return calls{
		message: func(ctx context.Context, to vm.ID, msg quorum.Message) error {
			return m.Notify(ctx, to, report.UseControl, methodMessage, msg)
		},
		identify: func(ctx context.Context, to vm.ID) (identity, error) {
			return peer.Call[identity](ctx, m, to, report.UseControl, methodIdentify, struct{}{})
		},
		propose: func(ctx context.Context, to vm.ID, e entry) (proposalResult, error) {
			return peer.Call[proposalResult](ctx, m, to, report.UseControl, methodPropose, e)
		},
	}
}

// register registers the methods that serve these calls.
func (k *Keeper) register(x *peer.Mux) {
	peer.Handle(x, methodMessage, func(ctx context.Context, _ vm.ID, m quorum.Message) (struct{}, error) {
		k.replica.Receive(ctx, m)
		return struct{}{}, nil
	})
	peer.Handle(x, methodIdentify, func(ctx context.Context, _ vm.ID, _ struct{}) (identity, error) { return k.identify(ctx) })
	peer.Handle(x, methodPropose, func(ctx context.Context, _ vm.ID, e entry) (proposalResult, error) { return k.proposeLocal(ctx, e) })
}

// identify returns what this member says of itself.
func (k *Keeper) identify(ctx context.Context) (identity, error) {
	id, err := k.replica.Identify(ctx)
	return identity{id, true}, err
}
