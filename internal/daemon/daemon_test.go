package daemon

import (
	"context"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// The reader of the log has stopped, and the pipe to it is full.
func TestProcessEndsWithoutReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	stderr := os.Stderr
	defer func() { os.Stderr = stderr; _, _ = r.Close(), w.Close() }()
	os.Stderr = w
	is.NoErr(w.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err = w.Write(make([]byte, 1<<20))
	is.True(err != nil) // the pipe is full
	is.NoErr(w.SetWriteDeadline(time.Time{}))

	p, err := Setup(settings.BinaryAgent, settings.Common{
		NodeID: "agent-1", LogLevel: "info", AdminAddr: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	is.NoErr(err)
	ended := make(chan int, 1)
	go func() {
		ended <- MainWith(nil, func([]string) (*Process, error) { return p, nil }, func(p *Process) error {
			p.Logger.Info("started")
			return p.Supervise(nil, nil, func(context.Context, context.Context) error { return os.ErrInvalid })
		})
	}()
	select {
	case code := <-ended:
		is.Equal(code, ExitFailure)
	case <-time.After(3 * time.Second):
		t.Fatal("the process waits for the reader of its log")
	}
}
