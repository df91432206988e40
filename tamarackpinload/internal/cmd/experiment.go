package cmd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/tamarackpinload/internal/experiment"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// experimentCommand holds the experiments.
type experimentCommand struct {
	Overhead overheadCommand `command:"overhead" description:"Compare requests through an entry VM with requests to a target directly, on an idle system."`
	Bound    boundCommand    `command:"bound" description:"Compute, for a workload, what one all-knowing queue over each failure domain would reach."`
}

// overheadCommand measures what an entry VM adds.
type overheadCommand struct {
	Entry    string `long:"entry" required:"true" value-name:"ADDRESS" description:"Callers' address of an entry VM."`
	Target   string `long:"target" required:"true" value-name:"ADDRESS" description:"Address of one of its targets."`
	Party    string `long:"party" default:"durban-coal" description:"Party of the requests."`
	Kind     string `long:"kind" default:"slot_booking" description:"Kind of the requests."`
	Requests int    `long:"requests" default:"5000" description:"Requests of each way."`
	stdout   io.Writer
}

// Execute measures and prints.
func (c *overheadCommand) Execute([]string) error {
	o := experiment.Overhead{
		Entry: c.Entry, Target: c.Target, Requests: c.Requests,
		Key: party.Key{Party: party.ID(c.Party), Kind: party.Kind(c.Kind)},
	}
	return o.Run(context.Background(), c.stdout)
}

// boundCommand computes the bound for a workload.
type boundCommand struct {
	Workload string        `long:"workload" default:"bunkerline" description:"bunkerline or tangles."`
	Length   time.Duration `long:"length" default:"12s" description:"Length of the trace."`
	Loads    []float64     `long:"load" default:"0.5" default:"0.7" default:"0.85" default:"0.95" description:"Part of the targets' capacity that the work takes; once for each load."`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the trace and of the choice of entry VMs."`
	Domains  []int         `long:"domain" default:"3" default:"2" default:"2" description:"Entry VMs of a failure domain; once for each domain."`
	Targets  int           `long:"targets" default:"5" description:"Targets in each failure domain."`
	Slots    int           `long:"slots" default:"8" description:"Slots of each target."`
	Fastest  float64       `long:"fastest" default:"4" description:"Speed of the fastest target."`
	Reserve  int           `long:"reserve" default:"0" description:"Slots of each failure domain that only urgent tasks take."`
	stdout   io.Writer
}

// Execute computes and prints.
func (c *boundCommand) Execute([]string) error {
	w, err := trace.Find(c.Workload)
	if err != nil {
		return err
	}
	b := experiment.Bound{Domains: c.Domains, Slots: c.Slots, Reserve: c.Reserve}
	capacity := 0.0
	for i := range c.Targets {
		b.Speeds = append(b.Speeds, Speed(i, c.Targets, c.Fastest))
		capacity += b.Speeds[i] * float64(c.Slots*len(c.Domains))
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "bound for %s, seed %d, %d slots kept for urgent tasks\n", c.Workload, c.Seed, c.Reserve)
	fmt.Fprintln(t, "load\tkind\tresponse/ideal p50\tp95\tp99")
	for _, load := range c.Loads {
		ratios := b.Ratios(w.Make(c.Seed, c.Length, load*capacity), c.Seed)
		for _, k := range slices.Sorted(maps.Keys(ratios)) {
			h := ratios[k]
			fmt.Fprintf(t, "%.2f\t%s\t%.2f\t%.2f\t%.2f\n", load, k, float64(h.Quantile(50))/100, float64(h.Quantile(95))/100, float64(h.Quantile(99))/100)
		}
	}
	return errors.Wrap(t.Flush(), "printing")
}
