package cmd

import (
	"context"
	"io"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/tamarackpinload/internal/experiment"
)

// experimentCommand holds the experiments.
type experimentCommand struct {
	Overhead overheadCommand `command:"overhead" description:"Compare requests through an entry VM with requests to a target directly, on an idle system."`
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
