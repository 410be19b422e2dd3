// Package packet parses callers' IP packets and builds TCP resets for them.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/google/gopacket/layers"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// MaxSize is the size in bytes of the largest packet that is accepted. The IPv6
// payload length allows 40 bytes more, but such a packet does not fit a Forward.
const MaxSize = 65535

// Header sizes in bytes.
const (
	ipv4MinHeader = 20
	ipv6Header    = 40
	tcpMinHeader  = 20
	udpHeader     = 8
)

// Error is the reason a packet is refused. It is comparable, and its Reason
// labels a drop counter.
type Error string

// The reasons for refusing a packet.
const (
	// ErrTruncated: the data ends within a header.
	ErrTruncated Error = "packet_truncated"
	// ErrOversized: larger than MaxSize, or a length field exceeds the data.
	ErrOversized Error = "packet_oversized"
	// ErrFragment: an IP fragment; only the first fragment carries the ports.
	ErrFragment Error = "packet_fragment"
	// ErrProtocol: the IP header is not directly followed by TCP or UDP.
	ErrProtocol Error = "packet_protocol"
	// ErrMalformed: header fields contradict each other.
	ErrMalformed Error = "packet_malformed"
	// ErrChecksum: the IPv4 header checksum is wrong, so the addresses may be wrong too.
	ErrChecksum Error = "packet_checksum"
	// ErrAddress: an address or port that no flow can have.
	ErrAddress Error = "packet_address"
)

// Error implements error.
func (e Error) Error() string { return "packet refused: " + string(e) }

// Reason returns the label for the drop counter.
func (e Error) Reason() string { return string(e) }

// Info holds the parsed header fields of one packet.
type Info struct {
	Flow               model.Flow
	SYN, ACK, FIN, RST bool   // false for UDP
	Seq, AckNum        uint32 // 0 for UDP
	PayloadLen         int    // bytes after the transport header
	TotalLen           int    // bytes of the whole packet, without trailing padding
}

// Opening reports whether the packet may open a new flow: a TCP SYN without ACK,
// or any UDP packet. Only a lookup shows whether an agent already holds a UDP flow.
func (i *Info) Opening() bool {
	return i.Flow.Proto == model.UDP || i.SYN && !i.ACK
}

// Parser parses packets. It reuses its decoders and is not safe for concurrent use.
type Parser struct {
	ip4       layers.IPv4
	ip6       layers.IPv6
	tcp       layers.TCP
	udp       layers.UDP
	truncated bool
}

// SetTruncated implements gopacket.DecodeFeedback.
func (p *Parser) SetTruncated() { p.truncated = true }

// Parse reads the packet at the start of data into info. It does not allocate
// for an accepted packet, and info does not refer to data. A refused packet
// returns an Error and leaves info undefined.
func (p *Parser) Parse(data []byte, info *Info) error {
	*info = Info{}
	p.truncated = false
	if len(data) == 0 {
		return ErrTruncated
	}
	switch data[0] >> 4 {
	case 4:
		return p.parseIPv4(data, info)
	case 6:
		return p.parseIPv6(data, info)
	}
	return ErrProtocol
}

func (p *Parser) parseIPv4(data []byte, info *Info) error {
	if len(data) < ipv4MinHeader {
		return ErrTruncated
	}
	header := int(data[0]&0x0f) * 4
	size := int(binary.BigEndian.Uint16(data[2:]))
	switch {
	case header < ipv4MinHeader || size < header:
		return ErrMalformed // includes size 0, which gopacket treats as segmentation offload
	case header > len(data):
		return ErrTruncated
	case size > len(data):
		return ErrOversized
	case onesComplementSum(data[:header]) != 0xffff:
		return ErrChecksum
	}
	if err := p.ip4.DecodeFromBytes(data, p); err != nil {
		return p.decodeError()
	}
	if p.ip4.Flags&layers.IPv4MoreFragments != 0 || p.ip4.FragOffset != 0 {
		return ErrFragment
	}
	info.TotalLen = size
	src, dst := netip.AddrFrom4([4]byte(p.ip4.SrcIP)), netip.AddrFrom4([4]byte(p.ip4.DstIP))
	return p.parseTransport(p.ip4.Protocol, src, dst, p.ip4.Payload, info)
}

func (p *Parser) parseIPv6(data []byte, info *Info) error {
	if len(data) < ipv6Header {
		return ErrTruncated
	}
	size := ipv6Header + int(binary.BigEndian.Uint16(data[4:]))
	next := layers.IPProtocol(data[6])
	switch {
	case size > len(data) || size > MaxSize:
		return ErrOversized
	case next == layers.IPProtocolIPv6Fragment:
		return ErrFragment
	case next != layers.IPProtocolTCP && next != layers.IPProtocolUDP:
		return ErrProtocol // includes extension headers, which callers do not send before TCP or UDP
	}
	if err := p.ip6.DecodeFromBytes(data, p); err != nil {
		return p.decodeError()
	}
	src, dst := netip.AddrFrom16([16]byte(p.ip6.SrcIP)), netip.AddrFrom16([16]byte(p.ip6.DstIP))
	if src.Is4In6() || dst.Is4In6() {
		return ErrAddress // would have the same hash as the flow between the IPv4 addresses
	}
	info.TotalLen = size
	return p.parseTransport(next, src, dst, p.ip6.Payload, info)
}

func (p *Parser) parseTransport(proto layers.IPProtocol, src, dst netip.Addr, data []byte, info *Info) error {
	if !isUnicast(src) || !isUnicast(dst) {
		return ErrAddress
	}
	var srcPort, dstPort uint16
	switch proto {
	case layers.IPProtocolTCP:
		if len(data) < tcpMinHeader {
			return ErrTruncated
		}
		if err := p.tcp.DecodeFromBytes(data, p); err != nil {
			return p.decodeError()
		}
		if p.tcp.SYN && (p.tcp.FIN || p.tcp.RST) {
			return ErrMalformed
		}
		srcPort, dstPort = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
		info.SYN, info.ACK, info.FIN, info.RST = p.tcp.SYN, p.tcp.ACK, p.tcp.FIN, p.tcp.RST
		info.Seq, info.AckNum, info.PayloadLen = p.tcp.Seq, p.tcp.Ack, len(p.tcp.Payload)
	case layers.IPProtocolUDP:
		if len(data) < udpHeader {
			return ErrTruncated
		}
		length := int(binary.BigEndian.Uint16(data[4:]))
		if length < udpHeader {
			return ErrMalformed // includes length 0, which gopacket treats as a jumbogram
		}
		if length > len(data) {
			return ErrOversized
		}
		if err := p.udp.DecodeFromBytes(data, p); err != nil {
			return p.decodeError()
		}
		srcPort, dstPort = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
		info.PayloadLen = len(p.udp.Payload)
	default:
		return ErrProtocol
	}
	if srcPort == 0 || dstPort == 0 {
		return ErrAddress
	}
	info.Flow = model.Flow{
		Src:   netip.AddrPortFrom(src, srcPort),
		Dst:   netip.AddrPortFrom(dst, dstPort),
		Proto: model.Protocol(proto),
	}
	return nil
}

// decodeError converts an error of gopacket, which has no typed errors, into an Error.
func (p *Parser) decodeError() error {
	if p.truncated {
		return ErrTruncated
	}
	return ErrMalformed
}

func isUnicast(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && a != broadcast
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// onesComplementSum returns the 16-bit ones' complement sum of b, whose length is even.
func onesComplementSum(b []byte) uint16 {
	var sum uint32
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(b[0])<<8 | uint32(b[1])
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return uint16(sum)
}
