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

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/caller"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/target"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

const (
	// waitLimit bounds a wait that ends long before in a sound deployment.
	waitLimit = 55 * time.Second
	waitPoll  = 10 * time.Millisecond
	// moreEvents shows that a feed goes on.
	moreEvents = 5
	// maxTries bounds the flows opened to find one at a certain agent; a third of
	// them go there.
	maxTries = 100
)

// bed is a small deployment under test: two services with three targets each.
type bed struct {
	*Cluster
	t    *testing.T
	is   *is.I
	addr netip.Addr // of the last caller
	// callerKeepalive outlasts every wait, so that a caller's connection ends
	// only by what it receives.
	callerKeepalive netstack.Keepalive
}

func newBed(t *testing.T, seed uint64, balancers int, keepalive netstack.Keepalive) *bed {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	service := func(name model.ServiceName, addr string) ServiceSpec {
		return ServiceSpec{Name: name, Addr: netip.MustParseAddrPort(addr), Hosts: 3, FeedPath: "/feed", WorkPath: "/confirm"}
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
	return &bed{
		Cluster: c, t: t, is: is, addr: netip.MustParseAddr("10.1.0.0"),
		callerKeepalive: netstack.Keepalive{Idle: time.Second, Interval: time.Second, Probes: 1000},
	}
}

// eventually waits until cond holds.
func (b *bed) eventually(what string, cond func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(waitLimit); !cond(); time.Sleep(waitPoll) {
		if time.Now().After(deadline) {
			b.t.Fatalf("not in time: %s; counters %v; fabric %+v", what, b.metrics.Totals(), b.Fabric.Counters())
		}
	}
}

// ready waits until all running processes agree on the members.
func (b *bed) ready() {
	b.t.Helper()
	b.eventually("all processes agree on the members", func() bool { return b.notReady() == "" })
}

func (b *bed) caller() *caller.Caller {
	b.t.Helper()
	b.addr = b.addr.Next()
	c, err := caller.NewWithKeepalive(b.Fabric, b.addr, b.callerKeepalive)
	b.is.NoErr(err)
	b.t.Cleanup(c.Close)
	return c
}

// of returns the running agents of a service.
func (b *bed) of(svc ServiceSpec) []*AgentProc {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(b.running(), func(a *AgentProc) bool { return a.Service != svc.Name })
}

// feed is one open feed. Its caller checks that no event is missing.
type feed struct {
	b      *bed
	from   netip.Addr
	flow   model.Flow
	close  context.CancelFunc
	events atomic.Int64
	ended  chan struct{}
	err    error // valid once ended is closed
}

// feeds opens n feeds of a service with an event every 20 ms.
func (b *bed) feeds(svc ServiceSpec, n int) []*feed {
	b.t.Helper()
	var out []*feed
	for range n {
		out = append(out, b.feed(svc, 20*time.Millisecond))
	}
	return out
}

func (b *bed) feed(svc ServiceSpec, every time.Duration) *feed {
	b.t.Helper()
	call := b.caller()
	ctx, cancel := context.WithCancel(context.Background())
	f := &feed{b: b, from: call.Addr, close: cancel, ended: make(chan struct{})}
	conn, err := call.Dial(ctx, svc.Addr)
	b.is.NoErr(err)
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	b.t.Cleanup(cancel) // a check below may end the test before the reader runs
	local, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	f.flow = model.Flow{Src: local, Dst: svc.Addr, Proto: model.TCP}
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/feed?every=%d&from=%s", svc.Addr, every.Milliseconds(), f.from), nil)
	b.is.NoErr(err)
	b.is.NoErr(req.Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	b.is.NoErr(err)
	b.is.Equal(resp.StatusCode, http.StatusOK)
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

// over reports whether the feed has ended.
func (f *feed) over() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// goOn waits until each feed has received more events without a gap.
func (b *bed) goOn(feeds []*feed) {
	b.t.Helper()
	for _, f := range feeds {
		from := f.events.Load()
		b.eventually(fmt.Sprintf("feed from %s goes on", f.from), func() bool { return f.over() || f.events.Load() >= from+moreEvents })
		if f.over() {
			b.t.Fatalf("feed from %s to %s ended after %d events: %v", f.from, f.flow.Dst, f.events.Load(), f.err)
		}
	}
}

// ranAt returns one agent, which may have ended, for each time that its target
// ran a request with the marker in its query.
func (b *bed) ranAt(marker string) []*AgentProc {
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

// split separates the feeds that the agent's target serves from the others.
func (b *bed) split(feeds []*feed, a *AgentProc) (own, others []*feed) {
	for _, f := range feeds {
		if b.ranAt("from=" + f.from.String())[0].Target == a.Target {
			own = append(own, f)
		} else {
			others = append(others, f)
		}
	}
	return own, others
}

// confirm sends one request, checks its answer and returns the agents whose
// target ran it. The marker must be unique.
func (b *bed) confirm(client *http.Client, addr netip.AddrPort, marker string) []*AgentProc {
	b.t.Helper()
	b.is.NoErr(send(client, addr, marker))
	return b.ranAt("m=" + marker)
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
		return fmt.Errorf("answer %d %q, want %q", resp.StatusCode, body, want)
	}
	return nil
}

// confirmNew sends n requests on new connections and checks that each one runs
// once, at a target of the service.
func (b *bed) confirmNew(svc ServiceSpec, addr netip.AddrPort, n int, marker string) {
	b.t.Helper()
	client := b.caller().Client(false)
	for i := range n {
		at := b.confirm(client, addr, fmt.Sprintf("%s-%d", marker, i))
		b.is.Equal(len(at), 1)
		b.is.Equal(at[0].Service, svc.Name)
	}
}

// seen waits until every running agent of the service and every balancer
// treats a member as being in the state.
func (b *bed) seen(svc ServiceSpec, id model.NodeID, state model.State) {
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
		for _, a := range b.of(svc) {
			if find(a.View().Members) != state {
				return false
			}
		}
		return b.everyBalancer(func(s node.BalancerState) bool { return find(s.Members) == state })
	})
}

func (b *bed) everyBalancer(holds func(node.BalancerState) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.balancers {
		if state, ok := p.State(b.ctx); !ok || !holds(state) {
			return false
		}
	}
	return true
}

// crowded returns the first agent that serves at least one of the feeds.
func (b *bed) crowded(svc ServiceSpec, feeds []*feed) (a *AgentProc, own, others []*feed) {
	b.t.Helper()
	for _, a := range b.of(svc) {
		if own, others = b.split(feeds, a); len(own) > 0 && len(others) > 0 {
			return a, own, others
		}
	}
	b.t.Fatal("no agent serves some of the feeds and not all of them")
	return nil, nil, nil
}

// work sends requests to a service, each on a new connection, until the
// returned function is called. That function returns the failed ones.
func (b *bed) work(svc ServiceSpec, marker string) (stop func() (sent int, failed []error)) {
	client := b.caller().Client(false)
	quit, done := make(chan struct{}), make(chan struct{})
	var sent int
	var failed []error
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(waitPoll):
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
