package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/fabric"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/target"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	// keysOpenAfter is when a new deployment takes its first keyed request: the
	// views have settled by then, and each home covers all keys.
	keysOpenAfter = 8 * time.Second
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// errCrash is the cause of a kill without a word.
var errCrash = errors.New("crash")

// running is one process of the deployment.
type running struct {
	stop context.CancelCauseFunc // graceful
	kill context.CancelCauseFunc
	done chan struct{}
}

// BalancerProc is a running balancer.
type BalancerProc struct {
	*node.Balancer
	running
	id model.NodeID
}

// AgentProc is a running agent with its target.
type AgentProc struct {
	*node.Agent
	running
	ID      model.NodeID
	Service model.ServiceName
	Target  *target.Target

	host *host
}

// Done is closed once the agent has ended.
func (p *AgentProc) Done() <-chan struct{} { return p.done }

// host is a target, which runs as long as an agent beside it.
type host struct {
	target *target.Target
	stop   context.CancelFunc
	agents int
}

// Cluster is a running deployment.
type Cluster struct {
	Spec   Spec
	Fabric *fabric.Fabric
	Store  *store.Store
	Client *storeclient.Client

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	logger  *log.Logger
	metrics *telemetry.Metrics
	key     []byte
	seed    uint64
	boots   uint64
	opens   time.Time

	mu        sync.Mutex
	balancers []*BalancerProc
	agents    []*AgentProc
	failures  []error
}

// NewCluster starts the stand-ins. Processes are started one by one.
func NewCluster(spec Spec, seed uint64, logger *log.Logger) (*Cluster, error) {
	metrics, err := telemetry.NewMetrics("demo")
	if err != nil {
		return nil, err
	}
	f, err := fabric.New(seed)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Spec: spec, Fabric: f, Store: store.New(store.Options{}), logger: logger, metrics: metrics,
		key: []byte("demo key of the shared secret, 32+ bytes"), seed: seed, opens: time.Now().Add(keysOpenAfter),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	srv := &http.Server{Handler: c.Store, ReadHeaderTimeout: time.Second}
	c.spawn(func() error { return ignoreClosed(srv.Serve(ln)) })
	context.AfterFunc(c.ctx, func() { _ = srv.Close() })
	c.spawn(func() error { return f.Run(c.ctx) })
	c.Client, err = storeclient.New(storeclient.Options{URL: "http://" + ln.Addr().String(), Seed: seed})
	return c, err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (c *Cluster) spawn(run func() error) {
	c.wg.Go(func() {
		if err := run(); err != nil && c.ctx.Err() == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failures = append(c.failures, err)
		}
	})
}

// start runs one process under a graceful and a killing context.
func (c *Cluster) start(run func(ctx, kill context.Context) error) running {
	kill, killNow := context.WithCancelCause(c.ctx)
	ctx, stop := context.WithCancelCause(kill)
	r := running{stop: stop, kill: killNow, done: make(chan struct{})}
	c.spawn(func() error { defer close(r.done); return run(ctx, kill) })
	return r
}

func (c *Cluster) nextSeed() uint64 {
	c.boots++
	return model.Mix(c.seed + c.boots)
}

// StartBalancer starts a balancer and hands it to the fabric.
func (c *Cluster) StartBalancer(id model.NodeID, dc model.DataCentre) (*BalancerProc, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := node.NewBalancer(node.BalancerOptions{
		Self:   model.Member{ID: id, DC: dc, Incarnation: model.Incarnation(time.Now().UnixMilli()), PeerAddr: anyPort, Weight: 1},
		Fabric: anyPort, Return: c.Fabric.ReturnAddr(), Seeds: c.seeds(), Keys: [][]byte{c.key},
		Seed: c.nextSeed(), Store: c.Client, Metrics: c.metrics, Logger: c.logger.With("node", id), Linger: time.Second,
	})
	if err != nil {
		return nil, err
	}
	p := &BalancerProc{Balancer: b, id: id, running: c.start(b.Run)}
	c.balancers = append(c.balancers, p)
	c.spray()
	return p, nil
}

func (c *Cluster) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range c.balancers {
		out = append(out, b.PeerAddr())
	}
	return out
}

// spray gives the fabric the present balancers; c.mu is held.
func (c *Cluster) spray() {
	var addrs []netip.AddrPort
	for _, b := range c.balancers {
		addrs = append(addrs, b.FabricAddr())
	}
	c.Fabric.SetBalancers(addrs...)
}

// StopBalancer stops a balancer and waits for its end. The fabric learns of it
// after the stop began, as after a crash.
func (c *Cluster) StopBalancer(p *BalancerProc, crash bool) {
	if crash {
		p.kill(errCrash)
		<-p.done
	} else {
		p.stop(errors.New("planned stop"))
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	for i, b := range c.balancers {
		if b == p {
			c.balancers = append(c.balancers[:i:i], c.balancers[i+1:]...)
			break
		}
	}
	c.spray()
	c.mu.Unlock()
	<-p.done
}

// StartAgent starts a target and the agent beside it.
func (c *Cluster) StartAgent(svc ServiceSpec, id model.NodeID, dc model.DataCentre) (*AgentProc, error) {
	ln, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, err := target.New(target.Options{Listener: ln, Slots: slotsPerHost, MaxConns: flowsPerHost, RunTime: 5 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(c.ctx))
	c.spawn(func() error { return t.Run(ctx) })
	return c.startAgent(svc.Name, id, dc, &host{target: t, stop: stop})
}

// StartAgentBeside starts another agent beside the target of old, which
// replaces old once old is stopped.
func (c *Cluster) StartAgentBeside(old *AgentProc, id model.NodeID) (*AgentProc, error) {
	return c.startAgent(old.Service, id, old.Self().DC, old.host)
}

func (c *Cluster) startAgent(service model.ServiceName, id model.NodeID, dc model.DataCentre, h *host) (*AgentProc, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	a, err := node.NewAgent(node.AgentOptions{
		Self: model.Member{
			ID: id, DC: dc, Service: service, Incarnation: model.Incarnation(now.UnixMilli()), PeerAddr: anyPort,
			RequestAddr: anyPort, Slots: slotsPerHost, MaxFlows: flowsPerHost, Weight: 1, Started: now,
		},
		Seeds: c.seeds(), Keys: [][]byte{c.key}, Seed: c.nextSeed(), Return: c.Fabric.ReturnAddr(), Target: h.target.URL(),
		Keepalive: c.Spec.Keepalive, KeysOpen: c.opens,
		Metrics: c.metrics, Logger: c.logger.With("node", id),
	})
	if err != nil {
		if h.agents == 0 {
			h.stop()
		}
		return nil, err
	}
	h.agents++
	p := &AgentProc{Agent: a, ID: id, Service: service, Target: h.target, host: h}
	p.running = c.start(func(ctx, kill context.Context) error {
		defer c.agentEnded(h)
		return a.Run(ctx, kill)
	})
	c.agents = append(c.agents, p)
	return p, nil
}

// agentEnded stops a target with the last agent beside it.
func (c *Cluster) agentEnded(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.agents--; h.agents == 0 {
		h.stop()
	}
}

// StopAgent starts the planned stop of an agent, which ends by itself after its
// last flow. With crash it ends the agent at once and waits for its end.
func (c *Cluster) StopAgent(p *AgentProc, crash bool) {
	if !crash {
		p.stop(errors.New("planned stop"))
		return
	}
	p.kill(errCrash)
	<-p.done
}

// running returns the agents that have not ended; c.mu is held.
func (c *Cluster) running() []*AgentProc {
	var out []*AgentProc
	for _, a := range c.agents {
		select {
		case <-a.done:
		default:
			out = append(out, a)
		}
	}
	return out
}

// StartAll starts the files, n balancers and all targets, and waits until each
// balancer serves and each service has all its targets everywhere.
func (c *Cluster) StartAll(n int) error {
	for _, svc := range c.Spec.Services {
		name, content := c.Spec.decision(svc)
		if err := c.Put(name, content); err != nil {
			return err
		}
	}
	for i := range n {
		dc := c.Spec.DCs[i%len(c.Spec.DCs)]
		if _, err := c.StartBalancer(model.NodeID(fmt.Sprintf("%s-entry-%d", dc, i+1)), dc); err != nil {
			return err
		}
	}
	for _, svc := range c.Spec.Services {
		for i := range svc.Hosts {
			id, dc := c.Spec.target(svc, i)
			if _, err := c.StartAgent(svc, id, dc); err != nil {
				return err
			}
		}
	}
	return c.WaitReady()
}

// WaitReady waits until all balancers and agents agree on the targets.
func (c *Cluster) WaitReady() error {
	var last string
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		if last = c.notReady(); last == "" {
			return nil
		}
	}
	return trace.LimitExceeded("the deployment was not ready after %v: %s", readyTimeout, last)
}

// notReady names the first process that does not know all others.
func (c *Cluster) notReady() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) > 0 {
		return c.failures[0].Error()
	}
	agents := c.running()
	for _, b := range c.balancers {
		state, ok := b.State(c.ctx)
		if !ok || !state.Serving || len(state.Members) != len(c.balancers)+len(agents) {
			return fmt.Sprintf("balancer %s serving=%v knows %d members", b.id, state.Serving, len(state.Members))
		}
	}
	for _, a := range agents {
		want := 0
		for _, other := range agents {
			if other.Service == a.Service {
				want++
			}
		}
		if v := a.View(); v == nil || len(v.Members) != want || len(v.Addrs) == 0 {
			return fmt.Sprintf("agent %s does not know its service yet", a.ID)
		}
	}
	return ""
}

// Put creates or replaces a decision file, as an operator does.
func (c *Cluster) Put(name, content string) error {
	path := node.FilesPrefix + name
	old, err := c.Client.Get(c.ctx, path)
	if err == nil {
		_, err = c.Client.Update(c.ctx, path, old.Version, []byte(content))
		return trace.Wrap(err)
	}
	if storeclient.KindOf(err) != storeclient.NotFound {
		return trace.Wrap(err)
	}
	_, err = c.Client.Create(c.ctx, path, []byte(content))
	return trace.Wrap(err)
}

// Remove removes a decision file.
func (c *Cluster) Remove(name string) error {
	path := node.FilesPrefix + name
	old, err := c.Client.Get(c.ctx, path)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.Client.Delete(c.ctx, path, old.Version)
	return trace.Wrap(err)
}

// Close ends everything at once.
func (c *Cluster) Close() {
	c.cancel()
	c.wg.Wait()
}
