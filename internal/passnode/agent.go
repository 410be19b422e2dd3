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

// Timeouts and intervals of the agent.
const (
	// shutdownDelay is how long a stopping agent continues to forward packets if its target
	// runs. Its last report reaches all balancers within a few milliseconds.
	shutdownDelay = 250 * time.Millisecond
	// advertiseInterval is the interval of reports to the seeds while no balancer's hello
	// is received.
	advertiseInterval = 200 * time.Millisecond
	// registerRetryInterval is the delay after a failed write of the agent's object.
	registerRetryInterval = 300 * time.Millisecond
	// maxRefusalWait limits the wait of a stopping agent until a target that refuses health
	// checks counts as not running. With unregisterTimeout it fits the shortest grace period.
	maxRefusalWait = 2500 * time.Millisecond
	// unregisterTimeout bounds the removal of the agent's object at shutdown. It is half of
	// the shortest grace period, and longer than most times in which the store turns calls away.
	unregisterTimeout = 3 * time.Second
)

// AgentOptions configures an agent.
type AgentOptions struct {
	Core       passthrough.Options
	Codec      segment.Codec
	PeerAddr   netip.AddrPort   // UDP: messages from balancers
	LocalAddr  netip.AddrPort   // UDP: packets from the target
	TargetAddr netip.AddrPort   // UDP: where packets are delivered to the target
	ReturnPort uint16           // UDP port of callers
	Seeds      []netip.AddrPort // peer addresses of balancers
	Store      *storeclient.Client
	// CheckTarget runs a health check of the target. It is called at every start except the
	// first of the deployment, and at shutdown unless the target has announced its exit.
	CheckTarget func(ctx context.Context) (passthrough.Health, error)
	Metrics     *telemetry.Metrics
	Logger      *log.Logger
}

// Agent is a running agent.
type Agent struct {
	opts         AgentOptions
	core         *passthrough.Core
	loop         *loop
	logWriter    *logWriter
	peers        *socket
	local        *socket
	sender       datagramSender
	targetExited chan struct{} // closed when the target has announced its exit
	reregister   chan struct{} // signals that the agent's object may have been removed
	// object is the position of the agent's object in the store, nil before the first write.
	object atomic.Pointer[storeclient.Position]
}

// NewAgent returns an agent with its sockets bound.
func NewAgent(opts AgentOptions) (*Agent, error) {
	a := &Agent{opts: opts, logWriter: newLogWriter(opts.Logger, opts.Metrics), sender: datagramSender{metrics: opts.Metrics}, targetExited: make(chan struct{}), reregister: make(chan struct{}, 1)}
	a.loop = newLoop(opts.Metrics, a.logWriter)
	a.loop.handleDatagram, a.loop.next = a.handleDatagram, func() time.Time { return a.core.Next() }
	a.loop.tick = func(now time.Time) { a.execute(now, a.core.Tick(now)) }
	a.core = passthrough.New(time.Now(), opts.Core)
	var err error
	if a.peers, err = listen(opts.PeerAddr, a.loop.datagrams); err != nil {
		return nil, err
	}
	if a.local, err = listen(opts.LocalAddr, a.loop.datagrams); err != nil {
		return nil, err
	}
	return a, nil
}

// HandleHeartbeat handles a heartbeat of the target. The new state is in effect when it
// returns.
func (a *Agent) HandleHeartbeat(ctx context.Context, h passthrough.Heartbeat) (passthrough.Verdict, error) {
	var v passthrough.Verdict
	err := a.loop.call(ctx, func(now time.Time) {
		verdict, actions := a.core.HandleHeartbeat(now, h)
		v = verdict
		a.execute(now, actions)
	})
	return v, err
}

// HandleTargetExit handles the target's announcement that it exits.
func (a *Agent) HandleTargetExit(ctx context.Context, e passthrough.Exit) error {
	return a.loop.call(ctx, func(now time.Time) {
		a.execute(now, a.core.HandleTargetExit(now, e))
		if a.core.State() == steerwire.TargetGone {
			select {
			case <-a.targetExited:
			default:
				close(a.targetExited)
			}
		}
	})
}

// Run serves until ctx is done and then shuts down, or until kill is done.
func (a *Agent) Run(ctx, kill context.Context) error {
	runCtx, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(runCtx)
	g.Go(func() error { return a.logWriter.run(gctx) })
	g.Go(func() error { return a.loop.run(gctx) })
	g.Go(func() error { return a.peers.read(gctx) })
	g.Go(func() error { return a.local.read(gctx) })
	g.Go(func() error { return a.keepRegistered(gctx) })
	g.Go(func() error { return a.advertise(gctx) })
	g.Go(func() error {
		return watchEpochs(gctx, a.opts.Store, func(epoch, before uint64) {
			a.logViaLoop(gctx, "store_epoch", "epoch", epoch, "before", before)
		})
	})
	if !a.opts.Core.FirstStart {
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

// leave makes balancers place new flows elsewhere and continues to serve open flows for
// shutdownDelay. If the target has exited or crashed, balancers are told that no flow is
// left and the agent's object is removed instead, so that no balancer waits for the agent.
func (a *Agent) leave(ctx context.Context, cause error) error {
	var state steerwire.TargetState
	if err := a.loop.call(ctx, func(now time.Time) {
		state = a.core.State()
		a.logWriter.enqueue(now, "stopping", "cause", cause, "flows", a.core.Flows(), "target_state", state.String())
		a.execute(now, a.core.Leave(now))
	}); err != nil {
		return nil // the process is killed
	}
	targetEnded := state == steerwire.TargetGone
	if !targetEnded {
		health, err := a.assessTarget(ctx, shutdownDelay)
		targetEnded = health == passthrough.NotRunning
		a.logViaLoop(ctx, "health_check", "healthy", health == passthrough.Healthy, "running", !targetEnded, "err", errText(err))
	}
	if targetEnded {
		_ = a.loop.call(ctx, func(now time.Time) { a.execute(now, a.core.End(now)) }) // fails only if the process is killed
		bounded, cancel := context.WithTimeout(ctx, unregisterTimeout)
		defer cancel()
		a.removeObject(bounded)
		return nil
	}
	select {
	case <-ctx.Done():
	case <-a.targetExited:
	case <-time.After(shutdownDelay):
	}
	_ = a.loop.call(ctx, func(now time.Time) { a.execute(now, a.core.Flush(now)) }) // fails only if the process is killed
	return nil
}

// removeObject removes the agent's object, and repeats the call while the store turns it
// away. Balancers remove the object later if that fails.
func (a *Agent) removeObject(ctx context.Context) {
	object := a.object.Load()
	if object == nil {
		return
	}
	for pause := registerRetryInterval; ; pause *= 2 {
		_, err := a.opts.Store.Delete(ctx, agentPath(a.opts.PeerAddr), object.Revision)
		a.logViaLoop(ctx, "unregistered", "version", object.String(), "err", errText(err))
		if err == nil {
			return
		}
		a.opts.Metrics.Count(CounterRegister, "remove_failed", 1)
		if kind := storeclient.KindOf(err); kind != storeclient.Unavailable && kind != storeclient.RateLimited {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// CounterRegister counts writes of the agent's object by outcome.
const CounterRegister = "passnode_registrations"

// keepRegistered writes the agent's object at the start and on each signal of reregister.
func (a *Agent) keepRegistered(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := a.writeObject(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-a.reregister:
		}
	}
	return nil
}

// writeObject retries the write of the agent's object until it succeeds.
func (a *Agent) writeObject(ctx context.Context) error {
	content, err := json.Marshal(AgentObject{Peer: a.opts.PeerAddr, Incarnation: a.opts.Core.Incarnation, Node: a.opts.Core.Node, DataCentre: a.opts.Core.DataCentre})
	if err != nil {
		return trace.Wrap(err)
	}
	for ctx.Err() == nil {
		w, err := a.opts.Store.Create(ctx, agentPath(a.opts.PeerAddr), content)
		var conflict *storeclient.Error
		if errors.As(err, &conflict) && conflict.Kind == storeclient.Conflict {
			w, err = a.opts.Store.Update(ctx, agentPath(a.opts.PeerAddr), conflict.Version, content)
		}
		if err == nil {
			at := storeclient.Position{Epoch: w.Epoch, Revision: w.Version}
			a.object.Store(&at)
			a.opts.Metrics.Count(CounterRegister, "written", 1)
			_ = a.loop.call(ctx, func(now time.Time) { // fails only at shutdown
				a.logWriter.enqueue(now, "registered", "version", at.String(), "replaced", conflict != nil)
				a.execute(now, a.core.Registered(now, w.Epoch))
			})
			return nil
		}
		a.opts.Metrics.Count(CounterRegister, "failed", 1)
		a.logViaLoop(ctx, "registration_failed", "err", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
	return nil
}

// advertise sends reports to the seeds while no balancer's hello is received, so that
// balancers find the agent even if its object is not in the store.
func (a *Agent) advertise(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = a.loop.call(ctx, func(now time.Time) { // fails only at shutdown
			if !a.core.AdvertisesToSeeds(now) {
				return
			}
			r := a.core.Report(now)
			for _, s := range a.opts.Seeds {
				a.sender.sendMessage(a.peers, s, steerwire.Message{Kind: steerwire.KindReport, Report: r})
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(advertiseInterval):
		}
	}
	return nil
}

func (a *Agent) checkTarget(ctx context.Context) error {
	health, err := a.assessTarget(ctx, 0)
	if ctx.Err() != nil {
		return nil
	}
	a.logViaLoop(ctx, "health_check", "healthy", health == passthrough.Healthy, "running", health != passthrough.NotRunning, "err", errText(err))
	_ = a.loop.call(ctx, func(now time.Time) { a.execute(now, a.core.HandleHealthCheck(now, health)) }) // fails only at shutdown
	return nil
}

// logViaLoop logs from a goroutine other than the loop's.
func (a *Agent) logViaLoop(ctx context.Context, msg string, args ...any) {
	_ = a.loop.call(ctx, func(now time.Time) { a.logWriter.enqueue(now, msg, args...) }) // fails only at shutdown
}

func (a *Agent) handleDatagram(now time.Time, d datagram) {
	if d.sock == a.local {
		s, err := a.opts.Codec.Parse(d.bytes(), true)
		if err != nil {
			a.opts.Metrics.Count(CounterMalformed, "packet", 1)
			return
		}
		a.execute(now, a.core.FromTarget(now, s, d.bytes()))
		return
	}
	m, err := steerwire.Decode(d.bytes())
	if err != nil {
		a.opts.Metrics.Count(CounterMalformed, "message", 1)
		return
	}
	var s segment.Segment
	if m.Kind == steerwire.KindForward {
		if s, err = a.opts.Codec.Parse(m.Forward.Packet, false); err != nil {
			a.opts.Metrics.Count(CounterMalformed, "forwarded_packet", 1)
			return
		}
	}
	a.execute(now, a.core.Message(now, d.from, m, s))
}

func (a *Agent) execute(now time.Time, actions []passthrough.Action) {
	for _, x := range actions {
		switch x.Kind {
		case passthrough.Deliver:
			a.sender.countError("deliver", a.local.write(x.Packet, a.opts.TargetAddr))
		case passthrough.ToCaller:
			a.sender.countError("caller", a.local.write(x.Packet, netip.AddrPortFrom(x.Flow.Src.Addr(), a.opts.ReturnPort)))
		case passthrough.SendMessage:
			a.sender.sendMessage(a.peers, x.To, x.Message)
		case passthrough.Register:
			select {
			case a.reregister <- struct{}{}:
			default: // a write is already due
			}
		case passthrough.ClearBounced:
			a.opts.Codec.ClearBounced(x.Packet)
		case passthrough.Count:
			a.opts.Metrics.Count(x.Counter.Name, x.Counter.Reason, 1)
		case passthrough.Observe:
			a.opts.Metrics.Observe(x.Counter.Name, x.Counter.Reason, x.Latency)
		case passthrough.Log:
			a.logEntry(now, x.Entry)
		}
	}
}

func (a *Agent) logEntry(now time.Time, e passthrough.Entry) {
	f := make(fields, 0, 14)
	f.addFlow(e.Flow)
	f.addText("target", e.Target)
	if e.StartMillis != 0 {
		f.addField("target_started", e.StartMillis)
	}
	f.addText("reason", e.Reason)
	f.addAge(e.Age)
	f.addField("sequence", e.Sequence)
	a.logWriter.enqueue(now, e.Event, f...)
}
