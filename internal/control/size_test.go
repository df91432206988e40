package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/table"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/internal/wire"
)

// sized returns a state with this many rows, ledgers of 8 failure domains, and a
// history of changes.
func sized(rows, changes int) *State {
	s := &State{}
	one := func(i, weight int) table.Row {
		return table.Row{
			Key: party.Key{Party: party.ID(fmt.Sprint("party-", i)), Kind: "slot_booking"}, Weight: weight,
			MaxInFlight: 100, MaxQueue: 1000, Deadline: wire.Duration(1e9), TimeLimit: wire.Duration(1e9),
		}
	}
	first := table.Change{ID: "first"}
	for i := range rows {
		first.Set = append(first.Set, one(i, 1))
	}
	s.Apply(1, Command{Change: &first})
	for i := range changes {
		s.Apply(quorum.Index(i+2), Command{Change: &table.Change{
			ID: table.ChangeID(fmt.Sprint("change-", i)), BasedOn: table.Version(i + 1), Set: []table.Row{one(i%rows, 1+i%9)},
		}})
	}
	for d := range 8 {
		for n := range 4 {
			s.Apply(quorum.Index(changes+2), Command{Assign: &Assign{Next: ledger.Assignment{
				Ledger:     submission.LedgerID{FailureDomain: vm.FailureDomain(fmt.Sprint("domain-", d)), Number: n},
				Generation: 1, Epoch: 1, Primary: ledger.Holder{VM: "entry-vm-1", Incarnation: 1_700_000_000_000}, Backup: ledger.Holder{VM: "entry-vm-2", Incarnation: 1_700_000_000_000},
			}}})
		}
	}
	return s
}

// BenchmarkChange measures one change of the table, and the update that each
// entry VM is sent for it, by the number of rows.
func BenchmarkChange(b *testing.B) {
	for _, rows := range []int{240, 2400, 10_000} {
		b.Run(fmt.Sprint(rows, "rows"), func(b *testing.B) {
			s := sized(rows, 10)
			row := s.store.Current().Rows()[0]
			var bytes int
			for n := 0; b.Loop(); n++ {
				version, index := s.store.Current().Version(), s.index
				row.Weight = 1 + n%9
				s.Apply(s.index+1, Command{Change: &table.Change{ID: table.ChangeID(fmt.Sprint("bench-", version)), BasedOn: version, Set: []table.Row{row}}})
				u, err := json.Marshal(s.Update(index, version))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(u)
			}
			b.ReportMetric(float64(bytes), "bytes/update")
		})
	}
}

// BenchmarkSnapshot measures the state as it is written to disk, by the changes
// that are remembered.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{1000, 3000, 10_000} {
		b.Run(fmt.Sprint(changes, "changes"), func(b *testing.B) {
			s := sized(2400, changes)
			var bytes int
			for b.Loop() {
				out, err := json.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(out)
			}
			b.ReportMetric(float64(bytes), "bytes/snapshot")
		})
	}
}
