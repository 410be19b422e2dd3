package passnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Times of the agent's calls.
const (
	// stopAfter is how long an agent whose target lives forwards after it said
	// that it leaves: a report reaches all balancers in a few milliseconds.
	stopAfter = 250 * time.Millisecond
	// announceInterval is the pause between reports to the seeds while no
	// balancer has said hello.
	announceInterval = 200 * time.Millisecond
	// registerRetry is the pause after a failed write of the agent's object.
	registerRetry = 300 * time.Millisecond
	// unregisterTimeout bounds the removal of the agent's object at the end.
	unregisterTimeout = 800 * time.Millisecond
)

// AgentOptions configure an agent.
type AgentOptions struct {
	Core       passthrough.Options
	Codec      segment.Codec
	PeerAddr   netip.AddrPort   // UDP: messages of balancers
	LocalAddr  netip.AddrPort   // UDP: packets of the target
	TargetAddr netip.AddrPort   // UDP: where the target takes packets
	ReturnPort uint16           // UDP port of callers
	Seeds      []netip.AddrPort // peer addresses of balancers
	Store      *storeclient.Client
	// CheckTarget asks the target for its health, at a later start and at the end.
	CheckTarget func(ctx context.Context) (passthrough.Health, error)
	Metrics     *telemetry.Metrics
	Logger      *log.Logger
}

// Agent is a running agent.
type Agent struct {
	o       AgentOptions
	core    *passthrough.Core
	loop    *loop
	logs    *logs
	peers   *socket
	local   *socket
	out     sender
	heard   atomic.Bool // a balancer said hello
	gone    chan struct{}
	again   chan struct{} // the agent's object may be gone
	version atomic.Uint64 // of the agent's object in the store
}

// NewAgent binds the sockets.
func NewAgent(o AgentOptions) (*Agent, error) {
	a := &Agent{o: o, logs: newLogs(o.Logger), out: sender{metrics: o.Metrics}, gone: make(chan struct{}), again: make(chan struct{}, 1)}
	a.loop = newLoop(o.Metrics, a.logs)
	a.loop.datagram, a.loop.next = a.datagram, func() time.Time { return a.core.Next() }
	a.loop.tick = func(now time.Time) { a.perform(now, a.core.Tick(now)) }
	a.core = passthrough.New(time.Now(), o.Core)
	var err error
	if a.peers, err = listen(o.PeerAddr, a.loop.packets); err != nil {
		return nil, err
	}
	if a.local, err = listen(o.LocalAddr, a.loop.packets); err != nil {
		return nil, err
	}
	return a, nil
}

// Heard takes a heartbeat of the target. When it returns, the state is in effect.
func (a *Agent) Heard(ctx context.Context, h passthrough.Heartbeat) (passthrough.Verdict, error) {
	var v passthrough.Verdict
	err := a.loop.do(ctx, func(now time.Time) {
		verdict, actions := a.core.HandleHeartbeat(now, h)
		v = verdict
		a.perform(now, actions)
	})
	return v, err
}

// Left takes the target's announcement that it ends.
func (a *Agent) Left(ctx context.Context, target string) error {
	return a.loop.do(ctx, func(now time.Time) {
		a.perform(now, a.core.HandleTargetExit(now, target))
		if a.core.State() == steerwire.TargetGone {
			select {
			case <-a.gone:
			default:
				close(a.gone)
			}
		}
	})
}

// Run serves until ctx ends, or until kill ends.
func (a *Agent) Run(ctx, kill context.Context) error {
	running, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(running)
	g.Go(func() error { return a.logs.run(gctx) })
	g.Go(func() error { return a.loop.run(gctx) })
	g.Go(func() error { return a.peers.read(gctx) })
	g.Go(func() error { return a.local.read(gctx) })
	g.Go(func() error { return a.register(gctx) })
	g.Go(func() error { return a.announce(gctx) })
	if !a.o.Core.FirstStart {
		g.Go(func() error { return a.checkTarget(gctx) })
	}
	g.Go(func() error {
		defer stop()
		select {
		case <-gctx.Done():
			return nil
		case <-ctx.Done():
		}
		return a.leave(gctx, context.Cause(ctx))
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// leave sends new flows elsewhere and goes on with open ones for a moment. The
// object of an agent whose target ended or crashed is removed, so that balancers
// that start later do not wait for it.
func (a *Agent) leave(ctx context.Context, cause error) error {
	var state steerwire.TargetState
	if err := a.loop.do(ctx, func(now time.Time) {
		state = a.core.State()
		a.logs.put(now, "stopping", "cause", cause, "flows", a.core.Flows(), "target_state", state.String())
		a.perform(now, a.core.Leave(now))
	}); err != nil {
		return nil // the process is killed
	}
	ended := state == steerwire.TargetGone
	if !ended {
		bounded, cancel := context.WithTimeout(ctx, stopAfter)
		health, err := a.o.CheckTarget(bounded)
		cancel()
		ended = health == passthrough.NotRunning
		a.say(ctx, "health_check", "healthy", health == passthrough.Healthy, "running", !ended, "err", errText(err))
	}
	if ended {
		bounded, cancel := context.WithTimeout(ctx, unregisterTimeout)
		defer cancel()
		if _, err := a.o.Store.Delete(bounded, agentPath(a.o.PeerAddr), a.version.Load()); err != nil {
			a.o.Metrics.Count(CounterRegister, "remove_failed", 1) // balancers drop silent agents anyway
		}
		return nil
	}
	select {
	case <-ctx.Done():
	case <-a.gone:
	case <-time.After(stopAfter):
	}
	return nil
}

// CounterRegister counts writes of the agent's object by outcome.
const CounterRegister = "passnode_registrations"

// register keeps the agent's object in the store.
func (a *Agent) register(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := a.write(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-a.again:
		}
	}
	return nil
}

// write writes the agent's object until it is in the store.
func (a *Agent) write(ctx context.Context) error {
	content, err := json.Marshal(agentObject{Peer: a.o.PeerAddr, Incarnation: a.o.Core.Incarnation})
	if err != nil {
		return trace.Wrap(err)
	}
	for ctx.Err() == nil {
		w, err := a.o.Store.Create(ctx, agentPath(a.o.PeerAddr), content)
		var present *storeclient.Error
		if errors.As(err, &present) && present.Kind == storeclient.Conflict {
			w, err = a.o.Store.Update(ctx, agentPath(a.o.PeerAddr), present.Version, content)
		}
		if err == nil {
			a.version.Store(w.Version)
			a.o.Metrics.Count(CounterRegister, "written", 1)
			_ = a.loop.do(ctx, func(now time.Time) { // fails only when the process stops
				a.logs.put(now, "registered", "version", w.Version, "replaced", present != nil)
				a.perform(now, a.core.Registered(now))
			})
			return nil
		}
		a.o.Metrics.Count(CounterRegister, "failed", 1)
		a.say(ctx, "registration_failed", "err", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
	return nil
}

// announce reports to the seeds until a balancer says hello, so that the agent is
// found when the store refuses it.
func (a *Agent) announce(ctx context.Context) error {
	for ctx.Err() == nil && !a.heard.Load() {
		_ = a.loop.do(ctx, func(now time.Time) { // fails only when the process stops
			r := a.core.Report(now)
			for _, s := range a.o.Seeds {
				a.out.message(a.peers, s, steerwire.Message{Kind: steerwire.KindReport, Report: r})
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
	return nil
}

func (a *Agent) checkTarget(ctx context.Context) error {
	health, err := a.o.CheckTarget(ctx)
	if ctx.Err() != nil {
		return nil
	}
	a.say(ctx, "health_check", "healthy", health == passthrough.Healthy, "running", health != passthrough.NotRunning, "err", errText(err))
	_ = a.loop.do(ctx, func(now time.Time) { a.perform(now, a.core.HandleHealthCheck(now, health)) }) // fails only when the process stops
	return nil
}

func (a *Agent) say(ctx context.Context, msg string, args ...any) {
	_ = a.loop.do(ctx, func(now time.Time) { a.logs.put(now, msg, args...) }) // fails only when the process stops
}

func (a *Agent) datagram(now time.Time, d datagram) {
	if d.sock == a.local {
		s, err := a.o.Codec.Parse(d.bytes(), true)
		if err != nil {
			a.o.Metrics.Count(CounterMalformed, "packet", 1)
			return
		}
		a.perform(now, a.core.FromTarget(now, s, d.bytes()))
		return
	}
	m, err := steerwire.Decode(d.bytes())
	if err != nil {
		a.o.Metrics.Count(CounterMalformed, "message", 1)
		return
	}
	var s segment.Segment
	if m.Kind == steerwire.KindForward {
		if s, err = a.o.Codec.Parse(m.Forward.Packet, false); err != nil {
			a.o.Metrics.Count(CounterMalformed, "forwarded_packet", 1)
			return
		}
	}
	if m.Kind == steerwire.KindHello {
		a.heard.Store(true)
	}
	a.perform(now, a.core.Message(now, d.from, m, s))
}

func (a *Agent) perform(now time.Time, actions []passthrough.Action) {
	for _, x := range actions {
		switch x.Kind {
		case passthrough.Deliver:
			a.out.sent("deliver", a.local.write(x.Packet, a.o.TargetAddr))
		case passthrough.ToCaller:
			a.out.sent("caller", a.local.write(x.Packet, netip.AddrPortFrom(x.Flow.Src.Addr(), a.o.ReturnPort)))
		case passthrough.SendMessage:
			a.out.message(a.peers, x.To, x.Message)
		case passthrough.Register:
			select {
			case a.again <- struct{}{}:
			default: // it is being written
			}
		case passthrough.ClearBounced:
			a.o.Codec.ClearBounced(x.Packet)
		case passthrough.Count:
			a.o.Metrics.Count(x.Counter.Name, x.Counter.Reason, 1)
		case passthrough.Observe:
			a.o.Metrics.Observe(x.Counter.Name, x.Counter.Reason, x.Latency)
		case passthrough.Log:
			a.logEntry(now, x.Entry)
		}
	}
}

func (a *Agent) logEntry(now time.Time, e passthrough.Entry) {
	f := make(fields, 0, 12)
	f.flow(e.Flow)
	f.text("target", e.Target)
	f.text("reason", e.Reason)
	f.age(e.Age)
	f.add("sequence", e.Sequence)
	a.logs.put(now, e.Event, f...)
}
