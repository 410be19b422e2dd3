package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/shaping"
)

// transferPacket identifies a packet of a transfer.
type transferPacket struct {
	flow model.Flow
	seq  uint32
	fin  bool
}

// delayedPacket is a packet of a transfer that is queued for the link.
type delayedPacket struct {
	flow model.Flow
	raw  []byte
}

// CounterTransfers counts packets of transfers that were not forwarded at once.
const CounterTransfers = "steer_transfer_packets"

// forwardShaped forwards a packet of a flow's caller, or queues it for the link if the
// flow is a transfer. A full-sized packet makes a flow a transfer until its next opening.
// Packets without data or FIN, such as acknowledgements, are never queued.
func (c *Core) forwardShaped(now time.Time, f *flow, s segment.Segment, raw []byte) {
	f.transfer = f.transfer || c.options.FullSegment > 0 && s.DataLen >= c.options.FullSegment
	if !f.transfer || s.DataLen == 0 && !s.Flags.Has(segment.FIN) {
		c.forward(s.Flow, f.target, f.service, raw)
		return
	}
	key := transferPacket{s.Flow, s.Seq, s.Flags.Has(segment.FIN)}
	switch c.transfers.Offer(now, key, len(raw), func() delayedPacket { return delayedPacket{s.Flow, slices.Clone(raw)} }) {
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

// releaseTransfers forwards the queued packets that the link has capacity for.
func (c *Core) releaseTransfers(now time.Time) {
	if c.transfers.Len() == 0 {
		return
	}
	for _, p := range c.transfers.Release(now) {
		if f := c.flows[p.flow]; f != nil && f.target != (netip.AddrPort{}) {
			c.forward(p.flow, f.target, f.service, p.raw)
		}
	}
	c.lastTransferRelease = now
}
