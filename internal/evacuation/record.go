package evacuation

import (
	"time"

	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// Record is a [Domain] as VMs tell it to each other. Their clocks differ by seconds and jump, so it
// has an age in place of a time.
type Record struct {
	FailureDomain vm.FailureDomain `json:"failure_domain"`
	Revision      Revision         `json:"revision"`
	Evacuated     bool             `json:"evacuated,omitempty"`
	Age           wire.Duration    `json:"age"` // of the order when the message was made
}

// Records returns the newest orders as they are told to another VM now, sorted by failure domain.
func (s Set) Records(now time.Time) []Record {
	var list []Record
	for _, d := range s.Domains() {
		list = append(list, Record{d.FailureDomain, d.Revision, d.Evacuated, wire.Duration(s.Age(now, d.FailureDomain)).Round()})
	}
	return list
}

// OfRecords returns the Set of the records in a message that arrives now.
func OfRecords(now time.Time, list []Record) Set {
	var s Set
	for _, r := range list {
		s = s.With(Domain{r.FailureDomain, r.Revision, r.Evacuated, now.Add(-r.Age.Std())})
	}
	return s
}
