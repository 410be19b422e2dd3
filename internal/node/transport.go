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
	// socketBuffer is the socket buffer size in bytes. It holds the packets of a
	// burst while the reader is busy.
	socketBuffer = 4 << 20
	// sendRingSize and ackRingSize are the capacities of the queues to the sending
	// goroutine, in items. A full queue drops new items.
	sendRingSize = 8192
	ackRingSize  = 1024
	// maxUnusedAddrs limits the stored addresses of peers: all are cleared when they
	// exceed this number plus two for each peer in use.
	maxUnusedAddrs = 1024
	// probeTick is the interval between two checks for due path probes.
	probeTick = 100 * time.Millisecond
	// supersededInterval is the interval between two notices to one sender whose
	// incarnation is refused. A balancer may forward thousands of packets until the first
	// notice arrives.
	supersededInterval = 50 * time.Millisecond
	// maxSupersededSenders bounds the senders whose last notice is remembered.
	maxSupersededSenders = 1024
)

// outgoingMessage is one message to be sent. buf holds the packet of a
// message.Forward and is released once the message is sent.
type outgoingMessage struct {
	to   model.NodeID
	addr netip.AddrPort
	msg  message.Message
	buf  *buffer
	hash uint64 // packets with equal hash use the same path
}

// receivedMessage is one authenticated message.
type receivedMessage struct {
	env  wire.Envelope
	addr netip.AddrPort
	path int
}

// transport sends and receives peer messages, with one sending goroutine and one
// receiving goroutine per socket.
type transport struct {
	codec   *wire.Codec
	conns   []*net.UDPConn
	metrics *telemetry.Metrics
	control *ring.Ring[outgoingMessage]
	packets *ring.Ring[outgoingMessage]
	acks    *ring.Ring[paths.Ack]

	// Used by the sending goroutine only.
	paths *paths.Paths
	addrs map[model.NodeID]netip.AddrPort // of the peers, for probes
}

// newTransport binds one socket per path. The first socket has the peer address.
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
	t.control = ring.New[outgoingMessage](sendRingSize, func() { metrics.Count("ring_dropped", "control_send", 1) })
	t.packets = ring.New[outgoingMessage](sendRingSize, func() { metrics.Count("ring_dropped", "packet_send", 1) })
	t.acks = ring.New[paths.Ack](ackRingSize, func() { metrics.Count("ring_dropped", "probe_ack", 1) })
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
	t.control.Put(outgoingMessage{to: to, addr: addr, msg: m})
}

// forward queues a packet. The transport releases buf.
func (t *transport) forward(to model.NodeID, addr netip.AddrPort, m message.Forward, buf *buffer, hash uint64) {
	if !t.packets.Put(outgoingMessage{to: to, addr: addr, msg: m, buf: buf, hash: hash}) {
		buf.release()
	}
}

// run receives and sends until ctx is done. handle is called on the receiving
// goroutines and must not block.
func (t *transport) run(ctx context.Context, g *errgroup.Group, handle func(receivedMessage)) {
	for i := range t.conns {
		g.Go(func() error { return t.receive(ctx, i, handle) })
	}
	g.Go(func() error {
		defer t.close() // ends the receiving goroutines
		t.sendLoop(ctx)
		return nil
	})
}

func (t *transport) receive(ctx context.Context, path int, handle func(receivedMessage)) error {
	buf := make([]byte, bufferSize)
	notices := make(supersededNotices)
	for {
		n, from, err := t.conns[path].ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err)
			}
			continue // an ICMP error for a datagram sent earlier
		}
		env, err := t.codec.Open(buf[:n])
		if err != nil {
			t.metrics.Count("messages_dropped", reasonOf(err), 1)
			if errors.Is(err, wire.ErrStale) {
				t.answerStale(notices, path, from, buf[:n])
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		switch m := env.Msg.(type) {
		case message.Probe:
			t.answerProbe(path, env.From, from, m)
		case message.ProbeAck:
			t.acks.Put(paths.Ack{From: env.From, Msg: m})
		default:
			handle(receivedMessage{env: env, addr: from, path: path})
		}
	}
}

// supersededNotices holds the time of the last notice to each sender.
type supersededNotices map[model.NodeID]time.Time

// due reports whether a notice to a sender is due, and records it.
func (n supersededNotices) due(now time.Time, to model.NodeID) bool {
	if last, ok := n[to]; ok && now.Sub(last) < supersededInterval {
		return false
	}
	if len(n) >= maxSupersededSenders {
		clear(n)
	}
	n[to] = now
	return true
}

// answerStale tells the sender of a refused datagram which incarnation it has to exceed:
// after its clock went back, a process starts with a lower one than its predecessor.
func (t *transport) answerStale(notices supersededNotices, path int, addr netip.AddrPort, datagram []byte) {
	to, accepted := t.codec.Superseding(datagram)
	if accepted == 0 || !notices.due(time.Now(), to) {
		return
	}
	answer, err := t.codec.Seal(nil, to, message.Superseded{Incarnation: accepted})
	if err != nil {
		t.metrics.Count("messages_dropped", reasonOf(err), 1)
		return
	}
	if _, err := t.conns[path].WriteToUDPAddrPort(answer, netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())); err != nil {
		t.metrics.Count("messages_dropped", "socket_write", 1)
	}
}

// answerProbe answers a probe from the socket on which it arrived, so that the
// answer uses the same path.
func (t *transport) answerProbe(path int, to model.NodeID, addr netip.AddrPort, p message.Probe) {
	datagram, err := t.codec.Seal(nil, to, message.ProbeAck(p))
	if err != nil {
		t.metrics.Count("messages_dropped", reasonOf(err), 1)
		return
	}
	_, _ = t.conns[path].WriteToUDPAddrPort(datagram, addr)
}

func (t *transport) sendLoop(ctx context.Context) {
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	scratch := make([]byte, 0, bufferSize)
	for {
		select {
		case o := <-t.control.Items():
			scratch = t.sealAndSend(scratch, o, t.pickPath(o))
		case o := <-t.packets.Items():
			scratch = t.sealAndSend(scratch, o, t.pickPath(o))
		case a := <-t.acks.Items():
			t.paths.Step(time.Now(), a)
		case <-tick.C:
			scratch = t.sendProbes(scratch)
		case <-ctx.Done():
			return
		}
	}
}

// pickPath chooses the path of a message. Messages to a seed whose node id is not
// known are sent from the socket with the peer address.
func (t *transport) pickPath(o outgoingMessage) int {
	if o.to == "" {
		return 0
	}
	t.addrs[o.to] = o.addr
	return t.paths.Pick(time.Now(), o.to, o.hash)
}

// sendProbes sends the probes that are due.
func (t *transport) sendProbes(scratch []byte) []byte {
	for _, a := range t.paths.Step(time.Now(), paths.Tick{}) {
		switch a := a.(type) {
		case paths.Send:
			scratch = t.sealAndSend(scratch, outgoingMessage{to: a.To, addr: t.addrs[a.To], msg: a.Msg}, a.Path)
		case paths.Silent:
			t.metrics.Count("paths", "silent", 1)
		case paths.Recovered:
			t.metrics.Count("paths", "recovered", 1)
		}
	}
	if len(t.addrs) > 2*t.paths.Peers()+maxUnusedAddrs {
		clear(t.addrs) // peers in use are added again with their next message
	}
	return scratch
}

// sealAndSend seals a message, releases its packet buffer and sends the datagram
// over a path. It returns scratch for reuse.
func (t *transport) sealAndSend(scratch []byte, o outgoingMessage, path int) []byte {
	datagram, err := t.codec.Seal(scratch[:0], o.to, o.msg)
	if o.buf != nil {
		o.buf.release()
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
