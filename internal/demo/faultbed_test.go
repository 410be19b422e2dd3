package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/front"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/target"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

const (
	// waitLimit is the timeout of a wait that normally ends much earlier.
	waitLimit    = 55 * time.Second
	waitInterval = 10 * time.Millisecond
	// minNewEvents is the number of events that shows that a feed is still delivered.
	minNewEvents = 5
	// maxTries limits the number of flows opened to get one at a given agent, which
	// receives about a third of them.
	maxTries = 100
)

// testCluster is a small deployment for tests: two services with three targets each.
type testCluster struct {
	*Cluster
	t    *testing.T
	is   *is.I
	addr netip.Addr // of the last caller
	// callerKeepalive does not time out within any wait, so that a caller's
	// connection ends only because of packets that it receives.
	callerKeepalive netstack.Keepalive
}

func newTestCluster(t *testing.T, seed uint64, balancers int, keepalive netstack.Keepalive) *testCluster {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	service := func(name model.ServiceName, addr string) ServiceSpec {
		return ServiceSpec{Name: name, Addr: netip.MustParseAddrPort(addr), Targets: 3, FeedPath: "/feed", WorkPath: "/confirm"}
	}
	spec := Spec{
		Name: "faults", DCs: []model.DataCentre{"dk-east-a"}, Keepalive: keepalive,
		Services: []ServiceSpec{service("dispatch", "10.80.0.1:80"), service("warranty-intake", "10.80.0.2:80")},
	}
	logger, err := telemetry.NewLogger(t.Output(), "info", "demo", "test")
	is.NoErr(err)
	c, err := NewCluster(spec, seed, logger)
	is.NoErr(err)
	t.Cleanup(c.Close)
	is.NoErr(c.StartAll(balancers))
	return &testCluster{
		Cluster: c, t: t, is: is, addr: netip.MustParseAddr("10.1.0.0"),
		callerKeepalive: netstack.Keepalive{Idle: time.Second, Interval: time.Second, Probes: 1000},
	}
}

// eventually waits until cond holds.
func (b *testCluster) eventually(what string, cond func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(waitLimit); !cond(); time.Sleep(waitInterval) {
		if time.Now().After(deadline) {
			b.t.Fatalf("not in time: %s; counters %v; fabric %+v", what, b.metrics.Totals(), b.Fabric.Counters())
		}
	}
}

// waitMembersAgree waits until all running processes agree on the members.
func (b *testCluster) waitMembersAgree() {
	b.t.Helper()
	b.eventually("all processes agree on the members", func() bool { return b.unreadyReason() == "" })
}

func (b *testCluster) newCaller() *caller.Caller {
	b.t.Helper()
	b.addr = b.addr.Next()
	c, err := caller.NewWithKeepalive(b.Fabric, b.addr, b.callerKeepalive)
	b.is.NoErr(err)
	b.t.Cleanup(c.Close)
	return c
}

// agentsOf returns the running agents of a service.
func (b *testCluster) agentsOf(svc ServiceSpec) []*AgentProc {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(b.runningAgents(), func(a *AgentProc) bool { return a.Service != svc.Name })
}

// feed is one open feed. Its caller checks that no event is missing.
type feed struct {
	b      *testCluster
	from   netip.Addr
	flow   model.Flow
	close  context.CancelFunc
	events atomic.Int64
	ended  chan struct{}
	err    error // valid once ended is closed
}

// openFeeds opens n feeds of a service with an event every 20 ms.
func (b *testCluster) openFeeds(svc ServiceSpec, n int) []*feed {
	b.t.Helper()
	var out []*feed
	for range n {
		out = append(out, b.openFeed(svc, 20*time.Millisecond))
	}
	return out
}

func (b *testCluster) openFeed(svc ServiceSpec, every time.Duration) *feed {
	b.t.Helper()
	call := b.newCaller()
	ctx, cancel := context.WithCancel(context.Background())
	f := &feed{b: b, from: call.Addr, close: cancel, ended: make(chan struct{})}
	conn, err := call.Dial(ctx, svc.Addr)
	b.is.NoErr(err)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	b.t.Cleanup(cancel) // a failed check below may end the test before the reader starts
	local, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	f.flow = model.Flow{Src: local, Dst: svc.Addr, Proto: model.TCP}
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/feed?every=%d&from=%s", svc.Addr, every.Milliseconds(), f.from), nil)
	b.is.NoErr(err)
	b.is.NoErr(req.Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	b.is.NoErr(err)
	if resp.StatusCode != http.StatusOK {
		b.t.Fatalf("feed of %s answered with %s: %s", svc.Name, resp.Status, resp.Header.Get(front.HeaderReason))
	}
	go func() {
		defer close(f.ended)
		f.err = f.read(resp.Body)
	}()
	b.t.Cleanup(func() { cancel(); <-f.ended })
	return f
}

func (f *feed) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		if want := fmt.Sprintf("data: %d", f.events.Load()); lines.Text() != want {
			return fmt.Errorf("got %q, want %q", lines.Text(), want)
		}
		f.events.Add(1)
	}
	return lines.Err()
}

// hasEnded reports whether the feed has ended.
func (f *feed) hasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// requireProgress waits until each feed has received more events without a gap.
func (b *testCluster) requireProgress(feeds []*feed) {
	b.t.Helper()
	for _, f := range feeds {
		from := f.events.Load()
		b.eventually(fmt.Sprintf("feed from %s continues", f.from), func() bool { return f.hasEnded() || f.events.Load() >= from+minNewEvents })
		if f.hasEnded() {
			b.t.Fatalf("feed from %s to %s ended after %d events: %v", f.from, f.flow.Dst, f.events.Load(), f.err)
		}
	}
}

// agentsThatRan returns, for each run of a request with the marker in its query, an
// agent of the target that ran it. The agent may have stopped.
func (b *testCluster) agentsThatRan(marker string) []*AgentProc {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*AgentProc
	seen := map[*target.Target]bool{}
	for _, a := range b.agents {
		if seen[a.Target] {
			continue // a second agent beside the target
		}
		seen[a.Target] = true
		for _, run := range a.Target.Runs() {
			if slices.Contains(strings.Split(run.Query, "&"), marker) {
				out = append(out, a)
			}
		}
	}
	return out
}

// splitByTarget separates the feeds served by the agent's target from the others.
func (b *testCluster) splitByTarget(feeds []*feed, a *AgentProc) (own, others []*feed) {
	for _, f := range feeds {
		if b.agentsThatRan("from=" + f.from.String())[0].Target == a.Target {
			own = append(own, f)
		} else {
			others = append(others, f)
		}
	}
	return own, others
}

// confirm sends one request, checks the response and returns the agents whose
// target ran it. The marker must be unique.
func (b *testCluster) confirm(client *http.Client, addr netip.AddrPort, marker string) []*AgentProc {
	b.t.Helper()
	b.is.NoErr(send(client, addr, marker))
	return b.agentsThatRan("m=" + marker)
}

func send(client *http.Client, addr netip.AddrPort, marker string) error {
	resp, err := client.Post(fmt.Sprintf("http://%s/confirm?m=%s", addr, marker), "text/plain", strings.NewReader(marker))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := "confirmed " + marker + "\n"; resp.StatusCode != http.StatusOK || string(body) != want {
		return fmt.Errorf("response %d %q, want %q", resp.StatusCode, body, want)
	}
	return nil
}

// confirmOnNewConns sends n requests on new connections and checks that each one runs
// once, at a target of the service.
func (b *testCluster) confirmOnNewConns(svc ServiceSpec, addr netip.AddrPort, n int, marker string) {
	b.t.Helper()
	client := b.newCaller().Client(false)
	for i := range n {
		agents := b.confirm(client, addr, fmt.Sprintf("%s-%d", marker, i))
		b.is.Equal(len(agents), 1)
		b.is.Equal(agents[0].Service, svc.Name)
	}
}

// waitForState waits until a member has the state in the views of all balancers and
// all running agents of the service.
func (b *testCluster) waitForState(svc ServiceSpec, id model.NodeID, state model.State) {
	b.t.Helper()
	find := func(members []model.Member) model.State {
		for _, m := range members {
			if m.ID == id {
				return m.State
			}
		}
		return model.StateGone
	}
	b.eventually(fmt.Sprintf("%s is %s everywhere", id, state), func() bool {
		for _, a := range b.agentsOf(svc) {
			if find(a.View().Members) != state {
				return false
			}
		}
		return b.everyBalancer(func(s node.BalancerState) bool { return find(s.Members) == state })
	})
}

func (b *testCluster) everyBalancer(holds func(node.BalancerState) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.balancers {
		if state, ok := p.State(b.ctx); !ok || !holds(state) {
			return false
		}
	}
	return true
}

// agentWithSomeOf returns the first agent whose target serves some of the feeds but
// not all.
func (b *testCluster) agentWithSomeOf(svc ServiceSpec, feeds []*feed) (a *AgentProc, own, others []*feed) {
	b.t.Helper()
	for _, a := range b.agentsOf(svc) {
		if own, others = b.splitByTarget(feeds, a); len(own) > 0 && len(others) > 0 {
			return a, own, others
		}
	}
	b.t.Fatal("no agent serves some of the feeds but not all")
	return nil, nil, nil
}

// sendInBackground sends requests to a service, each on a new connection, until stop
// is called, which returns the number of requests and the errors.
func (b *testCluster) sendInBackground(svc ServiceSpec, marker string) (stop func() (sent int, failed []error)) {
	client := b.newCaller().Client(false)
	quit, done := make(chan struct{}), make(chan struct{})
	var sent int
	var failed []error
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(waitInterval):
			}
			if err := send(client, svc.Addr, fmt.Sprintf("%s-%d", marker, sent)); err != nil {
				failed = append(failed, err)
			}
			sent++
		}
	}()
	end := sync.OnceFunc(func() { close(quit); <-done })
	b.t.Cleanup(end)
	return func() (int, []error) { end(); return sent, failed }
}
