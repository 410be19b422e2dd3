package passthrough

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pace"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// handleForward handles a packet forwarded by a balancer.
func (c *Core) handleForward(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	switch {
	case s.FromTarget || s.Flags.Has(segment.Bounced) || s.Accepts():
		c.count(CounterDropped, "forged")
	case m.Service != model.HashString(string(c.opts.Service)):
		c.refuse(now, from, m, s, steerwire.ReasonWrongService)
	case s.Opens():
		c.handleOpening(now, from, m, s)
	default:
		c.handleSubsequent(now, from, m, s)
	}
}

func (c *Core) refuse(now time.Time, to netip.AddrPort, m steerwire.Forward, s segment.Segment, reason steerwire.Reason) {
	c.count(CounterRefused, reason.String())
	if s.Opens() || reason == steerwire.ReasonLost {
		c.log(Entry{Event: "refused", Flow: s.Flow, Reason: reason.String(), Sequence: c.target.Sequence, Age: now.Sub(c.targetLastSeen)})
	}
	c.send(to, steerwire.Message{Kind: steerwire.KindRefuse, Refuse: steerwire.Refuse{Reason: reason, Service: m.Service, Packet: m.Packet}})
}

// handleOpening delivers the opening packet of a flow if the target accepts new flows.
func (c *Core) handleOpening(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	c.checkHeartbeatAge(now) // a paused agent handles packets before its timers
	if f := c.flows[s.Flow]; f != nil && f.closed {
		c.removeFlow(now, s.Flow, f) // another flow with the same addresses
	}
	if f := c.flows[s.Flow]; f != nil && f.phase != phaseProbing && c.state != steerwire.TargetDraining {
		f.lastSeen, f.balancer = now, from
		c.deliver(s.Flow, m.Packet)
		return
	}
	switch {
	case c.leaving || c.state == steerwire.TargetDraining || c.state == steerwire.TargetGone:
		c.refuse(now, from, m, s, steerwire.ReasonDraining)
		return
	case c.evacuation.active:
		c.refuse(now, from, m, s, steerwire.ReasonEvacuated)
		return
	case c.state == steerwire.TargetSilent:
		c.refuse(now, from, m, s, steerwire.ReasonSilent)
		return
	case c.state != steerwire.TargetReady || !c.discoverable(now):
		c.refuse(now, from, m, s, steerwire.ReasonUnready)
		return
	case now.Before(c.fullUntil) || len(c.flows) >= maxFlows:
		c.refuse(now, from, m, s, steerwire.ReasonFull)
		return
	case !c.coldAdmits(now):
		c.refuse(now, from, m, s, steerwire.ReasonCold)
		return
	}
	c.flows[s.Flow] = &flow{phase: phaseOpening, balancer: from, createdAt: now, lastSeen: now, callerNextSeq: s.Seq + 1, mayPredate: c.mayHoldUnseen, openedHere: true}
	c.deliveredOpenings = append(c.deliveredOpenings, deliveredPacket{flow: s.Flow, deliveredAt: now})
	c.deliver(s.Flow, m.Packet)
}

// handleSubsequent handles a packet other than the opening packet. It delivers the packet
// if the target holds the flow, or as a probe if the target may hold it.
func (c *Core) handleSubsequent(now time.Time, from netip.AddrPort, m steerwire.Forward, s segment.Segment) {
	f := c.flows[s.Flow]
	switch {
	case f != nil && !f.closed && f.phase == phaseEstablished && !f.sent.contains(s.Ack):
		c.refuse(now, from, m, s, steerwire.ReasonOtherFlow)
		return
	case (f == nil || f.phase != phaseProbing) && c.flowStatus(s.Flow, s.Ack) == steerwire.Unsure:
		// The agent started after the target, so the target may hold the flow. It
		// bounces the packet if it does not.
		f = &flow{phase: phaseProbing, balancer: from, createdAt: now, lastSeen: now, callerNextSeq: s.Seq + uint32(s.DataLen)}
		c.flows[s.Flow] = f
		c.deliveredProbes = append(c.deliveredProbes, deliveredProbe{deliveredPacket: deliveredPacket{flow: s.Flow, deliveredAt: now}, checkAt: now.Add(probeTimeout)})
		c.log(Entry{Event: "probed", Flow: s.Flow, Age: now.Sub(c.started)})
		c.deliver(s.Flow, m.Packet)
		return
	case f == nil:
		c.refuse(now, from, m, s, steerwire.ReasonNotHeld)
		return
	case f.phase == phaseProbing:
		c.count(CounterDropped, "probing") // at most one probe per flow
		return
	case f.phase == phaseOpening, f.phase == phaseAccepted && s.Ack != f.targetISN+1, !f.sent.contains(s.Ack):
		// The caller acknowledges what this target has not sent: the flow is held by another
		// target that got a copy of the opening packet, or the port's next one.
		c.refuse(now, from, m, s, steerwire.ReasonNotHeld)
		return
	}
	if f.phase == phaseAccepted {
		f.confirmedHeld = true
	}
	f.phase, f.lastSeen, f.balancer = phaseEstablished, now, from
	f.class = pace.Class(m.Terms.Class())
	if c.bufferIfNoSlot(now, f, m, s) {
		return
	}
	c.trackCallerPacket(now, f, s)
	c.deliver(s.Flow, m.Packet)
}

func (c *Core) deliver(f model.Flow, packet []byte) {
	c.actions = append(c.actions, Action{Kind: Deliver, Flow: f, Packet: packet})
}

// trackCallerPacket updates a flow for a packet of the caller. New data starts a
// request, unless one is active or the data is a full segment of a transfer.
func (c *Core) trackCallerPacket(now time.Time, f *flow, s segment.Segment) {
	if f.hasNewData(s) {
		f.callerNextSeq = s.Seq + uint32(s.DataLen)
		f.inTransfer = s.DataLen >= c.opts.FullSegment
		if !f.requestActive && !f.inTransfer {
			f.requestActive, f.countedFailed, f.requestStart = true, false, now
			c.load.adjust(now, 1)
			c.startWork(now, f)
		}
	}
	if s.Flags.Has(segment.FIN) {
		f.callerFIN = true
	}
	if s.Flags.Has(segment.RST) || f.callerFIN && f.targetFIN {
		c.closeFlow(now, f)
	}
}

// closeFlow marks a flow as closed and ends its active request.
func (c *Core) closeFlow(now time.Time, f *flow) {
	f.closed = true
	c.endRequest(now, f)
}

// endRequest ends the flow's active request, if any, and subtracts it from the load.
func (c *Core) endRequest(now time.Time, f *flow) {
	if f.requestActive {
		f.requestActive = false
		c.load.adjust(now, -1)
		c.endWork(now, f, pace.Abandoned)
	}
}

func (c *Core) removeFlow(now time.Time, key model.Flow, f *flow) {
	c.endRequest(now, f)
	c.cancelWaitingRequest(key, f)
	delete(c.flows, key)
}

// FromTarget handles a packet sent by the target.
func (c *Core) FromTarget(now time.Time, s segment.Segment, raw []byte) []Action {
	c.actions = c.actions[:0]
	c.recordTargetActivity(now)
	if s.Flags.Has(segment.Bounced) {
		c.handleBounced(now, s, raw)
		return c.actions
	}
	if !s.FromTarget {
		c.count(CounterDropped, "misdirected")
		return c.actions
	}
	f := c.flows[s.Flow]
	if f != nil && f.opensAnother(s) {
		next := &flow{phase: phaseAccepted, targetISN: s.Seq, balancer: f.balancer, createdAt: now, callerNextSeq: s.Ack, openedHere: true}
		c.removeFlow(now, s.Flow, f)
		f, c.flows[s.Flow] = next, next
	}
	switch {
	case f == nil && s.Flags.Has(segment.RST):
		// A reset of an unknown flow needs no flow entry.
	case f == nil:
		f = &flow{phase: phaseEstablished, createdAt: now, lastSeen: now}
		c.firstHeartbeat.refute() // the target holds a flow that this process has not delivered
		if s.Accepts() {
			f.phase, f.targetISN, f.mayPredate = phaseAccepted, s.Seq, c.mayHoldUnseen
		}
		if len(c.flows) < maxFlows {
			c.flows[s.Flow] = f
		}
	case s.Accepts():
		c.bouncedOpenings = 0
		if f.phase == phaseOpening || f.phase == phaseAccepted { // a restarted target answers a copy anew
			f.phase, f.targetISN, f.sent = phaseAccepted, s.Seq, ackRange{}
		}
		if f.balancer.IsValid() && f.phase != phaseProbing {
			c.send(f.balancer, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: s.Flow}})
		}
	case f.phase == phaseProbing:
		c.confirmProbe(s.Flow, f)
	case f.mayPredate && !s.Flags.Has(segment.RST):
		f.phase = phaseEstablished
	}
	if f != nil {
		f.lastSeen = now
		known := f.sent.known
		f.sent.extend(s)
		if s.Accepts() && (f.mayPredate && f.phase == phaseAccepted || !known && f.phase == phaseEstablished) {
			f.sent.estimated, f.sent.end = true, s.Seq+maxAckAdvance // the answer may be to a late copy
		}
		f.confirmedHeld = f.confirmedHeld || f.phase == phaseEstablished && !s.Accepts()
		if f.requestActive && s.DataLen > 0 {
			c.handleAnswer(now, f, s)
		} else if f.requestActive && s.Flags.Has(segment.RST) {
			c.recordFailure(now, s.Flow, f, "reset")
		}
		f.targetFIN = f.targetFIN || s.Flags.Has(segment.FIN)
		if s.Flags.Has(segment.RST) || f.callerFIN && f.targetFIN {
			c.closeFlow(now, f)
		}
	}
	c.actions = append(c.actions, Action{Kind: ToCaller, Flow: s.Flow, Packet: raw})
	c.startWaitingRequests(now, 0)
	return c.actions
}

// handleBounced handles a packet that the target bounced.
func (c *Core) handleBounced(now time.Time, s segment.Segment, raw []byte) {
	f := c.flows[s.Flow]
	if f == nil || !f.balancer.IsValid() {
		c.count(CounterDropped, "bounced_unknown")
		return
	}
	c.actions = append(c.actions, Action{Kind: ClearBounced, Packet: raw})
	s.Flags &^= segment.Bounced
	m := steerwire.Forward{Service: model.HashString(string(c.opts.Service)), Packet: raw}
	switch {
	case s.Opens():
		if f.phase == phaseOpening {
			c.fullUntil = now.Add(fullDuration)
			c.removeFlow(now, s.Flow, f)
			c.refuse(now, f.balancer, m, s, steerwire.ReasonFull)
			if c.bouncedOpenings++; c.bouncedOpenings >= maxUnansweredOpenings && c.state == steerwire.TargetReady {
				c.setState(now, steerwire.TargetSilent, "openings_bounced")
			}
		}
	case f.phase == phaseProbing:
		c.removeFlow(now, s.Flow, f)
		if len(c.notHeld) < maxFlows {
			c.notHeld[s.Flow] = now
		}
		c.refuse(now, f.balancer, m, s, steerwire.ReasonNotHeld)
	case f.closed:
		c.count(CounterDropped, "bounced_ended")
	case f.confirmedHeld:
		c.removeFlow(now, s.Flow, f)
		c.refuse(now, f.balancer, m, s, steerwire.ReasonLost)
	default:
		c.removeFlow(now, s.Flow, f)
		c.refuse(now, f.balancer, m, s, steerwire.ReasonNotHeld)
	}
}

// checkDeliveredOpenings counts opening packets that the target did not answer in time.
func (c *Core) checkDeliveredOpenings(now time.Time) {
	n := 0
	for _, p := range c.deliveredOpenings {
		if now.Sub(p.deliveredAt) < openTimeout {
			break
		}
		n++
		f := c.flows[p.flow]
		if f == nil || f.phase != phaseOpening || !f.createdAt.Equal(p.deliveredAt) {
			continue
		}
		if c.unansweredOpenings++; c.unansweredOpenings >= maxUnansweredOpenings && c.state == steerwire.TargetReady && now.Sub(c.targetLastSeen) > openTimeout {
			c.setState(now, steerwire.TargetSilent, "no_answer")
		}
	}
	c.deliveredOpenings = append(c.deliveredOpenings[:0], c.deliveredOpenings[n:]...)
}

// checkDeliveredProbes marks flows as held whose probe was not bounced in time by a target
// that is running. A target that has crashed or is paused bounces nothing.
func (c *Core) checkDeliveredProbes(now time.Time) {
	n := 0
	for _, p := range c.deliveredProbes {
		if now.Before(p.checkAt) {
			break
		}
		n++
		f := c.flows[p.flow]
		switch {
		case f == nil || f.phase != phaseProbing || !f.createdAt.Equal(p.deliveredAt):
		case p.targetSeen || c.targetLastSeen.After(p.deliveredAt):
			c.confirmProbe(p.flow, f)
		default:
			c.silentProbes = append(c.silentProbes, p)
		}
	}
	c.deliveredProbes = append(c.deliveredProbes[:0], c.deliveredProbes[n:]...)
}

// recheckProbes checks the probes again that a silent target has not bounced, after it has
// had the time to do so.
func (c *Core) recheckProbes(now time.Time) {
	for _, p := range c.silentProbes {
		p.targetSeen, p.checkAt = true, now.Add(probeTimeout)
		c.deliveredProbes = append(c.deliveredProbes, p)
	}
	c.silentProbes = c.silentProbes[:0]
}

// confirmProbe marks a flow as held and notifies the balancer that sent the probe.
func (c *Core) confirmProbe(key model.Flow, f *flow) {
	f.phase = phaseEstablished
	c.firstHeartbeat.refute()
	c.send(f.balancer, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: key}})
}

// removeIdleFlows removes flows that are closed, idle or were never established.
func (c *Core) removeIdleFlows(now time.Time) {
	for k, f := range c.flows {
		idle := now.Sub(f.lastSeen)
		if idle > c.opts.FlowIdleTimeout || idle > closedFlowTTL && (f.closed || f.phase == phaseOpening || f.phase == phaseAccepted) {
			c.removeFlow(now, k, f)
		}
	}
	for k, at := range c.notHeld {
		if now.Sub(at) > c.opts.FlowIdleTimeout {
			delete(c.notHeld, k)
		}
	}
	// A flow without packets for FlowIdleTimeout has ended, so all others have been seen.
	if c.mayHoldUnseen && now.Sub(c.started) > c.opts.FlowIdleTimeout {
		c.mayHoldUnseen = false
		c.log(Entry{Event: "flows_certain", Reason: "idle_time_passed", Age: now.Sub(c.started)})
	}
}
