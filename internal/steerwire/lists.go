package steerwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Queries, answers and hints are lists in a compact encoding instead of CBOR: after an
// outage hundreds of flows per second are looked up at every agent, over links of
// 10 Mbit/s. An entry is a tag, the flow, and the fields of its kind. Flows are TCP.
//
//	tag: bit 0 set for IPv6 addresses, bit 1 for a hint with a target, bits 2-3 the flow status
//	flow: source address, port, destination address, port
//	query: acknowledgement number; hint with a target: address, port
const (
	tagIPv6     = 1 << 0
	tagTarget   = 1 << 1
	statusShift = 2
	statusMask  = 3
)

func appendAddr(dst []byte, a netip.AddrPort) []byte {
	return binary.BigEndian.AppendUint16(append(dst, a.Addr().AsSlice()...), a.Port())
}

// appendEntry appends the tag and the flow of an entry.
func appendEntry(dst []byte, f model.Flow, tag byte) []byte {
	if f.Src.Addr().Is6() {
		tag |= tagIPv6
	}
	return appendAddr(appendAddr(append(dst, tag), f.Src), f.Dst)
}

// listReader decodes entries. failed stays set after the first truncated entry.
type listReader struct {
	b      []byte
	failed bool
}

// next returns the next n bytes, or n zero bytes and sets failed if fewer are left.
func (r *listReader) next(n int) []byte {
	if len(r.b) < n {
		r.failed = true
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *listReader) more() bool { return len(r.b) > 0 && !r.failed }

func (r *listReader) addr(tag byte) netip.AddrPort {
	n := 4
	if tag&tagIPv6 != 0 {
		n = 16
	}
	a, _ := netip.AddrFromSlice(r.next(n)) // n is a valid address length
	return netip.AddrPortFrom(a, binary.BigEndian.Uint16(r.next(2)))
}

func (r *listReader) entry() (model.Flow, byte) {
	tag := r.next(1)[0]
	return model.Flow{Src: r.addr(tag), Dst: r.addr(tag), Proto: model.TCP}, tag
}

func (r *listReader) err() error {
	if r.failed {
		return ErrMalformed
	}
	return nil
}

func (m Query) append(dst []byte) []byte {
	for _, q := range m.Queries {
		dst = binary.BigEndian.AppendUint32(appendEntry(dst, q.Flow, 0), q.Ack)
	}
	return dst
}

func (m *Query) decode(b []byte) error {
	r := listReader{b: b}
	for r.more() {
		f, _ := r.entry()
		m.Queries = append(m.Queries, QueryEntry{Flow: f, Ack: binary.BigEndian.Uint32(r.next(4))})
	}
	return r.err()
}

func (a Answer) append(dst []byte) []byte {
	for _, e := range a.Answers {
		dst = appendEntry(dst, e.Flow, byte(e.FlowStatus)&statusMask<<statusShift)
	}
	return dst
}

func (a *Answer) decode(b []byte) error {
	r := listReader{b: b}
	for r.more() {
		f, tag := r.entry()
		e := AnswerEntry{Flow: f, FlowStatus: FlowStatus(tag >> statusShift & statusMask)}
		r.failed = r.failed || e.FlowStatus == 0
		a.Answers = append(a.Answers, e)
	}
	return r.err()
}

// append omits a target whose address family differs from the flow's.
func (h Hints) append(dst []byte) []byte {
	for _, x := range h.Hints {
		if !x.Target.IsValid() || x.Target.Addr().Is6() != x.Flow.Src.Addr().Is6() {
			dst = appendEntry(dst, x.Flow, 0)
			continue
		}
		dst = appendAddr(appendEntry(dst, x.Flow, tagTarget), x.Target)
	}
	return dst
}

func (h *Hints) decode(b []byte) error {
	r := listReader{b: b}
	for r.more() {
		f, tag := r.entry()
		x := Hint{Flow: f}
		if tag&tagTarget != 0 {
			x.Target = r.addr(tag)
		}
		h.Hints = append(h.Hints, x)
	}
	return r.err()
}
