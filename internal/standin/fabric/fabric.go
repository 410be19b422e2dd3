// Package fabric is a stand-in for the platform's network between callers and
// balancers. It sends each packet of a caller to a random balancer and delivers
// each packet of an agent to the caller it is addressed to. It can lose, delay and
// reorder packets, and it can drop all packets of a caller.
//
// In both directions a UDP datagram carries one IP packet.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const maxDatagram = 65536 // bytes

// Faults are the simulated faults of the network. The zero value has none.
type Faults struct {
	Loss     float64       // probability that a packet is lost, 0 to 1
	MinDelay time.Duration // one way
	MaxDelay time.Duration // a range of delays reorders packets
}

// Counters counts packets.
type Counters struct {
	FromCallers, ToCallers, Lost, Blackholed, NoCaller, NoBalancer uint64
}

// Fabric connects callers to balancers.
type Fabric struct {
	conn *net.UDPConn

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	balancers  []netip.AddrPort
	callers    map[netip.Addr]func([]byte)
	blackholed map[netip.Addr]bool // callers whose packets are dropped, see Blackhole

	fromCallers, toCallers, lost, blackholedPackets, noCaller, noBalancer atomic.Uint64
}

// New returns a fabric that receives the agents' packets on a free loopback
// port. Random choices derive from seed.
func New(seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Bursts of many flows arrive faster than a single goroutine reads them.
	_ = conn.SetReadBuffer(4 << 20)
	return &Fabric{
		conn:       conn,
		rng:        rand.New(rand.NewPCG(seed, seed)),
		callers:    make(map[netip.Addr]func([]byte)),
		blackholed: make(map[netip.Addr]bool),
	}, nil
}

// ReturnAddr returns the address to which agents send packets for callers.
func (f *Fabric) ReturnAddr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetBalancers replaces the fabric addresses of the balancers.
func (f *Fabric) SetBalancers(addrs ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), addrs...)
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Blackhole drops all further packets to and from a caller's address, like a
// middlebox that has lost the state of the caller's flows.
func (f *Fabric) Blackhole(caller netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholed[caller] = true
}

// Attach registers a caller. deliver receives its packets and must not retain them.
func (f *Fabric) Attach(caller netip.Addr, deliver func(packet []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[caller] = deliver
}

// Detach removes a caller.
func (f *Fabric) Detach(caller netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, caller)
}

// Run delivers packets from agents to callers until ctx is done.
func (f *Fabric) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		f.deliver(buf[:n])
	}
}

func (f *Fabric) deliver(packet []byte) {
	addr, ok := packetAddr(packet, destination)
	if !ok {
		return
	}
	f.mu.Lock()
	deliver := f.callers[addr]
	blackholed := f.blackholed[addr]
	delay, lost := f.drawFaults()
	f.mu.Unlock()
	switch {
	case deliver == nil:
		f.noCaller.Add(1)
	case blackholed:
		f.blackholedPackets.Add(1)
	case lost:
		f.lost.Add(1)
	default:
		f.toCallers.Add(1)
		deliverAfter(delay, packet, deliver)
	}
}

// Send sends one packet from a caller to a random balancer.
func (f *Fabric) Send(packet []byte) {
	addr, ok := packetAddr(packet, source)
	if !ok {
		return
	}
	f.mu.Lock()
	var to netip.AddrPort
	if len(f.balancers) > 0 {
		to = f.balancers[f.rng.IntN(len(f.balancers))]
	}
	blackholed := f.blackholed[addr]
	delay, lost := f.drawFaults()
	f.mu.Unlock()
	switch {
	case !to.IsValid():
		f.noBalancer.Add(1)
	case blackholed:
		f.blackholedPackets.Add(1)
	case lost:
		f.lost.Add(1)
	default:
		f.fromCallers.Add(1)
		deliverAfter(delay, packet, func(p []byte) { _, _ = f.conn.WriteToUDPAddrPort(p, to) })
	}
}

// Counters returns the counts so far.
func (f *Fabric) Counters() Counters {
	return Counters{
		FromCallers: f.fromCallers.Load(), ToCallers: f.toCallers.Load(), Lost: f.lost.Load(),
		Blackholed: f.blackholedPackets.Load(), NoCaller: f.noCaller.Load(), NoBalancer: f.noBalancer.Load(),
	}
}

// drawFaults picks the delay of one packet and whether it is lost. f.mu is held.
func (f *Fabric) drawFaults() (time.Duration, bool) {
	lost := f.faults.Loss > 0 && f.rng.Float64() < f.faults.Loss
	delay := f.faults.MinDelay
	if spread := f.faults.MaxDelay - f.faults.MinDelay; spread > 0 {
		delay += time.Duration(f.rng.Int64N(int64(spread)))
	}
	return delay, lost
}

func deliverAfter(delay time.Duration, packet []byte, deliver func([]byte)) {
	if delay == 0 {
		deliver(packet)
		return
	}
	packetCopy := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { deliver(packetCopy) })
}

// addrField selects an address field of the IP header.
type addrField int

const (
	source addrField = iota
	destination
)

func packetAddr(packet []byte, field addrField) (netip.Addr, bool) {
	if len(packet) >= 20 && packet[0]>>4 == 4 {
		off := 12 + 4*int(field)
		return netip.AddrFrom4([4]byte(packet[off : off+4])), true
	}
	if len(packet) >= 40 && packet[0]>>4 == 6 {
		off := 8 + 16*int(field)
		return netip.AddrFrom16([16]byte(packet[off : off+16])), true
	}
	return netip.Addr{}, false
}
