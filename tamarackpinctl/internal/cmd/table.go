package cmd

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/check"
	"tamarackpin.example/internal/table"
)

// tableCommand holds the subcommands about the table.
type tableCommand struct {
	Get     tableGetCommand     `command:"get" description:"Print the table as CSV."`
	Check   tableCheckCommand   `command:"check" description:"Check a CSV file before it is put. With an address, also print what it would change."`
	Put     tablePutCommand     `command:"put" description:"Make the table what a CSV file says. A file with errors is not sent."`
	History tableHistoryCommand `command:"history" description:"Print the newest accepted changes."`
}

// tableGetCommand prints the table.
type tableGetCommand struct {
	*shared `no-flag:"true"`
}

// Execute prints the table as CSV or JSON. The version goes first, as a
// comment line that put reads again.
func (c *tableGetCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/table")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	t, err := client.Table(context.Background())
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.stdout, "%s%d\n", table.VersionLine, t.Version()); err != nil {
		return errors.Wrap(err, "printing")
	}
	return table.WriteCSV(c.stdout, t.Rows())
}

// tablePutCommand changes the table.
type tablePutCommand struct {
	*shared  `no-flag:"true"`
	File     string `long:"file" short:"f" required:"true" value-name:"FILE" description:"CSV file as get prints it."`
	BasedOn  int64  `long:"based-on" default:"-1" value-name:"VERSION" description:"Version that the file was edited from; by default the one in its first line."`
	ChangeID string `long:"change-id" value-name:"ID" description:"Id of the change; the same id is never made twice. Drawn and printed by default."`
	Comment  string `long:"comment" value-name:"TEXT" description:"Why, for the history."`
}

// Execute sends the difference between the table in force and the file.
func (c *tablePutCommand) Execute([]string) error {
	rows, basedOn, err := c.read()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Table(context.Background())
	if err != nil {
		return err
	}
	change := table.Diff(current, rows)
	change.BasedOn = basedOn
	change.ID = table.ChangeID(c.ChangeID)
	change.Comment = c.Comment
	if change.ID == "" {
		change.ID = table.ChangeID("ctl-" + strings.ToLower(rand.Text()))
	}
	if len(change.Set) == 0 && len(change.Remove) == 0 && basedOn == current.Version() {
		_, err := fmt.Fprintf(c.stdout, "nothing to change in version %d\n", basedOn)
		return errors.Wrap(err, "printing")
	}
	version, err := client.Change(context.Background(), change)
	if err != nil {
		return errors.Wrapf(err, "change %s", change.ID)
	}
	if c.JSON {
		return c.print(struct {
			Version  table.Version  `json:"version"`
			ChangeID table.ChangeID `json:"change_id"`
		}{version, change.ID})
	}
	_, err = fmt.Fprintf(c.stdout, "change %s made version %d: %d rows set, %d removed\n", change.ID, version, len(change.Set), len(change.Remove))
	return errors.Wrap(err, "printing")
}

// read returns the rows of the file and the version that they are based on. It prints what the check of the file found, and returns
// an error for a file with errors.
func (c *tablePutCommand) read() ([]table.Row, table.Version, error) {
	f, err := readTable(c.File)
	if err != nil {
		return nil, 0, err
	}
	if c.BasedOn >= 0 { // the version need not stand in the file
		f.BasedOn, f.Based = table.Version(c.BasedOn), true
		f.Findings = slices.DeleteFunc(f.Findings, func(f check.Finding) bool { return f.Code == "no_version" })
	}
	if err := printFindings(c.stderr, c.File, f.Findings); err != nil {
		return nil, 0, err
	}
	if err := newChecked(c.File, len(f.Rows), f.Findings).err(); err != nil {
		return nil, 0, errors.Wrap(err, "nothing was sent")
	}
	if !f.Based {
		return nil, 0, errors.Mark(errors.New("the file does not say which version it is based on: give --based-on"), errUsage)
	}
	return f.Rows, f.BasedOn, nil
}

// tableHistoryCommand prints accepted changes.
type tableHistoryCommand struct {
	*shared `no-flag:"true"`
	Most    int `long:"most" default:"20" description:"How many changes, at most 1000."`
}

// Execute prints a line for each change, newest last.
func (c *tableHistoryCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON(fmt.Sprintf("/v1/table/history?most=%d", c.Most))
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, err := client.History(context.Background(), c.Most)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "version\tchange id\trows set\tremoved\tcomment")
	for _, e := range entries {
		fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s\n", e.Version, e.Change.ID, len(e.Change.Set), len(e.Change.Remove), e.Change.Comment)
	}
	return errors.Wrap(t.Flush(), "printing")
}
