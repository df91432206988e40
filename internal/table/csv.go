package table

import (
	"encoding/csv"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/wire"
)

// column is one column of the spreadsheet form.
type column struct {
	name string
	get  func(r Row) string
	set  func(r *Row, text string) error
}

var columns = []column{
	{"party", func(r Row) string { return string(r.Party) }, func(r *Row, s string) error { r.Party = party.ID(s); return nil }},
	{"kind", func(r Row) string { return string(r.Kind) }, func(r *Row, s string) error { r.Kind = party.Kind(s); return nil }},
	intColumn("weight", func(r *Row) *int { return &r.Weight }),
	{"urgent", func(r Row) string { return strconv.FormatBool(r.Urgent) }, setUrgent},
	intColumn("max_in_flight", func(r *Row) *int { return &r.MaxInFlight }),
	intColumn("max_queue", func(r *Row) *int { return &r.MaxQueue }),
	intColumn("rate_per_second", func(r *Row) *int { return &r.RatePerSecond }),
	durationColumn("deadline", func(r *Row) *wire.Duration { return &r.Deadline }),
	durationColumn("time_limit", func(r *Row) *wire.Duration { return &r.TimeLimit }),
}

func intColumn(name string, field func(*Row) *int) column {
	return column{
		name,
		func(r Row) string { return strconv.Itoa(*field(&r)) },
		func(r *Row, s string) (err error) {
			if *field(r), err = strconv.Atoi(s); err != nil {
				return errors.New("want a whole number")
			}
			return nil
		},
	}
}

func durationColumn(name string, field func(*Row) *wire.Duration) column {
	return column{
		name,
		func(r Row) string { return field(&r).String() },
		func(r *Row, s string) error { return field(r).UnmarshalText([]byte(s)) },
	}
}

func setUrgent(r *Row, s string) (err error) {
	if r.Urgent, err = strconv.ParseBool(strings.ToLower(s)); err != nil {
		return errors.New("want true or false")
	}
	return nil
}

// Columns returns the names of the columns in their order.
func Columns() []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

// WriteCSV writes a line of column names and a line for each row.
func WriteCSV(w io.Writer, rows []Row) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(Columns()); err != nil {
		return errors.Wrap(err, "writing the column names")
	}
	for _, r := range rows {
		line := make([]string, len(columns))
		for i, c := range columns {
			line[i] = c.get(r)
		}
		if err := cw.Write(line); err != nil {
			return errors.Wrapf(err, "writing row %s", r.Key)
		}
	}
	cw.Flush()
	return errors.Wrap(cw.Error(), "writing the table")
}
