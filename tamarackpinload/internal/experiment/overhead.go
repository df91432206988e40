// Package experiment holds the measurements that the load tool makes by itself,
// each of which compares two ways in one run.
package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/target"
	"tamarackpin.example/tamarackpinload/internal/caller"
)

// Overhead measures what the path through an entry VM adds to a request, on an
// idle system: requests go directly to a target and through an entry VM in
// turn, one after the other.
type Overhead struct {
	Entry    string // callers' address of an entry VM
	Target   string // address of one of its targets
	Key      party.Key
	Requests int // of each way
}

// warmUp is how many requests of each way are not counted.
const warmUp = 200

// timeout is for one request.
const timeout = 10 * time.Second

// Run measures and writes a table.
func (o Overhead) Run(ctx context.Context, w io.Writer) error {
	client := caller.New(timeout)
	var direct, through report.Histogram
	for i := range o.Requests + warmUp {
		one, err := o.direct(ctx, client.HTTP, fmt.Appendf(nil, `{"id":"overhead-direct-%d","work":"0s"}`, i))
		if err != nil {
			return err
		}
		body := fmt.Appendf(nil, `{"id":"overhead-%d","work":"0s"}`, i)
		begun := time.Now()
		reply, err := client.Request(ctx, o.Entry, request.Request{Key: o.Key, Body: body})
		other := time.Since(begun)
		if err != nil {
			return err
		}
		if reply.Code != code.OK {
			return reply.Err()
		}
		if i >= warmUp {
			direct.RecordDuration(one)
			through.RecordDuration(other)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d requests each way, in turn\tp50\tp99\tmax\n", o.Requests)
	row(t, "target directly", direct)
	row(t, "through an entry VM", through)
	fmt.Fprintf(t, "added\t%dus\t%dus\t\n", through.Quantile(50)-direct.Quantile(50), through.Quantile(99)-direct.Quantile(99))
	return errors.Wrap(t.Flush(), "printing")
}

func row(w io.Writer, name string, h report.Histogram) {
	fmt.Fprintf(w, "%s\t%dus\t%dus\t%dus\n", name, h.Quantile(50), h.Quantile(99), h.Quantile(100))
}

// direct sends body to the target as an entry VM would.
func (o Overhead) direct(ctx context.Context, client *http.Client, body []byte) (time.Duration, error) {
	begun := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Target+target.TaskPath, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "making a task")
	}
	req.Header.Set(target.HeaderTask, "direct")
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "sending a task")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.Wrap(err, "reading an answer")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("the target answers %s", resp.Status)
	}
	return time.Since(begun), nil
}
