// Package telemetry sets up the JSON-line log and the OpenTelemetry metrics of
// a process and serves the metrics in the Prometheus text format.
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

// shutdownTimeout bounds the wait for scrapes in progress at shutdown.
const shutdownTimeout = 2 * time.Second

// NewLogger returns a logger that writes JSON lines to w. level is one of
// debug, info, warn and error.
func NewLogger(w io.Writer, level, process, node string) (*log.Logger, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: %v", level, err)
	}
	l := log.NewWithOptions(w, log.Options{
		Level:           lv,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	return l.With("process", process, "node", node), nil
}

// latencyBounds are the upper bounds of the histogram buckets in seconds: from the
// time that a packet takes between two VMs to the longest deadline of a request.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// Metrics holds the counters and latency histograms of one process. They share one
// instrument per name and differ by their reason attribute.
type Metrics struct {
	meter    metric.Meter
	registry *prometheus.Registry

	mu       sync.Mutex
	counters map[string]metric.Int64Counter
	latency  map[string]metric.Float64Histogram
	totals   map[CounterKey]uint64
	reasons  map[string]metric.MeasurementOption // built once for each reason
}

// CounterKey names one count: an instrument and the reason it was raised for.
type CounterKey struct {
	Name   string
	Reason string
}

// NewMetrics returns an empty set of counters.
func NewMetrics(process string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		meter:    provider.Meter("github.com/bulrushshelf/bulrushshelf/" + process),
		registry: registry,
		counters: make(map[string]metric.Int64Counter),
		latency:  make(map[string]metric.Float64Histogram),
		totals:   make(map[CounterKey]uint64),
		reasons:  make(map[string]metric.MeasurementOption),
	}, nil
}

// Count adds n to the counter name for a reason.
func (m *Metrics) Count(name, reason string, n int64) {
	m.mu.Lock()
	c, ok := m.counters[name]
	if !ok {
		var err error
		if c, err = m.meter.Int64Counter(name); err != nil {
			m.mu.Unlock()
			return // an invalid name is caught by the test of the name list
		}
		m.counters[name] = c
	}
	m.totals[CounterKey{Name: name, Reason: reason}] += uint64(n)
	option := m.reason(reason)
	m.mu.Unlock()
	c.Add(context.Background(), n, option)
}

// reason returns the attribute of a reason. The caller holds the lock.
func (m *Metrics) reason(reason string) metric.MeasurementOption {
	option, ok := m.reasons[reason]
	if !ok {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", reason)))
		m.reasons[reason] = option
	}
	return option
}

// Observe adds a latency to the histogram name, in seconds, for a reason.
func (m *Metrics) Observe(name, reason string, d time.Duration) {
	m.mu.Lock()
	h, ok := m.latency[name]
	if !ok {
		var err error
		h, err = m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			m.mu.Unlock()
			return // an invalid name is caught by the test of the name list
		}
		m.latency[name] = h
	}
	option := m.reason(reason)
	m.mu.Unlock()
	h.Record(context.Background(), d.Seconds(), option)
}

// Totals returns a copy of all counts.
func (m *Metrics) Totals() map[CounterKey]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[CounterKey]uint64, len(m.totals))
	for k, v := range m.totals {
		out[k] = v
	}
	return out
}

// Total is one count.
type Total struct {
	CounterKey
	Count uint64
}

// Sorted returns all counts in order of name and reason.
func (m *Metrics) Sorted() []Total {
	var out []Total
	for k, n := range m.Totals() {
		out = append(out, Total{CounterKey: k, Count: n})
	}
	slices.SortFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// Gauge registers a gauge that is read at each scrape.
func (m *Metrics) Gauge(name string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// Serve answers scrapes on addr at /metrics until ctx is done.
func (m *Metrics) Serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "metrics endpoint %s", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(bounded)
	})
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
