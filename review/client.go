package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Phase is a step of a job.
type Phase struct {
	Count, Cpu, MemMb, EstimateMs int
	DependsOn                     []int  `json:",omitempty"`
	RequiredLabel                 string `json:",omitempty"`
	AntiAffinity                  int    `json:",omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Spec       string
	Phases     []Phase
	BestEffort bool
}

// Answer is what a client saw: Status is 0 if the connection ended without a response.
type Answer struct {
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// NewID returns the ID of a new job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Submit posts a job on a connection of its own and waits for the answer.
func (d *Deployment) Submit(to *VM, r Route, id string, j Job, deadline time.Duration) Answer {
	b, _ := json.Marshal(j)
	return d.call(http.MethodPost, to, r, id, b, deadline)
}

// Delete cancels a job.
func (d *Deployment) Delete(to *VM, r Route, id string) Answer {
	return d.call(http.MethodDelete, to, r, id, nil, 2*time.Second)
}

func (d *Deployment) call(method string, to *VM, r Route, id string, body []byte, deadline time.Duration) (a Answer) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	defer func() {
		a.Took = time.Since(started)
		d.Record.Printf("client: %s %s at %s: status %d after %d ms %.120s", method, id, to.Name, a.Status, a.Took.Milliseconds(), a.text())
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Callers()+r.PathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = r.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	transport := &http.Transport{DisableKeepAlives: false}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: resp.StatusCode, Body: string(bytes.TrimSpace(text))}
}

func (a Answer) text() string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return a.Body
}
