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
			*field(r), err = strconv.Atoi(s)
			return errors.Wrap(err, "want a whole number")
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
	r.Urgent, err = strconv.ParseBool(strings.ToLower(s))
	return errors.Wrap(err, "want true or false")
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

// ReadCSV reads what WriteCSV writes. The first line names the columns, in any
// order. The error names every fault with its line and column.
func ReadCSV(r io.Reader) ([]Row, error) {
	lines, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the table")
	}
	if len(lines) == 0 {
		return nil, errors.New("the table is empty: want a first line with the column names")
	}
	order, err := columnOrder(lines[0])
	if err != nil {
		return nil, err
	}
	var faults error
	rows := make([]Row, 0, len(lines)-1)
	for n, line := range lines[1:] {
		var row Row
		for i, text := range line {
			if err := order[i].set(&row, strings.TrimSpace(text)); err != nil {
				faults = errors.Join(faults, errors.Wrapf(err, "line %d, column %s, %.80q", n+2, order[i].name, text))
			}
		}
		rows = append(rows, row)
	}
	if faults != nil {
		return nil, faults
	}
	return rows, nil
}

func columnOrder(names []string) ([]column, error) {
	byName := make(map[string]column, len(columns))
	for _, c := range columns {
		byName[c.name] = c
	}
	order := make([]column, len(names))
	for i, name := range names {
		c, ok := byName[strings.TrimSpace(name)]
		if !ok {
			return nil, errors.Newf("line 1: column %.80q is unknown or stands twice: want %s", name, strings.Join(Columns(), ", "))
		}
		delete(byName, c.name)
		order[i] = c
	}
	for _, c := range columns {
		if _, missing := byName[c.name]; missing {
			return nil, errors.Newf("line 1: column %s is missing: want %s", c.name, strings.Join(Columns(), ", "))
		}
	}
	return order, nil
}
