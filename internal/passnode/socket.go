package passnode

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

const (
	// queueLen is how many datagrams may wait for the loop: the packets of one
	// tenth of a second in which the process got no processor.
	queueLen = 1024
	// readBuffer is asked of the kernel for each socket, for the same reason.
	readBuffer = 1 << 20
)

// datagram is a received packet. Its buffer goes back to the pool after use.
type datagram struct {
	from netip.AddrPort
	buf  *[]byte
	n    int
	sock *socket
}

func (d datagram) bytes() []byte { return (*d.buf)[:d.n] }

var buffers = sync.Pool{New: func() any {
	b := make([]byte, steerwire.MaxMessage)
	return &b
}}

func (d datagram) release() { buffers.Put(d.buf) }

// socket is a UDP socket whose datagrams go to a ring.
type socket struct {
	conn  *net.UDPConn
	queue *ring.Ring[datagram]
}

func listen(addr netip.AddrPort, queue *ring.Ring[datagram]) (*socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "UDP address %s", addr)
	}
	// Best effort: the kernel may allow less.
	_ = conn.SetReadBuffer(readBuffer)
	return &socket{conn: conn, queue: queue}, nil
}

// read passes datagrams on until ctx is done.
func (s *socket) read(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	for {
		buf := buffers.Get().(*[]byte)
		n, from, err := s.conn.ReadFromUDPAddrPort(*buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// An error left by an earlier send to a closed port; the socket is usable.
			buffers.Put(buf)
			continue
		}
		d := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf: buf, n: n, sock: s}
		if !s.queue.Put(d) {
			d.release()
		}
	}
}

// write sends without waiting for anything but the kernel. A lost datagram is
// repaired by its sender, so an error is only counted by the caller.
func (s *socket) write(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// sender encodes messages and counts the datagrams that the kernel did not take.
type sender struct {
	metrics *telemetry.Metrics
	buf     []byte
}

// message sends m from a socket.
func (s *sender) message(from *socket, to netip.AddrPort, m steerwire.Message) {
	out, err := steerwire.Append(s.buf[:0], m)
	if err == nil {
		s.buf = out
		err = from.write(out, to)
	}
	s.sent("message", err)
}

func (s *sender) sent(kind string, err error) {
	if err != nil {
		s.metrics.Count(CounterSend, kind, 1)
	}
}

// CounterSend counts datagrams that the kernel did not take.
const CounterSend = "passnode_sends_failed"

// CounterMalformed counts datagrams that could not be read.
const CounterMalformed = "passnode_datagrams_malformed"
