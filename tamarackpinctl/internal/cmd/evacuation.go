package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/evacuation"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// evacuationCommand holds the subcommands about evacuations.
type evacuationCommand struct {
	Begin  evacuationBeginCommand  `command:"begin" description:"Evacuate a failure domain: nothing new starts on its workers."`
	Finish evacuationFinishCommand `command:"finish" description:"Return a failure domain to service."`
	Status evacuationStatusCommand `command:"status" description:"Print which failure domains are evacuated and what runs there."`
}

// evacuationOrder is the failure domain that an order names.
type evacuationOrder struct {
	Args struct {
		FailureDomain vm.FailureDomain `positional-arg-name:"FAILURE_DOMAIN" description:"Failure domain as status prints it."`
	} `positional-args:"true" required:"true"`
}

// evacuationBeginCommand evacuates a failure domain.
type evacuationBeginCommand struct {
	*shared `no-flag:"true"`
	evacuationOrder
}

// Execute sends the order to a control VM.
func (c *evacuationBeginCommand) Execute([]string) error {
	d := c.Args.FailureDomain
	return c.evacuate(d, true, fmt.Sprintf("failure domain %s is evacuated: nothing new starts there; evacuation status shows what still runs", d))
}

// evacuationFinishCommand returns a failure domain to service.
type evacuationFinishCommand struct {
	*shared `no-flag:"true"`
	evacuationOrder
}

// Execute sends the order to a control VM.
func (c *evacuationFinishCommand) Execute([]string) error {
	d := c.Args.FailureDomain
	return c.evacuate(d, false, fmt.Sprintf("failure domain %s is in service", d))
}

// evacuate sends an order and prints the reply, or done as text.
func (s *shared) evacuate(d vm.FailureDomain, evacuate bool, done string) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	b, err := client.Evacuate(context.Background(), d, evacuate)
	if err != nil {
		return err
	}
	if s.JSON {
		_, err = s.stdout.Write(b)
		return errors.Wrap(err, "printing")
	}
	_, err = fmt.Fprintln(s.stdout, done)
	return errors.Wrap(err, "printing")
}

// evacuationStatusCommand prints the state of each failure domain.
type evacuationStatusCommand struct {
	*shared `no-flag:"true"`
}

// domainState is the state of one failure domain.
type domainState struct {
	FailureDomain vm.FailureDomain    `json:"failure_domain"`
	Evacuated     bool                `json:"evacuated"`
	Revision      evacuation.Revision `json:"revision"`
	Age           wire.Duration       `json:"age"`
	Workers       int                 `json:"workers"`
	Running       int                 `json:"running"`
	Unanswered    []string            `json:"unanswered"`
}

// Execute prints the failure domains as text or JSON.
func (c *evacuationStatusCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/evacuations")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	b, err := client.Raw(context.Background(), http.MethodGet, "/v1/evacuations", nil)
	if err != nil {
		return err
	}
	var domains []domainState
	if err := json.Unmarshal(b, &domains); err != nil {
		return errors.Wrap(err, "decoding the failure domains")
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "failure domain\tevacuated\trevision\tordered\tworkers\trunning\tentry VMs without an answer")
	for _, d := range domains {
		ordered := "never"
		if d.Revision > 0 {
			ordered = d.Age.String() + " ago"
		}
		running := fmt.Sprint(d.Running)
		if len(d.Unanswered) > 0 {
			running += " or more"
		}
		fmt.Fprintf(t, "%s\t%v\t%d\t%s\t%d\t%s\t%s\n", d.FailureDomain, d.Evacuated, d.Revision, ordered, d.Workers, running, strings.Join(d.Unanswered, " "))
	}
	return errors.Wrap(t.Flush(), "printing")
}
