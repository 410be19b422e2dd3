// Package netstack runs TCP over single IP packets in user space. Agents use it
// to terminate callers' connections on service addresses, and test callers use
// it to open connections through the fabric. It wraps gVisor's TCP/IP library.
package netstack

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv6"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	// DefaultMTU leaves room for the outer headers and the envelope of a
	// forwarded packet in an Ethernet frame of 1,500 bytes.
	DefaultMTU = 1280

	nicID        = 1
	linkQueueLen = 4096

	// timeWait is shorter than RFC 9293's two maximum segment lifetimes, so that
	// a draining agent does not wait a minute for each connection it closed first.
	timeWait = 2 * time.Second
	// minRTO stays above the few milliseconds between data centres.
	minRTO = 50 * time.Millisecond
)

// Options configures a Stack.
type Options struct {
	MTU int // DefaultMTU if 0
	// Output sends one IP packet. It must not keep the slice.
	Output func(packet []byte)
	// Addrs are the stack's own addresses, for dialing.
	Addrs []netip.Addr
	// Keepalive of all connections; zero fields get the defaults.
	Keepalive Keepalive
}

// Keepalive says how a stack finds out that the other side went silent.
type Keepalive struct {
	Idle     time.Duration // from the last segment to the first probe, 20 s
	Interval time.Duration // between probes, 10 s
	Probes   int           // without an answer until the connection ends, 3
}

func (k Keepalive) withDefaults() Keepalive {
	k.Idle = cmp.Or(k.Idle, keepaliveIdle)
	k.Interval = cmp.Or(k.Interval, keepaliveEvery)
	k.Probes = cmp.Or(k.Probes, keepaliveProbes)
	return k
}

// silence is the time without a segment after which the other side is given up.
func (k Keepalive) silence() time.Duration { return k.Idle + time.Duration(k.Probes)*k.Interval }

func (k Keepalive) apply(ep tcpip.Endpoint) {
	ep.SocketOptions().SetKeepAlive(true)
	idle := tcpip.KeepaliveIdleOption(k.Idle)
	every := tcpip.KeepaliveIntervalOption(k.Interval)
	_ = ep.SetSockOpt(&idle)
	_ = ep.SetSockOpt(&every)
	_ = ep.SetSockOptInt(tcpip.KeepaliveCountOption, k.Probes)
}

// Stack is a TCP/IP stack whose link is a pair of functions.
type Stack struct {
	ns     *stack.Stack
	link   *channel.Endpoint
	output func([]byte)
	alive  Keepalive
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a running stack. Close releases it.
func New(opts Options) (*Stack, error) {
	if opts.MTU == 0 {
		opts.MTU = DefaultMTU
	}
	s := &Stack{
		ns: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link:   channel.New(linkQueueLen, uint32(opts.MTU), ""),
		output: opts.Output,
		alive:  opts.Keepalive.withDefaults(),
		done:   make(chan struct{}),
	}
	if err := s.configure(opts.Addrs); err != nil {
		s.ns.Destroy()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.send(ctx)
	return s, nil
}

func (s *Stack) configure(addrs []netip.Addr) error {
	if err := s.ns.CreateNIC(nicID, s.link); err != nil {
		return trace.Errorf("create interface: %v", err)
	}
	s.ns.SetRouteTable([]tcpip.Route{
		{Destination: header.IPv4EmptySubnet, NIC: nicID},
		{Destination: header.IPv6EmptySubnet, NIC: nicID},
	})
	for _, a := range addrs {
		pa := tcpip.ProtocolAddress{Protocol: networkProtocol(a), AddressWithPrefix: tcpip.AddrFromSlice(a.AsSlice()).WithPrefix()}
		if err := s.ns.AddProtocolAddress(nicID, pa, stack.AddressProperties{}); err != nil {
			return trace.Errorf("add address %s: %v", a, err)
		}
	}
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	rto := tcpip.TCPMinRTOOption(minRTO)
	// Of several lost segments or window probes, one must be answered within the
	// time after which the other side is given up.
	maxRTO := tcpip.TCPMaxRTOOption(max(s.alive.Interval, minRTO))
	sack := tcpip.TCPSACKEnabled(true)
	// With the library's RACK, 25 of 30 feeds stood still for ever after two
	// seconds in which 30% of the packets were lost: no timer ran any more.
	var noRACK tcpip.TCPRecovery
	for _, opt := range []tcpip.SettableTransportProtocolOption{&wait, &rto, &maxRTO, &sack, &noRACK} {
		if err := s.ns.SetTransportProtocolOption(tcp.ProtocolNumber, opt); err != nil {
			return trace.Errorf("set TCP option %T: %v", opt, err)
		}
	}
	return nil
}

func (s *Stack) send(ctx context.Context) {
	defer close(s.done)
	for {
		pkt := s.link.ReadContext(ctx)
		if pkt == nil {
			return
		}
		view := pkt.ToView()
		s.output(view.AsSlice())
		view.Release()
		pkt.DecRef()
	}
}

// Inject hands one received IP packet to the stack. The stack copies it.
func (s *Stack) Inject(packet []byte) {
	if len(packet) == 0 {
		return
	}
	proto := header.IPv4ProtocolNumber
	if header.IPVersion(packet) == header.IPv6Version {
		proto = header.IPv6ProtocolNumber
	}
	pkt := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	s.link.InjectInbound(proto, pkt)
	pkt.DecRef()
}

// Dial opens a TCP connection from one of the stack's own addresses.
func (s *Stack) Dial(ctx context.Context, remote netip.AddrPort) (net.Conn, error) {
	proto := networkProtocol(remote.Addr())
	conn, err := gonet.DialContextTCP(ctx, s.ns, fullAddress(remote), proto)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	local := conn.LocalAddr().(*net.TCPAddr).AddrPort()
	ep := s.ns.FindTransportEndpoint(proto, tcp.ProtocolNumber, stack.TransportEndpointID{
		LocalPort: local.Port(), LocalAddress: tcpip.AddrFromSlice(local.Addr().Unmap().AsSlice()),
		RemotePort: remote.Port(), RemoteAddress: tcpip.AddrFromSlice(remote.Addr().AsSlice()),
	}, nicID)
	if ep, ok := ep.(tcpip.Endpoint); ok { // unless the connection has ended already
		s.alive.apply(ep)
	}
	return conn, nil
}

// Close ends all connections at once and stops the stack.
func (s *Stack) Close() {
	s.ns.Destroy()
	s.cancel()
	<-s.done
	s.link.Close()
}

func networkProtocol(a netip.Addr) tcpip.NetworkProtocolNumber {
	if a.Is4() {
		return ipv4.ProtocolNumber
	}
	return ipv6.ProtocolNumber
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFromSlice(a.Addr().AsSlice()), Port: a.Port()}
}
