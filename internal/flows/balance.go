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
	// maxPartners is the number of agents to which an agent may hand over flows. In a
	// larger service these are the next eight agents on a ring ordered by hash, so
	// that each report has few receivers and none is older than 2 s.
	maxPartners = 8
	// reportInterval is the minimum time between two load reports.
	reportInterval = 250 * time.Millisecond
	// Reports are sent at twice the rate if the number of flows has changed by more
	// than largeChangeFlows and more than the share largeChange since the last one.
	largeChange      = 0.05
	largeChangeFlows = 8
	// unchangedReportInterval is the time between reports of an unchanged load.
	unchangedReportInterval = 3 * time.Second
	// reportTTL is the time for which a report is used. Two reports are sent within
	// it, so that at least one arrives over links that lose a few percent.
	reportTTL = 7 * time.Second
	// A flow is handed over only if the partner's load is lower by more than
	// handOverMinFlows flows and the share handOverMinShare, because a hand-over costs
	// a hop and an exception entry.
	handOverMinFlows = 2
	handOverMinShare = 0.01
)

// updatePartners selects the agents to which this agent may hand over flows and
// the agents that may hand over flows to it, which receive its load reports.
func (c *Core) updatePartners() {
	if len(c.peerOrder) <= maxPartners {
		c.partners, c.reportReceivers = c.peerOrder, c.peerOrder
		return
	}
	ring := slices.Clone(c.peerOrder)
	own := model.HashString(string(c.opt.Self))
	// Sorts by the distance on the ring from this agent.
	slices.SortFunc(ring, func(a, b *peer) int {
		if d := cmp.Compare(model.HashString(string(a.id))-own, model.HashString(string(b.id))-own); d != 0 {
			return d
		}
		return cmp.Compare(a.id, b.id)
	})
	c.partners = ring[:maxPartners]
	c.reportReceivers = ring[len(ring)-maxPartners:]
}

func (c *Core) onLoadReport(now time.Time, from model.NodeID, l model.Load) {
	if p := c.peers[from]; p != nil {
		p.loadKnown, p.load, p.loadReceivedAt, p.expectedFlows = true, l, now, 0
	}
}

// tickLoadReports sends a load report to the next receiver, in rotation, to which
// one is due.
func (c *Core) tickLoadReports(now time.Time) {
	if c.leaving || now.Before(c.nextReportAt) {
		return
	}
	own := c.Load()
	for range c.reportReceivers {
		c.nextReceiver = (c.nextReceiver + 1) % len(c.reportReceivers)
		p := c.reportReceivers[c.nextReceiver]
		if p.lastReport == own && now.Sub(p.lastReportAt) < unchangedReportInterval {
			continue
		}
		wait := reportInterval
		if diff := math.Abs(float64(own.Flows - p.lastReport.Flows)); diff > max(largeChangeFlows, largeChange*float64(own.Flows)) {
			wait /= 2
		}
		p.lastReport, p.lastReportAt = own, now
		c.nextReportAt = now.Add(wait)
		c.emit(Send{p.id, message.LoadReport{Load: own}})
		return
	}
}

// openOrHandOver opens a flow without a lookup, here or at a less loaded partner.
// The partner opens it unless it has recorded another agent as tentative holder
// in the meantime.
func (c *Core) openOrHandOver(now time.Time, p Packet, hash uint64) {
	to, ok := c.chooseTarget(now)
	switch {
	case !ok:
		c.emit(Drop{p.Ref, ReasonFlowLimit})
	case to == nil, p.Hops == 0 && !c.atLimit():
		c.openFlow(now, p.Flow, hash, []Packet{p})
	default:
		to.expectedFlows += c.competingHomes(now)
		c.emit(Count{ReasonHandedOver})
		c.recordHolder(now, hash, p.Flow, to.id, to.inc, tentativeTTL).assigned = true
		c.forward(now, p, to.id, true)
	}
}

// forwardToPartner forwards a balancer's opening packet to a less loaded partner, which
// does the lookup instead of this agent. This agent records no holder until the partner
// queries it. It reports whether the packet was forwarded.
func (c *Core) forwardToPartner(now time.Time, p Packet) bool {
	if _, agent := c.table.Member(p.From); agent || p.Hops == 0 {
		return false
	}
	to, ok := c.chooseTarget(now)
	if !ok || to == nil {
		return false
	}
	to.expectedFlows += c.competingHomes(now)
	c.emit(Count{ReasonHandedOver})
	c.forward(now, p, to.id, false)
	return true
}

// competingHomes returns the number of agents, this one included, that may hand over
// flows to the same partners.
func (c *Core) competingHomes(now time.Time) float64 {
	n := 1.0
	for _, p := range c.partners {
		if c.table.Weight(now, p.id) > 0 {
			n++
		}
	}
	return n
}

// chooseTarget returns the partner to which to hand over a new flow, nil for this
// agent itself, or false if all are at their limits.
//
// Reports are up to 2 s old, and all homes see the same target as the least
// loaded. A home that hands over one flow therefore assumes that every other home
// does the same until the next report, so that it chooses another target next.
func (c *Core) chooseTarget(now time.Time) (*peer, bool) {
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
		bestLoad -= max(handOverMinFlows/ownWeight, handOverMinShare*own)
	}
	for _, p := range c.partners {
		w := c.table.Weight(now, p.id)
		m, _ := c.table.Member(p.id)
		flows := float64(p.load.Flows) + p.expectedFlows
		if w <= 0 || !p.loadKnown || now.Sub(p.loadReceivedAt) > reportTTL || m.MaxFlows > 0 && flows >= float64(m.MaxFlows) {
			continue
		}
		if l := (flows + 1) / w; l < bestLoad {
			best, bestLoad = p, l
		}
	}
	return best, best != nil || !math.IsInf(own, 1)
}
