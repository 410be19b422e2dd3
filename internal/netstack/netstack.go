// Package netstack is a user-space TCP stack that exchanges IP packets through
// function calls. Agents terminate callers' connections on service addresses with
// it, and test callers open connections through the fabric with it. It wraps
// gVisor's TCP/IP library.
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
	// DefaultMTU leaves room for the outer headers and the envelope of a forwarded
	// packet within the Ethernet MTU of 1,500 bytes.
	DefaultMTU = 1280

	nicID        = 1
	linkQueueLen = 4096 // outgoing packets

	// timeWait is shorter than the two maximum segment lifetimes of RFC 9293, so
	// that a draining agent does not wait a minute for a connection that it closed
	// first.
	timeWait = 2 * time.Second
	// minRTO exceeds the round-trip time of a few milliseconds between data centres.
	minRTO = 50 * time.Millisecond
)

// Options configures a Stack.
type Options struct {
	MTU int // DefaultMTU if 0
	// Output sends one IP packet. It must not retain the slice.
	Output func(packet []byte)
	// Addrs are the stack's own addresses, used as source addresses by Dial.
	Addrs []netip.Addr
	// Keepalive applies to all connections; zero fields get the defaults.
	Keepalive Keepalive
}

// Keepalive configures TCP keepalive, which detects a silent peer.
type Keepalive struct {
	Idle     time.Duration // from the last segment to the first probe, 20 s by default
	Interval time.Duration // between probes, 10 s by default
	Probes   int           // unanswered before the connection is aborted, 3 by default
}

func (k Keepalive) withDefaults() Keepalive {
	k.Idle = cmp.Or(k.Idle, keepaliveIdle)
	k.Interval = cmp.Or(k.Interval, keepaliveInterval)
	k.Probes = cmp.Or(k.Probes, keepaliveProbes)
	return k
}

// timeout returns the time without a received segment after which a connection is
// aborted.
func (k Keepalive) timeout() time.Duration { return k.Idle + time.Duration(k.Probes)*k.Interval }

func (k Keepalive) applyTo(ep tcpip.Endpoint) {
	ep.SocketOptions().SetKeepAlive(true)
	idle := tcpip.KeepaliveIdleOption(k.Idle)
	interval := tcpip.KeepaliveIntervalOption(k.Interval)
	_ = ep.SetSockOpt(&idle)
	_ = ep.SetSockOpt(&interval)
	_ = ep.SetSockOptInt(tcpip.KeepaliveCountOption, k.Probes)
}

// Stack is a TCP/IP stack that receives packets through Inject and sends them
// through Options.Output.
type Stack struct {
	ns        *stack.Stack
	link      *channel.Endpoint
	output    func([]byte)
	keepalive Keepalive
	cancel    context.CancelFunc
	done      chan struct{}
}

// New returns a running stack, which must be closed with Close.
func New(opts Options) (*Stack, error) {
	if opts.MTU == 0 {
		opts.MTU = DefaultMTU
	}
	s := &Stack{
		ns: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol, ipv6.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link:      channel.New(linkQueueLen, uint32(opts.MTU), ""),
		output:    opts.Output,
		keepalive: opts.Keepalive.withDefaults(),
		done:      make(chan struct{}),
	}
	if err := s.configure(opts.Addrs); err != nil {
		s.ns.Destroy()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.sendPackets(ctx)
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
	timeWaitTimeout := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	rtoMin := tcpip.TCPMinRTOOption(minRTO)
	// Limits the backoff, so that even if some segments or window probes are lost,
	// one is answered within the keepalive timeout.
	maxRTO := tcpip.TCPMaxRTOOption(max(s.keepalive.Interval, minRTO))
	sack := tcpip.TCPSACKEnabled(true)
	// The library's RACK loss detection is off: with it, 25 of 30 feeds stalled
	// permanently, with no timer running, after two seconds of 30% packet loss.
	var noRACK tcpip.TCPRecovery
	for _, opt := range []tcpip.SettableTransportProtocolOption{&timeWaitTimeout, &rtoMin, &maxRTO, &sack, &noRACK} {
		if err := s.ns.SetTransportProtocolOption(tcp.ProtocolNumber, opt); err != nil {
			return trace.Errorf("set TCP option %T: %v", opt, err)
		}
	}
	return nil
}

func (s *Stack) sendPackets(ctx context.Context) {
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

// Inject delivers one received IP packet to the stack, which copies it.
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
	if ep, ok := ep.(tcpip.Endpoint); ok { // not if the connection has already ended
		s.keepalive.applyTo(ep)
	}
	return conn, nil
}

// Close aborts all connections and stops the stack.
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
