package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpinload/internal/standin"
	"tamarackpin.example/tamarackpinload/internal/trace"
)

// targetsCommand runs stand-in targets.
type targetsCommand struct {
	Domains  []string `long:"domain" required:"true" value-name:"NAME=ADDRESS,..." description:"A failure domain and the targets' addresses of its entry VMs; once for each domain."`
	Count    int      `long:"count" default:"17" description:"Targets in each failure domain."`
	Slots    int      `long:"slots" default:"8" description:"Slots of each target."`
	Fastest  float64  `long:"fastest" default:"4" description:"Speed of the fastest target; the slowest has 1 and the others lie between."`
	Workload string   `long:"workload" default:"bunkerline" description:"Workload whose kinds the targets run: bunkerline or tangles."`
	Fault    string   `long:"fault" default:"none" description:"Fault of the first target of each domain: none, slow, fails_all, truncates, crosses, hangs, drops, refuses or bad_digest."`
	Record   string   `long:"record" value-name:"ADDRESS" description:"Serve the record of all starts at this IP number and port, under /v1/record."`
	stderr   io.Writer
}

// connectionsPerTarget is what a stand-in announces.
const connectionsPerTarget = 60

// Execute runs until a signal.
func (c *targetsCommand) Execute([]string) error {
	configs, record, err := c.configs()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Record != "" {
		l, err := net.Listen("tcp", c.Record)
		if err != nil {
			return errors.Wrap(err, "serving the record")
		}
		server := &http.Server{Handler: recordHandler(record)}
		defer server.Close()
		go func() { _ = server.Serve(l) }() // ends with the command
		fmt.Fprintf(c.stderr, "record of starts at http://%s/v1/record\n", l.Addr())
	}
	var fleet standin.Fleet
	if err := fleet.Start(ctx, configs); err != nil {
		return err
	}
	fmt.Fprintf(c.stderr, "%d stand-in targets run\n", len(configs))
	fleet.Wait()
	return nil
}

func (c *targetsCommand) configs() ([]standin.Config, *standin.Record, error) {
	w, err := trace.Find(c.Workload)
	if err != nil {
		return nil, nil, err
	}
	fault, err := standin.ParseFault(c.Fault)
	if err != nil {
		return nil, nil, err
	}
	record := &standin.Record{}
	var configs []standin.Config
	for _, d := range c.Domains {
		name, entries, ok := strings.Cut(d, "=")
		if !ok {
			return nil, nil, errors.Newf("--domain %q: want NAME=ADDRESS,...", d)
		}
		for i := range c.Count {
			configs = append(configs, standin.Config{
				ID:            target.ID(fmt.Sprintf("%s-t%02d", name, i)),
				FailureDomain: vm.FailureDomain(name),
				Slots:         c.Slots, Connections: connectionsPerTarget,
				Kinds: w.Kinds(), Speed: Speed(i, c.Count, c.Fastest),
				Fault: faultOf(i, fault), Entries: strings.Split(entries, ","), Record: record,
			})
		}
	}
	return configs, record, nil
}

func faultOf(i int, f standin.Fault) standin.Fault {
	if i == 0 {
		return f
	}
	return standin.NoFault
}

// Speed returns the speed of target i of count: from 1 to fastest, evenly on a
// logarithmic scale.
func Speed(i, count int, fastest float64) float64 {
	if count < 2 {
		return fastest
	}
	return math.Pow(fastest, float64(i)/float64(count-1))
}

func recordHandler(r *standin.Record) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/record", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Summary()) // a client that left does not want it
	})
	return mux
}
