package keeper

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"tamarackpin.example/internal/routes"
)

// TestEntrySize guards the memory, disks and links of control VMs: a log entry with a
// table of 2,000 rows must be far smaller than the table. Small tables stay plain JSON,
// which earlier builds read, and entries of earlier builds are read.
func TestEntrySize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ rows, maxBytes int }{{10, 8 << 10}, {2000, 160 << 10}} {
		table := &routes.Table{Version: 7}
		for i := range c.rows {
			r := routes.Row{
				Name: routes.RowName(fmt.Sprintf("r-%07x", rng.Uint32())), Host: fmt.Sprintf("host%d.example", i%10), Prefix: fmt.Sprintf("/q%06x/", rng.Uint32()),
				Service: "bunkerdesk", Timeout: 1500 * time.Millisecond, Latency: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 3,
			}
			table.Rows = append(table.Rows, r)
			b, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			table.Source = append(table.Source, b...)
		}
		plain, err := json.Marshal(entry{Table: table})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(entry{Table: table})
		if err != nil || len(b) > c.maxBytes {
			t.Errorf("an entry of %d rows has %d bytes, %v; plain %d", c.rows, len(b), err, len(plain))
		}
		for _, data := range [][]byte{b, plain} {
			var got entry
			if err := decode(data, &got); err != nil || !reflect.DeepEqual(got.Table.Rows, table.Rows) || string(got.Table.Source) != string(table.Source) {
				t.Errorf("an entry of %d rows was not read back: %v", c.rows, err)
			}
		}
		t.Logf("%d rows: %d bytes plain, %d stored", c.rows, len(plain), len(b))
	}
}

// TestDamagedEntryIsAnError: data that cannot be decompressed or decoded is an error, not
// a panic.
func TestDamagedEntryIsAnError(t *testing.T) {
	for _, b := range [][]byte{nil, {compressed}, {compressed, 1, 2, 3}, []byte("{"), {compressed, 0xff, 0xff}} {
		var e entry
		if err := decode(b, &e); err == nil {
			t.Errorf("%v was decoded", b)
		}
	}
}
