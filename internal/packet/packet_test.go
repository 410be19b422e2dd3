package packet

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var (
	caller4  = netip.MustParseAddrPort("198.51.100.7:40001")
	service4 = netip.MustParseAddrPort("10.80.0.1:80")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40001")
	service6 = netip.MustParseAddrPort("[2001:db8:80::1]:80")
)

// buildPacket serializes a packet with gopacket. edit, which may be nil, changes
// the TCP header first.
func buildPacket(t testing.TB, src, dst netip.AddrPort, proto model.Protocol, payload int, edit func(*layers.TCP)) []byte {
	t.Helper()
	ip := ipHeaderOfReset(model.Flow{Src: dst, Dst: src, Proto: proto})
	var transport gopacket.SerializableLayer
	if proto == model.TCP {
		tcp := &layers.TCP{SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), ACK: true, Seq: 1000, Ack: 2000}
		if edit != nil {
			edit(tcp)
		}
		_ = tcp.SetNetworkLayerForChecksum(ip)
		transport = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
		_ = udp.SetNetworkLayerForChecksum(ip)
		transport = udp
		switch ip := ip.(type) {
		case *layers.IPv4:
			ip.Protocol = layers.IPProtocolUDP
		case *layers.IPv6:
			ip.NextHeader = layers.IPProtocolUDP
		}
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, transport, gopacket.Payload(make([]byte, payload))); err != nil {
		t.Fatal(err)
	}
	return append([]byte(nil), buf.Bytes()...)
}

func makeSYN(tcp *layers.TCP) {
	tcp.SYN, tcp.ACK, tcp.Ack = true, false, 0
	tcp.Options = []layers.TCPOption{{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 0xb4}}}
}

// Guards against fields read at a wrong offset in either IP version, and against
// padding counted as payload.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name     string
		src, dst netip.AddrPort
		proto    model.Protocol
		edit     func(*layers.TCP)
		opening  bool
	}{
		{"IPv4 SYN", caller4, service4, model.TCP, makeSYN, true},
		{"IPv4 SYN and ACK", caller4, service4, model.TCP, func(t *layers.TCP) { t.SYN = true }, false},
		{"IPv4 data", caller4, service4, model.TCP, nil, false},
		{"IPv4 UDP", caller4, service4, model.UDP, nil, true},
		{"IPv6 SYN", caller6, service6, model.TCP, makeSYN, true},
		{"IPv6 FIN", caller6, service6, model.TCP, func(t *layers.TCP) { t.FIN = true }, false},
		{"IPv6 UDP", caller6, service6, model.UDP, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p Parser
			var info Info
			data := buildPacket(t, c.src, c.dst, c.proto, 33, c.edit)
			is.NoErr(p.Parse(append(data, make([]byte, 6)...), &info))
			is.Equal(info.Flow, model.Flow{Src: c.src, Dst: c.dst, Proto: c.proto})
			is.Equal(info.PayloadLen, 33)
			is.Equal(info.TotalLen, len(data))
			is.Equal(info.Opening(), c.opening)
			if c.proto == model.TCP {
				is.Equal(info.Seq, uint32(1000))
				is.Equal(info.AckNum != 0, info.ACK)
			}
		})
	}
}

// Guards against accepting a packet without a valid flow, and against counting a
// refusal under the wrong reason.
func TestRefusals(t *testing.T) {
	tcp4 := func(edit func([]byte)) []byte {
		b := buildPacket(t, caller4, service4, model.TCP, 10, nil)
		edit(b)
		binary.BigEndian.PutUint16(b[10:], 0)
		binary.BigEndian.PutUint16(b[10:], ^onesComplementSum(b[:20]))
		return b
	}
	tcp6 := func(edit func([]byte)) []byte {
		b := buildPacket(t, caller6, service6, model.TCP, 10, nil)
		edit(b)
		return b
	}
	udp4 := func(length byte) []byte {
		b := buildPacket(t, caller4, service4, model.UDP, 1, nil)
		b[25] = length
		return b
	}
	unchanged := func([]byte) {}
	badChecksum := tcp4(unchanged)
	badChecksum[19] ^= 1 // destination address
	for _, c := range []struct {
		name string
		data []byte
		want Error
	}{
		{"empty", nil, ErrTruncated},
		{"version", []byte{0x50, 0, 0, 0}, ErrProtocol},
		{"half an IPv4 header", tcp4(unchanged)[:12], ErrTruncated},
		{"half an IPv6 header", tcp6(unchanged)[:39], ErrTruncated},
		{"IPv4 cut off", tcp4(unchanged)[:45], ErrOversized},
		{"IPv6 cut off", tcp6(unchanged)[:60], ErrOversized},
		{"IPv6 above the limit", append(tcp6(func(b []byte) { b[4], b[5] = 0xff, 0xff }), make([]byte, 65535)...), ErrOversized},
		{"IPv4 length 0", tcp4(func(b []byte) { b[2], b[3] = 0, 0 }), ErrMalformed},
		{"IPv4 header length", tcp4(func(b []byte) { b[0] = 0x44 }), ErrMalformed},
		{"IPv4 checksum", badChecksum, ErrChecksum},
		{"IPv4 first fragment", tcp4(func(b []byte) { b[6] = 0x20 }), ErrFragment},
		{"IPv4 later fragment", tcp4(func(b []byte) { b[6], b[7] = 0, 5 }), ErrFragment},
		{"IPv6 fragment", tcp6(func(b []byte) { b[6] = 44 }), ErrFragment},
		{"IPv6 hop-by-hop", tcp6(func(b []byte) { b[6] = 0 }), ErrProtocol},
		{"ICMP", tcp4(func(b []byte) { b[9] = 1 }), ErrProtocol},
		{"IPv4 without TCP header", tcp4(func(b []byte) { b[2], b[3] = 0, 30 }), ErrTruncated},
		{"TCP options cut off", tcp4(func(b []byte) { b[32] = 0xf0 }), ErrTruncated},
		{"TCP header length", tcp4(func(b []byte) { b[32] = 0x40 }), ErrMalformed},
		{"SYN and FIN", tcp4(func(b []byte) { b[33] = 0x03 }), ErrMalformed},
		{"source port 0", tcp4(func(b []byte) { b[20], b[21] = 0, 0 }), ErrAddress},
		{"multicast source", tcp4(func(b []byte) { b[12] = 224 }), ErrAddress},
		{"IPv4 in IPv6", tcp6(func(b []byte) { copy(b[8:], make([]byte, 10)); b[18], b[19] = 0xff, 0xff }), ErrAddress},
		{"UDP length 0", udp4(0), ErrMalformed},
		{"UDP length beyond the packet", udp4(200), ErrOversized},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p Parser
			var info Info
			is.Equal(p.Parse(c.data, &info), error(c.want))
		})
	}
}

// Guards against an allocation for every packet.
func TestParseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var p Parser
	var info Info
	for _, data := range [][]byte{
		buildPacket(t, caller4, service4, model.TCP, 100, makeSYN), buildPacket(t, caller6, service6, model.TCP, 100, makeSYN),
		buildPacket(t, caller4, service4, model.UDP, 100, nil)} {
		is.Equal(testing.AllocsPerRun(100, func() { _ = p.Parse(data, &info) }), 0.0)
	}
}

// Guards against resets that a caller would ignore because of wrong sequence
// numbers, flags or checksums.
func TestReset(t *testing.T) {
	for _, c := range []struct {
		name     string
		src, dst netip.AddrPort
		edit     func(*layers.TCP)
		seq, ack uint32
		flagACK  bool
	}{
		{"with ACK", caller4, service4, nil, 2000, 0, false},
		{"with ACK IPv6", caller6, service6, nil, 2000, 0, false},
		{"SYN", caller4, service4, makeSYN, 0, 1000 + 5 + 1, true},
		{"FIN without ACK", caller6, service6, func(t *layers.TCP) { t.ACK, t.FIN = false, true }, 0, 1000 + 5 + 1, true},
		{"sequence wraps", caller4, service4, func(t *layers.TCP) { makeSYN(t); t.Seq = 0xffffffff }, 0, 5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p Parser
			var info, reset Info
			is.NoErr(p.Parse(buildPacket(t, c.src, c.dst, model.TCP, 5, c.edit), &info))
			var b ResetBuilder
			_, err := b.Append(nil, &info)
			is.NoErr(err)
			out, err := b.Append(nil, &info) // the second call reuses the buffer
			is.NoErr(err)
			is.NoErr(p.Parse(out, &reset)) // verifies the IPv4 checksum
			is.Equal(reset, Info{Flow: model.Flow{Src: c.dst, Dst: c.src, Proto: model.TCP},
				RST: true, ACK: c.flagACK, Seq: c.seq, AckNum: c.ack, TotalLen: len(out)})
			is.Equal(transportSum(out), uint16(0xffff))
			_, err = b.Append(nil, &reset)
			is.Equal(err, error(ErrNoReset)) // a reset is never answered with a reset
		})
	}
}

// transportSum returns the ones' complement sum of a packet's pseudo header and
// TCP segment, which is 0xffff if the checksum is right.
func transportSum(b []byte) uint16 {
	addrs, segment := b[12:20], b[20:]
	if b[0]>>4 == 6 {
		addrs, segment = b[8:40], b[40:]
	}
	pseudo := append([]byte{0, 6, byte(len(segment) >> 8), byte(len(segment))}, addrs...)
	return onesComplementSum(append(pseudo, segment...))
}

// Guards against panics, lengths beyond the data and resets that do not parse.
func FuzzParse(f *testing.F) {
	for _, ends := range [][2]netip.AddrPort{{caller4, service4}, {caller6, service6}} {
		f.Add(buildPacket(f, ends[0], ends[1], model.TCP, 9, makeSYN))
		f.Add(buildPacket(f, ends[0], ends[1], model.TCP, 9, nil))
		f.Add(buildPacket(f, ends[0], ends[1], model.UDP, 9, nil))
	}
	f.Add([]byte{0x4f, 0, 0, 20})
	f.Fuzz(func(t *testing.T, data []byte) {
		var p Parser
		var info, reset Info
		if err := p.Parse(data, &info); err != nil {
			if _, ok := err.(Error); !ok {
				t.Fatalf("error %T has no drop reason", err)
			}
			return
		}
		if info.TotalLen > len(data) || info.PayloadLen < 0 || info.PayloadLen > info.TotalLen {
			t.Fatalf("sizes of %+v exceed the %d bytes", info, len(data))
		}
		out, err := new(ResetBuilder).Append(nil, &info)
		if err != nil {
			return
		}
		if err := p.Parse(out, &reset); err != nil || reset.Flow.Dst != info.Flow.Src {
			t.Fatalf("reset %+v: %v", reset, err)
		}
	})
}
