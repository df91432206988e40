package cmd

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// drainCommand shuts an entry VM down gracefully.
type drainCommand struct {
	*shared `no-flag:"true"`
}

// Execute asks for the drain; the entry VM's process ends when it is done.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	b, err := client.Raw(context.Background(), http.MethodPost, "/v1/drain", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = c.stdout.Write(b)
		return errors.Wrap(err, "printing")
	}
	_, err = fmt.Fprintln(c.stdout, "the entry VM drains; its process ends when all it took in is answered")
	return errors.Wrap(err, "printing")
}
