// Package cmd is the command line of the load tool.
package cmd

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // it ran, and what was measured is not as it must be
	exitUsage  = 2
)

// options are the subcommands.
type options struct {
	Targets targetsCommand `command:"targets" description:"Run stand-in targets until SIGTERM or SIGINT."`
	Run     runCommand     `command:"run" description:"Make a workload's trace and play it against entry VMs."`
	Record  recordCommand  `command:"record" description:"Make a workload's trace and write it to a file."`
	Replay  replayCommand  `command:"replay" description:"Play a recorded trace against entry VMs."`

	Experiment experimentCommand `command:"experiment" description:"Measure, comparing two ways in one run."`
}

// ErrWrong is returned when a run broke a promise of the system.
var ErrWrong = errors.New("the run broke a promise")

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	o.Targets.stderr = stderr
	o.Run.stdout, o.Record.stdout, o.Replay.stdout = stdout, stdout, stdout
	o.Experiment.Overhead.stdout, o.Experiment.Bound.stdout = stdout, stdout
	p := flags.NewNamedParser("tamarackpinload", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Stand-in targets, callers, traces and experiments for tamarackpin. Load goes to the given addresses only. Exit codes: 0 done, 1 a promise was broken or the run failed, 2 wrong arguments."
	if _, err := p.AddGroup("Commands", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	fmt.Fprintln(stderr, err)
	return exitFailed
}
