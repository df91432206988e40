package trace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/wire"
)

// Workload makes traces of one service.
type Workload struct {
	Name    string
	Streams []Stream
}

// Stream is one kind of request of some parties.
type Stream struct {
	Kind       party.Kind
	Parties    []party.ID
	Part       float64 // of the workload's whole work
	Tasks      int     // of one event
	Median     time.Duration
	Spread     float64 // sigma of the log-normal work
	Deadline   time.Duration
	Urgent     bool
	Idempotent bool
	Burst      float64 // how much more often in a burst than on average; 1 is even
	Weight     int
}

// burstEvery and burstLength shape the bursts of a stream.
const (
	burstEvery  = 5 * time.Second
	burstLength = time.Second
)

// most is the longest that one piece of work takes.
const most = 6 * time.Second

// misdeclared is the factor by which declared times are off, at most, either
// way.
const misdeclared = 10

// Bunkerline is the booking service of Kolewaai.
var Bunkerline = Workload{"bunkerline", []Stream{
	{Kind: "load_confirmation", Parties: []party.ID{"durban-coal", "bay-bunkers", "kei-fuels"}, Part: .10, Tasks: 1, Median: 60 * time.Millisecond, Spread: .3, Deadline: 5 * time.Second, Urgent: true, Idempotent: true, Burst: 1, Weight: 10},
	{Kind: "slot_booking", Parties: []party.ID{"durban-coal", "bay-bunkers", "kei-fuels"}, Part: .15, Tasks: 1, Median: 120 * time.Millisecond, Spread: .4, Deadline: 10 * time.Second, Burst: 1, Weight: 10},
	{Kind: "tonnage_check", Parties: []party.ID{"durban-coal", "kei-fuels"}, Part: .10, Tasks: 1, Median: 80 * time.Millisecond, Spread: .4, Deadline: 3 * time.Second, Urgent: true, Idempotent: true, Burst: 1, Weight: 10},
	{Kind: "stock_batch", Parties: []party.ID{"bay-bunkers"}, Part: .65, Tasks: 40, Median: 250 * time.Millisecond, Spread: .9, Deadline: 2 * time.Minute, Burst: 2, Weight: 5},
}}

// Tangles is the untangling desk of Mwanga.
var Tangles = Workload{"tangles", []Stream{
	{Kind: "plan_strand", Parties: []party.ID{"arusha-church", "moshi-school"}, Part: .25, Tasks: 1, Median: 200 * time.Millisecond, Spread: .6, Deadline: 10 * time.Second, Urgent: true, Idempotent: true, Burst: 3, Weight: 10},
	{Kind: "drop_off_check", Parties: []party.ID{"usa-river-hall"}, Part: .10, Tasks: 1, Median: 60 * time.Millisecond, Spread: .3, Deadline: 5 * time.Second, Urgent: true, Idempotent: true, Burst: 2, Weight: 10},
	{Kind: "photo_job", Parties: []party.ID{"arusha-church", "moshi-school", "usa-river-hall"}, Part: .65, Tasks: 60, Median: 300 * time.Millisecond, Spread: .9, Deadline: 2 * time.Minute, Burst: 3, Weight: 5},
}}

// Jobs is no service's: it measures the ledgers, with jobs of as many tasks as
// there may be, each of a millisecond.
var Jobs = Workload{"jobs", []Stream{
	{Kind: "stock_batch", Parties: []party.ID{"bay-bunkers"}, Part: 1, Tasks: 2000, Median: time.Millisecond, Spread: .1, Deadline: 2 * time.Minute, Burst: 1, Weight: 5},
}}

// Find returns the workload with this name.
func Find(name string) (Workload, error) {
	for _, w := range []Workload{Bunkerline, Tangles, Jobs} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, errors.Newf("workload %q: want bunkerline, tangles or jobs", name)
}

// Kinds returns the kinds of w.
func (w Workload) Kinds() []party.Kind {
	var kinds []party.Kind
	for _, s := range w.Streams {
		kinds = append(kinds, s.Kind)
	}
	return kinds
}

// Rows returns a table for w.
func (w Workload) Rows() []table.Row {
	var rows []table.Row
	for _, s := range w.Streams {
		for _, p := range s.Parties {
			rows = append(rows, table.Row{
				Key: party.Key{Party: p, Kind: s.Kind}, Weight: s.Weight, Urgent: s.Urgent,
				MaxInFlight: 2000, MaxQueue: 20000,
				Deadline: wire.Duration(s.Deadline), TimeLimit: wire.Duration(30 * time.Second),
			})
		}
	}
	return rows
}

// Make returns a trace of this length whose work comes at rate: the work, in
// time on a target of speed 1, that arrives in one unit of time.
func (w Workload) Make(seed uint64, length time.Duration, rate float64) Trace {
	var t Trace
	for i, s := range w.Streams {
		t = append(t, s.events(rand.New(rand.NewPCG(seed, uint64(i))), length, rate*s.Part)...)
	}
	slices.SortStableFunc(t, func(a, b Event) int { return int(a.At - b.At) })
	return t
}

func (s Stream) events(r *rand.Rand, length time.Duration, rate float64) Trace {
	mean := s.Median.Seconds() * math.Exp(s.Spread*s.Spread/2) * float64(s.Tasks)
	perSecond := rate / mean
	var t Trace
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (perSecond * s.factor(at)) * float64(time.Second))
		if at >= length {
			return t
		}
		e := Event{
			At: wire.Duration(at), Key: party.Key{Party: s.Parties[r.IntN(len(s.Parties))], Kind: s.Kind},
			Deadline: wire.Duration(s.Deadline), Idempotent: s.Idempotent, Urgent: s.Urgent,
		}
		for range s.Tasks {
			e.Work = append(e.Work, wire.Duration(s.work(r)))
		}
		off := math.Pow(misdeclared, 2*r.Float64()-1)
		e.Declared = wire.Duration(float64(s.Median) * off).Round()
		t = append(t, e)
	}
}

func (s Stream) work(r *rand.Rand) time.Duration {
	d := time.Duration(float64(s.Median) * math.Exp(s.Spread*r.NormFloat64()))
	return min(d, most).Round(100 * time.Microsecond)
}

// factor is how often events come at this time, against the average.
func (s Stream) factor(at time.Duration) float64 {
	part := burstLength.Seconds() / burstEvery.Seconds()
	if at%burstEvery < burstLength {
		return s.Burst
	}
	return (1 - part*s.Burst) / (1 - part)
}
