package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// interferenceCommand prints the pairs of rows that slow each other down.
type interferenceCommand struct {
	*shared `no-flag:"true"`
}

// Execute prints the pairs as text or JSON.
func (c *interferenceCommand) Execute([]string) error {
	if c.JSON {
		return c.printJSON("/v1/interference")
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	b, err := client.Raw(context.Background(), http.MethodGet, "/v1/interference", nil)
	if err != nil {
		return err
	}
	var pairs []json.RawMessage
	if err := json.Unmarshal(b, &pairs); err != nil {
		return errors.Wrap(err, "decoding the pairs")
	}
	if len(pairs) == 0 {
		_, err := fmt.Fprintln(c.stdout, "the dispatchers of this VM know no pair of rows that slow each other down")
		return errors.Wrap(err, "printing")
	}
	var names []string // of all pairs, in the order of their first appearance
	rows := make([]map[string]string, len(pairs))
	for i, p := range pairs {
		if rows[i], names, err = fields(p, names); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(strings.Join(names, "\t"), "_", " "))
	for _, r := range rows {
		line := make([]string, len(names))
		for i, name := range names {
			line[i] = r[name]
		}
		fmt.Fprintln(t, strings.Join(line, "\t"))
	}
	return errors.Wrap(t.Flush(), "printing")
}

// fields returns the values of a JSON object by name, and names with those that it lacked. A VM of a later build may have
// other fields.
func fields(object json.RawMessage, names []string) (map[string]string, []string, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return nil, nil, errors.Newf("decoding the pairs: %.80s is not an object", object)
	}
	values := make(map[string]string)
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return nil, nil, errors.Wrap(err, "decoding the pairs")
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, nil, errors.Wrap(err, "decoding the pairs")
		}
		name := fmt.Sprint(token)
		values[name] = string(raw)
		var text string
		if json.Unmarshal(raw, &text) == nil {
			values[name] = text
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return values, names, nil
}
