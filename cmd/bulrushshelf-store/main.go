// Command bulrushshelf-store is a development stand-in for the platform's
// object store. It keeps objects in memory only and must not be used in a
// deployment.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// shutdownTimeout limits the wait for calls in progress at shutdown. Watches take
// longer; their connections are closed.
const shutdownTimeout = 2 * time.Second

func main() {
	s, err := settings.LoadStore(os.Args[1:])
	switch {
	case settings.IsHelp(err):
		fmt.Println(err)
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s *settings.Store) error {
	metrics, err := telemetry.NewMetrics("bulrushshelf-store")
	if err != nil {
		return trace.Wrap(err)
	}
	log, flushLog, err := telemetry.NewProcessLogger(os.Stderr, s.LogLevel, "bulrushshelf-store", "store", metrics)
	if err != nil {
		return trace.Wrap(err)
	}
	defer flushLog()
	ln, err := net.Listen("tcp", s.ListenAddr.String())
	if err != nil {
		return trace.Wrap(err)
	}
	log.Warn("development stand-in of the object store; contents are lost at exit", "address", ln.Addr().String())
	srv := &http.Server{
		Handler:           store.New(store.Options{ReadsPerSecond: s.ReadsPerSecond, WritesPerSecond: s.WritesPerSecond}),
		ReadHeaderTimeout: 5 * time.Second,
	}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close()
		}
	})
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	<-shutdownDone
	log.Info("stopped", "cause", context.Cause(ctx))
	return nil
}
