// Command quorum replaces a core machine for good by an empty one, waits until the
// replacement has had CatchUpS, and then has another core machine lose its disk right after
// it has acknowledged a configuration. TROUBLE=replace and TROUBLE=wipe make only one of the
// two disruptions.
package main

import (
	"os"
	"time"

	standin "tamarackpin.example/review"
)

const (
	successorAfter = time.Second            // between the removal and the start of the successor
	catchUp        = 4 * time.Second        // CatchUpS of the small sites
	slack          = 500 * time.Millisecond // beyond CatchUpS
	downFor        = time.Second            // how long the machine that loses its disk is down
	watchFor       = 40 * time.Second       // ten times AckMs
)

func main() { os.Exit(run()) }

func run() int {
	record := standin.NewRecord(os.Args[1])
	trouble := os.Getenv("TROUBLE")
	replaces, wipes := trouble != "0" && trouble != "wipe", trouble != "0" && trouble != "replace"
	d := standin.New(record, 1, 1, 1)
	successor := d.AddVM("core-a-successor", "a", true)
	defer d.Close(successor)
	record.OnFail(func() { d.Close(successor) })

	d.StartAll()
	route := standin.Route{Name: "r-1", Host: "nony24.example", PathPrefix: "/lohu930/", Kind: "non_idempotent", TargetLatencyMs: 60, Service: "desk", MaxAttempts: 2, Stretch: 1.6}
	config := func(version, timeout int) standin.Config {
		route.TimeoutMs = timeout
		return standin.NewConfig(version, "desk", true, route)
	}
	if !d.ReplaceAny(d.Cores, config(1, 1500), 15*time.Second) {
		record.Fail("the first configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)

	wiped, other := d.Cores[1], d.Cores[2]
	now := []*standin.VM{wiped, other, d.Cores[0]}
	startedAt := time.Now()
	if replaces {
		record.Printf("%s is removed for good (SIGKILL)", d.Cores[0].Name)
		d.Cores[0].Kill()
		time.Sleep(successorAfter)
		record.Printf("%s starts at a new address with an empty disk", successor.Name)
		successor.Start(false, true)
		startedAt = time.Now()
		now[2] = successor
	}
	time.Sleep(time.Until(startedAt.Add(catchUp + slack)))
	if !d.ReplaceAny(now[:1], config(5, 1600), 4*time.Second) {
		record.Fail("version 5 was not acknowledged")
	}
	if wipes {
		wiped.Kill()
		record.Printf("%s has lost its disk right after its acknowledgement, %.1f s after the start of the successor", wiped.Name, time.Since(startedAt).Seconds())
		time.Sleep(downFor)
		wiped.Start(false, true)
		record.Printf("%s starts again at its old address with an empty disk", wiped.Name)
	}
	backAt := time.Now()
	acknowledged, read := false, false
	for time.Since(backAt) < watchFor && !(acknowledged && read) {
		for _, v := range now {
			if version, status := d.Read(v); status == 200 && version >= 5 {
				read = true
			}
			if !acknowledged && d.Replace(v, config(9, 1700)) == 200 {
				acknowledged = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return record.Verdict(!acknowledged || !read,
		"with all three core machines running for %.0f s: version 5, which was acknowledged, was read back: %v; version 9 was acknowledged: %v", time.Since(backAt).Seconds(), read, acknowledged)
}
