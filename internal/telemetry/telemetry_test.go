package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Guards against counters exported without their reason label.
func TestCountersAreExportedByReason(t *testing.T) {
	is := is.New(t)
	m, err := NewMetrics("test")
	is.NoErr(err)
	m.Count("packets_dropped", "no_target", 2)
	m.Count("packets_dropped", "wrong_service", 1)
	is.Equal(m.Totals()[CounterKey{"packets_dropped", "no_target"}], uint64(2))

	rec := httptest.NewRecorder()
	promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	is.True(strings.Contains(body, `reason="no_target"`))
	is.True(strings.Contains(body, `reason="wrong_service"`))
}

// Guards against latencies exported in the wrong unit or bucket.
func TestLatenciesAreExportedInSeconds(t *testing.T) {
	is := is.New(t)
	m, err := NewMetrics("test")
	is.NoErr(err)
	m.Observe("search_seconds", "found", 3*time.Millisecond)
	m.Observe("search_seconds", "found", 2*time.Second)
	rec := httptest.NewRecorder()
	promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}).ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	for _, want := range []string{`le="0.0025"} 0`, `le="0.005"} 1`, `le="1.6"} 1`, `le="3.2"} 2`, `} 2.003`} {
		is.True(strings.Contains(body, want))
	}
}

// Guards against log lines that are not valid JSON, and unknown log levels that are accepted.
func TestLogLinesAreJSON(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	l, err := NewLogger(&buf, "info", "test", "node-1")
	is.NoErr(err)
	l.Info("started", "addr", "127.0.0.1:1")
	var line map[string]any
	is.NoErr(json.Unmarshal(buf.Bytes(), &line))
	is.Equal(line["node"], "node-1")
	is.Equal(line["msg"], "started")

	_, err = NewLogger(&buf, "loud", "test", "node-1")
	is.True(err != nil)
}
