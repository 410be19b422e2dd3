package passnode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// failingListener fails the first Accept calls, as a process without free descriptors does.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("accept4: too many open files")
	}
	return l.Listener.Accept()
}

func newTestBalancer(t *testing.T) *Balancer {
	t.Helper()
	is := is.New(t)
	m, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	b, err := NewBalancer(BalancerOptions{
		FabricAddr: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		Metrics: m, Logger: log.New(io.Discard),
	})
	is.NoErr(err)
	return b
}

// Guards against a failed Accept that ends the whole balancer.
func TestFaultAcceptFails(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = b.loop.run(ctx) }()
	b.config.Store(&sharedConfig{Revision: 7, Content: []byte(`{"version":3}`)})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- b.acceptConfigCalls(ctx, &failingListener{ln, 2}) }()
	c, err := fetchConfig(ctx, ln.Addr().String())
	is.NoErr(err)
	is.Equal(c.Revision, uint64(7))
	cancel()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the listener did not end")
	}
}

// Guards against bytes that are no call ending the balancer or the next call.
func TestFaultMalformedCalls(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = b.loop.run(ctx) }()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = b.acceptConfigCalls(ctx, ln) }()
	for _, bytes := range []string{"", "\x00\xff", "{", "null", "[]", `{"jsonrpc":"2.0"}`, `{"jsonrpc":"2.0","method":"configuration","id":{}}`, `{"jsonrpc":"2.0","result":1,"id":1}`, `{"jsonrpc":"2.0","method":"configuration","params":[1,{}],"id":1}`} {
		conn, err := net.Dial("tcp4", ln.Addr().String())
		is.NoErr(err)
		_, err = conn.Write([]byte(bytes))
		is.NoErr(err)
		_ = conn.Close()
	}
	_, err = fetchConfig(ctx, ln.Addr().String())
	is.NoErr(err)
}
