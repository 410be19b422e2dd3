// Package daemon holds what the main functions of the long-running binaries share:
// exit codes, signal handling, and the metrics and admin endpoints.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1 // the process could not start, or failed later
	ExitUsage   = 2 // the settings are invalid
)

// signalError is the cancellation cause when a signal stops the process.
type signalError struct{ os.Signal }

func (e signalError) Error() string { return "signal: " + e.String() }

// SignalContext returns two contexts with the signal as their cancellation cause: ctx ends
// at the first SIGTERM or SIGINT and starts the drain, kill ends at the second and aborts it.
func SignalContext() (ctx, kill context.Context, release func()) {
	kill, cancelKill := context.WithCancelCause(context.Background())
	ctx, cancel := context.WithCancelCause(kill)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if s, ok := <-signals; ok {
			cancel(signalError{s})
		}
		if s, ok := <-signals; ok {
			cancelKill(signalError{s})
		}
	}()
	return ctx, kill, func() {
		signal.Stop(signals)
		close(signals)
		cancelKill(nil)
	}
}

// Main loads the settings, runs the process with them and returns its exit code.
func Main[S any](load func([]string) (*S, error), run func(*S) error) int {
	return MainWith(os.Args[1:], load, run)
}

// MainWith is Main with the given command-line arguments.
func MainWith[S any](args []string, load func([]string) (*S, error), run func(*S) error) int {
	s, err := load(args)
	if settings.IsHelp(err) {
		fmt.Println(err)
		return ExitOK
	}
	if err != nil {
		printError(err.Error())
		return ExitUsage
	}
	if err := run(s); err != nil {
		printError(trace.UserMessage(err))
		return ExitFailure
	}
	return ExitOK
}

// printError writes a line to standard error, which may be read by nobody.
func printError(message string) {
	q := telemetry.NewLogQueue(os.Stderr, nil)
	fmt.Fprintln(q, message)
	q.Close()
}

// Process holds the log, metrics and endpoints of a long-running binary.
type Process struct {
	StartTime time.Time
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
	Endpoints *Endpoints
	flushLog  func()
}

// Setup creates the logger, which writes to standard error, and the metrics, and binds the
// admin address.
func Setup(binary settings.Binary, common settings.Common) (*Process, error) {
	p := &Process{StartTime: time.Now()}
	var err error
	if p.Metrics, err = telemetry.NewMetrics(string(binary)); err != nil {
		return nil, trace.Wrap(err)
	}
	p.Logger, p.flushLog, err = telemetry.NewProcessLogger(os.Stderr, common.LogLevel, string(binary), string(common.NodeID), p.Metrics)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.Endpoints, err = Listen(common.AdminAddr, common.MetricsAddr)
	return p, trace.Wrap(err)
}

// Seed returns a random seed derived from the start time of the process.
func (p *Process) Seed() uint64 { return model.Mix(uint64(p.StartTime.UnixNano())) }

// Incarnation returns the incarnation of this process: its start time in Unix milliseconds.
func (p *Process) Incarnation() model.Incarnation { return model.Incarnation(p.StartTime.UnixMilli()) }

// Endpoints are the admin and metrics endpoints of a process.
type Endpoints struct {
	admin   net.Listener
	metrics netip.AddrPort
}

// Listen binds the admin address now, so that its port can be advertised to peers. An
// invalid metrics address means that there is no metrics endpoint.
func Listen(adminAddr, metricsAddr netip.AddrPort) (*Endpoints, error) {
	ln, err := net.Listen("tcp", adminAddr.String())
	if err != nil {
		return nil, trace.Wrap(err, "admin address %s", adminAddr)
	}
	return &Endpoints{admin: ln, metrics: metricsAddr}, nil
}

// AdminAddr returns the admin address with the port that was bound.
func (e *Endpoints) AdminAddr() netip.AddrPort { return e.admin.Addr().(*net.TCPAddr).AddrPort() }

// Serve adds the admin and metrics servers to g; they run until ctx is done.
func (e *Endpoints) Serve(ctx context.Context, g *errgroup.Group, n admin.Node, keys []settings.Secret, m *telemetry.Metrics) {
	g.Go(func() error { return admin.NewServer(n, keys, m).Serve(ctx, e.admin) })
	if e.metrics.IsValid() {
		g.Go(func() error { return m.Serve(ctx, e.metrics.String()) })
	}
}

// Supervise serves the endpoints while run runs, and returns when run returns or an
// endpoint fails. run gets the two contexts of SignalContext; kill also ends when an
// endpoint fails.
func (p *Process) Supervise(n admin.Node, keys []settings.Secret, run func(ctx, kill context.Context) error) error {
	ctx, kill, release := SignalContext()
	defer release()
	processCtx, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(processCtx)
	p.Endpoints.Serve(gctx, g, n, keys, p.Metrics)
	g.Go(func() error {
		defer stop()
		return run(ctx, gctx)
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	p.Logger.Info("stopped", "cause", context.Cause(ctx), "err", err)
	p.flushLog()
	return err
}

// Keys returns the raw bytes of the configured keys.
func Keys(secrets []settings.Secret) [][]byte {
	var out [][]byte
	for _, s := range secrets {
		out = append(out, s.Bytes())
	}
	return out
}
