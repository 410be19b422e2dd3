// Package segment describes one packet of a flow independently of its encoding, so
// that cores can forward packets of any format. A Codec parses and builds packets.
package segment

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Flags are the control bits of a segment.
type Flags uint8

// The control bits. Bounced marks a packet that a target returned because it does
// not hold the flow or cannot accept it.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	Bounced
)

// Has reports whether all bits of g are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// Segment holds the fields of a packet that a core needs. Flow is always in the
// direction from the caller to the service; FromTarget is set if the target
// sent the packet, unless it bounced it.
type Segment struct {
	Flow       model.Flow
	FromTarget bool
	Flags      Flags
	Seq, Ack   uint32
	DataLen    int // length of the data in bytes
}

// Opens reports whether the segment opens a new flow (SYN without ACK).
func (s Segment) Opens() bool { return s.Flags.Has(SYN) && !s.Flags.Has(ACK) }

// Accepts reports whether the segment is a target's reply to an opening packet (SYN+ACK).
func (s Segment) Accepts() bool { return s.Flags.Has(SYN | ACK) }

// Codec parses and builds packets of one format. Implementations are stateless.
type Codec interface {
	// Parse parses a packet. fromTarget is set if the target sent it. A bounced packet is
	// parsed as a packet of its caller, also if fromTarget is set.
	Parse(b []byte, fromTarget bool) (Segment, error)
	// ClearBounced clears the Bounced flag in place, so that the packet can be delivered
	// to another target.
	ClearBounced(b []byte)
	// Reset appends to dst a reset of the flow, addressed to the caller. ack is the last
	// acknowledgement number received from the caller. Before the flow has opened, any value
	// is valid.
	Reset(dst []byte, flow model.Flow, ack uint32) []byte
}
