// Package telemetry sets up the JSON-lines logger and the OpenTelemetry metrics of a
// process, and serves the metrics in the Prometheus text format.
package telemetry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// shutdownTimeout bounds the wait for scrapes in progress at shutdown, and the time to read
// the header of a scrape.
const shutdownTimeout = 2 * time.Second

// NewLogger returns a logger that writes JSON lines to w. level is debug, info, warn or
// error.
func NewLogger(w io.Writer, level, process, node string) (*log.Logger, error) {
	minLevel, err := log.ParseLevel(level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: %v", level, err)
	}
	logger := log.NewWithOptions(w, log.Options{
		Level:           minLevel,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	return logger.With("process", process, "node", node), nil
}

// latencyBounds are the upper bounds of the histogram buckets in seconds. They range from
// the latency of a packet between two VMs to the longest deadline of a request.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// Metrics holds the counters and latency histograms of one process. Each name is one
// instrument, whose series differ in the reason attribute.
type Metrics struct {
	meter    metric.Meter
	registry *prometheus.Registry

	mu            sync.Mutex
	counters      map[string]metric.Int64Counter
	histograms    map[string]metric.Float64Histogram
	totals        map[CounterKey]uint64
	reasonOptions map[string]metric.MeasurementOption // by reason; cached
}

// CounterKey identifies a count by the name of its counter and its reason.
type CounterKey struct {
	Name   string
	Reason string
}

// NewMetrics returns the metrics of a process, without instruments yet.
func NewMetrics(process string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		meter:         provider.Meter("github.com/bulrushshelf/bulrushshelf/" + process),
		registry:      registry,
		counters:      make(map[string]metric.Int64Counter),
		histograms:    make(map[string]metric.Float64Histogram),
		totals:        make(map[CounterKey]uint64),
		reasonOptions: make(map[string]metric.MeasurementOption),
	}, nil
}

// Count adds n to the counter name for a reason.
func (m *Metrics) Count(name, reason string, n int64) {
	m.mu.Lock()
	counter, ok := m.counters[name]
	if !ok {
		var err error
		if counter, err = m.meter.Int64Counter(name); err != nil {
			m.mu.Unlock()
			return // only an invalid name fails; the test of the metric names finds those
		}
		m.counters[name] = counter
	}
	m.totals[CounterKey{Name: name, Reason: reason}] += uint64(n)
	option := m.reason(reason)
	m.mu.Unlock()
	counter.Add(context.Background(), n, option)
}

// reason returns the attribute option of a reason. The caller holds m.mu.
func (m *Metrics) reason(reason string) metric.MeasurementOption {
	option, ok := m.reasonOptions[reason]
	if !ok {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", reason)))
		m.reasonOptions[reason] = option
	}
	return option
}

// Observe records a latency, in seconds, in the histogram name for a reason.
func (m *Metrics) Observe(name, reason string, d time.Duration) {
	m.mu.Lock()
	histogram, ok := m.histograms[name]
	if !ok {
		var err error
		histogram, err = m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			m.mu.Unlock()
			return // only an invalid name fails; the test of the metric names finds those
		}
		m.histograms[name] = histogram
	}
	option := m.reason(reason)
	m.mu.Unlock()
	histogram.Record(context.Background(), d.Seconds(), option)
}

// Totals returns a copy of all counts since the start of the process.
func (m *Metrics) Totals() map[CounterKey]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[CounterKey]uint64, len(m.totals))
	for k, v := range m.totals {
		out[k] = v
	}
	return out
}

// Total is a counter and reason with the count so far.
type Total struct {
	CounterKey
	Count uint64
}

// SortedTotals returns all counts, sorted by name and reason.
func (m *Metrics) SortedTotals() []Total {
	var out []Total
	for k, n := range m.Totals() {
		out = append(out, Total{CounterKey: k, Count: n})
	}
	slices.SortFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// Gauge registers a gauge; read supplies its value at each scrape.
func (m *Metrics) Gauge(name string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// Serve serves /metrics on addr until ctx is done.
func (m *Metrics) Serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "metrics endpoint %s", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
