// Package target is a stand-in for a target: an HTTP server with slots, a
// connection limit, a cold start, load shedding, drain, and health and load
// endpoints whose reports may be stale or false. It records every run, so that
// tests can count requests that ran twice.
package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Header fields that the target uses.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Request-Deadline-Ms"
	headerOutcome  = "Bulrushshelf-Outcome" // not-run marks a request that was shed
)

// maxRuns is the maximum number of recorded runs; further ones are only counted.
const maxRuns = 100000

// maxHistory is the maximum number of load samples kept for lagging reports.
const maxHistory = 10000

// Report selects what the health and load endpoints report.
type Report uint8

// Kinds of reports.
const (
	ReportAccurate Report = iota
	ReportLagging         // the load as it was Options.Lag ago
	ReportIdle            // always healthy and without load
	ReportBusy            // always unhealthy and with all slots busy
)

// Options are the settings of a target.
type Options struct {
	Listener   net.Listener
	Slots      int           // concurrent requests; further ones are shed; 0 is no limit
	MaxConns   int           // open connections; further ones are closed; 0 is no limit
	RunTime    time.Duration // duration of a run without a work parameter
	ColdStart  time.Duration // time after the start during which runs take ColdFactor times as long
	ColdFactor float64
	Report     Report
	Lag        time.Duration
}

// Status is the state of a run.
type Status uint8

// States of a run.
const (
	Running   Status = iota
	Completed        // the response was written
	Cancelled        // the caller disconnected
	Expired          // the deadline passed during the run
	Invalid          // the body did not match its digest
)

// Run records one request that the target ran.
type Run struct {
	Method, Path, Key string
	Query             string
	Started, Ended    time.Time
	Status            Status
}

// Target is a stand-in target.
type Target struct {
	opts    Options
	started time.Time
	stop    chan struct{} // closed at the end of Run; ends feeds

	mu           sync.Mutex
	runs         []Run
	totalRuns    int
	shed         int
	busySlots    int
	peakBusy     int
	openFeeds    int
	openConns    int
	refusedConns int
	shedding     bool
	draining     bool
	history      []loadSample // for lagging reports
}

type loadSample struct {
	at   time.Time
	load load
}

// load is the response body of the load endpoint.
type load struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Feeds    int  `json:"feeds"`
	Draining bool `json:"draining"`
}

// New returns a target that serves once Run is called.
func New(opts Options) (*Target, error) {
	if opts.Listener == nil {
		return nil, trace.BadParameter("stand-in target: Options.Listener is required")
	}
	if opts.ColdFactor < 1 {
		opts.ColdFactor = 1
	}
	return &Target{opts: opts, started: time.Now(), stop: make(chan struct{})}, nil
}

// URL returns the base URL of the target.
func (t *Target) URL() *url.URL {
	return &url.URL{Scheme: "http", Host: t.opts.Listener.Addr().String()}
}

// Run serves until ctx is done and the requests in progress have ended. Feeds are
// ended when ctx is done.
func (t *Target) Run(ctx context.Context) error {
	srv := &http.Server{Handler: t.handler(), ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		close(t.stop)
		_ = srv.Shutdown(context.WithoutCancel(ctx))
	})
	err := srv.Serve(&limitListener{Listener: t.opts.Listener, t: t})
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return trace.Wrap(err)
	}
	<-stopped
	return nil
}

// Drain makes the target shed new requests. Requests in progress and feeds continue.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.recordLoad()
}

// SetShedding sets whether the target sheds all new requests.
func (t *Target) SetShedding(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedding = on
}

// Runs returns the recorded runs in the order in which they started.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// RunsByKey returns the number of runs by idempotency key.
func (t *Target) RunsByKey() map[string]int {
	out := make(map[string]int)
	for _, r := range t.Runs() {
		if r.Key != "" {
			out[r.Key]++
		}
	}
	return out
}

// Counts are totals since the start.
type Counts struct {
	Runs         int
	Shed         int
	RefusedConns int
	PeakBusy     int // maximum number of slots in use at the same time
	Feeds        int // currently open
}

// Counts returns the totals so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Runs: t.totalRuns, Shed: t.shed, RefusedConns: t.refusedConns, PeakBusy: t.peakBusy, Feeds: t.openFeeds}
}

// begin allocates a slot for a run, or returns false if the request is shed. A
// feed needs no slot.
func (t *Target) begin(r *http.Request, feed bool) (id int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shedding || t.draining || !feed && t.opts.Slots > 0 && t.busySlots >= t.opts.Slots {
		t.shed++
		return 0, false
	}
	if feed {
		t.openFeeds++
	} else {
		t.busySlots++
		t.peakBusy = max(t.peakBusy, t.busySlots)
	}
	id = t.totalRuns
	t.totalRuns++
	if len(t.runs) < maxRuns {
		t.runs = append(t.runs, Run{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(headerKey), Query: r.URL.RawQuery, Started: time.Now()})
	}
	t.recordLoad()
	return id, true
}

func (t *Target) end(id int, feed bool, status Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if feed {
		t.openFeeds--
	} else {
		t.busySlots--
	}
	if id < len(t.runs) {
		t.runs[id].Ended, t.runs[id].Status = time.Now(), status
	}
	t.recordLoad()
}

// recordLoad keeps the load samples that lagging reports need; t.mu is held.
func (t *Target) recordLoad() {
	if t.opts.Report != ReportLagging {
		return
	}
	now := time.Now()
	t.history = append(t.history, loadSample{now, t.currentLoad()})
	for len(t.history) > maxHistory || len(t.history) > 1 && now.Sub(t.history[1].at) > t.opts.Lag {
		t.history = t.history[1:]
	}
}

func (t *Target) currentLoad() load {
	return load{Slots: t.opts.Slots, Busy: t.busySlots, Feeds: t.openFeeds, Draining: t.draining}
}

// reportedLoad returns the load that the health and load endpoints report.
func (t *Target) reportedLoad() load {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.opts.Report {
	case ReportIdle:
		return load{Slots: t.opts.Slots}
	case ReportBusy:
		return load{Slots: t.opts.Slots, Busy: t.opts.Slots, Draining: true}
	case ReportLagging:
		old := load{Slots: t.opts.Slots}
		for _, s := range t.history {
			if time.Since(s.at) < t.opts.Lag {
				break
			}
			old = s.load
		}
		return old
	}
	return t.currentLoad()
}

// limitListener closes connections beyond the connection limit.
type limitListener struct {
	net.Listener
	t *Target
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.t.mu.Lock()
		over := l.t.opts.MaxConns > 0 && l.t.openConns >= l.t.opts.MaxConns
		if over {
			l.t.refusedConns++
		} else {
			l.t.openConns++
		}
		l.t.mu.Unlock()
		if !over {
			return &countedConn{Conn: conn, closed: sync.OnceFunc(func() {
				l.t.mu.Lock()
				defer l.t.mu.Unlock()
				l.t.openConns--
			})}, nil
		}
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
