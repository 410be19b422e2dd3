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
	// hopLimit is the number of times that agents may forward a packet. It suffices
	// for a path over the home, a former home and an agent that returns the packet.
	hopLimit      = 4
	eventQueueLen = 1024
	// DefaultLinger is the time for which a stopping balancer keeps forwarding, so
	// that the fabric detects the stop and packets in flight are still forwarded.
	DefaultLinger = 2 * time.Second
)

// BalancerOptions configures a Balancer.
type BalancerOptions struct {
	Self       model.Member   // PeerAddr is bound; port 0 selects a free port
	FabricAddr netip.AddrPort // receives the packets of the fabric
	ReturnAddr netip.AddrPort // the fabric's address for resets to callers; may be invalid
	Seeds      []netip.AddrPort
	Keys       [][]byte
	Seed       uint64
	Paths      int                 // sockets for peer messages; 2 if 0
	Store      *storeclient.Client // nil for a balancer that gets decision files from peers only
	Router     route.Options
	Intervals  membership.Intervals
	Linger     time.Duration // DefaultLinger if 0
	Metrics    *telemetry.Metrics
	Logger     *log.Logger
}

// Balancer is the process on one entry VM.
type Balancer struct {
	opt        BalancerOptions
	core       *balancer.Core
	transport  *transport
	fabricConn *net.UDPConn
	store      storeSync

	packets  *ring.Ring[*buffer]
	messages *ring.Ring[receivedMessage]
	events   chan balancer.Event // blocks its producers, because these events must not be dropped
	parser   packet.Parser
	resets   packet.ResetBuilder
	buffered map[route.Ref]bufferedPacket // until the core releases them
	nextRef  route.Ref

	calls       calls
	stopped     chan struct{} // closed when the core's loop has ended
	started     time.Time
	incarnation model.Incarnation
}

// bufferedPacket is a parsed packet. It is buffered while the core looks up the
// holder of its flow.
type bufferedPacket struct {
	buf  *buffer
	info packet.Info
}

// BalancerState is a copy of the core's state.
type BalancerState struct {
	Self     model.Member
	Serving  bool
	Rev      uint64 // store version of the configuration in force
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
	b := &Balancer{opt: opt, buffered: make(map[route.Ref]bufferedPacket), events: make(chan balancer.Event, eventQueueLen), calls: make(calls), stopped: make(chan struct{}), started: time.Now()}
	if b.transport, err = newTransport(opt.Self.PeerAddr, opt.Paths, codec, opt.Metrics); err != nil {
		return nil, err
	}
	if b.fabricConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.FabricAddr)); err != nil {
		b.transport.close()
		return nil, trace.Wrap(err, "fabric address %s", opt.FabricAddr)
	}
	_ = b.fabricConn.SetReadBuffer(socketBuffer)
	b.opt.Self.PeerAddr = b.transport.addr()
	b.incarnation = opt.Self.Incarnation
	b.core = balancer.New(balancer.Options{
		Self: b.opt.Self, Seeds: opt.Seeds, Seed: opt.Seed, Router: opt.Router, Intervals: opt.Intervals,
	})
	b.store.client, b.store.logger, b.store.post = opt.Store, opt.Logger, b.Post
	if err := opt.Metrics.Gauge(gaugeWatchAge, func() int64 { return b.store.watchAge().Milliseconds() }); err != nil {
		b.transport.close()
		_ = b.fabricConn.Close()
		return nil, trace.Wrap(err)
	}
	b.packets = ring.New[*buffer](packetRingSize, func() { opt.Metrics.Count("ring_dropped", "packet", 1) })
	b.messages = ring.New[receivedMessage](messageRingSize, func() { opt.Metrics.Count("ring_dropped", "message", 1) })
	return b, nil
}

// FabricAddr returns the address for packets from the fabric.
func (b *Balancer) FabricAddr() netip.AddrPort {
	return b.fabricConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// PeerAddr returns the address for peer messages.
func (b *Balancer) PeerAddr() netip.AddrPort { return b.transport.addr() }

// State returns the core's state. ok is false if ctx is done or the balancer has
// stopped.
func (b *Balancer) State(ctx context.Context) (state BalancerState, ok bool) {
	ok = b.calls.do(ctx, b.stopped, func() {
		snapshot, rev := b.core.Snapshot()
		state = BalancerState{
			Self: b.core.Self(), Serving: b.core.Serving(), Rev: rev, Snapshot: snapshot, Members: b.core.Members(),
		}
	})
	return state, ok
}

// Post queues an event for the core. It blocks while the queue is full and drops
// the event if ctx is done.
func (b *Balancer) Post(ctx context.Context, ev balancer.Event) {
	select {
	case b.events <- ev:
	case <-ctx.Done():
	}
}

// Run serves until ctx is done, then announces that the balancer is leaving, keeps
// forwarding for the linger time and announces its exit. When kill is done, Run
// ends immediately without an announcement, like a crash.
func (b *Balancer) Run(ctx, kill context.Context) error {
	running, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(running)
	closeFabric := context.AfterFunc(gctx, func() { _ = b.fabricConn.Close() })
	defer closeFabric()
	b.transport.run(gctx, g, func(r receivedMessage) { b.messages.Put(r) })
	g.Go(func() error { return b.readFabric(gctx) })
	g.Go(func() error { b.runCore(gctx, g); return nil })
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
	sleep(ctx, b.opt.Linger)
	b.Post(ctx, balancer.Leave{Final: true})
	sleep(ctx, announceTime)
}

// sleep returns after d, or earlier if ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// readFabric receives packets from the fabric and queues them.
func (b *Balancer) readFabric(ctx context.Context) error {
	for {
		buf := newBuffer()
		n, _, err := b.fabricConn.ReadFromUDPAddrPort(buf.storage[:])
		if ctx.Err() != nil {
			buf.release()
			return nil
		}
		if err != nil {
			buf.release()
			return trace.Wrap(err)
		}
		buf.data = buf.storage[:n]
		if !b.packets.Put(buf) {
			buf.release()
		}
	}
}

// runCore runs the loop of the core. Only its goroutine uses the core.
func (b *Balancer) runCore(ctx context.Context, g *errgroup.Group) {
	defer close(b.stopped)
	tick := time.NewTicker(coreTick)
	defer tick.Stop()
	for {
		select {
		case buf := <-b.packets.Items():
			b.handlePacket(buf)
		case r := <-b.messages.Items():
			b.stepCore(ctx, g, balancer.Received{From: r.env.From, Incarnation: r.env.Incarnation, Addr: r.addr, Msg: r.env.Msg})
		case ev := <-b.events:
			b.stepCore(ctx, g, ev)
		case call := <-b.calls:
			call()
		case <-tick.C:
			b.stepCore(ctx, g, balancer.Tick{})
		case <-ctx.Done():
			b.store.stopWatching()
			return
		}
	}
}

// handlePacket routes one packet from the fabric. It buffers the packet if the
// holder of its flow must be looked up first.
func (b *Balancer) handlePacket(buf *buffer) {
	var info packet.Info
	if err := b.parser.Parse(buf.data, &info); err != nil {
		b.opt.Metrics.Count("packets_dropped", reasonOf(err), 1)
		buf.release()
		return
	}
	if !b.core.Serving() {
		b.opt.Metrics.Count("packets_dropped", "not_serving", 1)
		buf.release()
		return
	}
	now := time.Now()
	d := b.core.Route(now, &info)
	if d.Verdict != route.LookupHolder {
		b.applyDecision(d, bufferedPacket{buf: buf, info: info})
		return
	}
	b.nextRef++
	b.buffered[b.nextRef] = bufferedPacket{buf: buf, info: info}
	for _, a := range b.core.Step(now, balancer.Buffered{Ref: b.nextRef, Flow: info.Flow, Opening: info.Opening()}) {
		b.execute(a)
	}
}

// applyDecision forwards or drops one packet, answers it with a reset if the
// decision says so, and releases its buffer.
func (b *Balancer) applyDecision(d route.Decision, p bufferedPacket) {
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
		b.sendReset(p)
	default:
		b.opt.Metrics.Count("packets_dropped", string(d.Reason), 1)
	}
	p.buf.release()
}

func (b *Balancer) sendReset(p bufferedPacket) {
	if !b.opt.ReturnAddr.IsValid() {
		return
	}
	if rst, err := b.resets.Append(nil, &p.info); err == nil {
		_, _ = b.fabricConn.WriteToUDPAddrPort(rst, b.opt.ReturnAddr)
	}
}

func (b *Balancer) stepCore(ctx context.Context, g *errgroup.Group, ev balancer.Event) {
	actions := b.core.Step(time.Now(), ev)
	if inc := b.core.Self().Incarnation; inc > b.incarnation {
		b.incarnation = inc
		b.transport.codec.SetIncarnation(inc) // before messages under it
		b.opt.Logger.Info("incarnation raised", "reason", "earlier process had a higher one", "incarnation", inc)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.List:
			b.store.startListing(ctx, g)
		case balancer.Restore:
			b.store.startRestore(ctx, g, a.Writes)
		case balancer.Watch:
			b.store.startWatch(ctx, g, storeclient.Position{Epoch: a.Epoch, Revision: a.From})
		case balancer.Unwatch:
			b.store.stopWatching()
		case balancer.Serving:
			b.opt.Logger.Info("serving")
		case balancer.ConfigChanged:
			b.logConfig(a)
		default:
			b.execute(a)
		}
	}
}

func (b *Balancer) execute(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		b.transport.send(a.To, a.Addr, a.Msg)
	case balancer.Release:
		p := b.buffered[a.Ref]
		delete(b.buffered, a.Ref)
		b.applyDecision(a.Decision, p)
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
