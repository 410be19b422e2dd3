package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/paths"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
	"github.com/bulrushshelf/bulrushshelf/internal/wire"
)

const (
	// socketBuffer holds the packets of a burst while the reader is busy.
	socketBuffer = 4 << 20
	sendRing     = 8192
	pathRing     = 1024
	// maxSpareAddrs bounds the addresses kept of peers that are not in use.
	maxSpareAddrs = 1024
	// pathTick drives the probes of the paths.
	pathTick = 100 * time.Millisecond
)

// outgoing is one message on its way to a socket. buf holds the packet of a
// message.Forward and is freed once the message is sent.
type outgoing struct {
	to   model.NodeID
	addr netip.AddrPort
	msg  message.Message
	buf  *buffer
	hash uint64 // packets of equal hash keep their path
}

// received is one authentic message.
type received struct {
	env  wire.Envelope
	addr netip.AddrPort
	path int
}

// transport sends and receives peer messages. One goroutine sends; each socket
// has one goroutine that receives.
type transport struct {
	codec   *wire.Codec
	conns   []*net.UDPConn
	metrics *telemetry.Metrics
	control *ring.Ring[outgoing]
	packets *ring.Ring[outgoing]
	acks    *ring.Ring[paths.Ack]

	// Owned by the sender.
	paths *paths.Paths
	addrs map[model.NodeID]netip.AddrPort // of the peers that probes go to
}

// newTransport binds one socket per path. The first one has the peer address.
func newTransport(addr netip.AddrPort, n int, codec *wire.Codec, metrics *telemetry.Metrics) (*transport, error) {
	t := &transport{
		codec: codec, metrics: metrics, paths: paths.New(paths.Options{Paths: n}),
		addrs: make(map[model.NodeID]netip.AddrPort),
	}
	for i := range n {
		bind := addr
		if i > 0 {
			bind = netip.AddrPortFrom(addr.Addr(), 0)
		}
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
		if err != nil {
			t.close()
			return nil, trace.Wrap(err, "peer address %s", bind)
		}
		_ = conn.SetReadBuffer(socketBuffer)
		t.conns = append(t.conns, conn)
	}
	t.control = ring.New[outgoing](sendRing, func() { metrics.Count("ring_dropped", "control_send", 1) })
	t.packets = ring.New[outgoing](sendRing, func() { metrics.Count("ring_dropped", "packet_send", 1) })
	t.acks = ring.New[paths.Ack](pathRing, func() { metrics.Count("ring_dropped", "probe_ack", 1) })
	return t, nil
}

// addr returns the peer address.
func (t *transport) addr() netip.AddrPort {
	return t.conns[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

func (t *transport) close() {
	for _, c := range t.conns {
		_ = c.Close()
	}
}

// send queues a control message.
func (t *transport) send(to model.NodeID, addr netip.AddrPort, m message.Message) {
	t.control.Put(outgoing{to: to, addr: addr, msg: m})
}

// forward queues a packet and takes over buf.
func (t *transport) forward(to model.NodeID, addr netip.AddrPort, m message.Forward, buf *buffer, hash uint64) {
	if !t.packets.Put(outgoing{to: to, addr: addr, msg: m, buf: buf, hash: hash}) {
		buf.free()
	}
}

// run receives and sends until ctx is done. handle runs on the goroutines that
// receive and must not block.
func (t *transport) run(ctx context.Context, g *errgroup.Group, handle func(received)) {
	for i := range t.conns {
		g.Go(func() error { return t.receive(ctx, i, handle) })
	}
	g.Go(func() error {
		defer t.close() // ends the receivers
		t.sendLoop(ctx)
		return nil
	})
}

func (t *transport) receive(ctx context.Context, path int, handle func(received)) error {
	buf := make([]byte, bufferSize)
	for {
		n, from, err := t.conns[path].ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err)
			}
			continue // an ICMP error about an earlier datagram
		}
		env, err := t.codec.Open(buf[:n])
		if err != nil {
			t.metrics.Count("messages_dropped", reasonOf(err), 1)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		switch m := env.Msg.(type) {
		case message.Probe:
			t.answerProbe(path, env.From, from, m)
		case message.ProbeAck:
			t.acks.Put(paths.Ack{From: env.From, Msg: m})
		default:
			handle(received{env: env, addr: from, path: path})
		}
	}
}

// answerProbe answers over the socket that the probe arrived on, so that the
// answer tests the same path.
func (t *transport) answerProbe(path int, to model.NodeID, addr netip.AddrPort, p message.Probe) {
	datagram, err := t.codec.Seal(nil, to, message.ProbeAck(p))
	if err != nil {
		t.metrics.Count("messages_dropped", reasonOf(err), 1)
		return
	}
	_, _ = t.conns[path].WriteToUDPAddrPort(datagram, addr)
}

func (t *transport) sendLoop(ctx context.Context) {
	tick := time.NewTicker(pathTick)
	defer tick.Stop()
	scratch := make([]byte, 0, bufferSize)
	for {
		select {
		case o := <-t.control.Items():
			scratch = t.write(scratch, o, t.pick(o))
		case o := <-t.packets.Items():
			scratch = t.write(scratch, o, t.pick(o))
		case a := <-t.acks.Items():
			t.paths.Step(time.Now(), a)
		case <-tick.C:
			scratch = t.probe(scratch)
		case <-ctx.Done():
			return
		}
	}
}

// pick chooses the path of a message. A seed whose name is not known gets the
// peer address's own socket.
func (t *transport) pick(o outgoing) int {
	if o.to == "" {
		return 0
	}
	t.addrs[o.to] = o.addr
	return t.paths.Pick(time.Now(), o.to, o.hash)
}

// probe sends the probes that are due.
func (t *transport) probe(scratch []byte) []byte {
	for _, a := range t.paths.Step(time.Now(), paths.Tick{}) {
		switch a := a.(type) {
		case paths.Send:
			scratch = t.write(scratch, outgoing{to: a.To, addr: t.addrs[a.To], msg: a.Msg}, a.Path)
		case paths.Silent:
			t.metrics.Count("paths", "silent", 1)
		case paths.Recovered:
			t.metrics.Count("paths", "recovered", 1)
		}
	}
	if len(t.addrs) > 2*t.paths.Peers()+maxSpareAddrs {
		clear(t.addrs) // peers in use enter again with their next message
	}
	return scratch
}

// write seals and sends one message.
func (t *transport) write(scratch []byte, o outgoing, path int) []byte {
	datagram, err := t.codec.Seal(scratch[:0], o.to, o.msg)
	if o.buf != nil {
		o.buf.free()
	}
	if err != nil {
		t.metrics.Count("messages_dropped", reasonOf(err), 1)
		return scratch
	}
	if !o.addr.IsValid() {
		return datagram
	}
	if _, err := t.conns[path].WriteToUDPAddrPort(datagram, o.addr); err != nil {
		t.metrics.Count("messages_dropped", "socket_write", 1)
	}
	return datagram
}

// reasonOf returns the counter reason of a typed error.
func reasonOf(err error) string {
	var r interface{ Reason() string }
	if errors.As(err, &r) {
		return r.Reason()
	}
	return "other"
}
