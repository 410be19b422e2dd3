package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags field of a packet.
const (
	flagSYN     = 128
	flagBounced = 16
	flagRST     = 4
	flagACK     = 2
	flagFIN     = 1
)

const (
	headerLen = 31
	// resetWindow is how far the number of a reset may be from the caller's last
	// acknowledgement on an open flow.
	resetWindow = 76_800
)

// sumKey is the key that callers and targets share.
var sumKey = []byte("stand-ins of review 2")

// packet is one packet of a flow.
type packet struct {
	flags    byte
	seq, ack uint32
	sum      uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// end returns the sequence number after the packet.
func (p packet) end() uint32 {
	n := p.seq + uint32(len(p.data))
	if p.has(flagSYN) || p.has(flagFIN) {
		n++
	}
	return n
}

// encode returns the packet with its keyed sum.
func (p packet) encode() []byte {
	b := make([]byte, headerLen, headerLen+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	b[2] = p.flags
	binary.BigEndian.PutUint32(b[3:], p.seq)
	binary.BigEndian.PutUint32(b[7:], p.ack)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[19:], src[:])
	binary.BigEndian.PutUint16(b[23:], p.src.Port())
	copy(b[25:], dst[:])
	binary.BigEndian.PutUint16(b[29:], p.dst.Port())
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[11:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields but the sum itself, echo and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[2] &^= flagBounced
	clear(c[11:19])
	h := fnv.New32a()
	h.Write(sumKey)
	h.Write(c)
	h.Write(sumKey)
	return h.Sum32() | 1
}

// decode parses a packet. genuine is false if its sum is wrong.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headerLen || len(b) != headerLen+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false, false
	}
	p = packet{
		flags: b[2], seq: binary.BigEndian.Uint32(b[3:]), ack: binary.BigEndian.Uint32(b[7:]), sum: binary.BigEndian.Uint32(b[11:]),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[19:23])), binary.BigEndian.Uint16(b[23:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[25:29])), binary.BigEndian.Uint16(b[29:])),
		data: append([]byte(nil), b[headerLen:]...),
	}
	return p, p.sum == sumOf(b), true
}
