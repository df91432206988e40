// Package metrics publishes what the server does as OpenTelemetry metrics, in
// the Prometheus text format on the operators' address. The report (package
// report) is the exact account; the metrics are for graphs and alerts.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/job"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/routes"
)

// MaxSeries bounds the sets of attributes of one metric. What comes beyond is
// counted under the attribute otel.metric.overflow.
const MaxSeries = 2000

// boundaries of the histograms, in seconds.
var boundaries = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// Metrics holds the instruments. It is safe for concurrent use. The zero
// Metrics records nothing.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	response metric.Float64Histogram
	service  metric.Float64Histogram
	job      metric.Float64Histogram
	offloads metric.Int64Counter
}

// Gauges are read at each scrape.
type Gauges struct {
	Waiting      func() int64
	Running      func() int64
	InHand       func() int64
	TableVersion func() int64
	// Evacuated is nil where no failure domain can be evacuated.
	Evacuated func() int64
	// PairsKnown and PlacedApart are those of pool.Counts; nil on a server without workers.
	PairsKnown, PlacedApart func() int64
	// Totals of evacuations; nil on VMs that have no part in them.
	StartsWithheld, JobsMoved func() int64
}

// New returns Metrics that read g at each scrape.
func New(g Gauges) (*Metrics, error) {
	m := &Metrics{registry: prometheus.NewRegistry()}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(m.registry))
	if err != nil {
		return nil, errors.Wrap(err, "making the metrics exporter")
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(MaxSeries))
	meter := m.provider.Meter("tamarackpin")
	m.response, err = meter.Float64Histogram("tamarackpin.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its reply."), metric.WithExplicitBucketBoundaries(boundaries...))
	if err != nil {
		return nil, errors.Wrap(err, "making a histogram")
	}
	m.service, err = meter.Float64Histogram("tamarackpin.task.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a task's sending to its end."), metric.WithExplicitBucketBoundaries(boundaries...))
	if err != nil {
		return nil, errors.Wrap(err, "making a histogram")
	}
	m.job, err = meter.Float64Histogram("tamarackpin.job.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a job's arrival to its answer."), metric.WithExplicitBucketBoundaries(boundaries...))
	if err != nil {
		return nil, errors.Wrap(err, "making a histogram")
	}
	m.offloads, err = meter.Int64Counter("tamarackpin.jobs.offloaded", metric.WithDescription("Jobs that were offered to another group, by outcome."))
	if err != nil {
		return nil, errors.Wrap(err, "making a counter")
	}
	return m, g.register(meter)
}

func (g Gauges) register(meter metric.Meter) error {
	for _, one := range []struct {
		name, description string
		read              func() int64
	}{
		{"tamarackpin.tasks.waiting", "Tasks that wait for a slot.", g.Waiting},
		{"tamarackpin.tasks.running", "Tasks that run on targets.", g.Running},
		{"tamarackpin.callers.in_hand", "Callers that wait for a reply.", g.InHand},
		{"tamarackpin.table.version", "Version of the table in force.", g.TableVersion},
		{"tamarackpin.failure_domains.evacuated", "Failure domains that operators evacuate, as far as this VM knows.", g.Evacuated},
		{"tamarackpin.interference.pairs", "Pairs of rows known to slow each other down, of the groups that this VM leads.", g.PairsKnown},
		{"tamarackpin.interference.placed_apart", "Tasks placed on another worker because of such a pair, since this VM took over the groups that it leads.", g.PlacedApart},
		{"tamarackpin.evacuation.starts_withheld", "Tasks that were not started since their failure domain is evacuated, since the process started.", g.StartsWithheld},
		{"tamarackpin.evacuation.jobs_moved", "Jobs that were returned to be offloaded since their failure domain is evacuated, since the process started.", g.JobsMoved},
	} {
		if one.read == nil {
			continue
		}
		_, err := meter.Int64ObservableGauge(one.name, metric.WithDescription(one.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(one.read())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "making gauge %s", one.name)
		}
	}
	return nil
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close ends the collection.
func (m *Metrics) Close(ctx context.Context) error {
	return errors.Wrap(m.provider.Shutdown(ctx), "closing the metrics")
}

// Request records the reply to a request.
func (m *Metrics) Request(k party.Key, c code.Code, d time.Duration) { record(m.response, k, c, d) }

// Job records the answer to a job of a row.
func (m *Metrics) Job(r routes.RowName, o job.Outcome, d time.Duration) {
	m.job.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("row", string(r)), attribute.String("outcome", string(o))))
}

// Offload records what became of a job that was offered to another group.
func (m *Metrics) Offload(outcome string) {
	m.offloads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// Task records the end of a task on a target.
func (m *Metrics) Task(k party.Key, c code.Code, d time.Duration) { record(m.service, k, c, d) }

func record(h metric.Float64Histogram, k party.Key, c code.Code, d time.Duration) {
	if h == nil {
		return
	}
	h.Record(context.Background(), d.Seconds(), metric.WithAttributes(
		attribute.String("party", string(k.Party)), attribute.String("kind", string(k.Kind)), attribute.String("code", c.String())))
}
