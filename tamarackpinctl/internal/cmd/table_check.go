package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/check"
	"tamarackpin.example/internal/routes"
	"tamarackpin.example/internal/table"
)

// tableCheckCommand checks a table file.
type tableCheckCommand struct {
	*shared `no-flag:"true"`
	Routes  bool `long:"routes" description:"FILE is the table of the platform as JSON of package routes. It is not compared with the one in force."`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"CSV file as put takes it."`
	} `positional-args:"true" required:"true"`
}

// checked is what the check of a file found, as JSON.
type checked struct {
	File     string         `json:"file"`
	Rows     int            `json:"rows"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Findings check.Findings `json:"findings"`
	BasedOn  *table.Version `json:"based_on,omitempty"` // if the file says it
	// If an address was given and the file has no errors:
	InForce     *table.Version      `json:"in_force,omitempty"`
	Differences *[]table.Difference `json:"differences,omitempty"`
}

// newChecked returns the result of a check.
func newChecked(file string, rows int, findings check.Findings) checked {
	if findings == nil {
		findings = check.Findings{}
	}
	return checked{File: file, Rows: rows, Errors: findings.Count(check.Error), Warnings: findings.Count(check.Warning), Findings: findings}
}

// Execute prints the findings, and the differences from the table in force if an address is given.
func (c *tableCheckCommand) Execute([]string) error {
	if c.Routes {
		return c.checkRoutes()
	}
	f, err := readTable(c.Args.File)
	if err != nil {
		return err
	}
	result := newChecked(c.Args.File, len(f.Rows), f.Findings)
	if f.Based {
		result.BasedOn = &f.BasedOn
	}
	var compareErr error
	if result.Errors == 0 && c.Address != "" {
		compareErr = c.compare(f, &result)
	}
	if err := c.printChecked(result); err != nil {
		return err
	}
	return errors.CombineErrors(compareErr, result.err())
}

// checkRoutes checks a table of the platform.
func (c *tableCheckCommand) checkRoutes() error {
	b, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	f := routes.CheckFile(b)
	rows := 0
	if f.Table != nil {
		rows = len(f.Table.Rows)
	}
	result := newChecked(c.Args.File, rows, f.Findings)
	if err := c.printChecked(result); err != nil {
		return err
	}
	return result.err()
}

// compare adds the differences from the table in force.
func (c *tableCheckCommand) compare(f table.File, result *checked) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Table(context.Background())
	if err != nil {
		return err
	}
	version, differences := current.Version(), table.Differences(current, f.Rows)
	result.InForce, result.Differences = &version, &differences
	if f.Based && f.BasedOn != version {
		f.Findings.Add(check.Warning, "stale_version", check.Position{Line: 1, Column: 1}, "the file is based on version %d, and %d is in force: put would be refused", f.BasedOn, version)
		f.Findings.Sort()
		result.Findings = f.Findings
		result.Warnings++
	}
	return nil
}

// err returns an error for a file that must not be sent.
func (c checked) err() error {
	if c.Errors == 0 {
		return nil
	}
	return errors.Mark(errors.Newf("%s has %s", c.File, count(c.Errors, "error")), errUsage)
}

// printChecked prints the result of a check as text or JSON.
func (s *shared) printChecked(c checked) error {
	if s.JSON {
		return s.print(c)
	}
	if err := printFindings(s.stdout, c.File, c.Findings); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.stdout, "%s: %s, %s, %s\n", c.File, count(c.Rows, "row"), count(c.Errors, "error"), count(c.Warnings, "warning")); err != nil {
		return errors.Wrap(err, "printing")
	}
	if c.InForce == nil {
		return nil
	}
	return printDifferences(s.stdout, *c.InForce, *c.Differences)
}

// printFindings prints a line for each finding.
func printFindings(w io.Writer, file string, findings check.Findings) error {
	for _, f := range findings {
		if _, err := fmt.Fprintf(w, "%s:%s\n", file, f); err != nil {
			return errors.Wrap(err, "printing")
		}
	}
	return nil
}

// printDifferences prints a line for each row that differs.
func printDifferences(w io.Writer, inForce table.Version, differences []table.Difference) error {
	if _, err := fmt.Fprintf(w, "%s from version %d in force\n", count(len(differences), "difference"), inForce); err != nil {
		return errors.Wrap(err, "printing")
	}
	for _, d := range differences {
		line := fmt.Sprintf("  %s %s", d.Change, d.Key)
		for i, v := range d.Values {
			separator := ","
			if i == 0 {
				separator = ":"
			}
			line += fmt.Sprintf("%s %s %s to %s", separator, v.Column, v.From, v.To)
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.Wrap(err, "printing")
		}
	}
	return nil
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// readTable reads and checks a table file.
func readTable(file string) (table.File, error) {
	b, err := readFile(file)
	if err != nil {
		return table.File{}, err
	}
	return table.CheckFile(string(b)), nil
}

// readFile reads a table file.
func readFile(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	return b, errors.Mark(errors.Wrap(err, "reading the table file"), errUsage)
}
