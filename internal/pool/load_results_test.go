package pool

import (
	"bytes"
	"flag"
	"fmt"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tamarackpin.example/internal/job"
)

// loadSeeds is the number of traces of each pattern. A comparison of two builds wants more than the
// golden file holds.
var loadSeeds = flag.Int("load.seeds", 0, "traces of each pattern of the load replays, printed instead of compared")

// rowTotals are the results of one row.
type rowTotals struct {
	jobs, met, served int
	value, possible   float64
}

// share returns a/b, or 0 if b is 0.
func share(a, b float64) float64 { return a / max(b, 1e-9) }

// add adds the results of a job.
func (r *rowTotals) add(j *loadJob) {
	r.jobs++
	u := j.usefulness()
	if u == 1 {
		r.met++
	}
	if u > 0 {
		r.served++
	}
	r.value += u * j.value
	r.possible += j.value
}

// loadResults runs all patterns, once for all tests.
var loadResults = sync.OnceValue(func() []loadTotals {
	list := make([]loadTotals, len(loadPatterns))
	var done sync.WaitGroup
	for i, p := range loadPatterns {
		done.Go(func() {
			for seed := range max(1, *loadSeeds) {
				one := replayLoad(p, uint64(seed))
				list[i].all = append(list[i].all, one.all...)
				list[i].capacity += one.capacity
				list[i].idle += one.idle
				list[i].idleFits += one.idleFits
				list[i].spent += one.spent
				list[i].discarded += one.discarded
			}
		})
	}
	done.Wait()
	return list
})

// TestLoadReplays reports how the load of docs/design/hard-load.md is served, in
// testdata/load.golden: jobs met and served by number, their value, cores idle while a task
// waits, those where a waiting task would fit, and core-seconds thrown away.
func TestLoadReplays(t *testing.T) {
	t.Parallel()
	var table bytes.Buffer
	fmt.Fprintln(&table, "pattern | row | jobs | objective met | served | of the value | cores idle while a task waits | where one fits | work discarded")
	for i, totals := range loadResults() {
		writeLoadTotals(&table, loadPatterns[i], &totals)
	}
	if *loadSeeds > 0 {
		t.Log("\n" + table.String())
		return
	}
	goldie.New(t).Assert(t, "load", table.Bytes())
}

func writeLoadTotals(table *bytes.Buffer, p loadPattern, totals *loadTotals) {
	var sum rowTotals
	for _, row := range p.deployment.rows {
		var r rowTotals
		for _, j := range totals.all {
			if j.Row == row.name {
				r.add(j)
				sum.add(j)
			}
		}
		fmt.Fprintf(table, "%s | %s | %d | %.3f | %.3f | %.3f\n", p.name, row.name, r.jobs,
			share(float64(r.met), float64(r.jobs)), share(float64(r.served), float64(r.jobs)), share(r.value, r.possible))
	}
	fmt.Fprintf(table, "%s | all | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f\n", p.name, sum.jobs,
		share(float64(sum.met), float64(sum.jobs)), share(float64(sum.served), float64(sum.jobs)), share(sum.value, sum.possible),
		share(totals.idle, totals.capacity), share(totals.idleFits, totals.capacity), share(totals.discarded, totals.spent))
}

// TestLoadReplaysAnswerEachJob guards against replays that lose jobs, which would make their
// shares meaningless.
func TestLoadReplaysAnswerEachJob(t *testing.T) {
	t.Parallel()
	for i, totals := range loadResults() {
		for _, j := range totals.all {
			if j.answer == "" {
				t.Errorf("%s: %s got no answer", loadPatterns[i].name, j.Job.ID)
			}
			if j.answer == job.Completed && j.spent == 0 {
				t.Errorf("%s: %s was completed without a run", loadPatterns[i].name, j.Job.ID)
			}
		}
	}
}
