package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/vm"
)

// Report is the sum of the parts of many entry VMs.
type Report struct {
	VMs      []vm.ID         `json:"vms"`     // whose parts are in
	Missing  []vm.ID         `json:"missing"` // which could not be asked
	Idle     Idle            `json:"idle"`
	Messages map[Use]Traffic `json:"messages"`
	Rows     []*Row          `json:"rows"`
}

// Merge returns the Report of parts, with the names of those that are missing.
func Merge(parts []Part, missing []vm.ID) *Report {
	r := &Report{VMs: []vm.ID{}, Missing: missing, Messages: make(map[Use]Traffic)}
	if r.Missing == nil {
		r.Missing = []vm.ID{}
	}
	rows := make(map[party.Key]*Row)
	for _, p := range parts {
		r.VMs = append(r.VMs, p.VM)
		r.Idle.Slots += p.Idle.Slots
		r.Idle.Free += p.Idle.Free
		r.Idle.FreeWhileWaiting += p.Idle.FreeWhileWaiting
		for u, t := range p.Messages {
			sum := r.Messages[u]
			sum.add(t)
			r.Messages[u] = sum
		}
		for _, row := range p.Rows {
			if rows[row.Key] == nil {
				rows[row.Key] = &Row{Key: row.Key}
			}
			rows[row.Key].Merge(row)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(rows), party.Key.Compare) {
		r.Rows = append(r.Rows, rows[k])
	}
	return r
}

// WriteText writes r as aligned text.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "entry VMs in this report: %v\n", r.VMs)
	if len(r.Missing) > 0 {
		fmt.Fprintf(t, "NOT in this report (could not be asked): %v\n", r.Missing)
	}
	fmt.Fprintf(t, "slot time %s, free %s, free while tasks waited %s\n\n", r.Idle.Slots, r.Idle.Free, r.Idle.FreeWhileWaiting)
	fmt.Fprintln(t, "party\tkind\trequests\tsubmissions\tresubmitted\ttasks\tok\tnot run\tfailed\twait p50\twait p99\tservice p50\tresponse/ideal p50\tp99")
	for _, row := range r.Rows {
		ok, notRun, failed := sortReplies(row.Replies)
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1fms\t%.1fms\t%.1fms\t%.2f\t%.2f\n",
			row.Party, row.Kind, row.Requests, row.Submissions, row.Resubmitted, row.Tasks, ok, notRun, failed,
			millis(row.Wait.Quantile(50)), millis(row.Wait.Quantile(99)), millis(row.Service.Quantile(50)),
			float64(row.Ratio.Quantile(50))/100, float64(row.Ratio.Quantile(99))/100)
	}
	r.writeResults(t)
	r.writeMessages(t)
	return t.Flush()
}

func (r *Report) writeResults(w io.Writer) {
	fmt.Fprintln(w, "\nparty\tkind\tresult\tcode\treplies\ttask ends")
	for _, row := range r.Rows {
		codes := addCounts(maps.Clone(row.Replies), row.TaskEnds)
		for _, c := range slices.Sorted(maps.Keys(codes)) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", row.Party, row.Kind, c, c, row.Replies[c], row.TaskEnds[c])
		}
	}
}

func (r *Report) writeMessages(w io.Writer) {
	fmt.Fprintln(w, "\nmessages\tsent\twasted\tbytes")
	for _, u := range slices.Sorted(maps.Keys(r.Messages)) {
		m := r.Messages[u]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", u, m.Sent, m.Wasted, m.Bytes)
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// sortReplies sums up results: answered, refused as not run, and the rest.
func sortReplies(replies map[code.Code]uint64) (ok, notRun, failed uint64) {
	for c, n := range replies {
		switch {
		case c == code.OK:
			ok += n
		case c.Entry().Outcome == code.NotRun:
			notRun += n
		default:
			failed += n
		}
	}
	return ok, notRun, failed
}
