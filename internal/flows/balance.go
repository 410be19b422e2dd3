package flows

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// maxPartners is the number of agents that an agent may hand flows to. In a
	// larger service each agent has the next eight on a ring ordered by hash, so
	// that each report has few receivers and none is older than 2 s.
	maxPartners = 8
	// reportInterval sends at most four load reports a second.
	reportInterval = 250 * time.Millisecond
	// After a large change the reports go out at twice the rate.
	largeChange      = 0.05
	largeChangeFlows = 8
	// quietReport is the time between reports of a load that does not change.
	quietReport = 3 * time.Second
	// reportLife is how long a report counts. At least one of two reports sent
	// within it arrives over links that lose a few percent.
	reportLife = 7 * time.Second
	// A flow is handed over only when it makes a difference of handOverMin flows
	// and of the share handOverShare: it costs a hop and an entry.
	handOverMin   = 2
	handOverShare = 0.01
)

// updatePartners chooses whom this agent may hand flows to and who may hand
// flows to it.
func (c *Core) updatePartners() {
	if len(c.peerOrder) <= maxPartners {
		c.partners, c.audience = c.peerOrder, c.peerOrder
		return
	}
	ring := slices.Clone(c.peerOrder)
	own := model.HashString(string(c.opt.Self))
	// The distance on the ring from this agent, so that it has position 0.
	slices.SortFunc(ring, func(a, b *peer) int {
		if d := cmp.Compare(model.HashString(string(a.id))-own, model.HashString(string(b.id))-own); d != 0 {
			return d
		}
		return cmp.Compare(a.id, b.id)
	})
	c.partners = ring[:maxPartners]
	c.audience = ring[len(ring)-maxPartners:]
}

func (c *Core) onReport(now time.Time, from model.NodeID, l model.Load) {
	if p := c.peers[from]; p != nil {
		p.reported, p.load, p.loadAt, p.handedOver = true, l, now, 0
	}
}

// tickReports sends the next load report of the rotation.
func (c *Core) tickReports(now time.Time) {
	if c.leaving || now.Before(c.reportDue) {
		return
	}
	own := c.Load()
	for range c.audience {
		c.nextReport = (c.nextReport + 1) % len(c.audience)
		p := c.audience[c.nextReport]
		if p.told == own && now.Sub(p.toldAt) < quietReport {
			continue
		}
		wait := reportInterval
		if diff := math.Abs(float64(own.Flows - p.told.Flows)); diff > max(largeChangeFlows, largeChange*float64(own.Flows)) {
			wait /= 2
		}
		p.told, p.toldAt = own, now
		c.reportDue = now.Add(wait)
		c.emit(Send{p.id, message.LoadReport{Load: own}})
		return
	}
}

// openOrHandOver opens a flow on the fast path here or gives it to a less
// loaded partner. The partner opens it unless it has recorded another agent as
// tentative holder meanwhile.
func (c *Core) openOrHandOver(now time.Time, p Packet, hash uint64) {
	to, ok := c.choose(now)
	switch {
	case !ok:
		c.emit(Drop{p.Ref, ReasonFlowLimit})
	case to == nil, p.Hops == 0 && !c.atLimit():
		c.open(now, p.Flow, hash, []Packet{p})
	default:
		to.handedOver += c.homes(now)
		c.emit(Count{ReasonHandedOver})
		c.remember(now, hash, p.Flow, to.id, to.inc, tentativeTime).assigned = true
		c.pass(now, p, to.id, true)
	}
}

// redirect passes a balancer's opening packet to a less loaded partner, which
// asks in place of this agent. Nothing is recorded here before it asks.
func (c *Core) redirect(now time.Time, p Packet) bool {
	if _, agent := c.table.Member(p.From); agent || p.Hops == 0 {
		return false
	}
	to, ok := c.choose(now)
	if !ok || to == nil {
		return false
	}
	to.handedOver += c.homes(now)
	c.emit(Count{ReasonHandedOver})
	c.pass(now, p, to.id, false)
	return true
}

// homes returns the number of agents that may hand flows to the same partners.
func (c *Core) homes(now time.Time) float64 {
	n := 1.0
	for _, p := range c.partners {
		if c.table.Weight(now, p.id) > 0 {
			n++
		}
	}
	return n
}

// choose returns the partner to hand a new flow to, nil for this agent itself,
// or false if all are at their limits.
//
// Reports are up to 2 s old, and all homes see the same target as the least
// loaded. So a home that hands over one flow assumes that each other home does
// the same until the next report, and turns to the next target.
func (c *Core) choose(now time.Time) (*peer, bool) {
	_, inView := c.table.Member(c.opt.Self)
	ownWeight := c.table.Weight(now, c.opt.Self)
	own := math.Inf(1)
	if !c.atLimit() {
		if !inView || ownWeight <= 0 {
			return nil, true
		}
		own = float64(c.held.size+1) / ownWeight
	}
	var best *peer
	bestLoad := own
	if !math.IsInf(own, 1) {
		bestLoad -= max(handOverMin/ownWeight, handOverShare*own)
	}
	for _, p := range c.partners {
		w := c.table.Weight(now, p.id)
		m, _ := c.table.Member(p.id)
		flows := float64(p.load.Flows) + p.handedOver
		if w <= 0 || !p.reported || now.Sub(p.loadAt) > reportLife || m.MaxFlows > 0 && flows >= float64(m.MaxFlows) {
			continue
		}
		if l := (flows + 1) / w; l < bestLoad {
			best, bestLoad = p, l
		}
	}
	return best, best != nil || !math.IsInf(own, 1)
}
