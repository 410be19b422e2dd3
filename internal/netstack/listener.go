package netstack

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	acceptQueueLen    = 256  // connections that wait for Accept
	maxHandshakes     = 4096 // handshakes in progress; further opening packets are dropped
	keepaliveIdle     = 20 * time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveProbes   = 3
	handshakeTimeout  = 10 * time.Second // after it, ReapEnded returns a flow without an endpoint
)

// Listener accepts TCP connections on all addresses and ports, because the code
// that calls Inject has already decided which flows the agent holds. It
// implements net.Listener.
type Listener struct {
	stack     *Stack
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	flows map[model.Flow]*flowState
}

// flowState is the state of a flow from its opening packet until its endpoint ends.
type flowState struct {
	openedAt         time.Time
	endpoint         tcpip.Endpoint // nil during the handshake
	handshakeFailed  bool
	segmentsReceived uint64
	lastReceived     time.Time // when segmentsReceived last changed
}

// ListenAll starts accepting connections on all addresses.
func (s *Stack) ListenAll() (*Listener, error) {
	if err := s.ns.SetPromiscuousMode(nicID, true); err != nil {
		return nil, trace.Errorf("accept all addresses: %v", err)
	}
	if err := s.ns.SetSpoofing(nicID, true); err != nil {
		return nil, trace.Errorf("send from all addresses: %v", err)
	}
	l := &Listener{
		stack:  s,
		conns:  make(chan net.Conn, acceptQueueLen),
		closed: make(chan struct{}),
		flows:  make(map[model.Flow]*flowState),
	}
	forwarder := tcp.NewForwarder(s.ns, 0, maxHandshakes, l.accept)
	s.ns.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	return l, nil
}

// accept completes one handshake. The library calls it on a separate goroutine.
func (l *Listener) accept(r *tcp.ForwarderRequest) {
	flow := flowOf(r.ID())
	var queue waiter.Queue
	ep, err := r.CreateEndpoint(&queue)
	r.Complete(false)
	if err != nil {
		l.updateFlow(flow, func(f *flowState) { f.handshakeFailed = true })
		return
	}
	l.stack.keepalive.applyTo(ep)
	l.updateFlow(flow, func(f *flowState) { f.endpoint = ep })
	conn := gonet.NewTCPConn(&queue, ep)
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

func (l *Listener) updateFlow(flow model.Flow, change func(*flowState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[flow]; ok {
		change(f)
	}
}

// Track starts tracking a flow. It must be called for an opening packet before
// Inject.
func (l *Listener) Track(now time.Time, flow model.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[flow]; ok && f.endpoint == nil && !f.handshakeFailed {
		return // a retransmitted SYN of a handshake in progress
	}
	l.flows[flow] = &flowState{openedAt: now}
}

// ReapEnded returns the flows whose endpoints have ended since the last call, that
// is, whose last segments were acknowledged or abandoned, and stops tracking
// them. It also aborts endpoints whose peer has become silent.
func (l *Listener) ReapEnded(now time.Time) []model.Flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ended []model.Flow
	for flow, f := range l.flows {
		f.abortIfSilent(now, l.stack.keepalive)
		if f.hasEnded(now) {
			ended = append(ended, flow)
			delete(l.flows, flow)
		}
	}
	return ended
}

// abortIfSilent aborts the endpoint if no segment was received for the keepalive
// timeout. This is needed because the library sends no keepalive probes while data
// is unacknowledged and retransmits that data without limit. A caller that reads
// no data is not aborted, because it answers the library's window probes.
func (f *flowState) abortIfSilent(now time.Time, keepalive Keepalive) {
	if f.endpoint == nil {
		return
	}
	stats, ok := f.endpoint.Stats().(*tcp.Stats)
	if !ok {
		return
	}
	if n := stats.SegmentsReceived.Value(); n != f.segmentsReceived || f.lastReceived.IsZero() {
		f.segmentsReceived, f.lastReceived = n, now
		return
	}
	if now.Sub(f.lastReceived) > keepalive.timeout() {
		f.endpoint.Abort()
	}
}

func (f *flowState) hasEnded(now time.Time) bool {
	if f.endpoint == nil {
		return f.handshakeFailed || now.Sub(f.openedAt) > handshakeTimeout
	}
	switch tcp.EndpointState(f.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		return true
	}
	return false
}

// Accept implements net.Listener. After Close it returns the connections that are still
// queued before it fails, because their callers may have sent requests.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	}
	select {
	case c := <-l.conns:
		return c, nil
	default:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

func flowOf(id stack.TransportEndpointID) model.Flow {
	return model.Flow{
		Src:   addrPort(id.RemoteAddress, id.RemotePort),
		Dst:   addrPort(id.LocalAddress, id.LocalPort),
		Proto: model.TCP,
	}
}

func addrPort(a tcpip.Address, port uint16) netip.AddrPort {
	ip, _ := netip.AddrFromSlice(a.AsSlice())
	return netip.AddrPortFrom(ip, port)
}
