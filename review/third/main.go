// Command stand plays the cases of the third review. It starts the project's own program as
// separate processes on loopback addresses, and stands in for the workers, the callers, the
// operator and the platform. It exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
//
//	stand [--folder DIR] CASE
//
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// limit ends a play that takes too long, before the 120 seconds of a case are over.
const limit = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns the sentences that say how the rule was broken.
type play func(d *deployment, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"cancel": playCancel,
	"label":  playLabel,
	"route":  playRoute,
	"writer": playWriter,
	"drain":  playDrain,
}

func main() { os.Exit(run()) }

func run() int {
	folder := flag.String("folder", ".", "folder of the case, where record.txt is written")
	binary := flag.String("binary", "target/tamarackpin", "the program, relative to the repository")
	repository := flag.String("repository", ".", "the root of the repository")
	flag.Parse()
	p := plays[flag.Arg(0)]
	if p == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(*folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(r, *repository, *binary)
	if err != nil {
		r.note("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	time.AfterFunc(limit, func() {
		r.note("not run: the case took longer than %s", limit)
		d.close()
		os.Exit(exitNotRun)
	})
	broken, err := p(d, trouble)
	if err != nil {
		r.note("not run: %v", err)
		return exitNotRun
	}
	broken = append(broken, r.always()...)
	slices.Sort(broken)
	broken = slices.Compact(broken)
	for _, b := range broken {
		r.note("BROKEN %s", b)
	}
	r.note("trouble=%v, %d breaks", trouble, len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
