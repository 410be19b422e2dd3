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
	packetRing  = 8192
	messageRing = 4096
	coreTick    = 50 * time.Millisecond
	// sweepEvery is the time between two looks for ended flows.
	sweepEvery = 200 * time.Millisecond
	// lastWords is how long a node that exits keeps sending the announcement.
	lastWords = 300 * time.Millisecond
)

// AgentOptions configures an Agent.
type AgentOptions struct {
	Self      model.Member // PeerAddr and RequestAddr are bound; port 0 takes a free one
	Seeds     []netip.AddrPort
	Keys      [][]byte
	Seed      uint64
	Paths     int            // sockets for peer messages; 2 if 0
	Return    netip.AddrPort // the fabric's address for packets to callers
	Target    *url.URL
	Warmup    time.Duration // of the target's slots
	Flows     flows.Options
	Intervals membership.Intervals
	Keepalive netstack.Keepalive // of the callers' connections
	Metrics   *telemetry.Metrics
	Logger    *log.Logger
	// KeysOpen is a time before which no keyed request of the service can have
	// run, see keys.Options.Opens; zero if there is none.
	KeysOpen time.Time
	// DrainTimeout bounds the wait for the last flow at a stop; 0 waits for it.
	DrainTimeout time.Duration
}

// Agent is the process beside one target.
type Agent struct {
	opt       AgentOptions
	core      *agent.Core
	transport *transport
	stack     *netstack.Stack
	listener  *netstack.Listener
	requests  net.Listener
	front     *front.Front
	homes     *keyHomes
	out       *net.UDPConn

	packets  *ring.Ring[forwarded]
	messages *ring.Ring[received]
	leave    chan bool // true for the final announcement
	calls    calls
	started  time.Time
	held     map[flows.Ref]forwarded
	nextRef  flows.Ref
	resets   packet.ResetBuilder

	flowCount atomic.Int64
	opened    atomic.Uint64
	view      atomic.Pointer[model.ServiceView]
	self      atomic.Pointer[model.Member]
	configRev atomic.Uint64
	draining  atomic.Bool
	incarn    model.Incarnation

	killed context.Context // ends when Run is killed
	kill   context.CancelFunc
}

// forwarded is a packet that another process sent.
type forwarded struct {
	buf  *buffer
	info packet.Info
	hdr  message.Forward
	from model.NodeID
	inc  model.Incarnation
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
	a := &Agent{opt: opt, held: make(map[flows.Ref]forwarded), leave: make(chan bool, 2), calls: make(calls), started: time.Now()}
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
	self.RequestAddr = a.requests.Addr().(*net.TCPAddr).AddrPort()
	a.opt.Self = self
	a.incarn = self.Incarnation
	a.self.Store(&self)
	a.core = agent.New(agent.Options{
		Self: self, Seeds: opt.Seeds, Seed: opt.Seed, Flows: opt.Flows, Intervals: opt.Intervals,
	})
	a.packets = ring.New[forwarded](packetRing, func() { opt.Metrics.Count("ring_dropped", "packet", 1) })
	a.messages = ring.New[received](messageRing, func() { opt.Metrics.Count("ring_dropped", "message", 1) })
	return a, a.newFront()
}

func (a *Agent) bind() (err error) {
	if a.out, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(a.opt.Return)); err != nil {
		return trace.Wrap(err, "fabric return address %s", a.opt.Return)
	}
	_ = a.out.SetWriteBuffer(socketBuffer)
	if a.requests, err = net.Listen("tcp", a.opt.Self.RequestAddr.String()); err != nil {
		return trace.Wrap(err, "request address %s", a.opt.Self.RequestAddr)
	}
	a.stack, err = netstack.New(netstack.Options{
		Output:    func(p []byte) { _, _ = a.out.Write(p) },
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
		Listener: a.listener, PeerListener: a.requests, Target: a.opt.Target,
		Slots: a.opt.Self.Slots, Warmup: a.opt.Warmup, Seed: model.Mix(a.opt.Seed + 1),
		Peers: a, Homes: a.homes, KeysOpen: a.opt.KeysOpen, MACKeys: func() [][]byte { return a.opt.Keys },
		Metrics: a.opt.Metrics, Logger: a.opt.Logger,
		ShutdownTimeout: a.opt.DrainTimeout, Kill: a.killed,
	})
	return trace.Wrap(err)
}

// Close releases the sockets of an agent that was not run.
func (a *Agent) Close() {
	a.kill()
	a.transport.close()
	if a.requests != nil {
		_ = a.requests.Close()
	}
	if a.stack != nil {
		a.stack.Close()
	}
	if a.out != nil {
		_ = a.out.Close()
	}
}

// Self returns the agent's own record.
func (a *Agent) Self() model.Member { return *a.self.Load() }

// Flows returns the number of open flows.
func (a *Agent) Flows() int { return int(a.flowCount.Load()) }

// Opened returns the number of flows opened since the start.
func (a *Agent) Opened() uint64 { return a.opened.Load() }

// Draining reports whether the agent takes no new work.
func (a *Agent) Draining() bool { return a.draining.Load() }

// Load returns the agent's own count of its work.
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
		// The admission core does not know the flows, which the flow cores of the
		// peers balance by.
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

// Leave starts the drain: no new flow or request is taken.
func (a *Agent) Leave() {
	a.draining.Store(true)
	a.leave <- false
}

// Run serves until ctx is done, then drains: it takes no new work, waits for its
// last flow (bounded by DrainTimeout) and announces itself gone. kill ends it at
// once, without a word, as a crash does.
func (a *Agent) Run(ctx, kill context.Context) error {
	defer a.stack.Close()
	defer a.out.Close()
	running, stop := context.WithCancel(context.WithoutCancel(kill))
	defer stop()
	stopKill := context.AfterFunc(kill, func() {
		_ = a.out.Close() // first: callers get no end or reset from a crashed process
		a.kill()
		stop()
	})
	defer stopKill()
	defer a.kill()
	frontCtx, stopFront := context.WithCancel(running)
	defer stopFront()
	g, gctx := errgroup.WithContext(running)
	a.transport.run(gctx, g, a.receive)
	g.Go(func() error { a.loop(gctx); return nil })
	g.Go(func() error { return a.front.Run(frontCtx) })
	g.Go(func() error {
		defer stop()
		a.drain(ctx, gctx)
		stopFront()
		return nil
	})
	return trace.Wrap(g.Wait())
}

// drain waits for the stop and then for the last flow.
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
			a.finish(running)
			return
		case <-running.Done():
			return
		}
	}
	a.opt.Logger.Info("drain ended")
	a.finish(running)
}

// finish announces the end and leaves the transport time to send it.
func (a *Agent) finish(running context.Context) {
	a.leave <- true
	select {
	case <-time.After(lastWords):
	case <-running.Done():
	}
}

// receive sorts messages; it runs on the goroutines that read the sockets.
func (a *Agent) receive(r received) {
	switch m := r.env.Msg.(type) {
	case message.Forward:
		buf := newBuffer()
		buf.data = buf.room[:copy(buf.room[:], m.Packet)]
		var parser packet.Parser
		p := forwarded{buf: buf, hdr: m, from: r.env.From, inc: r.env.Incarnation}
		p.hdr.Packet = nil
		if err := parser.Parse(buf.data, &p.info); err != nil {
			a.opt.Metrics.Count("packets_dropped", reasonOf(err), 1)
			buf.free()
			return
		}
		if !a.packets.Put(p) {
			buf.free()
		}
	case message.HeartbeatAck:
		a.homes.contact(time.Now())
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

// loop owns the core.
func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	var swept time.Time
	for {
		select {
		case p := <-a.packets.Items():
			a.packet(p)
		case r := <-a.messages.Items():
			a.step(agent.Received{From: r.env.From, Incarnation: r.env.Incarnation, Addr: r.addr, Msg: r.env.Msg})
		case call := <-a.calls:
			call()
		case final := <-a.leave:
			a.step(agent.Leave{Final: final})
		case now := <-tick.C:
			a.step(agent.Load{Load: a.front.Load()})
			a.step(agent.Tick{})
			if now.Sub(swept) >= sweepEvery {
				swept = now
				for _, f := range a.listener.ReapEnded(now) {
					a.step(agent.Closed{Flow: f})
				}
			}
			a.publish()
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) publish() {
	a.flowCount.Store(int64(a.core.HeldFlows()))
	self := a.core.Self()
	a.self.Store(&self)
	a.configRev.Store(a.core.Slice().FileRev)
}

func (a *Agent) packet(p forwarded) {
	a.nextRef++
	a.held[a.nextRef] = p
	a.step(agent.Forwarded{Ref: a.nextRef, Info: p.info, Header: p.hdr, From: p.from, SenderIncarnation: p.inc})
}

func (a *Agent) step(ev agent.Event) {
	for _, act := range a.core.Step(time.Now(), ev) {
		a.act(act)
	}
}

func (a *Agent) act(act agent.Action) {
	switch act := act.(type) {
	case agent.Accept:
		p := a.take(act.Ref)
		if act.Opened {
			a.flowCount.Add(1)
			a.opened.Add(1)
			a.listener.Track(time.Now(), act.Flow)
		}
		a.stack.Inject(p.buf.data)
		p.buf.free()
	case agent.Pass:
		p := a.take(act.Ref)
		act.Header.Packet = p.buf.data
		a.transport.forward(act.To, act.Addr, act.Header, p.buf, p.info.Flow.Hash())
	case agent.Drop:
		a.take(act.Ref).buf.free()
		a.opt.Metrics.Count("packets_dropped", act.Reason, 1)
	case agent.Reset:
		a.reset(a.take(act.Ref))
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
	case agent.Count:
		a.opt.Metrics.Count("flow_events", act.Reason, 1)
	}
}

func (a *Agent) take(ref flows.Ref) forwarded {
	p := a.held[ref]
	delete(a.held, ref)
	return p
}

func (a *Agent) reset(p forwarded) {
	defer p.buf.free()
	a.opt.Metrics.Count("packets_dropped", "reset_sent", 1)
	rst, err := a.resets.Append(nil, &p.info)
	if err != nil {
		return
	}
	_, _ = a.out.Write(rst)
}
