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
	// maxQueuedDatagrams is the capacity of the loop's queue. It holds the packets that
	// arrive while the process is not scheduled for 100 ms.
	maxQueuedDatagrams = 1024
	// readBuffer is the requested size of each socket's receive buffer in bytes, for the
	// same reason.
	readBuffer = 1 << 20
)

// datagram is a received packet. Its buffer is returned to the pool after use.
type datagram struct {
	from netip.AddrPort
	buf  *[]byte
	n    int
	sock *socket
}

func (d datagram) bytes() []byte { return (*d.buf)[:d.n] }

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, steerwire.MaxMessage)
	return &b
}}

func (d datagram) release() { bufferPool.Put(d.buf) }

// socket is a UDP socket that puts received datagrams into a ring.
type socket struct {
	conn  *net.UDPConn
	queue *ring.Ring[datagram]
}

func listen(addr netip.AddrPort, queue *ring.Ring[datagram]) (*socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "UDP address %s", addr)
	}
	// Best effort: the kernel may grant a smaller buffer.
	_ = conn.SetReadBuffer(readBuffer)
	return &socket{conn: conn, queue: queue}, nil
}

// read queues received datagrams until ctx is done.
func (s *socket) read(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	for {
		buf := bufferPool.Get().(*[]byte)
		n, from, err := s.conn.ReadFromUDPAddrPort(*buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// An earlier send to a closed port causes this error; the socket stays usable.
			bufferPool.Put(buf)
			continue
		}
		d := datagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf: buf, n: n, sock: s}
		if !s.queue.Put(d) {
			d.release()
		}
	}
}

// write sends a datagram and blocks at most in the kernel. Senders retransmit lost
// datagrams, so the caller only counts an error.
func (s *socket) write(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// datagramSender encodes messages and counts send errors.
type datagramSender struct {
	metrics *telemetry.Metrics
	buf     []byte
}

// sendMessage encodes m and sends it from a socket.
func (s *datagramSender) sendMessage(from *socket, to netip.AddrPort, m steerwire.Message) {
	out, err := steerwire.Append(s.buf[:0], m)
	if err == nil {
		s.buf = out
		err = from.write(out, to)
	}
	s.countError("message", err)
}

func (s *datagramSender) countError(kind string, err error) {
	if err != nil {
		s.metrics.Count(CounterSend, kind, 1)
	}
}

// CounterSend counts datagrams that the kernel did not accept.
const CounterSend = "passnode_sends_failed"

// CounterMalformed counts messages, packets and objects that could not be decoded.
const CounterMalformed = "passnode_datagrams_malformed"
