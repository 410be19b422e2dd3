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
	acceptQueueLen   = 256
	maxOpeningFlows  = 4096 // handshakes in progress; further opening packets are dropped
	keepaliveIdle    = 20 * time.Second
	keepaliveEvery   = 10 * time.Second
	keepaliveProbes  = 3
	handshakeTimeout = 10 * time.Second
)

// Listener accepts TCP connections on every address and port for which packets
// are injected, since the caller of Inject has already decided which flows the
// agent holds. It implements net.Listener.
type Listener struct {
	s       *Stack
	conns   chan net.Conn
	closed  chan struct{}
	closing sync.Once

	mu    sync.Mutex
	flows map[model.Flow]*flowState
}

// flowState follows a flow from its opening packet to the end of its endpoint.
type flowState struct {
	opened   time.Time
	endpoint tcpip.Endpoint // nil during the handshake
	failed   bool
	received uint64 // segments
	heard    time.Time
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
		s:      s,
		conns:  make(chan net.Conn, acceptQueueLen),
		closed: make(chan struct{}),
		flows:  make(map[model.Flow]*flowState),
	}
	forwarder := tcp.NewForwarder(s.ns, 0, maxOpeningFlows, l.accept)
	s.ns.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	return l, nil
}

// accept completes one handshake. The library runs it on its own goroutine.
func (l *Listener) accept(r *tcp.ForwarderRequest) {
	flow := flowOf(r.ID())
	var queue waiter.Queue
	ep, err := r.CreateEndpoint(&queue)
	r.Complete(false)
	if err != nil {
		l.update(flow, func(f *flowState) { f.failed = true })
		return
	}
	l.s.alive.apply(ep)
	l.update(flow, func(f *flowState) { f.endpoint = ep })
	conn := gonet.NewTCPConn(&queue, ep)
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

func (l *Listener) update(flow model.Flow, change func(*flowState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[flow]; ok {
		change(f)
	}
}

// Track starts to follow a flow. Call it for an opening packet before Inject.
func (l *Listener) Track(now time.Time, flow model.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[flow]; ok && f.endpoint == nil && !f.failed {
		return // a repeated opening packet of a handshake in progress
	}
	l.flows[flow] = &flowState{opened: now}
}

// Ended returns the flows whose endpoints have ended since the last call, with
// their last segments acknowledged or given up. It gives up the endpoints whose
// other side went silent.
func (l *Listener) Ended(now time.Time) []model.Flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ended []model.Flow
	for flow, f := range l.flows {
		f.abortSilent(now, l.s.alive)
		if f.ended(now) {
			ended = append(ended, flow)
			delete(l.flows, flow)
		}
	}
	return ended
}

// abortSilent ends an endpoint from whose other side nothing was received for
// the time of all keepalive probes. The library sends no probes while data is
// not acknowledged, and sends that data again without end. A caller that reads
// nothing still answers the library's probes of its window.
func (f *flowState) abortSilent(now time.Time, alive Keepalive) {
	if f.endpoint == nil {
		return
	}
	stats, ok := f.endpoint.Stats().(*tcp.Stats)
	if !ok {
		return
	}
	if n := stats.SegmentsReceived.Value(); n != f.received || f.heard.IsZero() {
		f.received, f.heard = n, now
		return
	}
	if now.Sub(f.heard) > alive.silence() {
		f.endpoint.Abort()
	}
}

func (f *flowState) ended(now time.Time) bool {
	if f.endpoint == nil {
		return f.failed || now.Sub(f.opened) > handshakeTimeout
	}
	switch tcp.EndpointState(f.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		return true
	}
	return false
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections already accepted go on.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
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
