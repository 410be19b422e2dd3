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

// candidate is a target that may take a flow, with its place in the strategy.
type candidate struct {
	target *target
	place  leastload.Candidate
}

// opening places the first packet of a flow, or a copy of it.
func (c *Core) opening(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f != nil && f.ntried == 0 {
		return // it waits for a target
	}
	if f != nil && (f.opened || now.Sub(f.at) < openTimeout) {
		// The answer may have been lost on its way to the caller: the same target
		// answers again, another one would open the flow twice.
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
		f = &flow{service: route.service(s.Flow.Hash())}
		c.flows[s.Flow] = f
		delete(c.asks, s.Flow) // of an earlier flow from the same port
	}
	f.syn = append(f.syn[:0], raw...)
	f.lastSeen = now
	c.place(now, s.Flow, f)
}

// service returns the service of a flow. A flow's hash decides between the
// shares of a route, so that all balancers agree.
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

// place sends the opening packet to the best target that has not had it.
func (c *Core) place(now time.Time, key model.Flow, f *flow) {
	best := c.choose(now, f)
	if best == nil && c.mayGetTarget(now, f) {
		c.log(Entry{Event: "waiting", Flow: key, Service: f.service, Reason: "targets_unknown", Version: c.version()})
		f.at = now
		c.waiting = append(c.waiting, pendingOpen{flow: key, at: now})
		return
	}
	if best == nil {
		// The caller learns at once that its request has not run, and may retry.
		c.log(Entry{Event: "refused", Flow: key, Service: f.service, Reason: "no_target", Version: c.version(), Detail: int(f.ntried)})
		c.reset(key, f.ack, "no_target")
		delete(c.flows, key)
		return
	}
	best.assigned++
	f.try(best.addr)
	f.at, f.pending, f.opened = now, true, false
	c.opens = append(c.opens, pendingOpen{flow: key, at: now})
	c.log(Entry{
		Event: "placed", Flow: key, Service: f.service, Target: best.addr,
		Version: c.version(), Age: now.Sub(best.at), Detail: int(f.ntried),
	})
	c.forward(key, best.addr, f.service, f.syn)
}

// mayGetTarget reports whether a target for the flow may become known within a
// moment: the balancer or an agent of the service has just started.
func (c *Core) mayGetTarget(now time.Time, f *flow) bool {
	if f.ntried > 0 || len(c.waiting) >= maxWaiting {
		return false
	}
	ts := c.byService[f.service]
	if len(ts) == 0 {
		return now.Sub(c.started) < startTimeout
	}
	return slices.ContainsFunc(ts, func(t *target) bool {
		return c.reachable(now, t) && t.report.State == steerwire.TargetUnknown
	})
}

// placeWaiting places the opening packets that wait for a target of a service.
func (c *Core) placeWaiting(now time.Time, service model.ServiceName) {
	rest := c.waiting[:0]
	var due []pendingOpen
	for _, p := range c.waiting {
		if f := c.flows[p.flow]; f != nil && f.service == service {
			due = append(due, p)
		} else if f != nil {
			rest = append(rest, p)
		}
	}
	c.waiting = rest
	for _, p := range due {
		c.place(now, p.flow, c.flows[p.flow])
	}
}

// overdueWaiting refuses opening packets that waited in vain.
func (c *Core) overdueWaiting(now time.Time) {
	n := 0
	for _, p := range c.waiting {
		if now.Sub(p.at) < holdTimeout {
			break
		}
		n++
		if f := c.flows[p.flow]; f != nil && f.ntried == 0 {
			c.log(Entry{Event: "refused", Flow: p.flow, Service: f.service, Reason: "no_target", Version: c.version(), Age: now.Sub(p.at)})
			c.reset(p.flow, f.ack, "no_target")
			delete(c.flows, p.flow)
		}
	}
	c.waiting = append(c.waiting[:0], c.waiting[n:]...)
}

// choose returns the target for a new flow. Targets that did not answer lately
// are used only if there is no other.
func (c *Core) choose(now time.Time, f *flow) *target {
	for _, suspects := range []bool{false, true} {
		c.cands = c.cands[:0]
		for _, t := range c.byService[f.service] {
			if f.wasTried(t.addr) || !c.takesFlows(now, t, suspects) || len(c.cands) >= maxCandidates {
				continue
			}
			c.cands = append(c.cands, candidate{target: t, place: t.candidate(now, c.o.DataCentre)})
		}
		if len(c.cands) == 0 {
			continue
		}
		places := make([]leastload.Candidate, 0, 64)
		for _, k := range c.cands {
			places = append(places, k.place)
		}
		return c.cands[leastload.Pick(c.next(), places)].target
	}
	return nil
}

// following forwards a packet of a flow that was opened before.
func (c *Core) following(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f != nil {
		if t := c.targets[f.target]; t == nil || c.gone(now, t) {
			delete(c.flows, s.Flow) // the flow may have been found elsewhere, or is over
			f = nil
		}
	}
	if f == nil {
		c.startAsk(now, s, raw, true)
		return
	}
	f.lastSeen, f.ack = now, s.Ack
	c.shape(now, f, s, raw)
}

// refused handles a packet that an agent handed back.
func (c *Core) refused(now time.Time, from netip.AddrPort, r steerwire.Refuse, s segment.Segment) {
	f := c.flows[s.Flow]
	if s.Opens() {
		if f == nil {
			return // the flow was given up meanwhile
		}
		if t := c.targets[from]; t != nil && r.Reason != steerwire.ReasonFull {
			t.suspectUntil = now.Add(suspectFor) // its next report tells its state
		}
		if f.target != from || f.opened {
			return // another target has the opening packet
		}
		c.count(CounterMoved, r.Reason.String())
		c.log(Entry{Event: "moved", Flow: s.Flow, Service: f.service, Target: from, Reason: r.Reason.String(), Version: c.version(), Detail: int(f.ntried)})
		c.place(now, s.Flow, f)
		return
	}
	if r.Reason == steerwire.ReasonLost {
		// The target held the flow and lost it, which its agent saw: the flow is over.
		c.log(Entry{Event: "reset", Flow: s.Flow, Target: from, Reason: r.Reason.String(), Version: c.version()})
		c.reset(s.Flow, s.Ack, r.Reason.String())
		delete(c.flows, s.Flow)
		return
	}
	// The flow is elsewhere: an opening packet went to several targets, or the
	// belief is old.
	if f != nil && f.target != from {
		c.forward(s.Flow, f.target, f.service, r.Packet)
		return
	}
	if f != nil {
		f.untry(from)
		if f.ntried > 0 {
			f.target, f.opened = f.tried[0], true
			c.log(Entry{Event: "redirected", Flow: s.Flow, Service: f.service, Target: f.target, Reason: r.Reason.String(), Version: c.version(), Detail: int(f.ntried)})
			c.forward(s.Flow, f.target, f.service, r.Packet)
			return
		}
		delete(c.flows, s.Flow)
	}
	c.startAsk(now, s, r.Packet, false)
}

// opened notes that a target answered an opening packet.
func (c *Core) opened(now time.Time, from netip.AddrPort, o steerwire.Opened) {
	f := c.flows[o.Flow]
	if f == nil || f.opened {
		return
	}
	if f.pending {
		reason := "first_target"
		if f.ntried > 1 {
			reason = "later_target"
		}
		c.observe(LatencyOpen, reason, now.Sub(f.at))
	}
	f.target, f.opened, f.pending = from, true, false
	f.syn = nil
}

// overdueOpens moves opening packets on whose target does not answer.
func (c *Core) overdueOpens(now time.Time) {
	n := 0
	for _, p := range c.opens {
		if now.Sub(p.at) < openTimeout {
			break
		}
		n++
		f := c.flows[p.flow]
		if f == nil || !f.pending || f.opened || !f.at.Equal(p.at) {
			continue
		}
		if t := c.targets[f.target]; t != nil && now.Sub(t.at) > openTimeout {
			t.suspectUntil = now.Add(suspectFor)
		}
		f.pending = false
		if f.ntried >= maxTried || c.choose(now, f) == nil {
			continue // a copy from the caller may still reach one of those tried
		}
		c.count(CounterMoved, "timeout")
		c.log(Entry{Event: "moved", Flow: p.flow, Service: f.service, Target: f.target, Reason: "timeout", Version: c.version(), Age: now.Sub(p.at), Detail: int(f.ntried)})
		c.place(now, p.flow, f)
	}
	c.opens = append(c.opens[:0], c.opens[n:]...)
}

// forgetIdle drops flows that are idle for longer than the configuration allows.
func (c *Core) forgetIdle(now time.Time) {
	if now.Sub(c.sweep) < time.Second || c.config == nil {
		return
	}
	c.sweep = now
	idle := c.config.IdleTimeout
	if idle <= 0 {
		idle = c.o.FlowTTL
	}
	for k, f := range c.flows {
		if now.Sub(f.lastSeen) > idle {
			delete(c.flows, k)
		}
	}
}
