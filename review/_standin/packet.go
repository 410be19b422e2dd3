package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagFIN     = 1
	flagACK     = 2
	flagRST     = 4
	flagBounced = 16
	flagSYN     = 128
)

const headLen = 31

// packet is a packet of a flow as PROTOCOL.md describes it.
type packet struct {
	flags    byte
	seq, ack uint32
	sum      uint32
	echo     uint32
	src, dst netip.AddrPort
	data     []byte
}

// checksum covers all fields but echo, pad and BOUNCED. Only the two ends know the key.
func (p packet) checksum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the review's stand-ins"))
	b := p.encodeWith(0, p.flags&^flagBounced, 0)
	_, _ = h.Write(b)
	return h.Sum32() | 1 // never 0, which marks a reset of the system
}

func (p packet) encodeWith(sum uint32, flags byte, echo uint32) []byte {
	b := make([]byte, headLen+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	b[2] = flags
	binary.BigEndian.PutUint32(b[3:], p.seq)
	binary.BigEndian.PutUint32(b[7:], p.ack)
	binary.BigEndian.PutUint32(b[11:], sum)
	binary.BigEndian.PutUint32(b[15:], echo)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[19:], src[:])
	binary.BigEndian.PutUint16(b[23:], p.src.Port())
	copy(b[25:], dst[:])
	binary.BigEndian.PutUint16(b[29:], p.dst.Port())
	copy(b[headLen:], p.data)
	return b
}

// encode returns the packet with its checksum.
func (p packet) encode() []byte { return p.encodeWith(p.checksum(), p.flags, 0) }

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

func decode(b []byte) (packet, bool) {
	if len(b) < headLen || len(b) != headLen+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false
	}
	addr := func(ip, port []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
	}
	return packet{
		flags: b[2], seq: binary.BigEndian.Uint32(b[3:]), ack: binary.BigEndian.Uint32(b[7:]),
		sum: binary.BigEndian.Uint32(b[11:]), echo: binary.BigEndian.Uint32(b[15:]),
		src: addr(b[19:23], b[23:]), dst: addr(b[25:29], b[29:]),
		data: append([]byte(nil), b[headLen:]...),
	}, true
}

// genuine reports whether one of the two ends wrote the packet so.
func (p packet) genuine() bool { return p.sum == p.checksum() }
