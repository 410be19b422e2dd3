package packet

import (
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// ErrNoReset is returned for a packet that must not be answered with a reset: a
// reset, or a packet other than TCP.
const ErrNoReset Error = "packet_no_reset"

// resetHopLimit is the hop limit of a reset, the usual default of hosts.
const resetHopLimit = 64

// ResetBuilder builds resets. It reuses its buffer and is not safe for
// concurrent use.
type ResetBuilder struct {
	buf gopacket.SerializeBuffer
}

// Append appends to dst an IP packet that resets the connection of the packet
// described by info, following RFC 9293 section 3.10.7.1: if that packet has ACK
// set, the reset's sequence number is its acknowledgment number; otherwise the
// reset acknowledges the whole segment.
func (b *ResetBuilder) Append(dst []byte, info *Info) ([]byte, error) {
	if info.Flow.Proto != model.TCP || info.RST {
		return dst, ErrNoReset
	}
	if b.buf == nil {
		b.buf = gopacket.NewSerializeBuffer()
	}
	tcp := layers.TCP{
		SrcPort: layers.TCPPort(info.Flow.Dst.Port()),
		DstPort: layers.TCPPort(info.Flow.Src.Port()),
		RST:     true,
	}
	if info.ACK {
		tcp.Seq = info.AckNum
	} else {
		tcp.ACK = true
		tcp.Ack = info.Seq + segmentLength(info)
	}
	ip := ipHeaderOfReset(info.Flow)
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return dst, trace.Wrap(err)
	}
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b.buf, opts, ip, &tcp); err != nil {
		return dst, trace.Wrap(err)
	}
	return append(dst, b.buf.Bytes()...), nil
}

// ipHeader is an IPv4 or IPv6 header of gopacket.
type ipHeader interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

func ipHeaderOfReset(f model.Flow) ipHeader {
	src, dst := f.Dst.Addr().AsSlice(), f.Src.Addr().AsSlice()
	if f.Dst.Addr().Is4() {
		return &layers.IPv4{Version: 4, TTL: resetHopLimit, Flags: layers.IPv4DontFragment,
			Protocol: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
	}
	return &layers.IPv6{Version: 6, HopLimit: resetHopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
}

// segmentLength returns the sequence space that the segment occupies, where SYN
// and FIN count one each.
func segmentLength(info *Info) uint32 {
	n := uint32(info.PayloadLen)
	if info.SYN {
		n++
	}
	if info.FIN {
		n++
	}
	return n
}
