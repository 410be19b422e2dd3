package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/leastload"
)

// candidate is a target that accepts a flow, with its load as input of the strategy.
type candidate struct {
	target *target
	load   leastload.Candidate
}

// handleOpening handles the opening packet of a flow, or a retransmission of it.
func (c *Core) handleOpening(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f != nil && f.ntried == 0 && !f.opened {
		return // queued for a target
	}
	if f != nil && (f.opened || now.Sub(f.openingAt) < openTimeout) {
		// The target's answer to the caller may have been lost. The same target answers
		// again, while another one would open the flow a second time.
		f.lastSeen = now
		c.forward(s.Flow, f.target, f.service, raw)
		return
	}
	if f == nil {
		route, ok := c.config.Routes[s.Flow.Dst]
		if !ok {
			c.log(Entry{Event: "refused", Flow: s.Flow, Reason: "no_route", Version: c.version()})
			c.reset(s.Flow, s.Ack, "no_route")
			return
		}
		if len(c.flows) >= maxFlows {
			c.count(CounterDropped, "flow_table_full")
			return
		}
		c.forgetFlow(s.Flow) // an earlier flow with the same addresses
		f = &flow{service: route.service(s.Flow.Hash())}
		c.flows[s.Flow] = f
	}
	f.syn = append(f.syn[:0], raw...)
	f.lastSeen, f.seq = now, s.Seq
	c.placeFlow(now, s.Flow, f)
}

// service returns the service of a flow with this hash. The hash selects one of the
// route's shares, so that all balancers make the same choice.
func (r Route) service(hash uint64) model.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	n := int(model.Mix(hash) % uint64(total))
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// placeFlow forwards the opening packet to the best target that was not tried yet.
func (c *Core) placeFlow(now time.Time, key model.Flow, f *flow) {
	best := c.chooseTarget(now, f)
	if best == nil && c.targetMayAppear(now, f) {
		c.log(Entry{Event: "waiting", Flow: key, Service: f.service, Reason: "targets_unknown", Version: c.version()})
		f.openingAt = now
		c.pendingOpenings = append(c.pendingOpenings, flowOpening{flow: key, openingAt: now})
		return
	}
	if t := c.triedTargetInDoubt(now, f); best == nil && t != nil {
		f.target, f.openingAt = t.addr, now
		c.forward(key, f.target, f.service, f.syn)
		return
	}
	if best == nil {
		// The reset informs the caller at once that its request has not run, so that it
		// can retry.
		reason := "no_target"
		if c.evacuatedOnly(f.service) {
			reason = "evacuated"
		}
		c.log(Entry{Event: "refused", Flow: key, Service: f.service, Reason: reason, Version: c.version(), Detail: int(f.ntried)})
		c.reset(key, f.ack, reason)
		delete(c.flows, key)
		return
	}
	best.assigned++
	f.addTried(best.addr)
	f.openingAt, f.unanswered, f.opened = now, true, false
	c.sentOpenings = append(c.sentOpenings, flowOpening{flow: key, openingAt: now})
	c.log(Entry{
		Event: "placed", Flow: key, Service: f.service, Target: best.addr,
		Version: c.version(), Age: now.Sub(best.lastReport), Detail: int(f.ntried),
	})
	c.forward(key, best.addr, f.service, f.syn)
}

// triedTargetInDoubt returns a running target that was sent the opening packet and has not
// returned it, or nil. It may have opened the flow, because the notice may be lost.
func (c *Core) triedTargetInDoubt(now time.Time, f *flow) *target {
	for i, a := range f.tried[:f.ntried] {
		t := c.targets[a]
		if f.refused&(1<<i) != 0 || t == nil || !c.reachable(now, t) {
			continue
		}
		if t.report.State == steerwire.TargetReady || t.report.State == steerwire.TargetDraining {
			return t
		}
	}
	return nil
}

// targetMayAppear reports whether a target for the flow may become available shortly,
// because the balancer or an agent of the service has just started.
func (c *Core) targetMayAppear(now time.Time, f *flow) bool {
	if f.ntried > 0 || len(c.pendingOpenings) >= maxPendingOpenings {
		return false
	}
	ts := c.byService[f.service]
	if len(ts) == 0 {
		return now.Sub(c.started) < startupPeriod
	}
	return slices.ContainsFunc(ts, func(t *target) bool {
		return c.reachable(now, t) && t.report.State == steerwire.TargetUnknown
	})
}

// placePending places the queued opening packets of a service.
func (c *Core) placePending(now time.Time, service model.ServiceName) {
	rest := c.pendingOpenings[:0]
	var due []flowOpening
	for _, p := range c.pendingOpenings {
		if f := c.flows[p.flow]; f != nil && f.service == service {
			due = append(due, p)
		} else if f != nil {
			rest = append(rest, p)
		}
	}
	c.pendingOpenings = rest
	for _, p := range due {
		c.placeFlow(now, p.flow, c.flows[p.flow])
	}
}

// refuseOverduePending refuses the opening packets queued for pendingOpeningTimeout.
func (c *Core) refuseOverduePending(now time.Time) {
	due := 0
	for _, p := range c.pendingOpenings {
		if now.Sub(p.openingAt) < pendingOpeningTimeout {
			break
		}
		due++
		if f := c.flows[p.flow]; f != nil && f.ntried == 0 {
			c.log(Entry{Event: "refused", Flow: p.flow, Service: f.service, Reason: "no_target", Version: c.version(), Age: now.Sub(p.openingAt)})
			c.reset(p.flow, f.ack, "no_target")
			delete(c.flows, p.flow)
		}
	}
	c.pendingOpenings = append(c.pendingOpenings[:0], c.pendingOpenings[due:]...)
}

// chooseTarget returns the target for a new flow, or nil. Suspect or unreachable targets
// are chosen only if there are no others.
func (c *Core) chooseTarget(now time.Time, f *flow) *target {
	for _, includeSuspects := range []bool{false, true} {
		c.candidates = c.candidates[:0]
		for _, t := range c.byService[f.service] {
			if f.wasTried(t.addr) || !c.acceptsFlows(now, t, includeSuspects) || len(c.candidates) >= maxCandidates {
				continue
			}
			c.candidates = append(c.candidates, candidate{target: t, load: t.candidate(now, c.options.DataCentre)})
		}
		if len(c.candidates) == 0 {
			continue
		}
		loads := make([]leastload.Candidate, 0, 64)
		for _, k := range c.candidates {
			loads = append(loads, k.load)
		}
		return c.candidates[leastload.Pick(c.nextRandom(), loads)].target
	}
	return nil
}

// handleSubsequent handles a packet other than the opening packet.
func (c *Core) handleSubsequent(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f != nil {
		if t := c.targets[f.target]; t == nil || c.unavailable(now, t) || t.reported && t.report.Service != f.service {
			delete(c.flows, s.Flow) // the flow may have ended, or another agent may hold it
			f = nil
		}
	}
	if f == nil {
		c.lookUpHolder(now, s, raw, true)
		return
	}
	if sameFlow(f.seq, s.Seq) {
		f.seq = s.Seq
	}
	f.lastSeen, f.ack = now, s.Ack
	c.forwardShaped(now, f, s, raw)
}

// handleRefuse handles a packet that an agent returned.
func (c *Core) handleRefuse(now time.Time, from netip.AddrPort, r steerwire.Refuse, s segment.Segment) {
	f := c.flows[s.Flow]
	if s.Opens() {
		if f == nil {
			return // the flow was dropped meanwhile
		}
		if t := c.targets[from]; t != nil && r.Reason != steerwire.ReasonFull && r.Reason != steerwire.ReasonCold {
			t.suspectUntil = now.Add(suspectDuration) // its next report ends this early
		}
		f.addRefused(from)
		if f.target == from && f.opened && !sameFlow(f.seq, s.Seq) {
			c.placeNextFlow(now, s, r.Packet, f)
			return
		}
		if f.target != from || f.opened {
			return // the opening packet was forwarded to another target or has been answered
		}
		c.count(CounterMoved, r.Reason.String())
		c.log(Entry{Event: "moved", Flow: s.Flow, Service: f.service, Target: from, Reason: r.Reason.String(), Version: c.version(), Detail: int(f.ntried)})
		c.placeFlow(now, s.Flow, f)
		return
	}
	l := c.lookups[s.Flow]
	if l != nil && !l.idle && slices.Contains(l.probing, from) {
		c.handleReturnedProbe(now, s.Flow, l, from, r.Reason)
		return
	}
	if r.Reason == steerwire.ReasonLost && (f == nil || f.target == from) && (l == nil || sameFlow(l.ack, s.Ack)) {
		// The agent has seen that the target held the flow and lost it: the flow is over.
		c.log(Entry{Event: "reset", Flow: s.Flow, Target: from, Reason: r.Reason.String(), Version: c.version()})
		c.reset(s.Flow, s.Ack, r.Reason.String())
		delete(c.flows, s.Flow)
		return
	}
	if r.Reason == steerwire.ReasonOtherFlow {
		c.handleOtherFlow(now, from, r, s, f)
		return
	}
	// Another target holds the flow: the opening packet was sent to several targets, or
	// the flow table is out of date.
	if f != nil && f.target != from {
		c.forward(s.Flow, f.target, f.service, r.Packet)
		return
	}
	if f == nil && l != nil && l.misplaced && !l.idle {
		c.handleReturnedProbe(now, s.Flow, l, from, r.Reason)
		return
	}
	if f != nil {
		f.removeTried(from)
		if f.ntried > 0 {
			f.target, f.opened = f.tried[0], true
			c.log(Entry{Event: "redirected", Flow: s.Flow, Service: f.service, Target: f.target, Reason: r.Reason.String(), Version: c.version(), Detail: int(f.ntried)})
			c.forward(s.Flow, f.target, f.service, r.Packet)
			return
		}
		delete(c.flows, s.Flow)
	}
	c.lookUpHolder(now, s, r.Packet, false)
	if l := c.lookups[s.Flow]; l != nil {
		l.misplaced = true
	}
}

// handleOpened records that a target answered an opening packet.
func (c *Core) handleOpened(now time.Time, from netip.AddrPort, o steerwire.Opened) {
	f := c.flows[o.Flow]
	if f == nil || f.opened && c.lookups[o.Flow] != nil {
		c.handleConfirmedProbe(now, from, o)
		return
	}
	if f.opened {
		return
	}
	if f.unanswered {
		reason := "first_target"
		if f.ntried > 1 {
			reason = "later_target"
		}
		c.observe(LatencyOpen, reason, now.Sub(f.openingAt))
	}
	f.target, f.opened, f.unanswered = from, true, false
	f.syn = nil
}

// retryOverdueOpenings retries opening packets without an answer at another target.
func (c *Core) retryOverdueOpenings(now time.Time) {
	due := 0
	for _, p := range c.sentOpenings {
		if now.Sub(p.openingAt) < openTimeout {
			break
		}
		due++
		f := c.flows[p.flow]
		if f == nil || !f.unanswered || f.opened || !f.openingAt.Equal(p.openingAt) {
			continue
		}
		if t := c.targets[f.target]; t != nil && now.Sub(t.lastReport) > openTimeout {
			t.suspectUntil = now.Add(suspectDuration)
		}
		f.unanswered = false
		if f.ntried >= maxTried || c.chooseTarget(now, f) == nil {
			continue // a retransmission by the caller may still reach a tried target
		}
		c.count(CounterMoved, "timeout")
		c.log(Entry{Event: "moved", Flow: p.flow, Service: f.service, Target: f.target, Reason: "timeout", Version: c.version(), Age: now.Sub(p.openingAt), Detail: int(f.ntried)})
		c.placeFlow(now, p.flow, f)
	}
	c.sentOpenings = append(c.sentOpenings[:0], c.sentOpenings[due:]...)
}

// expireIdleFlows removes flows that have been idle for longer than the idle timeout.
func (c *Core) expireIdleFlows(now time.Time) {
	if now.Sub(c.lastIdleSweep) < time.Second || c.config == nil {
		return
	}
	c.lastIdleSweep = now
	idle := c.config.IdleTimeout
	if idle <= 0 {
		idle = c.options.FlowTTL
	}
	for k, f := range c.flows {
		if now.Sub(f.lastSeen) > idle {
			delete(c.flows, k)
		}
	}
}
