package netstack_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/fabric"
)

// startServer runs an HTTP server on a stack behind a fabric.
func startServer(t *testing.T, handler http.HandlerFunc) *fabric.Fabric {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	f, err := fabric.New(7)
	is.NoErr(err)
	var wg sync.WaitGroup
	balancerConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	returnAddr := net.UDPAddrFromAddrPort(f.ReturnAddr())
	stack, err := netstack.New(netstack.Options{Output: func(p []byte) { _, _ = balancerConn.WriteToUDP(p, returnAddr) }})
	is.NoErr(err)
	ln, err := stack.ListenAll()
	is.NoErr(err)
	srv := &http.Server{Handler: handler}
	wg.Go(func() { _ = f.Run(ctx) })
	wg.Go(func() { _ = srv.Serve(ln) })
	wg.Go(func() {
		buf := make([]byte, 65536)
		for {
			n, err := balancerConn.Read(buf)
			if err != nil {
				return
			}
			stack.Inject(buf[:n])
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		_ = balancerConn.Close()
		wg.Wait()
		stack.Close()
	})
	f.SetBalancers(balancerConn.LocalAddr().(*net.UDPAddr).AddrPort())
	return f
}

// Guards against uploads that are corrupted or stall when the network drops 2% of
// the packets and reorders them.
func TestFaultUploadOverLossyReorderingFabric(t *testing.T) {
	is := is.New(t)
	f := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
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

// Guards against feeds that stall permanently after two seconds of 30% packet loss.
func TestFaultFeedsContinueAfterHeavyLoss(t *testing.T) {
	is := is.New(t)
	f := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "data\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	c, err := caller.New(f, netip.MustParseAddr("10.0.0.1"))
	is.NoErr(err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second) // ends the feeds that stall
	defer cancel()
	var feeds []*bufio.Scanner
	for range 30 {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.80.0.1:80/feed", nil)
		resp, err := c.Client(false).Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		feeds = append(feeds, bufio.NewScanner(resp.Body))
	}
	var wg sync.WaitGroup
	var stalled atomic.Int64
	f.SetFaults(fabric.Faults{Loss: 0.3})
	time.AfterFunc(2*time.Second, func() { f.SetFaults(fabric.Faults{}) })
	for _, feed := range feeds {
		wg.Go(func() {
			for range 500 {
				if !feed.Scan() {
					stalled.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	is.Equal(stalled.Load(), int64(0))
}
