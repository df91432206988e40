package keeper

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/vm"
)

// disconnectDelay is how long an order waits before it is proposed. A request that the network delivers late is
// followed by the end of its connection one round trip later, 6 ms to the operators that are farthest away.
const disconnectDelay = 20 * time.Millisecond

// reproposeLimit is how long after its arrival an order is proposed again that another one has overtaken. Operators
// send an order again, to any control VM, after a second without a reply, and a connection that a partition has cut
// looks open.
const reproposeLimit = time.Second

// Evacuate orders that nothing new is started on the workers of a failure domain or, if evacuate is false, withdraws that.
// It returns nil once the order is on a majority of the disks and is the newest one of its failure domain.
// Otherwise the order is to be sent again; code.UnknownFailureDomain says that there is no such
// failure domain, code.TableOutcomeUnsure that the order may be applied nevertheless.
//
// waiting reports whether the sender of the order still waits for the reply; nil stands for one that does. It is
// asked before each proposal, so that a copy that is read after its sender has gone changes nothing. A copy that was read
// before is not applied once another order of its failure domain is: it names the revision that was known then.
func (k *Keeper) Evacuate(ctx context.Context, domain vm.FailureDomain, evacuate bool, waiting func() bool) *code.Error {
	startedAt := time.Now()
	o := order{FailureDomain: domain, Evacuated: evacuate, Known: k.config.Knowledge.Evacuations().RevisionOf(domain)}
	proposals, refusal := k.proposeOrder(ctx, &o, waiting)
	fields := []zap.Field{
		zap.String("failure_domain", string(domain)), zap.Bool("evacuate", evacuate), zap.Uint64("revision", uint64(o.Known)),
		zap.Int("proposals", proposals), zap.Duration("took", time.Since(startedAt)),
	}
	if refusal != nil {
		event.Log(k.config.Log, event.EvacuationRefused, append(fields, event.Err(refusal))...)
		return refusal
	}
	event.Log(k.config.Log, event.EvacuationOrdered, fields...)
	return nil
}

// proposeOrder proposes o until it is applied, each time with the newest revision. o.Known is the revision of its failure
// domain afterwards, as far as it is known.
func (k *Keeper) proposeOrder(ctx context.Context, o *order, waiting func() bool) (proposals int, refusal *code.Error) {
	startedAt := time.Now()
	if refusal := k.checkFailureDomain(o.FailureDomain); refusal != nil {
		return 0, refusal
	}
	select {
	case <-ctx.Done():
	case <-time.After(disconnectDelay):
	}
	for {
		if ctx.Err() != nil || waiting != nil && !waiting() {
			return proposals, code.New(code.TableUnavailable, "the sender of the order has gone, so it was not applied")
		}
		proposals++
		proposed := *o
		result, refusal := k.propose(ctx, entry{Order: &proposed})
		if refusal != nil {
			return proposals, orderRefusal(refusal)
		}
		if o.Known = result.Revision; result.Applied {
			return proposals, nil
		}
		if time.Since(startedAt) > reproposeLimit {
			return proposals, code.New(code.TableUnavailable, "another order of the failure domain was applied meanwhile, so this one was not")
		}
	}
}

// orderRefusal returns the refusal of an order that could not be proposed or confirmed. A leader of an earlier build refuses the
// call, as it does not know orders; after any other fault the order may be applied.
func orderRefusal(e *code.Error) *code.Error {
	switch e.Code {
	case code.TableUnavailable, code.TableOutcomeUnsure, code.QuorumOutdated:
		return e
	case code.BadJSON:
		return code.New(code.QuorumOutdated, "the leader of the control quorum does not store evacuations: %s", e.Message)
	}
	return code.New(code.TableOutcomeUnsure, "%s", e.Message)
}

// checkFailureDomain returns an error unless the settings, a VM, a worker or an earlier order name the failure domain.
func (k *Keeper) checkFailureDomain(d vm.FailureDomain) *code.Error {
	if slices.Contains(k.config.Settings.FailureDomains, d) || k.config.Knowledge.KnowsFailureDomain(d) {
		return nil
	}
	if len(k.config.Settings.FailureDomains) == 0 && !k.config.Knowledge.KnowsWorkers() {
		return code.New(code.TableUnavailable, "failure domain %.80q is not known, but no worker has announced itself yet", d)
	}
	return code.New(code.UnknownFailureDomain, "failure domain %.80q does not exist: neither the settings nor a known VM or worker name it", d)
}
