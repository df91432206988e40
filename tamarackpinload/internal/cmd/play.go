package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/tamarackpinload/internal/caller"
	"tamarackpin.example/tamarackpinload/internal/load"
	"tamarackpin.example/tamarackpinload/internal/standin"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// played is how a trace is played.
type played struct {
	Entries string        `long:"entries" required:"true" value-name:"ADDRESS,..." description:"Callers' addresses of the entry VMs."`
	Fastest float64       `long:"fastest" default:"4" description:"Speed of the fastest target, for the ideal."`
	Record  string        `long:"record" value-name:"ADDRESS" description:"Where the targets serve the record of starts; doubled starts are looked for there."`
	Wait    time.Duration `long:"wait" default:"2m" description:"How long a submission is waited for."`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the trace and of the choice of entry VMs."`
}

// requestTimeout is longer than any deadline of the workloads.
const requestTimeout = 5 * time.Minute

// play plays t, prints the results, and returns ErrWrong if a promise was
// broken.
func (p *played) play(w io.Writer, t trace.Trace) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	player := load.Player{
		Client:  caller.New(requestTimeout),
		Entries: strings.Split(p.Entries, ","),
		Run:     fmt.Sprintf("run%d", time.Now().UnixNano()),
		Fastest: p.Fastest,
		Wait:    p.Wait,
	}
	fmt.Fprintf(w, "playing %d events, seed %d, work %s\n", len(t), p.Seed, t.Work().Round(time.Second))
	results := player.Play(ctx, t, p.Seed)
	if err := results.WriteText(w); err != nil {
		return errors.Wrap(err, "printing the results")
	}
	doubled, err := p.doubled(w)
	if err != nil {
		return err
	}
	if doubled > 0 || len(results.Faults()) > 0 {
		return ErrWrong
	}
	return nil
}

// doubled prints and counts the work of this run that was started more than
// once. Requests that are idempotent may be.
func (p *played) doubled(w io.Writer) (int, error) {
	if p.Record == "" {
		return 0, nil
	}
	resp, err := http.Get("http://" + p.Record + "/v1/record")
	if err != nil {
		return 0, errors.Wrap(err, "asking for the record of starts")
	}
	defer resp.Body.Close()
	var s standin.Summary
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return 0, errors.Wrap(err, "reading the record of starts")
	}
	fmt.Fprintf(w, "targets started %d tasks, %d of them different, %d started more than once\n", s.Starts, s.Works, len(s.Doubled))
	wrong := 0
	for _, starts := range s.Doubled {
		if starts[0].Submission != "" {
			wrong++
			fmt.Fprintf(w, "started twice: %s\n", starts[0].Work)
		}
	}
	return wrong, nil
}

// made is how a trace is made.
type made struct {
	Workload string        `long:"workload" default:"bunkerline" description:"bunkerline, tangles or jobs."`
	Length   time.Duration `long:"length" default:"10s" description:"Length of the trace."`
	Load     float64       `long:"load" default:"0.5" description:"Part of the targets' capacity that the work takes."`
	Capacity float64       `long:"capacity" required:"true" description:"Sum over all targets of slots times speed."`
}

func (m *made) trace(seed uint64) (trace.Trace, error) {
	w, err := trace.Find(m.Workload)
	if err != nil {
		return nil, err
	}
	return w.Make(seed, m.Length, m.Load*m.Capacity), nil
}

// runCommand makes a trace and plays it.
type runCommand struct {
	Made    made   `group:"Trace"`
	Playing played `group:"Playing"`
	stdout  io.Writer
}

// Execute makes and plays the trace.
func (c *runCommand) Execute([]string) error {
	t, err := c.Made.trace(c.Playing.Seed)
	if err != nil {
		return err
	}
	return c.Playing.play(c.stdout, t)
}

// recordCommand makes a trace and writes it.
type recordCommand struct {
	Made   made   `group:"Trace"`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the trace."`
	Out    string `long:"out" required:"true" value-name:"FILE" description:"File to write."`
	stdout io.Writer
}

// Execute makes and writes the trace.
func (c *recordCommand) Execute([]string) error {
	t, err := c.Made.trace(c.Seed)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "creating the trace file")
	}
	if err := t.Write(f); err != nil {
		_ = f.Close()
		return err
	}
	fmt.Fprintf(c.stdout, "%d events, work %s, seed %d\n", len(t), t.Work().Round(time.Second), c.Seed)
	return errors.Wrap(f.Close(), "closing the trace file")
}

// replayCommand plays a recorded trace.
type replayCommand struct {
	Trace   string `long:"trace" required:"true" value-name:"FILE" description:"A file that record wrote."`
	Playing played `group:"Playing"`
	stdout  io.Writer
}

// Execute plays the trace.
func (c *replayCommand) Execute([]string) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return errors.Wrap(err, "opening the trace file")
	}
	defer f.Close()
	t, err := trace.Read(f)
	if err != nil {
		return err
	}
	return c.Playing.play(c.stdout, t)
}
