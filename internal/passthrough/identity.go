package passthrough

import (
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// A port may open another flow after the last one from it has closed, also at another target.
// The target's sequence numbers tell successive flows of the same addresses and ports apart:
// a target starts each flow at a number of its own, and the caller's packets acknowledge what
// the target of their flow has sent.

const (
	// maxAckAdvance bounds the bytes that a target has sent on a flow. It answers a late copy of
	// the opening packet with the sequence number of its first answer, which the caller has
	// acknowledged since; a target that holds another flow or none answers with another one.
	maxAckAdvance = 1 << 24
	// maxUnseenBytes bounds the bytes in flight that an agent which has just started has not
	// seen: more than a target sends before the caller must acknowledge.
	maxUnseenBytes = 1 << 16
)

// ackRange holds the acknowledgement numbers that a caller may send on a flow. The zero value
// contains all.
type ackRange struct {
	known      bool
	estimated  bool // end is an upper bound until the target's next packet
	first, end uint32
}

// contains reports whether the flow's caller may have sent the acknowledgement number.
func (r ackRange) contains(ack uint32) bool {
	return !r.known || ack-r.first <= r.end-r.first+maxUnseenBytes
}

// extend adds a packet of the target.
func (r *ackRange) extend(s segment.Segment) {
	end := s.Seq + uint32(s.DataLen)
	if s.Flags.Has(segment.FIN) {
		end++
	}
	switch {
	case s.Flags.Has(segment.RST):
	case s.Accepts() && !r.known:
		*r = ackRange{known: true, first: s.Seq + 1, end: s.Seq + 1}
	case s.Accepts(): // a copy
	case r.estimated:
		r.estimated, r.end = false, end
	case !r.known:
		*r = ackRange{known: true, first: s.Seq - maxAckAdvance, end: end}
	case int32(end-r.end) > 0:
		r.end = end
	}
}

// opensAnother reports whether an answer to an opening packet is of another flow than this
// one: the caller has abandoned this one and opened the next at the same target.
func (f *flow) opensAnother(s segment.Segment) bool {
	return s.Accepts() && f.phase == phaseEstablished && f.sent.known && !f.sent.contains(s.Seq+1)
}

// statusOfAnother is the status of another flow of the same addresses and ports than f.
func (f *flow) statusOfAnother(mayHoldUnseen bool) steerwire.FlowStatus {
	// The opening of a later flow at this target passes this process too, and would have
	// replaced the entry.
	if f.closed && (f.openedHere || !mayHoldUnseen) {
		return steerwire.NotHeld
	}
	return steerwire.Unsure // a late packet must not cause a reset of the open flow
}
