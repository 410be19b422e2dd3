package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
	"github.com/bulrushshelf/bulrushshelf/internal/wire"
)

const (
	// hopLimit lets a packet pass the home, a former home and one that returns it.
	hopLimit  = 4
	eventRing = 1024
	// DefaultLinger is how long a stopping balancer goes on forwarding, so that
	// the fabric can notice and packets in flight arrive.
	DefaultLinger = 2 * time.Second
)

// BalancerOptions configures a Balancer.
type BalancerOptions struct {
	Self      model.Member   // PeerAddr is bound; port 0 takes a free one
	Fabric    netip.AddrPort // where packets from the fabric arrive
	Return    netip.AddrPort // the fabric's address for resets to callers; may be invalid
	Seeds     []netip.AddrPort
	Keys      [][]byte
	Seed      uint64
	Paths     int                 // sockets for peer messages; 2 if 0
	Store     *storeclient.Client // nil for a balancer that relies on its peers
	Router    route.Options
	Intervals membership.Intervals
	Linger    time.Duration // DefaultLinger if 0
	Metrics   *telemetry.Metrics
	Logger    *log.Logger
}

// Balancer is the process on one entry VM.
type Balancer struct {
	opt       BalancerOptions
	core      *balancer.Core
	transport *transport
	fabric    *net.UDPConn
	store     storeDuty

	packets  *ring.Ring[*buffer]
	messages *ring.Ring[received]
	events   chan balancer.Event // blocks its producers: these events must not be lost
	parser   packet.Parser
	resets   packet.ResetBuilder
	waiting  map[route.Ref]waitingPacket
	nextRef  route.Ref

	calls   calls
	stopped chan struct{} // closed at the end of the loop
	started time.Time
}

// waitingPacket is a packet whose flow the core is asking about.
type waitingPacket struct {
	buf  *buffer
	info packet.Info
}

// BalancerState is a copy of what the core knows.
type BalancerState struct {
	Self     model.Member
	Serving  bool
	Rev      uint64
	Snapshot *config.Snapshot
	Members  []model.Member
}

// NewBalancer binds the sockets of a balancer. Run starts it.
func NewBalancer(opt BalancerOptions) (*Balancer, error) {
	if opt.Paths == 0 {
		opt.Paths = 2
	}
	if opt.Linger == 0 {
		opt.Linger = DefaultLinger
	}
	codec, err := wire.New(wire.Options{Self: opt.Self.ID, Incarnation: opt.Self.Incarnation, Keys: opt.Keys})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b := &Balancer{opt: opt, waiting: make(map[route.Ref]waitingPacket), events: make(chan balancer.Event, eventRing), calls: make(calls), stopped: make(chan struct{}), started: time.Now()}
	if b.transport, err = newTransport(opt.Self.PeerAddr, opt.Paths, codec, opt.Metrics); err != nil {
		return nil, err
	}
	if b.fabric, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.Fabric)); err != nil {
		b.transport.close()
		return nil, trace.Wrap(err, "fabric address %s", opt.Fabric)
	}
	_ = b.fabric.SetReadBuffer(socketBuffer)
	b.opt.Self.PeerAddr = b.transport.addr()
	b.core = balancer.New(balancer.Options{
		Self: b.opt.Self, Seeds: opt.Seeds, Seed: opt.Seed, Router: opt.Router, Intervals: opt.Intervals,
	})
	b.store = storeDuty{client: opt.Store, logger: opt.Logger, report: b.Post}
	b.packets = ring.New[*buffer](packetRing, func() { opt.Metrics.Count("ring_dropped", "packet", 1) })
	b.messages = ring.New[received](messageRing, func() { opt.Metrics.Count("ring_dropped", "message", 1) })
	return b, nil
}

// FabricAddr returns the address for packets from the fabric.
func (b *Balancer) FabricAddr() netip.AddrPort {
	return b.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// PeerAddr returns the address for peer messages.
func (b *Balancer) PeerAddr() netip.AddrPort { return b.transport.addr() }

// State returns what the core knows. ok is false when the balancer has stopped.
func (b *Balancer) State(ctx context.Context) (state BalancerState, ok bool) {
	ok = b.calls.do(ctx, b.stopped, func() {
		snapshot, rev := b.core.Snapshot()
		state = BalancerState{
			Self: b.core.Self(), Serving: b.core.Serving(), Rev: rev, Snapshot: snapshot, Members: b.core.Members(),
		}
	})
	return state, ok
}

// Post hands an event to the core.
func (b *Balancer) Post(ctx context.Context, ev balancer.Event) {
	select {
	case b.events <- ev:
	case <-ctx.Done():
	}
}

// Run serves until ctx is done, then announces that it leaves, forwards for the
// linger time and announces itself gone. kill ends it at once, as a crash does.
func (b *Balancer) Run(ctx, kill context.Context) error {
	running, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(running)
	closeFabric := context.AfterFunc(gctx, func() { _ = b.fabric.Close() })
	defer closeFabric()
	b.transport.run(gctx, g, func(r received) { b.messages.Put(r) })
	g.Go(func() error { return b.readFabric(gctx) })
	g.Go(func() error { b.loop(gctx, g); return nil })
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			b.leave(gctx, context.Cause(ctx))
		case <-gctx.Done():
		}
		return nil
	})
	return trace.Wrap(g.Wait())
}

func (b *Balancer) leave(ctx context.Context, cause error) {
	b.opt.Logger.Info("balancer leaving", "cause", cause, "linger", b.opt.Linger)
	b.Post(ctx, balancer.Leave{})
	pause(ctx, b.opt.Linger)
	b.Post(ctx, balancer.Leave{Final: true})
	pause(ctx, lastWords)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// readFabric takes packets from the fabric.
func (b *Balancer) readFabric(ctx context.Context) error {
	for {
		buf := newBuffer()
		n, _, err := b.fabric.ReadFromUDPAddrPort(buf.room[:])
		if ctx.Err() != nil {
			buf.free()
			return nil
		}
		if err != nil {
			buf.free()
			return trace.Wrap(err)
		}
		buf.data = buf.room[:n]
		if !b.packets.Put(buf) {
			buf.free()
		}
	}
}

// loop owns the core.
func (b *Balancer) loop(ctx context.Context, g *errgroup.Group) {
	defer close(b.stopped)
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	for {
		select {
		case buf := <-b.packets.Items():
			b.packet(buf)
		case r := <-b.messages.Items():
			b.step(ctx, g, balancer.Received{From: r.env.From, Incarnation: r.env.Incarnation, Addr: r.addr, Msg: r.env.Msg})
		case ev := <-b.events:
			b.step(ctx, g, ev)
		case call := <-b.calls:
			call()
		case <-tick.C:
			b.step(ctx, g, balancer.Tick{})
		case <-ctx.Done():
			b.store.unwatch()
			return
		}
	}
}

// packet decides about one packet from the fabric.
func (b *Balancer) packet(buf *buffer) {
	var info packet.Info
	if err := b.parser.Parse(buf.data, &info); err != nil {
		b.opt.Metrics.Count("packets_dropped", reasonOf(err), 1)
		buf.free()
		return
	}
	if !b.core.Serving() {
		b.opt.Metrics.Count("packets_dropped", "not_serving", 1)
		buf.free()
		return
	}
	now := time.Now()
	d := b.core.Route(now, &info)
	if d.Verdict != route.LookupHolder {
		b.carryOut(d, waitingPacket{buf: buf, info: info})
		return
	}
	b.nextRef++
	b.waiting[b.nextRef] = waitingPacket{buf: buf, info: info}
	for _, a := range b.core.Step(now, balancer.Buffered{Ref: b.nextRef, Flow: info.Flow, Opening: info.Opening()}) {
		b.act(a)
	}
}

// carryOut forwards, drops or resets one packet and frees it.
func (b *Balancer) carryOut(d route.Decision, p waitingPacket) {
	switch d.Verdict {
	case route.Forward:
		addr, ok := b.core.Addr(d.To)
		if !ok {
			b.opt.Metrics.Count("packets_dropped", "no_address", 1)
			break
		}
		hdr := message.Forward{Service: d.Service, ViewHash: d.ViewHash, Hops: hopLimit, Packet: p.buf.data[:p.info.TotalLen]}
		b.transport.forward(d.To, addr, hdr, p.buf, p.info.Flow.Hash())
		return
	case route.Reset:
		b.opt.Metrics.Count("packets_dropped", string(d.Reason), 1)
		b.reset(p)
	default:
		b.opt.Metrics.Count("packets_dropped", string(d.Reason), 1)
	}
	p.buf.free()
}

func (b *Balancer) reset(p waitingPacket) {
	if !b.opt.Return.IsValid() {
		return
	}
	if rst, err := b.resets.Append(nil, &p.info); err == nil {
		_, _ = b.fabric.WriteToUDPAddrPort(rst, b.opt.Return)
	}
}

func (b *Balancer) step(ctx context.Context, g *errgroup.Group, ev balancer.Event) {
	for _, a := range b.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case balancer.List:
			b.store.list(ctx, g)
		case balancer.Watch:
			b.store.watch(ctx, g, a.From)
		case balancer.Unwatch:
			b.store.unwatch()
		case balancer.Serving:
			b.opt.Logger.Info("serving")
		case balancer.ConfigChanged:
			b.logConfig(a)
		default:
			b.act(a)
		}
	}
	if _, ok := ev.(balancer.Tick); ok {
		b.transport.codec.SetIncarnation(b.core.Self().Incarnation)
	}
}

func (b *Balancer) act(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		b.transport.send(a.To, a.Addr, a.Msg)
	case balancer.Release:
		p := b.waiting[a.Ref]
		delete(b.waiting, a.Ref)
		b.carryOut(a.Decision, p)
	case balancer.Count:
		b.opt.Metrics.Count("route_events", a.Reason, 1)
	}
}

func (b *Balancer) logConfig(a balancer.ConfigChanged) {
	b.opt.Logger.Info("configuration in force", "rev", a.Rev, "services", a.Services, "findings", len(a.Findings))
	for _, f := range a.Findings {
		b.opt.Logger.Warn("decision file finding", "finding", f.String())
	}
}
