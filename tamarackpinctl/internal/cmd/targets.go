package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/wire"
)

// targetsCommand prints the live targets.
type targetsCommand struct {
	*shared `no-flag:"true"`
}

// targetState is what is shown of one target.
type targetState struct {
	target.Announcement
	target.Usage
	ExpiresIn wire.Duration `json:"expires_in"`
	Speed     float64       `json:"speed"`
	SetAside  bool          `json:"set_aside"`
}

// Execute prints the targets as text or JSON.
func (c *targetsCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/targets")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	b, err := client.Raw(context.Background(), http.MethodGet, "/v1/targets", nil)
	if err != nil {
		return err
	}
	var states []targetState
	if err := json.Unmarshal(b, &states); err != nil {
		return errors.Wrap(err, "decoding the targets")
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "target\taddress\tfailure domain\tslots\tpart here\tused here\tspeed\tset aside\tlease ends in")
	for _, s := range states {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%v\t%s\n", s.Target, s.Address, s.FailureDomain, s.Slots, s.Part, s.Used, s.Speed, s.SetAside, s.ExpiresIn)
	}
	return errors.Wrap(t.Flush(), "printing")
}
