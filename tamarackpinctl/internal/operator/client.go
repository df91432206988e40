// Package operator is the operators' side of the interface of tamarackpin's
// package operator.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/table"
)

// timeout is for one call.
const timeout = 30 * time.Second

// Client speaks with one entry VM's operators' address. It must be made by
// [New].
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// New returns a Client for address. With a CA file it uses TLS.
func New(address, credential, caFile string) (*Client, error) {
	c := &Client{base: "http://" + address, credential: credential, http: &http.Client{Timeout: timeout}}
	if caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("CA file %s holds no certificate", caFile)
	}
	c.base = "https://" + address
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return c, nil
}

// ErrUnreachable is returned when no reply arrived.
var ErrUnreachable = errors.New("the entry VM cannot be reached")

// Raw returns the reply to a call as it came.
func (c *Client) Raw(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encoding the call")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "making the call")
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var refusal code.Error
		if json.Unmarshal(b, &refusal) != nil || !refusal.Code.Known() {
			return nil, errors.Newf("status %s: %.200s", resp.Status, b)
		}
		return nil, &refusal
	}
	return b, nil
}

// get decodes the reply to a GET.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	b, err := c.Raw(ctx, http.MethodGet, path, nil)
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(b, &out), "decoding the reply")
}

// Table returns the table in force on the entry VM.
func (c *Client) Table(ctx context.Context) (*table.Snapshot, error) {
	s, err := get[table.Snapshot](ctx, c, "/v1/table")
	return &s, err
}

// History returns the newest accepted changes, oldest first.
func (c *Client) History(ctx context.Context, most int) ([]table.Entry, error) {
	return get[[]table.Entry](ctx, c, "/v1/table/history?most="+strconv.Itoa(most))
}

// Report returns the merged report.
func (c *Client) Report(ctx context.Context) (*report.Report, error) {
	r, err := get[report.Report](ctx, c, "/v1/report")
	return &r, err
}

// changeTries is how often a change whose answer was lost is sent again.
const changeTries = 5

// Change sends a change until its fate is known: under the same id it is made
// once, however often it is sent.
func (c *Client) Change(ctx context.Context, change table.Change) (table.Version, error) {
	var err error
	for range changeTries {
		var b []byte
		if b, err = c.Raw(ctx, http.MethodPost, "/v1/table/changes", change); err == nil {
			var reply struct {
				Version table.Version `json:"version"`
			}
			return reply.Version, errors.Wrap(json.Unmarshal(b, &reply), "decoding the reply")
		}
		var refusal *code.Error
		if errors.As(err, &refusal) && refusal.Code != code.TableOutcomeUnsure {
			return 0, err
		}
		time.Sleep(time.Second)
	}
	return 0, err
}
