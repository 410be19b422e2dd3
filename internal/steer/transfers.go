package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/shaping"
)

// transferPacket names a packet of a transfer.
type transferPacket struct {
	flow model.Flow
	seq  uint32
	fin  bool
}

// heldPacket is a packet of a transfer that waits for the link.
type heldPacket struct {
	flow model.Flow
	raw  []byte
}

// CounterTransfers counts packets of transfers that did not leave at once.
const CounterTransfers = "steer_transfer_packets"

// shape sends a packet of a flow's caller, or lets it wait for the link if it is part
// of a transfer. A full packet makes a flow a transfer until its next opening; its
// acknowledgements pass.
func (c *Core) shape(now time.Time, f *flow, s segment.Segment, raw []byte) {
	f.transfer = f.transfer || c.o.FullSegment > 0 && s.DataLen >= c.o.FullSegment
	if !f.transfer || s.DataLen == 0 && !s.Flags.Has(segment.FIN) {
		c.forward(s.Flow, f.target, f.service, raw)
		return
	}
	key := transferPacket{s.Flow, s.Seq, s.Flags.Has(segment.FIN)}
	switch c.transfers.Offer(now, key, len(raw), func() heldPacket { return heldPacket{s.Flow, slices.Clone(raw)} }) {
	case shaping.Pass:
		c.forward(s.Flow, f.target, f.service, raw)
	case shaping.Queued:
		c.count(CounterTransfers, "waited")
	case shaping.Duplicate:
		c.count(CounterTransfers, "copy")
	case shaping.Full:
		c.count(CounterTransfers, "link_full")
	}
}

// releaseTransfers sends the packets of transfers for which the link has room.
func (c *Core) releaseTransfers(now time.Time) {
	if c.transfers.Len() == 0 {
		return
	}
	for _, p := range c.transfers.Release(now) {
		if f := c.flows[p.flow]; f != nil && f.target != (netip.AddrPort{}) {
			c.forward(p.flow, f.target, f.service, p.raw)
		}
	}
	c.released = now
}
