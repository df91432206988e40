// Package cmd is the command line of the server: it reads arguments and
// settings, and hands over to package server.
package cmd

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes besides those of the server.
const (
	exitOK    = 0
	exitUsage = 2
)

// options are the subcommands.
type options struct {
	Serve         serveCommand         `command:"serve" description:"Run an entry VM in the foreground until SIGTERM or SIGINT."`
	CheckSettings checkSettingsCommand `command:"check-settings" description:"Check a settings file and print every fault in it."`
	Version       versionCommand       `command:"version" description:"Print the version of this build."`
}

// exit is how a subcommand ends the process with a code of its own.
type exit struct {
	code int
	err  error
}

// Error returns what is printed.
func (e exit) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	o.Serve.stderr = stderr
	o.CheckSettings.stdout = stdout
	o.Version.stdout = stdout
	p := flags.NewNamedParser("tamarackpin", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "The dispatcher that runs on every entry VM. Logs go to standard error. Exit codes: 0 done, 1 fault, 2 wrong arguments or settings, 3 a graceful shutdown cut off work."
	if _, err := p.AddGroup("Commands", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	_, err := p.ParseArgs(args)
	return report(err, stdout, stderr)
}

// report prints err and returns the exit code that it stands for.
func report(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	var end exit
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &end):
		if text := end.Error(); text != "" {
			fmt.Fprintln(stderr, text)
		}
		return end.code
	}
	fmt.Fprintln(stderr, err)
	return exitUsage
}

// versionCommand prints the version.
type versionCommand struct {
	stdout io.Writer
}

// Execute prints the version that the Go toolchain noted.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Fprintln(c.stdout, "tamarackpin", version)
	return errors.Wrap(err, "printing the version")
}
