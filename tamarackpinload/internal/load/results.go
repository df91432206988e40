package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// Outcome is what became of one event.
type Outcome struct {
	Works         []string  // ids of its pieces of work
	Code          code.Code // 0 if there was no reply
	Outcome       code.Outcome
	Lost          bool // no reply arrived
	Resubmissions int
	Fault         string // what was wrong with an answer; empty if nothing
	Took          time.Duration
	Ideal         time.Duration
}

// Kind is the results of one kind of work.
type Kind struct {
	Kind   party.Kind
	Urgent bool
	Sent   int
	OK     int
	NotRun int
	Failed int
	Lost   int
	// Ratio is response time against the ideal of what was answered, in
	// hundredths.
	Ratio report.Histogram
}

// Results is what became of a trace. It is safe for concurrent use. The zero
// Results is empty.
type Results struct {
	mu            sync.Mutex // guards all below
	kinds         map[party.Kind]*Kind
	codes         map[code.Code]int
	resubmissions int
	faults        []string
	idempotent    map[string]bool // by piece of work
	notRun        []string        // pieces of work that were said not to have run
}

func (r *Results) add(e trace.Event, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = make(map[party.Kind]*Kind)
		r.codes = make(map[code.Code]int)
		r.idempotent = make(map[string]bool)
	}
	for _, w := range o.Works {
		r.idempotent[w] = e.Idempotent
	}
	if !o.Lost && o.Outcome == code.NotRun {
		r.notRun = append(r.notRun, o.Works...)
	}
	k := r.kinds[e.Kind]
	if k == nil {
		k = &Kind{Kind: e.Kind, Urgent: e.Urgent}
		r.kinds[e.Kind] = k
	}
	k.Sent++
	r.resubmissions += o.Resubmissions
	if o.Fault != "" {
		r.faults = append(r.faults, o.Fault)
	}
	if !o.Lost {
		r.codes[o.Code]++
	}
	switch {
	case o.Lost:
		k.Lost++
	case o.Code == code.OK:
		k.OK++
		if o.Ideal > 0 {
			k.Ratio.Record(int64(100 * o.Took / o.Ideal))
		}
	case o.Outcome == code.NotRun:
		k.NotRun++
	default:
		k.Failed++
	}
}

// Kinds returns the results by kind, and the sum of all under the kind "all".
func (r *Results) Kinds() []Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := Kind{Kind: "all"}
	var kinds []Kind
	for _, name := range slices.Sorted(maps.Keys(r.kinds)) {
		k := r.kinds[name]
		kinds = append(kinds, *k)
		sum.Sent += k.Sent
		sum.OK += k.OK
		sum.NotRun += k.NotRun
		sum.Failed += k.Failed
		sum.Lost += k.Lost
		sum.Ratio.Merge(k.Ratio)
	}
	slices.SortStableFunc(kinds, func(a, b Kind) int { return -cmp.Compare(fmt.Sprint(a.Urgent), fmt.Sprint(b.Urgent)) })
	return append(kinds, sum)
}

// Codes returns how often each code was replied.
func (r *Results) Codes() map[code.Code]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.codes)
}

// Idempotent reports whether a piece of work may run twice.
func (r *Results) Idempotent(work string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idempotent[work]
}

// SaidNotRun returns the pieces of work that were said not to have run.
func (r *Results) SaidNotRun() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notRun)
}

// Faults returns what was wrong with answers.
func (r *Results) Faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// WriteText writes r as aligned text.
func (r *Results) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "kind\turgent\tsent\tok\tnot run\tfailed\tno reply\tresponse/ideal p50\tp95\tp99\tmax")
	for _, k := range r.Kinds() {
		fmt.Fprintf(t, "%s\t%v\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", k.Kind, k.Urgent, k.Sent, k.OK, k.NotRun, k.Failed, k.Lost,
			ratio(k, 50), ratio(k, 95), ratio(k, 99), ratio(k, 100))
	}
	fmt.Fprintln(t, "\nresult\tcode\treplies")
	codes := r.Codes()
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		fmt.Fprintf(t, "%s\t%d\t%d\n", c, c, codes[c])
	}
	fmt.Fprintf(t, "\nresubmissions %d, wrong answers %d\n", r.resubmissions, len(r.Faults()))
	for _, f := range r.Faults() {
		fmt.Fprintln(t, f)
	}
	return t.Flush()
}

func ratio(k Kind, percentile float64) float64 { return float64(k.Ratio.Quantile(percentile)) / 100 }
