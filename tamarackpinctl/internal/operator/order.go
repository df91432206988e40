package operator

import (
	"context"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/vm"
)

// ErrUnsure marks a call that may have been carried out: it was sent, and no reply arrived.
var ErrUnsure = errors.New("it is not known whether the order was stored: send it again")

// Evacuate begins the evacuation of a failure domain, or ends it, and returns the reply.
func (c *Client) Evacuate(ctx context.Context, d vm.FailureDomain, evacuate bool) ([]byte, error) {
	order := "finish"
	if evacuate {
		order = "begin"
	}
	b, err := c.Raw(ctx, http.MethodPost, "/v1/evacuations/"+url.PathEscape(string(d))+"/"+order, nil)
	var dial *net.OpError
	if errors.Is(err, ErrUnreachable) && !(errors.As(err, &dial) && dial.Op == "dial") {
		return nil, errors.Mark(errors.Wrap(err, ErrUnsure.Error()), ErrUnsure)
	}
	return b, err
}
