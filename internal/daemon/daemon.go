// Package daemon is what the mains of the long-running binaries share: exit
// codes, signals, and the endpoints for metrics and for ctl.
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
	ExitFailure = 1 // the process could not start or go on
	ExitUsage   = 2 // the settings have findings
)

// signalError is the cause of a stop by a signal.
type signalError struct{ os.Signal }

func (e signalError) Error() string { return "signal: " + e.String() }

// Context returns a context that ends with SIGTERM or SIGINT, with the signal as
// its cause, and one that ends with a second signal, which cuts the drain short.
func Context() (ctx, kill context.Context, release func()) {
	kill, killNow := context.WithCancelCause(context.Background())
	ctx, stop := context.WithCancelCause(kill)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if s, ok := <-signals; ok {
			stop(signalError{s})
		}
		if s, ok := <-signals; ok {
			killNow(signalError{s})
		}
	}()
	return ctx, kill, func() {
		signal.Stop(signals)
		close(signals)
		killNow(nil)
	}
}

// Main loads settings with load and runs the process with run.
func Main[S any](load func([]string) (*S, error), run func(*S) error) int {
	return MainWith(os.Args[1:], load, run)
}

// MainWith is Main with a given command line.
func MainWith[S any](args []string, load func([]string) (*S, error), run func(*S) error) int {
	s, err := load(args)
	if settings.IsHelp(err) {
		fmt.Println(err)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		return ExitFailure
	}
	return ExitOK
}

// Process is what a long-running binary is set up with.
type Process struct {
	Boot      time.Time
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
	Endpoints *Endpoints
}

// Setup opens the log on standard error, the metrics and the admin address.
func Setup(binary settings.Binary, common settings.Common) (*Process, error) {
	p := &Process{Boot: time.Now()}
	var err error
	if p.Logger, err = telemetry.NewLogger(os.Stderr, common.LogLevel, string(binary), string(common.NodeID)); err != nil {
		return nil, trace.Wrap(err)
	}
	if p.Metrics, err = telemetry.NewMetrics(string(binary)); err != nil {
		return nil, trace.Wrap(err)
	}
	p.Endpoints, err = Listen(common.AdminAddr, common.MetricsAddr)
	return p, trace.Wrap(err)
}

// Seed returns a seed for the random choices of this life of the process.
func (p *Process) Seed() uint64 { return model.Mix(uint64(p.Boot.UnixNano())) }

// Incarnation returns the incarnation of this life of the process.
func (p *Process) Incarnation() model.Incarnation { return model.Incarnation(p.Boot.UnixMilli()) }

// Endpoints are the listeners that operators use.
type Endpoints struct {
	admin   net.Listener
	metrics netip.AddrPort
}

// Listen binds the admin address, so that its port can be announced. The
// metrics address may be invalid, which means no metrics endpoint.
func Listen(adminAddr, metricsAddr netip.AddrPort) (*Endpoints, error) {
	ln, err := net.Listen("tcp", adminAddr.String())
	if err != nil {
		return nil, trace.Wrap(err, "admin address %s", adminAddr)
	}
	return &Endpoints{admin: ln, metrics: metricsAddr}, nil
}

// AdminAddr returns the bound admin address.
func (e *Endpoints) AdminAddr() netip.AddrPort { return e.admin.Addr().(*net.TCPAddr).AddrPort() }

// Serve answers ctl and scrapes until ctx is done.
func (e *Endpoints) Serve(ctx context.Context, g *errgroup.Group, n admin.Node, keys []settings.Secret, m *telemetry.Metrics) {
	g.Go(func() error { return admin.NewServer(n, keys, m).Serve(ctx, e.admin) })
	if e.metrics.IsValid() {
		g.Go(func() error { return m.Serve(ctx, e.metrics.String()) })
	}
}

// Supervise runs serve, with the endpoints beside it, until it returns.
func (p *Process) Supervise(n admin.Node, keys []settings.Secret, serve func(ctx, kill context.Context) error) error {
	ctx, kill, release := Context()
	defer release()
	running, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(running)
	p.Endpoints.Serve(gctx, g, n, keys, p.Metrics)
	g.Go(func() error {
		defer stop()
		return serve(ctx, gctx)
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	p.Logger.Info("stopped", "cause", context.Cause(ctx), "err", err)
	return err
}

// Keys returns the bytes of the configured keys.
func Keys(secrets []settings.Secret) [][]byte {
	var out [][]byte
	for _, s := range secrets {
		out = append(out, s.Bytes())
	}
	return out
}
