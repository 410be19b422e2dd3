package passthrough

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// forwarded handles a packet from a balancer.
func (c *Core) forwarded(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	switch {
	case s.FromTarget || s.Flags.Has(segment.Bounced) || s.Accepts():
		c.count(CounterDropped, "forged")
	case m.Service != model.HashString(string(c.o.Service)):
		c.refuse(now, from, m, s, steerwire.ReasonWrongService)
	case s.Opens():
		c.opening(now, from, m, s)
	default:
		c.following(now, from, m, s)
	}
}

func (c *Core) refuse(now time.Time, to netip.AddrPort, m steerwire.Forward, s segment.Segment, reason steerwire.Reason) {
	c.count(CounterRefused, reason.String())
	if s.Opens() || reason == steerwire.ReasonLost {
		c.log(Entry{Event: "refused", Flow: s.Flow, Reason: reason.String(), Sequence: c.target.Sequence, Age: now.Sub(c.sign)})
	}
	c.send(to, steerwire.Message{Kind: steerwire.KindRefuse, Refuse: steerwire.Refuse{Reason: reason, Service: m.Service, Packet: m.Packet}})
}

// opening delivers the first packet of a flow if the target takes new flows.
func (c *Core) opening(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	if f := c.flows[s.Flow]; f != nil && f.phase != probing && c.state != steerwire.TargetDraining {
		f.lastSeen, f.via = now, from
		c.deliver(s.Flow, m.Packet)
		return
	}
	switch {
	case c.leaving || c.state == steerwire.TargetDraining || c.state == steerwire.TargetGone:
		c.refuse(now, from, m, s, steerwire.ReasonDraining)
		return
	case c.state == steerwire.TargetSilent:
		c.refuse(now, from, m, s, steerwire.ReasonSilent)
		return
	case c.state != steerwire.TargetReady || !c.admits(now):
		c.refuse(now, from, m, s, steerwire.ReasonUnready)
		return
	case now.Before(c.fullUntil) || len(c.flows) >= maxFlows:
		c.refuse(now, from, m, s, steerwire.ReasonFull)
		return
	}
	c.flows[s.Flow] = &flow{phase: opening, via: from, opened: now, lastSeen: now, nextSeq: s.Seq + 1}
	c.opens = append(c.opens, pendingOpen{flow: s.Flow, at: now})
	c.deliver(s.Flow, m.Packet)
}

// following delivers a later packet of a flow that the target holds.
func (c *Core) following(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	f := c.flows[s.Flow]
	switch {
	case f == nil && c.holding(s.Flow, s.Ack) == steerwire.Unsure:
		// The agent started after the target: the target itself tells by bouncing.
		f = &flow{phase: probing, via: from, opened: now, lastSeen: now}
		c.flows[s.Flow] = f
		c.probes = append(c.probes, pendingOpen{flow: s.Flow, at: now})
		c.log(Entry{Event: "probed", Flow: s.Flow, Age: now.Sub(c.started)})
		c.deliver(s.Flow, m.Packet)
		return
	case f == nil:
		c.refuse(now, from, m, s, steerwire.ReasonNotHeld)
		return
	case f.phase == probing:
		c.count(CounterDropped, "probing") // at most one packet on trial
		return
	case f.phase == opening, f.phase == accepted && s.Ack != f.initial+1:
		// The caller acknowledges an answer that this target has not given: the
		// flow opened at another target that got a copy of the opening packet.
		c.refuse(now, from, m, s, steerwire.ReasonNotHeld)
		return
	}
	if f.phase == accepted {
		f.confirmed = true
	}
	f.phase, f.lastSeen, f.via = held, now, from
	if c.keep(now, f, m, s) {
		return
	}
	c.fromCaller(now, f, s)
	c.deliver(s.Flow, m.Packet)
}

func (c *Core) deliver(f model.Flow, packet []byte) {
	c.actions = append(c.actions, Action{Kind: Deliver, Flow: f, Packet: packet})
}

// fromCaller follows the caller's data: new data while no answer is due starts a request.
func (c *Core) fromCaller(now time.Time, f *flow, s segment.Segment) {
	if f.isNew(s) {
		f.nextSeq = s.Seq + uint32(s.DataLen)
		f.transfer = s.DataLen >= c.o.FullSegment
		if !f.busy && !f.transfer {
			f.busy, f.stuck, f.since = true, false, now
			c.load.add(now, 1)
		}
	}
	if s.Flags.Has(segment.FIN) {
		f.finIn = true
	}
	if s.Flags.Has(segment.RST) || f.finIn && f.finOut {
		c.end(now, f)
	}
}

// end marks a flow as over and takes it out of the load.
func (c *Core) end(now time.Time, f *flow) {
	f.ended = true
	c.settle(now, f)
}

// settle ends the request in progress and starts one that waits.
func (c *Core) settle(now time.Time, f *flow) {
	if f.busy {
		f.busy = false
		c.load.add(now, -1)
	}
}

func (c *Core) remove(now time.Time, key model.Flow, f *flow) {
	c.settle(now, f)
	c.giveUp(key, f)
	delete(c.flows, key)
}

// FromTarget handles a packet that the target sent.
func (c *Core) FromTarget(now time.Time, s segment.Segment, raw []byte) []Action {
	c.actions = c.actions[:0]
	c.alive(now)
	if s.Flags.Has(segment.Bounced) {
		c.bounced(now, s, raw)
		return c.actions
	}
	if !s.FromTarget {
		c.count(CounterDropped, "misdirected")
		return c.actions
	}
	f := c.flows[s.Flow]
	switch {
	case f == nil && s.Flags.Has(segment.RST):
		// A reset of a flow that is not known needs no entry.
	case f == nil:
		f = &flow{phase: held, opened: now, lastSeen: now}
		if s.Accepts() {
			f.phase, f.initial = accepted, s.Seq
		}
		if len(c.flows) < maxFlows {
			c.flows[s.Flow] = f
		}
	case s.Accepts():
		c.bouncedOpens = 0
		if f.phase == opening {
			f.phase, f.initial = accepted, s.Seq
		}
		if f.via.IsValid() {
			c.send(f.via, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: s.Flow}})
		}
	case f.phase == probing:
		f.phase = held
	}
	if f != nil {
		f.lastSeen = now
		f.confirmed = f.confirmed || f.phase == held
		if f.busy && (s.DataLen > 0 || s.Flags.Has(segment.RST)) {
			c.requestEnded(now, s.Flow, f, s.DataLen == 0)
		}
		if s.DataLen > 0 && f.busy {
			c.noteWork(now.Sub(f.since))
			c.observe(LatencyRequest, "answered", now.Sub(f.since))
			c.settle(now, f)
		}
		f.finOut = f.finOut || s.Flags.Has(segment.FIN)
		if s.Flags.Has(segment.RST) || f.finIn && f.finOut {
			c.end(now, f)
		}
	}
	c.actions = append(c.actions, Action{Kind: ToCaller, Flow: s.Flow, Packet: raw})
	c.startWaiting(now)
	return c.actions
}

// bounced handles a packet that the target handed back.
func (c *Core) bounced(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f == nil || !f.via.IsValid() {
		c.count(CounterDropped, "bounced_unknown")
		return
	}
	c.actions = append(c.actions, Action{Kind: ClearBounced, Packet: raw})
	s.Flags &^= segment.Bounced
	m := steerwire.Forward{Service: model.HashString(string(c.o.Service)), Packet: raw}
	switch {
	case s.Opens():
		if f.phase == opening {
			c.fullUntil = now.Add(fullFor)
			c.remove(now, s.Flow, f)
			c.refuse(now, f.via, m, s, steerwire.ReasonFull)
			if c.bouncedOpens++; c.bouncedOpens >= unansweredOpens && c.state == steerwire.TargetReady {
				c.setState(now, steerwire.TargetSilent, "openings_bounced")
			}
		}
	case f.phase == probing:
		c.remove(now, s.Flow, f)
		if len(c.notHeld) < maxFlows {
			c.notHeld[s.Flow] = now
		}
		c.refuse(now, f.via, m, s, steerwire.ReasonNotHeld)
	case f.ended:
		c.count(CounterDropped, "bounced_ended")
	case f.confirmed:
		c.remove(now, s.Flow, f)
		c.refuse(now, f.via, m, s, steerwire.ReasonLost)
	default:
		c.remove(now, s.Flow, f)
		c.refuse(now, f.via, m, s, steerwire.ReasonNotHeld)
	}
}

// overdueOpens looks for opening packets that the target left unanswered.
func (c *Core) overdueOpens(now time.Time) {
	n := 0
	for _, p := range c.opens {
		if now.Sub(p.at) < acceptTimeout {
			break
		}
		n++
		f := c.flows[p.flow]
		if f == nil || f.phase != opening || !f.opened.Equal(p.at) {
			continue
		}
		if c.unanswered++; c.unanswered >= unansweredOpens && c.state == steerwire.TargetReady && now.Sub(c.sign) > acceptTimeout {
			c.setState(now, steerwire.TargetSilent, "no_answer")
		}
	}
	c.opens = append(c.opens[:0], c.opens[n:]...)
}

// overdueProbes takes packets on trial that were not bounced as accepted.
func (c *Core) overdueProbes(now time.Time) {
	n := 0
	for _, p := range c.probes {
		if now.Sub(p.at) < probeTimeout {
			break
		}
		n++
		if f := c.flows[p.flow]; f != nil && f.phase == probing && f.opened.Equal(p.at) {
			f.phase = held
		}
	}
	c.probes = append(c.probes[:0], c.probes[n:]...)
}

// forgetIdle drops flows that are over or idle, and those that never opened.
func (c *Core) forgetIdle(now time.Time) {
	for k, f := range c.flows {
		idle := now.Sub(f.lastSeen)
		if idle > c.o.FlowIdle || idle > endedTTL && (f.ended || f.phase == opening || f.phase == accepted) {
			c.remove(now, k, f)
		}
	}
	for k, at := range c.notHeld {
		if now.Sub(at) > c.o.FlowIdle {
			delete(c.notHeld, k)
		}
	}
	// A flow that passed no packet for so long is over, so all others were seen.
	if c.uncertain && now.Sub(c.started) > c.o.FlowIdle {
		c.uncertain = false
		c.log(Entry{Event: "flows_certain", Reason: "idle_time_passed", Age: now.Sub(c.started)})
	}
}
