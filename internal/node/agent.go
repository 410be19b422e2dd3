package node

import (
	"context"
	"net"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/agent"
	"github.com/bulrushshelf/bulrushshelf/internal/flows"
	"github.com/bulrushshelf/bulrushshelf/internal/front"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
	"github.com/bulrushshelf/bulrushshelf/internal/wire"
)

const (
	// packetRingSize and messageRingSize are the capacities of the queues from the
	// sockets to the core, in items. A full queue drops new items.
	packetRingSize  = 8192
	messageRingSize = 4096
	// coreTick is the interval between two ticks of the core.
	coreTick = 50 * time.Millisecond
	// reapInterval is the interval between two checks for ended flows.
	reapInterval = 200 * time.Millisecond
	// announceTime is the time in which an exiting node sends its final announcement.
	announceTime = 300 * time.Millisecond
)

// AgentOptions configures an Agent.
type AgentOptions struct {
	Self       model.Member // PeerAddr and RequestAddr are bound; port 0 selects a free port
	Seeds      []netip.AddrPort
	Keys       [][]byte
	Seed       uint64
	Paths      int            // sockets for peer messages; 2 if 0
	ReturnAddr netip.AddrPort // the fabric's address for packets to callers
	Target     *url.URL
	Warmup     time.Duration // time until a new target gets its full load; 0 means no ramp
	Flows      flows.Options
	Intervals  membership.Intervals
	Keepalive  netstack.Keepalive // of the callers' connections
	Metrics    *telemetry.Metrics
	Logger     *log.Logger
	// KeysOpen is a time before which no request of the service with an idempotency
	// key can have run; zero if there is none.
	KeysOpen time.Time
	// KeyClockSkew bounds the difference between the clocks of two agents; 40 s if 0.
	KeyClockSkew time.Duration
	// DrainTimeout bounds the wait for the last flow at a stop; 0 means no bound.
	DrainTimeout time.Duration
}

// Agent is the process that serves one target: it terminates flows of callers and
// sends their requests to the target.
type Agent struct {
	opt             AgentOptions
	core            *agent.Core
	transport       *transport
	stack           *netstack.Stack
	listener        *netstack.Listener
	requestListener net.Listener
	front           *front.Front
	homes           *keyHomes
	fabricConn      *net.UDPConn

	packets     *ring.Ring[forwardedPacket]
	messages    *ring.Ring[receivedMessage]
	leaveEvents chan bool // false to start the drain, true for the final announcement
	calls       calls
	started     time.Time
	buffered    map[flows.Ref]forwardedPacket // until the core decides
	nextRef     flows.Ref
	resets      packet.ResetBuilder

	openFlows   atomic.Int64
	openedFlows atomic.Uint64
	view        atomic.Pointer[model.ServiceView]
	self        atomic.Pointer[model.Member]
	configRev   atomic.Uint64
	draining    atomic.Bool
	incarnation model.Incarnation

	killed context.Context // done when Run is killed or ends
	kill   context.CancelFunc
}

// forwardedPacket is a packet that a balancer or another agent forwarded.
type forwardedPacket struct {
	buf         *buffer
	info        packet.Info
	header      message.Forward
	from        model.NodeID
	incarnation model.Incarnation
}

// NewAgent binds the sockets of an agent. Run starts it.
func NewAgent(opt AgentOptions) (*Agent, error) {
	if opt.Paths == 0 {
		opt.Paths = 2
	}
	codec, err := wire.New(wire.Options{Self: opt.Self.ID, Incarnation: opt.Self.Incarnation, Keys: opt.Keys})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Agent{opt: opt, buffered: make(map[flows.Ref]forwardedPacket), leaveEvents: make(chan bool, 2), calls: make(calls), started: time.Now()}
	a.killed, a.kill = context.WithCancel(context.Background())
	if a.transport, err = newTransport(opt.Self.PeerAddr, opt.Paths, codec, opt.Metrics); err != nil {
		return nil, err
	}
	if err := a.bind(); err != nil {
		a.Close()
		return nil, err
	}
	self := a.opt.Self
	self.PeerAddr = a.transport.addr()
	self.RequestAddr = a.requestListener.Addr().(*net.TCPAddr).AddrPort()
	a.opt.Self = self
	a.incarnation = self.Incarnation
	a.self.Store(&self)
	a.core = agent.New(agent.Options{
		Self: self, Seeds: opt.Seeds, Seed: opt.Seed, Flows: opt.Flows, Intervals: opt.Intervals,
	})
	a.packets = ring.New[forwardedPacket](packetRingSize, func() { opt.Metrics.Count("ring_dropped", "packet", 1) })
	a.messages = ring.New[receivedMessage](messageRingSize, func() { opt.Metrics.Count("ring_dropped", "message", 1) })
	return a, a.newFront()
}

func (a *Agent) bind() (err error) {
	if a.fabricConn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(a.opt.ReturnAddr)); err != nil {
		return trace.Wrap(err, "fabric return address %s", a.opt.ReturnAddr)
	}
	_ = a.fabricConn.SetWriteBuffer(socketBuffer)
	if a.requestListener, err = net.Listen("tcp", a.opt.Self.RequestAddr.String()); err != nil {
		return trace.Wrap(err, "request address %s", a.opt.Self.RequestAddr)
	}
	a.stack, err = netstack.New(netstack.Options{
		Output:    func(p []byte) { _, _ = a.fabricConn.Write(p) },
		Keepalive: a.opt.Keepalive,
	})
	if err != nil {
		return err
	}
	a.listener, err = a.stack.ListenAll()
	return err
}

func (a *Agent) newFront() (err error) {
	settle := a.opt.Flows.Settle
	if settle == 0 {
		settle = flows.DefaultSettle
	}
	a.homes = newKeyHomes(a.opt.Self.ID, settle)
	a.front, err = front.New(front.Options{
		Self: a.opt.Self.ID, Service: a.opt.Self.Service,
		Listener: a.listener, PeerListener: a.requestListener, Target: a.opt.Target,
		Slots: a.opt.Self.Slots, Warmup: a.opt.Warmup, Seed: model.Mix(a.opt.Seed + 1),
		Peers: a, Homes: a.homes, KeysOpen: a.opt.KeysOpen, KeyClockSkew: a.opt.KeyClockSkew,
		MACKeys: func() [][]byte { return a.opt.Keys },
		Metrics: a.opt.Metrics, Logger: a.opt.Logger,
		ShutdownTimeout: a.opt.DrainTimeout, Kill: a.killed,
	})
	return trace.Wrap(err)
}

// Close releases the sockets of an agent on which Run was not called.
func (a *Agent) Close() {
	a.kill()
	a.transport.close()
	if a.requestListener != nil {
		_ = a.requestListener.Close()
	}
	if a.stack != nil {
		a.stack.Close()
	}
	if a.fabricConn != nil {
		_ = a.fabricConn.Close()
	}
}

// Self returns the agent's own member record.
func (a *Agent) Self() model.Member { return *a.self.Load() }

// Flows returns the number of open flows.
func (a *Agent) Flows() int { return int(a.openFlows.Load()) }

// OpenedFlows returns the number of flows opened since the start.
func (a *Agent) OpenedFlows() uint64 { return a.openedFlows.Load() }

// Draining reports whether the agent refuses new flows and requests.
func (a *Agent) Draining() bool { return a.draining.Load() }

// Load returns the agent's current load.
func (a *Agent) Load() model.Load {
	load := a.front.Load()
	load.Flows = a.Flows()
	return load
}

// View returns the view of the agent's service, or nil.
func (a *Agent) View() *model.ServiceView { return a.view.Load() }

// Send implements front.Peers.
func (a *Agent) Send(to model.NodeID, m message.Message) {
	if report, ok := m.(message.LoadReport); ok {
		// The report of the admission core has no flow count, which the flow cores of
		// the peers need for load balancing.
		report.Load.Flows = a.Flows()
		m = report
	}
	view := a.view.Load()
	if view == nil {
		return
	}
	for i := range view.Members {
		if view.Members[i].ID == to {
			a.transport.send(to, view.Members[i].PeerAddr, m)
			return
		}
	}
}

// Leave starts the drain: the agent accepts no new flow or request.
func (a *Agent) Leave() {
	a.draining.Store(true)
	a.leaveEvents <- false
}

// Run serves until ctx is done, then drains: it accepts no new flows or requests,
// waits for its last flow (bounded by DrainTimeout) and announces its exit. When
// kill is done, Run ends immediately without an announcement, like a crash.
func (a *Agent) Run(ctx, kill context.Context) error {
	defer a.stack.Close()
	defer a.fabricConn.Close()
	running, stop := context.WithCancel(context.WithoutCancel(kill))
	defer stop()
	stopKill := context.AfterFunc(kill, func() {
		_ = a.fabricConn.Close() // first, because a crashed process sends callers no FIN or RST
		a.kill()
		stop()
	})
	defer stopKill()
	defer a.kill()
	frontCtx, stopFront := context.WithCancel(running)
	defer stopFront()
	g, gctx := errgroup.WithContext(running)
	a.transport.run(gctx, g, a.dispatch)
	g.Go(func() error { a.runCore(gctx); return nil })
	g.Go(func() error { return a.front.Run(frontCtx) })
	g.Go(func() error {
		defer stop()
		a.drain(ctx, gctx)
		stopFront()
		return nil
	})
	return trace.Wrap(g.Wait())
}

// drain waits until ctx is done, starts the drain and waits for the last flow and
// request.
func (a *Agent) drain(ctx, running context.Context) {
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	a.opt.Logger.Info("drain started", "flows", a.Flows(), "cause", context.Cause(ctx))
	a.Leave()
	a.front.Leave()
	var timeout <-chan time.Time
	if a.opt.DrainTimeout > 0 {
		timeout = time.After(a.opt.DrainTimeout)
	}
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	for a.Flows() > 0 || !a.front.Idle() {
		select {
		case <-tick.C:
		case <-timeout:
			a.opt.Logger.Warn("drain timed out", "flows", a.Flows())
			a.announceExit(running)
			return
		case <-running.Done():
			return
		}
	}
	a.opt.Logger.Info("drain ended")
	a.announceExit(running)
}

// announceExit announces the exit and gives the transport time to send it.
func (a *Agent) announceExit(running context.Context) {
	a.leaveEvents <- true
	select {
	case <-time.After(announceTime):
	case <-running.Done():
	}
}

// dispatch passes a message to the core, the front or both. It runs on the
// goroutines that read the sockets.
func (a *Agent) dispatch(r receivedMessage) {
	switch m := r.env.Msg.(type) {
	case message.Forward:
		buf := newBuffer()
		buf.data = buf.storage[:copy(buf.storage[:], m.Packet)]
		var parser packet.Parser
		p := forwardedPacket{buf: buf, header: m, from: r.env.From, incarnation: r.env.Incarnation}
		p.header.Packet = nil
		if err := parser.Parse(buf.data, &p.info); err != nil {
			a.opt.Metrics.Count("packets_dropped", reasonOf(err), 1)
			buf.release()
			return
		}
		if !a.packets.Put(p) {
			buf.release()
		}
	case message.HeartbeatAck:
		a.homes.recordContact(time.Now())
		a.messages.Put(r)
	case message.LoadReport:
		a.front.Deliver(r.env.From, r.env.Msg)
		a.messages.Put(r)
	case message.Reserve, message.ReserveReply, message.KeyBegin, message.KeyReply, message.KeyDone, message.KeyDoneAck,
		message.KeyCopy, message.KeyPull:
		a.front.Deliver(r.env.From, r.env.Msg)
	default:
		a.messages.Put(r)
	}
}

// runCore runs the loop of the core. Only its goroutine uses the core.
func (a *Agent) runCore(ctx context.Context) {
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	var lastReap time.Time
	for {
		select {
		case p := <-a.packets.Items():
			a.handlePacket(p)
		case r := <-a.messages.Items():
			a.stepCore(agent.Received{From: r.env.From, Incarnation: r.env.Incarnation, Addr: r.addr, Msg: r.env.Msg})
		case call := <-a.calls:
			call()
		case final := <-a.leaveEvents:
			a.stepCore(agent.Leave{Final: final})
		case now := <-tick.C:
			a.stepCore(agent.Load{Load: a.front.Load()})
			a.stepCore(agent.Tick{})
			if now.Sub(lastReap) >= reapInterval {
				lastReap = now
				for _, f := range a.listener.ReapEnded(now) {
					a.stepCore(agent.Closed{Flow: f})
				}
			}
			a.publishState()
		case <-ctx.Done():
			return
		}
	}
}

// publishState copies the state of the core that other goroutines read.
func (a *Agent) publishState() {
	a.openFlows.Store(int64(a.core.HeldFlows()))
	self := a.core.Self()
	a.self.Store(&self)
	a.configRev.Store(a.core.Slice().FileRev)
}

func (a *Agent) handlePacket(p forwardedPacket) {
	a.nextRef++
	a.buffered[a.nextRef] = p
	a.stepCore(agent.Forwarded{Ref: a.nextRef, Info: p.info, Header: p.header, From: p.from, SenderIncarnation: p.incarnation})
}

func (a *Agent) stepCore(ev agent.Event) {
	for _, act := range a.core.Step(time.Now(), ev) {
		a.execute(act)
	}
}

func (a *Agent) execute(act agent.Action) {
	switch act := act.(type) {
	case agent.Accept:
		p := a.removeBuffered(act.Ref)
		if act.Opened {
			a.openFlows.Add(1)
			a.openedFlows.Add(1)
			a.listener.Track(time.Now(), act.Flow)
		}
		a.stack.Inject(p.buf.data)
		p.buf.release()
	case agent.Pass:
		p := a.removeBuffered(act.Ref)
		act.Header.Packet = p.buf.data
		a.transport.forward(act.To, act.Addr, act.Header, p.buf, p.info.Flow.Hash())
	case agent.Drop:
		a.removeBuffered(act.Ref).buf.release()
		a.opt.Metrics.Count("packets_dropped", act.Reason, 1)
	case agent.Reset:
		a.sendReset(a.removeBuffered(act.Ref))
	case agent.Send:
		a.transport.send(act.To, act.Addr, act.Msg)
	case agent.ViewChanged:
		a.view.Store(&act.View)
		a.front.SetView(act.View)
	case agent.Draining:
		a.draining.Store(act.On)
		a.opt.Logger.Info("drain by decision file", "on", act.On)
	case agent.Incarnation:
		a.transport.codec.SetIncarnation(act.Incarnation)
		a.opt.Logger.Info("incarnation raised", "reason", "earlier process had a higher one", "incarnation", act.Incarnation)
	case agent.Count:
		a.opt.Metrics.Count("flow_events", act.Reason, 1)
	}
}

func (a *Agent) removeBuffered(ref flows.Ref) forwardedPacket {
	p := a.buffered[ref]
	delete(a.buffered, ref)
	return p
}

func (a *Agent) sendReset(p forwardedPacket) {
	defer p.buf.release()
	a.opt.Metrics.Count("packets_dropped", "reset_sent", 1)
	rst, err := a.resets.Append(nil, &p.info)
	if err != nil {
		return
	}
	_, _ = a.fabricConn.Write(rst)
}
