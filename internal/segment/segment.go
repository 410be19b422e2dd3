// Package segment describes one packet of a flow without its encoding, so that
// cores can steer packets of any format. A Codec reads and builds the encoding.
package segment

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Flags are the control bits of a segment.
type Flags uint8

// The control bits. Bounced marks a packet that a target handed back because it
// does not hold the flow or cannot accept it.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	Bounced
)

// Has reports whether all bits of g are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// Segment is what a core sees of a packet. Flow is always in the direction from
// the caller to the service; FromTarget tells which end sent the packet.
type Segment struct {
	Flow       model.Flow
	FromTarget bool
	Flags      Flags
	Seq, Ack   uint32
	DataLen    int
}

// Opens reports whether the segment asks for a new flow.
func (s Segment) Opens() bool { return s.Flags.Has(SYN) && !s.Flags.Has(ACK) }

// Accepts reports whether the segment is a target's answer to an opening one.
func (s Segment) Accepts() bool { return s.Flags.Has(SYN | ACK) }

// Codec reads and builds packets of one format. Implementations keep no state.
type Codec interface {
	// Parse reads a packet. fromTarget tells which end of the flow sent it; a
	// bounced packet keeps the direction in which its caller sent it.
	Parse(b []byte, fromTarget bool) (Segment, error)
	// ClearBounced makes a bounced packet deliverable to another target, in place.
	ClearBounced(b []byte)
	// Reset appends to dst a reset of the flow for the caller. ack is the last
	// acknowledgement number seen from the caller, or any value before the flow opened.
	Reset(dst []byte, flow model.Flow, ack uint32) []byte
}
