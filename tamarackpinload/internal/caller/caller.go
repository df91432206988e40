// Package caller is the callers' side of the interface of tamarackpin's
// package caller: it sends requests and submissions and checks that each
// answer is the one that was asked for.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/request"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/tamarackpinload/internal/standin"
)

// Client speaks with entry VMs. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
}

// New returns a Client that keeps many connections open.
func New(timeout time.Duration) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 512
	t.MaxIdleConns = 0
	return &Client{HTTP: &http.Client{Transport: t, Timeout: timeout}}
}

// ErrNoReply is returned when the connection ended without a reply.
var ErrNoReply = errors.New("no reply")

// Request sends a request to the entry VM at address.
func (c *Client) Request(ctx context.Context, address string, r request.Request) (request.Reply, error) {
	var reply request.Reply
	err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/requests", r, &reply)
	return reply, err
}

// IDs asks for submission ids.
func (c *Client) IDs(ctx context.Context, address string, count int) ([]submission.ID, error) {
	var reply struct {
		IDs []submission.ID `json:"ids"`
		code.Error
	}
	err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/submission-ids", map[string]int{"count": count}, &reply)
	if err == nil && len(reply.IDs) == 0 {
		err = &reply.Error
	}
	return reply.IDs, err
}

// Submit sends a submission under an id and waits for its result.
func (c *Client) Submit(ctx context.Context, address string, id submission.ID, s submission.Submission, wait time.Duration) (submission.Status, error) {
	var status submission.Status
	err := c.call(ctx, http.MethodPut, "http://"+address+"/v1/submissions/"+id.String()+"?wait="+wait.String(), s, &status)
	return status, err
}

// Status asks what became of a submission.
func (c *Client) Status(ctx context.Context, address string, id submission.ID, wait time.Duration) (submission.Status, error) {
	var status submission.Status
	err := c.call(ctx, http.MethodGet, "http://"+address+"/v1/submissions/"+id.String()+"?wait="+wait.String(), nil, &status)
	return status, err
}

// Cancel ends a submission.
func (c *Client) Cancel(ctx context.Context, address string, id submission.ID) (submission.Status, error) {
	var status submission.Status
	err := c.call(ctx, http.MethodDelete, "http://"+address+"/v1/submissions/"+id.String(), nil, &status)
	return status, err
}

func (c *Client) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encoding a call")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "making a call")
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Mark(err, ErrNoReply)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Mark(err, ErrNoReply)
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decoding the reply %.200q", b)
}

// Belongs reports whether answer is a stand-in's answer to the work id.
func Belongs(answer json.RawMessage, id string) bool {
	var a standin.Answer
	return json.Unmarshal(answer, &a) == nil && a.ID == id
}
