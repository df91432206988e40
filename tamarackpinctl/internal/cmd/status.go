package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// statusCommand prints the state of an entry VM.
type statusCommand struct {
	*shared `no-flag:"true"`
}

// status is what is shown of the reply; --json prints all of it.
type status struct {
	VM            vm.ID            `json:"vm"`
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Uptime        wire.Duration    `json:"uptime"`
	Ready         bool             `json:"ready"`
	Draining      bool             `json:"draining"`
	InHand        int64            `json:"in_hand"`
	Waiting       int              `json:"waiting"`
	Running       int              `json:"running"`
	Control       struct {
		Role    string `json:"role"`
		Leader  vm.ID  `json:"leader"`
		Term    uint64 `json:"term"`
		Version uint64 `json:"table_version"`
	} `json:"control"`
	Living  []vm.Heartbeat `json:"living"`
	Ledgers []struct {
		ledger.Assignment
		Role        ledger.Role `json:"role"`
		Submissions int         `json:"submissions"`
		Bytes       int         `json:"bytes"`
	} `json:"ledgers"`
}

// Execute prints the status as text or JSON.
func (c *statusCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/status")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	b, err := client.Raw(context.Background(), http.MethodGet, "/v1/status", nil)
	if err != nil {
		return err
	}
	var s status
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decoding the status")
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "entry VM\t%s in %s, up %s\n", s.VM, s.FailureDomain, s.Uptime)
	fmt.Fprintf(t, "ready\t%v, draining %v\n", s.Ready, s.Draining)
	fmt.Fprintf(t, "load\t%d callers in hand, %d tasks waiting, %d running\n", s.InHand, s.Waiting, s.Running)
	fmt.Fprintf(t, "control\tleader %s, term %d, role here %s, table version %d\n", s.Control.Leader, s.Control.Term, s.Control.Role, s.Control.Version)
	fmt.Fprintln(t, "\nliving\tfailure domain\tdemand\tdraining")
	for _, h := range s.Living {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\n", h.VM, h.FailureDomain, h.Demand, h.Draining)
	}
	fmt.Fprintln(t, "\nledger\trole\tgeneration\tepoch\tprimary\tbackup\tjoining\tsubmissions\tbytes")
	for _, l := range s.Ledgers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\n", l.Ledger, l.Role, l.Generation, l.Epoch, l.Primary.VM, l.Backup.VM, l.Joining.VM, l.Submissions, l.Bytes)
	}
	return errors.Wrap(t.Flush(), "printing")
}
