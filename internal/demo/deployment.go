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
	pollInterval = 20 * time.Millisecond
	// keyedRequestsDelay is the time until a new deployment accepts keyed requests.
	// By then the views have converged and each home covers all of its keys.
	keyedRequestsDelay = 8 * time.Second
	// oneHostClockSkew is the difference between the clocks of two agents of a demo.
	oneHostClockSkew = time.Millisecond
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// errCrash is the cancellation cause of a simulated crash.
var errCrash = errors.New("crash")

// process controls a balancer or agent of the deployment.
type process struct {
	stop context.CancelCauseFunc // stops gracefully
	kill context.CancelCauseFunc // stops at once
	done chan struct{}
}

// BalancerProc is a running balancer.
type BalancerProc struct {
	*node.Balancer
	process
	id model.NodeID
}

// AgentProc is a running agent and its target.
type AgentProc struct {
	*node.Agent
	process
	ID      model.NodeID
	Service model.ServiceName
	Target  *target.Target

	host *targetHost
}

// Done returns a channel that is closed when the agent has stopped.
func (p *AgentProc) Done() <-chan struct{} { return p.done }

// targetHost is a target that runs until the last agent beside it has stopped.
type targetHost struct {
	target     *target.Target
	stop       context.CancelFunc
	agentCount int
}

// Cluster is a running deployment.
type Cluster struct {
	Spec   Spec
	Fabric *fabric.Fabric
	Store  *store.Store
	Client *storeclient.Client

	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	logger     *log.Logger
	metrics    *telemetry.Metrics
	key        []byte
	seed       uint64
	seedCount  uint64
	keysOpenAt time.Time
	// timeOfDay is the time of day of the processes that are started from now on.
	timeOfDay func() time.Time

	mu        sync.Mutex
	balancers []*BalancerProc
	agents    []*AgentProc
	failures  []error
}

// NewCluster starts the stand-ins, but no balancer and no agent.
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
		key: []byte("demo key of the shared secret, 32+ bytes"), seed: seed, keysOpenAt: time.Now().Add(keyedRequestsDelay),
		timeOfDay: time.Now,
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

// start runs a process with one context for a graceful stop and one for a kill.
func (c *Cluster) start(run func(ctx, kill context.Context) error) process {
	kill, killNow := context.WithCancelCause(c.ctx)
	ctx, stop := context.WithCancelCause(kill)
	r := process{stop: stop, kill: killNow, done: make(chan struct{})}
	c.spawn(func() error { defer close(r.done); return run(ctx, kill) })
	return r
}

func (c *Cluster) nextSeed() uint64 {
	c.seedCount++
	return model.Mix(c.seed + c.seedCount)
}

// StartBalancer starts a balancer and adds it to the fabric.
func (c *Cluster) StartBalancer(id model.NodeID, dc model.DataCentre) (*BalancerProc, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := node.NewBalancer(node.BalancerOptions{
		Self:       model.Member{ID: id, DC: dc, Incarnation: model.Incarnation(c.timeOfDay().UnixMilli()), PeerAddr: anyPort, Weight: 1},
		FabricAddr: anyPort, ReturnAddr: c.Fabric.ReturnAddr(), Seeds: c.seedAddrs(), Keys: [][]byte{c.key},
		Seed: c.nextSeed(), Store: c.Client, Metrics: c.metrics, Logger: c.logger.With("node", id), Linger: time.Second,
	})
	if err != nil {
		return nil, err
	}
	p := &BalancerProc{Balancer: b, id: id, process: c.start(b.Run)}
	c.balancers = append(c.balancers, p)
	c.updateFabric()
	return p, nil
}

func (c *Cluster) seedAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range c.balancers {
		out = append(out, b.PeerAddr())
	}
	return out
}

// updateFabric sets the balancers to which the fabric sends packets; c.mu is held.
func (c *Cluster) updateFabric() {
	var addrs []netip.AddrPort
	for _, b := range c.balancers {
		addrs = append(addrs, b.FabricAddr())
	}
	c.Fabric.SetBalancers(addrs...)
}

// StopBalancer stops a balancer and waits until it has stopped. The fabric removes
// it only after the stop has begun, as it would after a crash.
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
	c.updateFabric()
	c.mu.Unlock()
	<-p.done
}

// StartAgent starts a target and the agent beside it.
func (c *Cluster) StartAgent(svc ServiceSpec, id model.NodeID, dc model.DataCentre) (*AgentProc, error) {
	ln, err := net.Listen("tcp", anyPort.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t, err := target.New(target.Options{Listener: ln, Slots: slotsPerTarget, MaxConns: flowsPerTarget, RunTime: 5 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(c.ctx))
	c.spawn(func() error { return t.Run(ctx) })
	return c.startAgent(svc.Name, id, dc, &targetHost{target: t, stop: stop})
}

// StartAgentBeside starts another agent beside the target of old, to replace old
// once old is stopped.
func (c *Cluster) StartAgentBeside(old *AgentProc, id model.NodeID) (*AgentProc, error) {
	return c.startAgent(old.Service, id, old.Self().DC, old.host)
}

func (c *Cluster) startAgent(service model.ServiceName, id model.NodeID, dc model.DataCentre, h *targetHost) (*AgentProc, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timeOfDay()
	a, err := node.NewAgent(node.AgentOptions{
		Self: model.Member{
			ID: id, DC: dc, Service: service, Incarnation: model.Incarnation(now.UnixMilli()), PeerAddr: anyPort,
			RequestAddr: anyPort, Slots: slotsPerTarget, MaxFlows: flowsPerTarget, Weight: 1, Started: now,
		},
		Seeds: c.seedAddrs(), Keys: [][]byte{c.key}, Seed: c.nextSeed(), ReturnAddr: c.Fabric.ReturnAddr(), Target: h.target.URL(),
		Keepalive: c.Spec.Keepalive, KeysOpen: c.keysOpenAt, KeyClockSkew: oneHostClockSkew,
		Metrics: c.metrics, Logger: c.logger.With("node", id),
	})
	if err != nil {
		if h.agentCount == 0 {
			h.stop()
		}
		return nil, err
	}
	h.agentCount++
	p := &AgentProc{Agent: a, ID: id, Service: service, Target: h.target, host: h}
	p.process = c.start(func(ctx, kill context.Context) error {
		defer c.releaseHost(h)
		return a.Run(ctx, kill)
	})
	c.agents = append(c.agents, p)
	return p, nil
}

// releaseHost is called when an agent has stopped; it stops the target with the
// last agent beside it.
func (c *Cluster) releaseHost(h *targetHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.agentCount--; h.agentCount == 0 {
		h.stop()
	}
}

// StopAgent starts the graceful stop of an agent, which exits after its last flow.
// With crash it kills the agent and waits until it has stopped.
func (c *Cluster) StopAgent(p *AgentProc, crash bool) {
	if !crash {
		p.stop(errors.New("planned stop"))
		return
	}
	p.kill(errCrash)
	<-p.done
}

// runningAgents returns the agents that have not stopped; c.mu is held.
func (c *Cluster) runningAgents() []*AgentProc {
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

// StartAll writes the decision files, starts n balancers and all targets, and waits
// until each balancer serves and every view contains all targets.
func (c *Cluster) StartAll(n int) error {
	for _, svc := range c.Spec.Services {
		name, content := c.Spec.decisionFile(svc)
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
		for i := range svc.Targets {
			id, dc := c.Spec.targetName(svc, i)
			if _, err := c.StartAgent(svc, id, dc); err != nil {
				return err
			}
		}
	}
	return c.WaitReady()
}

// WaitReady waits until the views of all balancers and agents are complete.
func (c *Cluster) WaitReady() error {
	var last string
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if last = c.unreadyReason(); last == "" {
			return nil
		}
	}
	return trace.LimitExceeded("the deployment was not ready after %v: %s", readyTimeout, last)
}

// unreadyReason describes the first process whose view is incomplete, or returns an
// empty string.
func (c *Cluster) unreadyReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) > 0 {
		return c.failures[0].Error()
	}
	agents := c.runningAgents()
	for _, b := range c.balancers {
		state, ok := b.State(c.ctx)
		if !ok || !state.Serving || len(state.Members) != len(c.balancers)+len(agents) {
			return fmt.Sprintf("balancer %s: serving=%v, %d members in its view", b.id, state.Serving, len(state.Members))
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
			return fmt.Sprintf("agent %s: the view of its service is incomplete", a.ID)
		}
	}
	return ""
}

// Put creates or replaces a decision file, as an operator does.
func (c *Cluster) Put(name, content string) error {
	path := node.DecisionFilesPrefix + name
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
	path := node.DecisionFilesPrefix + name
	old, err := c.Client.Get(c.ctx, path)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.Client.Delete(c.ctx, path, old.Version)
	return trace.Wrap(err)
}

// Close stops all processes at once.
func (c *Cluster) Close() {
	c.cancel()
	c.wg.Wait()
}
