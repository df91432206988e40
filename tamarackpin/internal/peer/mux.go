// Package peer carries calls between entry VMs over JSON-RPC 2.0. A [Mux]
// serves the calls of others, a [Mesh] makes calls to them. What the calls
// mean is up to the packages that register them: member, controller, ledgers,
// caller and operator.
package peer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Method names one call.
type Method string

// checker is a parameter that checks itself once decoded.
type checker interface {
	Check() error
}

// serve answers one call: it gets the caller and the raw parameters.
type serve func(ctx context.Context, from vm.ID, params json.RawMessage) (any, error)

// Mux holds the methods that an entry VM serves. It must be complete before
// the first call arrives. The zero Mux serves none.
type Mux struct {
	methods map[Method]serve
}

// Handle registers fn for method m. The parameters are decoded strictly and
// checked before fn sees them.
func Handle[Params, Result any](x *Mux, m Method, fn func(ctx context.Context, from vm.ID, p Params) (Result, error)) {
	if x.methods == nil {
		x.methods = make(map[Method]serve)
	}
	x.methods[m] = func(ctx context.Context, from vm.ID, raw json.RawMessage) (any, error) {
		var p Params
		if err := wire.DecodeStrict(raw, &p); err != nil {
			return nil, code.New(code.BadJSON, "parameters of %s: %v", m, err)
		}
		if c, ok := any(p).(checker); ok {
			if err := c.Check(); err != nil {
				return nil, code.New(code.BadField, "parameters of %s: %v", m, err)
			}
		}
		return fn(ctx, from, p)
	}
}

// codeOfError marks a JSON-RPC error that carries a [code.Error] as its data.
const codeOfError = 1

// rpcError returns err as it travels.
func rpcError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeOfError, Message: err.Error()}
	e.SetError(code.Of(err))
	return e
}

// ofRPC returns the [code.Error] that travelled in e.
func ofRPC(e *jsonrpc2.Error) *code.Error {
	var c code.Error
	if e.Code == codeOfError && e.Data != nil && json.Unmarshal(*e.Data, &c) == nil && c.Code.Known() {
		return &c
	}
	return code.New(code.Internal, "peer answered: %s", e.Message)
}
