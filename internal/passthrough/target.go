package passthrough

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Heartbeat is the state that a target reports about itself.
type Heartbeat struct {
	Target        string // identity, which changes with most starts
	Service       model.ServiceName
	Draining      bool
	Slots         int
	ColdRemaining time.Duration // remaining warm-up time after its start
	Sequence      uint64        // increases until the target restarts
	First         bool          // the target has sent none before this one since its start
	// StartMillis identifies a start together with Target. It is the Unix time of the start
	// by the target's clock, which may be set back between two starts, so it has no order.
	StartMillis int64
}

// sameStart reports whether two heartbeats are from the same start of a target.
func (h Heartbeat) sameStart(other Heartbeat) bool {
	return h.Target == other.Target && h.StartMillis == other.StartMillis
}

// Verdict is the result of checking a heartbeat.
type Verdict uint8

// The verdicts.
const (
	// Accepted: the heartbeat is in effect. A draining target gets no new flows from
	// now on.
	Accepted Verdict = iota + 1
	// Outdated: a later heartbeat of the same start, or the target's announcement that it
	// exits was received before.
	Outdated
	// Unconfirmed: the heartbeat is of another start than the present one, and may be late.
	// If it says that the target drains, the target gets no new flows from now on.
	Unconfirmed
	// Foreign: the heartbeat is from a target of another service.
	Foreign
)

// String returns the verdict's metric label.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Outdated:
		return "outdated"
	case Unconfirmed:
		return "unconfirmed_start"
	case Foreign:
		return "foreign"
	}
	return "invalid"
}

// Registered records that the agent's object was written to the store in an epoch. Every
// balancer can find the agent from now on, so its target accepts flows.
func (c *Core) Registered(now time.Time, epoch uint64) []Action {
	c.actions = c.actions[:0]
	c.registeredAt, c.registeredEpoch = now, epoch
	if !c.registered {
		c.registered = true
		c.sendReports(now)
	}
	return c.actions
}

// discoverable reports whether all balancers can know the agent, and so look up the
// flows that its target holds.
func (c *Core) discoverable(now time.Time) bool {
	if !c.lastHello.IsZero() && now.Sub(c.lastHello) >= reregisterAfter {
		return false // balancers may have removed the object, see recordHello
	}
	return c.registered || !c.firstHello.IsZero() && now.Sub(c.firstHello) >= unregisteredDelay
}

// Leave marks the agent as stopping. It reports itself as draining, and new flows are
// refused.
func (c *Core) Leave(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.leaving = true
	c.sendReports(now)
	return c.actions
}

// Flush delivers the requests that wait for a slot. A stopping agent calls it last: the
// target queues them, while their callers would have to send them again.
func (c *Core) Flush(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.startWaitingRequests(now, c.queue.Len())
	return c.actions
}

// End sends the last reports of an agent whose target has exited.
func (c *Core) End(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.leaving, c.ended = true, true
	c.clearFlows(now, "ended")
	c.setState(now, steerwire.TargetGone, "ended")
	c.sendReports(now)
	return c.actions
}

// HandleHeartbeat handles a heartbeat of the target.
func (c *Core) HandleHeartbeat(now time.Time, h Heartbeat) (Verdict, []Action) {
	c.actions = c.actions[:0]
	v := c.checkHeartbeat(now, h)
	c.count(CounterHeartbeats, v.String())
	c.followHeartbeat(now, h)
	if v != Accepted {
		c.log(Entry{Event: "heartbeat", Target: h.Target, StartMillis: h.StartMillis, Reason: v.String(), Sequence: h.Sequence, Age: now.Sub(c.targetLastSeen)})
		if v == Unconfirmed && h.Draining && c.state != steerwire.TargetGone {
			c.target.Draining = true // until the next heartbeat of the start in effect
			c.setState(now, steerwire.TargetDraining, v.String())
		}
		return v, c.actions
	}
	if !c.heartbeatReceived || !h.sameStart(c.target) {
		c.recordStart(now, h)
	}
	c.heartbeatReceived, c.target, c.targetLastSeen, c.lastHeartbeat = true, h, now, now
	c.otherStart = otherStart{}
	c.recheckProbes(now)
	c.coldUntil = now.Add(h.ColdRemaining)
	state := steerwire.TargetReady
	if h.Draining {
		state = steerwire.TargetDraining
	}
	c.setState(now, state, "heartbeat")
	return v, c.actions
}

func (c *Core) checkHeartbeat(now time.Time, h Heartbeat) Verdict {
	same := h.sameStart(c.target)
	switch {
	case h.Service != c.opts.Service:
		return Foreign
	case !c.heartbeatReceived:
		return Accepted
	case same && h.Sequence <= c.target.Sequence:
		return Outdated
	case same && c.state != steerwire.TargetGone || c.confirmOtherStart(now, h):
		return Accepted
	case same:
		return Outdated
	}
	return Unconfirmed
}

// otherStart is a start of the target that is not known to be the present one: another
// start than the one in effect, or one that announced its exit. The zero value is none.
type otherStart struct {
	last  Heartbeat
	since time.Time // receipt of the first heartbeat
}

// confirmOtherStart reports whether a heartbeat shows that its start is the present one. A
// late heartbeat of an earlier start looks the same as the first one of a new start, so the
// start in effect must be silent, and unless it does not answer packets either, a second
// heartbeat must follow.
func (c *Core) confirmOtherStart(now time.Time, h Heartbeat) bool {
	if c.state == steerwire.TargetSilent && !c.target.Draining {
		return true
	}
	if o := &c.otherStart; o.since.IsZero() || !h.sameStart(o.last) {
		*o = otherStart{last: h, since: now}
		return false
	}
	if h.Sequence <= c.otherStart.last.Sequence {
		return false
	}
	c.otherStart.last = h
	interval := c.opts.HeartbeatInterval
	return now.Sub(c.otherStart.since) >= interval/2 && now.Sub(c.lastHeartbeat) >= interval*3/2
}

// recordStart puts the start of h into effect. Requests at the former start have ended. Its
// flows stay in the table: the target bounces their packets if it does not hold them.
func (c *Core) recordStart(now time.Time, h Heartbeat) {
	if c.heartbeatReceived {
		c.dropProbes(now)
	} else {
		c.dropSilentProbes(now)
	}
	e := Entry{Event: "target_start", Target: h.Target, StartMillis: h.StartMillis, Reason: "first_heartbeat", Sequence: h.Sequence}
	if c.heartbeatReceived {
		e.Reason, e.Age = "confirmed", now.Sub(c.lastHeartbeat)
		if c.state == steerwire.TargetSilent {
			e.Reason = "former_silent"
		}
		for _, f := range c.flows {
			if !f.requestStart.After(c.lastHeartbeat) {
				c.endRequest(now, f)
			}
		}
	}
	c.log(e)
	c.forgetPace()
}

// dropProbes forgets the probes that the former start of the target has not bounced.
func (c *Core) dropProbes(now time.Time) {
	for k, f := range c.flows {
		if f.phase == phaseProbing {
			c.removeFlow(now, k, f)
		}
	}
	c.deliveredProbes, c.silentProbes = c.deliveredProbes[:0], c.silentProbes[:0]
}

// dropSilentProbes forgets the probes after which the target has sent nothing. It may not have
// been running then, so they are repeated.
func (c *Core) dropSilentProbes(now time.Time) {
	for _, p := range c.silentProbes {
		if f := c.flows[p.flow]; f != nil && f.phase == phaseProbing && f.createdAt.Equal(p.deliveredAt) {
			c.removeFlow(now, p.flow, f)
		}
	}
	c.silentProbes = c.silentProbes[:0]
}

// Health is the outcome of a health check.
type Health uint8

// The outcomes. NotRunning means that no target is running that could hold flows. A check
// alone does not show it, see NotRunningAt.
const (
	Unhealthy Health = iota
	Healthy
	NotRunning
)

// NotRunningAt returns when a target that refuses connections counts as not running, if it
// then refuses them still. It returns false if the target has sent a packet or a heartbeat
// since the first refusal: health checks may fail while a target serves its flows.
func (c *Core) NotRunningAt(refused time.Time) (time.Time, bool) {
	if c.targetLastSeen.After(refused) {
		return time.Time{}, false
	}
	return c.targetLastSeen.Add(notRunningIntervals * c.opts.HeartbeatInterval), true
}

// tracksOnlyProbes reports whether the target has confirmed none of the tracked flows.
func (c *Core) tracksOnlyProbes() bool {
	for _, f := range c.flows {
		if f.phase != phaseProbing {
			return false
		}
	}
	return true
}

// HandleHealthCheck handles the outcome of a health check, which has effect until the
// first heartbeat. The number of slots is unknown until then, so the minimum of one is used.
func (c *Core) HandleHealthCheck(now time.Time, h Health) []Action {
	c.actions = c.actions[:0]
	if h == NotRunning && !c.heartbeatReceived && c.tracksOnlyProbes() {
		c.dropProbes(now)
		c.mayHoldUnseen = false
		c.log(Entry{Event: "flows_certain", Reason: "target_not_running"})
	} else if c.mayHoldUnseen {
		reason := "target_running"
		if h == Unhealthy && !c.heartbeatReceived {
			reason = "target_unhealthy"
		}
		c.log(Entry{Event: "flows_uncertain", Reason: reason})
	}
	if h == Healthy && !c.heartbeatReceived {
		c.targetLastSeen = now
		c.target.Slots = 1
		c.setState(now, steerwire.TargetReady, "health_check")
	}
	return c.actions
}

// Exit is a target's announcement that it exits.
type Exit struct {
	Target      string
	StartMillis int64 // of the start that exits, 0 if it is not given
}

// HandleTargetExit handles the announcement of an exit. Before the first heartbeat it may
// be a late one of an earlier start, so the target only gets no new flows until then.
func (c *Core) HandleTargetExit(now time.Time, e Exit) []Action {
	c.actions = c.actions[:0]
	c.firstHeartbeat.refute()
	switch {
	case !c.heartbeatReceived:
		c.target.Draining = true
		c.count(CounterHeartbeats, "unconfirmed_leave")
		c.setState(now, steerwire.TargetDraining, "unconfirmed_leave")
	case e.Target != c.target.Target || e.StartMillis != 0 && e.StartMillis != c.target.StartMillis:
		c.count(CounterHeartbeats, "foreign_leave")
	default:
		c.setState(now, steerwire.TargetGone, "leave")
	}
	return c.actions
}

// clearFlows removes all flows after the target has exited.
func (c *Core) clearFlows(now time.Time, reason string) {
	c.log(Entry{Event: "flows_forgotten", Reason: reason, Sequence: uint64(len(c.flows))})
	clear(c.flows)
	c.deliveredOpenings, c.deliveredProbes, c.silentProbes = c.deliveredOpenings[:0], c.deliveredProbes[:0], c.silentProbes[:0]
	c.load.reset(now)
	c.mayHoldUnseen = false
}

// checkHeartbeatAge marks a target silent that has sent neither a packet nor a heartbeat
// for maxMissedHeartbeats intervals.
func (c *Core) checkHeartbeatAge(now time.Time) {
	if c.state != steerwire.TargetReady && c.state != steerwire.TargetDraining {
		return
	}
	if now.Sub(c.targetLastSeen) > maxMissedHeartbeats*c.opts.HeartbeatInterval {
		c.setState(now, steerwire.TargetSilent, "no_heartbeat")
	}
}

func (c *Core) setState(now time.Time, s steerwire.TargetState, reason string) {
	if s == c.state {
		return
	}
	c.log(Entry{Event: "target_" + s.String(), Reason: reason, Sequence: c.target.Sequence, Age: now.Sub(c.targetLastSeen)})
	c.state = s
	c.unansweredOpenings = 0
	if s == steerwire.TargetSilent {
		c.forgetPace()
	}
	c.sendReports(now)
}

// recordTargetActivity handles a packet of the target. A silent target becomes ready or
// draining again.
func (c *Core) recordTargetActivity(now time.Time) {
	c.targetLastSeen = now
	c.recheckProbes(now)
	c.unansweredOpenings = 0
	if c.state == steerwire.TargetSilent {
		state := steerwire.TargetReady
		if c.target.Draining {
			state = steerwire.TargetDraining
		}
		c.setState(now, state, "packet")
	}
}
