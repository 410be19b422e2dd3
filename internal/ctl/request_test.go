package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// startNodes starts a balancer and an agent whose target is handler, and returns the flags that
// reach them.
func startNodes(t *testing.T, handler http.Handler) (flags []string) {
	t.Helper()
	is := is.New(t)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	// The command binds the return address. No other process uses this IP address.
	returnConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.93.1:0")))
	is.NoErr(err)
	returnAddr := returnConn.LocalAddr().(*net.UDPAddr).AddrPort()
	is.NoErr(returnConn.Close())
	srv := httptest.NewServer(handler)
	target, err := url.Parse(srv.URL)
	is.NoErr(err)
	metrics, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	logger, err := telemetry.NewLogger(t.Output(), "info", "test", "test")
	is.NoErr(err)
	objects := store.New(store.Options{})
	for name, text := range map[string]string{"10-dispatch.yaml": "service: dispatch\naddresses: [10.80.0.1:80]\n", "10-empty.yaml": "service: empty\naddresses: [10.80.0.2:80]\n"} {
		_, err := objects.Preload(config.StorePrefix+name, []byte(text))
		is.NoErr(err)
	}
	storeSrv := httptest.NewServer(objects)
	client, err := storeclient.New(storeclient.Options{URL: storeSrv.URL, Seed: 1})
	is.NoErr(err)
	keys, now := [][]byte{make([]byte, 32)}, time.Now()
	boot := model.Incarnation(now.UnixMilli())
	b, err := node.NewBalancer(node.BalancerOptions{
		Self:       model.Member{ID: "b1", DC: "dk-east-a", Incarnation: boot, PeerAddr: anyPort, Weight: 1},
		FabricAddr: anyPort, ReturnAddr: returnAddr, Keys: keys, Seed: 1, Store: client, Linger: time.Millisecond, Metrics: metrics, Logger: logger,
	})
	is.NoErr(err)
	a, err := node.NewAgent(node.AgentOptions{
		Self: model.Member{ID: "t1", DC: "dk-east-a", Service: "dispatch", Incarnation: boot, PeerAddr: anyPort,
			RequestAddr: anyPort, Slots: 1, MaxFlows: 10, Weight: 1, Started: now},
		Seeds: []netip.AddrPort{b.PeerAddr()}, Keys: keys, Seed: 2, ReturnAddr: returnAddr, Target: target, Metrics: metrics, Logger: logger,
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- b.Run(context.Background(), ctx) }()
	go func() { done <- a.Run(context.Background(), ctx) }()
	t.Cleanup(func() { cancel(); <-done; <-done; srv.Close(); storeSrv.Close() })
	ready := func() bool {
		s, ok := b.State(ctx)
		v := a.View()
		return ok && s.Serving && len(s.Members) == 2 && v != nil && len(v.Addrs) == 1 && len(v.Members) == 1
	}
	for limit := time.Now().Add(30 * time.Second); !ready(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(limit)) // balancer and agent have discovered each other
	}
	return []string{"--fabric", b.FabricAddr().String(), "--return", returnAddr.String()}
}

// Guards against requests that are altered on the path, and against exit codes that don't
// match the outcome of the request.
func TestRequestThroughTheBalancers(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	flags := startNodes(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		switch r.URL.Path {
		case "/shed":
			w.Header().Set("Bulrushshelf-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "/cut":
			panic(http.ErrAbortHandler)
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("X-Sent"))
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}))
	request := func(args ...string) (int, string, string) {
		return run(append(append([]string{"request"}, flags...), args...)...)
	}
	code, out, errOut := request("--json", "-X", "POST", "-d", "step 1", "-H", "X-Sent: yes", "http://10.80.0.1/confirm?n=1")
	is.Equal(errOut, "")
	is.Equal(code, ExitOK)
	var got response
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(got.Status, http.StatusOK)
	is.Equal(got.Body, "POST /confirm?n=1 step 1")
	is.Equal(got.Header.Get("X-Seen"), "yes")
	is.Equal(got.Header.Get("Bulrushshelf-Outcome"), "ran")

	code, _, _ = request("http://10.80.0.1/shed")
	is.Equal(code, ExitRefused)
	code, out, _ = request("-X", "POST", "-d", "x", "http://10.80.0.1/cut")
	is.Equal(code, ExitUnknown)
	is.True(len(out) > 0) // the agent responded that the outcome is unknown
	before := runs.Load()
	code, _, errOut = request("--timeout", "20s", "http://10.80.0.2/")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(errOut, "refused")) // the balancer resets the connection to a service without targets
	for _, bad := range []string{"http://name/", "https://10.80.0.1/", "10.80.0.1"} {
		code, _, _ = request(bad)
		is.Equal(code, ExitUsage)
	}
	is.Equal(runs.Load(), before)
}
