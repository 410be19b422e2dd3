package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
	"github.com/matryer/is"
)

// cluster is a service of agents on loopback; peer messages are delivered by direct calls.
type cluster struct {
	mu     sync.Mutex
	fronts map[model.NodeID]*Front
	urls   []string // for callers
	peers  []string // for moved requests
	all    []*Front
	cancel []context.CancelFunc
	ended  []chan error
}

type clusterPeers struct {
	c    *cluster
	self model.NodeID
}

func (p clusterPeers) Send(to model.NodeID, m message.Message) {
	p.c.mu.Lock()
	f := p.c.fronts[to]
	p.c.mu.Unlock()
	if f != nil {
		f.Deliver(p.self, m)
	}
}

var testKey = []byte("a key for tests of moved requests")

// newCluster starts one agent with one slot for each target.
func newCluster(t *testing.T, targets ...*url.URL) *cluster {
	t.Helper()
	return newClusterWith(t, func(*Options) {}, targets...)
}

func newClusterWith(t *testing.T, edit func(*Options), targets ...*url.URL) *cluster {
	t.Helper()
	is := is.New(t)
	c := &cluster{fronts: make(map[model.NodeID]*Front)}
	view := model.ServiceView{Service: "dispatch", Policy: model.DefaultPolicy()}
	for i, target := range targets {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		peerLn, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		id := model.NodeID(fmt.Sprint("agent-", i))
		metrics, err := telemetry.NewMetrics("test")
		is.NoErr(err)
		o := Options{
			Self: id, Service: "dispatch", Listener: ln, PeerListener: peerLn, Target: target, Slots: 1,
			Peers: clusterPeers{c, id}, MACKeys: func() [][]byte { return [][]byte{testKey} }, Metrics: metrics,
		}
		edit(&o)
		f, err := New(o)
		is.NoErr(err)
		c.fronts[id] = f
		c.all = append(c.all, f)
		c.urls = append(c.urls, "http://"+ln.Addr().String())
		c.peers = append(c.peers, "http://"+peerLn.Addr().String())
		view.Members = append(view.Members, model.Member{
			ID: id, Kind: model.KindAgent, State: model.StateActive, Slots: 1, Weight: 1, Incarnation: 1,
			RequestAddr: netip.MustParseAddrPort(peerLn.Addr().String()),
		})
	}
	for _, f := range c.all {
		f.SetView(view)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		c.cancel = append(c.cancel, cancel)
		c.ended = append(c.ended, ended)
	}
	t.Cleanup(func() {
		for i := range c.all {
			c.cancel[i]()
			<-c.ended[i]
		}
	})
	return c
}

// reportFree delivers a load report without load from each agent to all agents.
func (c *cluster) reportFree(t *testing.T) {
	for id := range c.fronts {
		for _, f := range c.all {
			eventually(t, "the view", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.updates == nil })
			f.Deliver(id, message.LoadReport{})
			eventually(t, "the report", func() bool { return f.incoming.Len() == 0 })
		}
	}
}

func handlerTarget(t *testing.T, h http.HandlerFunc) *url.URL {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return &url.URL{Scheme: "http", Host: ln.Addr().String()}
}

// do sends one request on a new connection.
func do(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	// A new transport has no reused connection, so it resends nothing, and with keep-alive
	// the server decides whether the connection stays open.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(r)
	is.New(t).NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp, string(got)
}

// eventually waits until ok returns true, for up to 5 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

// Guards against requests that net/http resends automatically: the target reads each request and
// closes the connection without a response, also on a connection that it used before.
func TestFaultTargetClosesAfterReading(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	var runs atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					runs.Add(1)
					if r.URL.Path != "/warm" {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	c := newCluster(t, &url.URL{Scheme: "http", Host: ln.Addr().String()})
	for _, method := range []string{"POST", "GET"} { // net/http would resend a GET even without a key
		for _, body := range []string{"", "order"} {
			for _, key := range []string{"", "k1"} {
				do(t, "GET", c.urls[0]+"/warm", "")
				runs.Store(0)
				header := []string{"X-Idempotency-Key", key} // also makes net/http resend
				resp, _ := do(t, method, c.urls[0]+"/confirm", body, header...)
				is.Equal(runs.Load(), int64(1)) // sent exactly once
				is.Equal(resp.StatusCode, http.StatusBadGateway)
				is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
			}
		}
	}
}

// Guards against requests that are lost or run twice when the target sheds them, and against
// shed requests that move more than once.
func TestFaultShedRequestMovesOnce(t *testing.T) {
	is := is.New(t)
	var sheds, runs atomic.Int64
	shed := handlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		sheds.Add(1)
		w.Header().Set(HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	run := handlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs.Add(1)
		fmt.Fprintf(w, "%s %s", r.Header.Get("Bulrushshelf-Mac"), body)
	})
	c := newCluster(t, shed, run)
	c.reportFree(t)
	resp, body := do(t, "POST", c.urls[0]+"/confirm", "step 7")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get(HeaderOutcome), "ran")
	is.Equal(body, " step 7") // the whole body, and no Bulrushshelf-Mac field
	is.Equal(sheds.Load(), int64(1))
	is.Equal(runs.Load(), int64(1))

	all := newCluster(t, shed, shed)
	all.reportFree(t)
	sheds.Store(0)
	resp, _ = do(t, "POST", all.urls[0]+"/confirm", "step 8")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
	is.True(resp.Header.Get(HeaderReason) != "")
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(sheds.Load() <= 2)
}

// Guards against new requests that run at a leaving agent, and against callers that keep
// their connections to it.
func TestFaultRequestAtLeavingAgent(t *testing.T) {
	is := is.New(t)
	var own, other atomic.Int64
	countingTarget := func(n *atomic.Int64) *url.URL {
		return handlerTarget(t, func(w http.ResponseWriter, r *http.Request) { n.Add(1); fmt.Fprint(w, "done") })
	}
	c := newCluster(t, countingTarget(&own), countingTarget(&other))
	c.all[0].Leave()
	for range 5 {
		resp, body := do(t, "POST", c.urls[0]+"/confirm", "x")
		is.Equal(body, "done")
		is.True(resp.Close) // Connection: close
	}
	is.Equal(own.Load(), int64(0))
	is.Equal(other.Load(), int64(5))
	eventually(t, "idle agents", func() bool { return c.all[0].Idle() && c.all[1].Idle() && c.all[1].Load().Busy == 0 })
}

// Guards against a target that still runs requests or keeps its callers' connections while a
// decision file drains it, and against a drain that can't be reversed.
func TestFaultDrainByDecisionFileAndBack(t *testing.T) {
	is := is.New(t)
	var own, other atomic.Int64
	counting := func(n *atomic.Int64) *url.URL {
		return handlerTarget(t, func(w http.ResponseWriter, r *http.Request) { n.Add(1); fmt.Fprint(w, "done") })
	}
	c := newCluster(t, counting(&own), counting(&other))
	view := *c.all[0].view.Load()
	drained := view
	drained.Members = slices.Clone(view.Members)
	drained.Members[0].State = model.StateLeaving
	for range 2 {
		ran := own.Load()
		for _, f := range c.all {
			f.SetView(drained)
		}
		eventually(t, "the drain", func() bool { return c.all[0].Load().Busy == 1 })
		for range 3 {
			resp, body := do(t, "POST", c.urls[0]+"/confirm", "x")
			is.Equal(body, "done")
			is.True(resp.Close)
		}
		is.Equal(own.Load(), ran)
		for _, f := range c.all {
			f.SetView(view)
		}
		eventually(t, "the reversal", func() bool { return c.all[0].Load().Busy == 0 })
		resp, body := do(t, "POST", c.urls[0]+"/confirm", "x")
		is.Equal(body, "done")
		is.True(!resp.Close)
		is.Equal(own.Load(), ran+1)
	}
}

// Guards against feeds that are buffered or are cut off by the deadline or a graceful shutdown,
// and against a feed that keeps its slot occupied.
func TestHistoryFeedOutlivesDeadlineAndShutdown(t *testing.T) {
	is := is.New(t)
	next := make(chan string)
	c := newCluster(t, handlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/feed" {
			fmt.Fprint(w, "done")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		for ev := range next {
			fmt.Fprintln(w, ev)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	r, _ := http.NewRequest("GET", c.urls[0]+"/feed", nil)
	r.Header.Set(HeaderDeadline, "300")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next <- "first"
	is.True(lines.Scan())
	is.Equal(lines.Text(), "first")

	_, body := do(t, "POST", c.urls[0]+"/confirm", "x") // the slot is free
	is.Equal(body, "done")
	time.Sleep(350 * time.Millisecond)
	c.cancel[0]()
	is.True(!c.all[0].Idle())
	next <- "after the deadline and the shutdown"
	is.True(lines.Scan())
	is.Equal(lines.Text(), "after the deadline and the shutdown")
	close(next)
	is.True(!lines.Scan())
	is.NoErr(lines.Err()) // the feed ended normally
	is.NoErr(<-c.ended[0])
	c.ended[0] <- nil // for t.Cleanup, which receives again
}

// Guards against a target that continues a request after its caller disconnected, and against
// a slot that stays busy.
func TestFaultCallerDisconnects(t *testing.T) {
	is := is.New(t)
	started, stopped := make(chan bool, 1), make(chan bool, 1)
	c := newCluster(t, handlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		started <- true
		<-r.Context().Done()
		stopped <- true
	}))
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "GET", c.urls[0]+"/list", nil)
	go func() { <-started; cancel() }()
	_, err := http.DefaultClient.Do(r)
	is.True(err != nil)
	<-stopped
	eventually(t, "a free slot", func() bool { return c.all[0].Idle() && c.all[0].Load().Busy == 0 })
}

// Guards against running or waiting requests that exceed their deadline.
func TestFaultTargetHangs(t *testing.T) {
	is := is.New(t)
	release := make(chan bool)
	c := newCluster(t, handlerTarget(t, func(w http.ResponseWriter, r *http.Request) { <-release }))
	defer close(release)
	waiting := make(chan *http.Response)
	go func() {
		resp, _ := do(t, "POST", c.urls[0]+"/a", "x", HeaderDeadline, "2000")
		waiting <- resp
	}()
	eventually(t, "a busy slot", func() bool { return c.all[0].Load().Busy == 1 })
	resp, _ := do(t, "POST", c.urls[0]+"/b", "x", HeaderDeadline, "50")
	is.Equal(resp.Header.Get(HeaderOutcome), "not-run")
	is.Equal(resp.Header.Get(HeaderReason), "deadline_passed")
	resp = <-waiting
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(HeaderOutcome), "unknown")
	resp, _ = do(t, "POST", c.urls[0]+"/c", "x", HeaderDeadline, "soon")
	is.Equal(resp.StatusCode, http.StatusBadRequest)
}

// Guards against forged, altered and replayed requests on the peer address.
func TestFaultForgedMovedRequest(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	c := newCluster(t, handlerTarget(t, func(w http.ResponseWriter, r *http.Request) { runs.Add(1) }))
	signed := func() *http.Request {
		r, _ := http.NewRequest("POST", c.peers[0]+"/confirm", strings.NewReader("x"))
		c.all[0].signMoved(r, 1)
		return r
	}
	send := func(r *http.Request) string {
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.Header.Get(HeaderReason)
	}
	r := signed()
	is.Equal(send(r), "")
	again := signed()
	again.Header = r.Header
	is.Equal(send(again), "mac_replayed")
	altered := signed()
	altered.URL.Path = "/other"
	is.Equal(send(altered), "mac_wrong")
	old := signed()
	old.Header.Set(headerSent, "1")
	old.Header.Set(headerMAC, fmt.Sprintf("%x", movedMAC(testKey, "dispatch", old)))
	is.Equal(send(old), "mac_expired")
	plain, _ := http.NewRequest("POST", c.peers[0]+"/confirm", nil)
	is.Equal(send(plain), "mac_missing")
	is.Equal(runs.Load(), int64(1))
}

// Guards against hop-by-hop header fields that are forwarded, and Bulrushshelf-* fields that a
// caller or target can forge.
func TestGoldenHeaders(t *testing.T) {
	is := is.New(t)
	src := http.Header{
		"Connection": {"keep-alive, x-hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"websocket"},
		"Bulrushshelf-Outcome": {"ran"}, "X-End": {"a", "b"},
	}
	dst := http.Header{}
	copyEndToEnd(dst, src)
	is.Equal(dst, http.Header{"X-End": {"a", "b"}})
	is.Equal(retryAfterSeconds(1100*time.Millisecond), "2")
	d, err := requestDeadline(http.Header{HeaderDeadline: {"99999999999999999"}}, 0)
	is.NoErr(err)
	is.Equal(d, maxDeadline)
}

// Guards against a truncated response that looks complete to the caller.
func TestFaultTruncatedResponse(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, handlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	resp, err := http.Get(c.urls[0] + "/list")
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}
