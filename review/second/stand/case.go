package stand

import (
	"fmt"
	"os"
	"time"
)

// Bounds of a small deployment, as its settings say.
const (
	CancelMs = 3000 * time.Millisecond
	StopMs   = 50 * time.Millisecond
)

// Verdict is the exit code of a case.
type Verdict int

// The verdicts.
const (
	Held Verdict = iota
	Broken
	NotRun
)

// Main runs a case with a deployment of three zones that serves, writes its record into record.txt in the folder that
// is the first argument, and ends with the verdict. trouble is false with TROUBLE=0.
func Main(fronts []int, runnersPerZone int, run func(d *Deployment, b *Book, trouble bool) Verdict) {
	main(fronts, runnersPerZone, false, run)
}

// MainWithRelays does what Main does, with relays between the machines.
func MainWithRelays(fronts []int, runnersPerZone int, run func(d *Deployment, b *Book, trouble bool) Verdict) {
	main(fronts, runnersPerZone, true, run)
}

func main(fronts []int, runnersPerZone int, relays bool, run func(d *Deployment, b *Book, trouble bool) Verdict) {
	r, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(NotRun))
	}
	v := play(r, fronts, runnersPerZone, relays, run)
	r.Printf("verdict: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[v])
	os.Exit(int(v))
}

func play(r *Record, fronts []int, runnersPerZone int, relays bool, run func(d *Deployment, b *Book, trouble bool) Verdict) Verdict {
	trouble := os.Getenv("TROUBLE") != "0"
	r.Printf("trouble: %v", trouble)
	d, err := New(r, []string{"zone-a", "zone-b", "zone-c"}, fronts)
	if err != nil {
		r.Printf("%v", err)
		return NotRun
	}
	defer d.Close()
	if relays {
		if err := d.WithRelays(); err != nil {
			r.Printf("%v", err)
			return NotRun
		}
	}
	if err := d.StartAll(); err != nil {
		r.Printf("%v", err)
		return NotRun
	}
	b := NewBook(r)
	for _, z := range d.Zones {
		for i := range runnersPerZone {
			w, err := NewRunner(d, b, fmt.Sprintf("i-%s-%d", z, i+1), z)
			if err != nil {
				r.Printf("%v", err)
				return NotRun
			}
			defer w.Close()
		}
	}
	if !d.Replace(Config(1, "warm", "q"), 15*time.Second) || !d.AwaitService("warm", 20*time.Second) {
		r.Printf("the deployment does not serve")
		return NotRun
	}
	// Two and a half ContactMs: no machine has just started.
	time.Sleep(7500 * time.Millisecond)
	return run(d, b, trouble)
}
