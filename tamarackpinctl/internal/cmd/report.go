package cmd

import "context"

// reportCommand prints the merged report.
type reportCommand struct {
	*shared `no-flag:"true"`
}

// Execute prints the report as text or JSON.
func (c *reportCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/report")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Report(context.Background())
	if err != nil {
		return err
	}
	return r.WriteText(c.stdout)
}
