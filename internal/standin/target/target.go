// Package target is a small stand-in for a firm's target: an HTTP server with
// slots, a connection limit, a cold start, shedding, drain, and health and load
// endpoints that may lag or mislead. It records every run, so that tests can
// count requests that ran twice.
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

// Header fields that the target knows.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Request-Deadline-Ms"
	headerOutcome  = "Bulrushshelf-Outcome" // not-run marks a request that was shed
)

// maxRuns bounds the recorded runs; later ones are only counted.
const maxRuns = 100000

// maxHistory bounds the states kept for lagging reports.
const maxHistory = 10000

// Report is how the health and load endpoints relate to the truth.
type Report uint8

// The kinds of report.
const (
	ReportTrue    Report = iota
	ReportLagging        // the state of Options.Lag ago
	ReportIdle           // always healthy and without load
	ReportBusy           // always unhealthy and with all slots busy
)

// Options are the settings of a target.
type Options struct {
	Listener   net.Listener
	Slots      int           // requests that run at once; more are shed; 0 is no limit
	MaxConns   int           // open connections; more are closed at once; 0 is no limit
	Work       time.Duration // time of a run that does not ask for another
	Cold       time.Duration // after the start, during which runs take ColdFactor as long
	ColdFactor float64
	Report     Report
	Lag        time.Duration
}

// Ending is how a run ended.
type Ending uint8

// The endings of a run.
const (
	Running   Ending = iota
	Completed        // the answer was written
	Cancelled        // the caller left
	Expired          // the deadline passed during the work
	Invalid          // the request was wrong, for example by its digest
)

// Run is one request that the target ran.
type Run struct {
	Method, Path, Key string
	Query             string
	Started, Ended    time.Time
	Ending            Ending
}

// Target is a running stand-in.
type Target struct {
	o       Options
	started time.Time
	stop    chan struct{} // closed at the end of Run; ends feeds

	mu       sync.Mutex
	runs     []Run
	total    int
	shed     int
	busy     int
	peak     int
	feeds    int
	conns    int
	refused  int
	shedding bool
	draining bool
	history  []sample // for lagging reports
}

type sample struct {
	at    time.Time
	state state
}

// state is the content of the load endpoint.
type state struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Feeds    int  `json:"feeds"`
	Draining bool `json:"draining"`
}

// New returns a target that Run starts.
func New(o Options) (*Target, error) {
	if o.Listener == nil {
		return nil, trace.BadParameter("stand-in target: a listener is required")
	}
	if o.ColdFactor < 1 {
		o.ColdFactor = 1
	}
	return &Target{o: o, started: time.Now(), stop: make(chan struct{})}, nil
}

// URL returns the address of the target.
func (t *Target) URL() *url.URL {
	return &url.URL{Scheme: "http", Host: t.o.Listener.Addr().String()}
}

// Run serves until ctx ends and the requests in progress are done. Feeds end.
func (t *Target) Run(ctx context.Context) error {
	srv := &http.Server{Handler: t.handler(), ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		close(t.stop)
		_ = srv.Shutdown(context.WithoutCancel(ctx))
	})
	err := srv.Serve(&limitListener{Listener: t.o.Listener, t: t})
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return trace.Wrap(err)
	}
	<-stopped
	return nil
}

// Drain makes the target shed new requests; those in progress and feeds go on.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.note()
}

// SetShedding makes the target shed all new requests, or stop doing so.
func (t *Target) SetShedding(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedding = on
}

// Runs returns the recorded runs in order of their start.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// RunsByKey returns the number of runs of each key.
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
	PeakBusy     int // most slots in use at once
	Feeds        int // open now
}

// Counts returns the totals so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Runs: t.total, Shed: t.shed, RefusedConns: t.refused, PeakBusy: t.peak, Feeds: t.feeds}
}

// begin takes a slot for a run, or returns false if the request is shed. feed
// marks a run that needs no slot.
func (t *Target) begin(r *http.Request, feed bool) (id int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shedding || t.draining || !feed && t.o.Slots > 0 && t.busy >= t.o.Slots {
		t.shed++
		return 0, false
	}
	if feed {
		t.feeds++
	} else {
		t.busy++
		t.peak = max(t.peak, t.busy)
	}
	id = t.total
	t.total++
	if len(t.runs) < maxRuns {
		t.runs = append(t.runs, Run{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(headerKey), Query: r.URL.RawQuery, Started: time.Now()})
	}
	t.note()
	return id, true
}

func (t *Target) end(id int, feed bool, how Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if feed {
		t.feeds--
	} else {
		t.busy--
	}
	if id < len(t.runs) {
		t.runs[id].Ended, t.runs[id].Ending = time.Now(), how
	}
	t.note()
}

// note keeps the states that a lagging report needs; the caller holds mu.
func (t *Target) note() {
	if t.o.Report != ReportLagging {
		return
	}
	now := time.Now()
	t.history = append(t.history, sample{now, t.current()})
	for len(t.history) > maxHistory || len(t.history) > 1 && now.Sub(t.history[1].at) > t.o.Lag {
		t.history = t.history[1:]
	}
}

func (t *Target) current() state {
	return state{Slots: t.o.Slots, Busy: t.busy, Feeds: t.feeds, Draining: t.draining}
}

// reported returns what the health and load endpoints say.
func (t *Target) reported() state {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.o.Report {
	case ReportIdle:
		return state{Slots: t.o.Slots}
	case ReportBusy:
		return state{Slots: t.o.Slots, Busy: t.o.Slots, Draining: true}
	case ReportLagging:
		old := state{Slots: t.o.Slots}
		for _, s := range t.history {
			if time.Since(s.at) < t.o.Lag {
				break
			}
			old = s.state
		}
		return old
	}
	return t.current()
}

// limitListener closes connections beyond the limit.
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
		over := l.t.o.MaxConns > 0 && l.t.conns >= l.t.o.MaxConns
		if over {
			l.t.refused++
		} else {
			l.t.conns++
		}
		l.t.mu.Unlock()
		if !over {
			return &countedConn{Conn: conn, closed: sync.OnceFunc(func() {
				l.t.mu.Lock()
				defer l.t.mu.Unlock()
				l.t.conns--
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
