package cmd

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/settings"
)

// checkSettingsCommand checks a settings file.
type checkSettingsCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"The settings file."`
	} `positional-args:"true" required:"true"`
	stdout io.Writer
}

// Execute prints every fault.
func (c *checkSettingsCommand) Execute([]string) error {
	_, err := settings.Load(c.Args.File)
	if err != nil {
		return exit{exitUsage, errors.New(strings.Join(faults(err), "\n"))}
	}
	_, err = fmt.Fprintln(c.stdout, c.Args.File+": no fault found")
	return errors.Wrap(err, "printing the result")
}

// faults returns a line for each fault that err stands for.
func faults(err error) []string {
	var all settings.Faults
	if !errors.As(err, &all) {
		return []string{err.Error()}
	}
	lines := make([]string, len(all))
	for i, f := range all {
		lines[i] = f.String()
	}
	return lines
}
