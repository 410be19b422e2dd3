package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// maxFlowAdvance bounds how far the sequence and acknowledgement numbers of a flow advance
// between two of its packets. Successive flows from a port start at numbers of their own.
const maxFlowAdvance = 1 << 24

// sameFlow reports whether two sequence numbers of one end, or two acknowledgement numbers,
// may be of the same flow.
func sameFlow(a, b uint32) bool {
	return a-b < maxFlowAdvance || b-a < maxFlowAdvance
}

// forgetFlow drops what is known of a flow that has ended, because its caller opens the next
// one of the same addresses and ports.
func (c *Core) forgetFlow(key model.Flow) {
	delete(c.flows, key)
	delete(c.lookups, key)
	delete(c.pendingReset, key)
}

// placeNextFlow places an opening of a port that the target of the port's last flow refused. The
// entry of that one stays if there is no other target, because the opening may be a late copy
// of an earlier flow's.
func (c *Core) placeNextFlow(now time.Time, s segment.Segment, raw []byte, last *flow) {
	route, ok := c.config.Routes[s.Flow.Dst]
	if !ok {
		return
	}
	next := &flow{service: route.service(s.Flow.Hash()), syn: slices.Clone(raw), seq: s.Seq, lastSeen: now}
	next.addTried(last.target)
	next.addRefused(last.target)
	if c.chooseTarget(now, next) == nil {
		return
	}
	c.forgetFlow(s.Flow)
	c.flows[s.Flow] = next
	c.placeFlow(now, s.Flow, next)
}

// handleOtherFlow handles a packet that an agent returned because its target holds another
// flow of the same addresses and ports. Either the caller has abandoned that one, and the
// packet's flow is looked up, or the packet is a late one: the entry is kept until another
// holder is found.
func (c *Core) handleOtherFlow(now time.Time, from netip.AddrPort, r steerwire.Refuse, s segment.Segment, f *flow) {
	if f != nil && f.target != from {
		c.forward(s.Flow, f.target, f.service, r.Packet)
		return
	}
	c.lookUpHolder(now, s, r.Packet, false)
	if l := c.lookups[s.Flow]; l != nil {
		l.misplaced = true
	}
}
