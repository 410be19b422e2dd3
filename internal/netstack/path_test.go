package netstack_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/fabric"
)

// Guards against uploads that arrive damaged or stall when the network loses 2%
// of the packets and delivers them out of order.
func TestFaultUploadOverLossyReorderingFabric(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := fabric.New(7)
	is.NoErr(err)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = f.Run(ctx) })

	entry, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer entry.Close()
	back := net.UDPAddrFromAddrPort(f.ReturnAddr())
	stack, err := netstack.New(netstack.Options{Output: func(p []byte) { _, _ = entry.WriteToUDP(p, back) }})
	is.NoErr(err)
	defer stack.Close()
	ln, err := stack.ListenAll()
	is.NoErr(err)
	wg.Go(func() {
		buf := make([]byte, 65536)
		for {
			n, err := entry.Read(buf)
			if err != nil {
				return
			}
			stack.Inject(buf[:n])
		}
	})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	wg.Go(func() { _ = srv.Serve(ln) })
	defer srv.Close()

	f.SetBalancers(entry.LocalAddr().(*net.UDPAddr).AddrPort())
	f.SetFaults(fabric.Faults{Loss: 0.02, MaxDelay: 4 * time.Millisecond})
	c, err := caller.New(f, netip.MustParseAddr("10.0.0.1"))
	is.NoErr(err)
	defer c.Close()
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	for range 5 {
		resp, err := c.Client(false).Post("http://10.80.0.1:80/echo", "text/plain", bytes.NewReader(body))
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(bytes.Equal(got, body))
	}
	is.True(f.Counters().Lost > 0)
}
