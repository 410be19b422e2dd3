package passthrough

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	Target   string // identity, new with most starts
	Service  model.ServiceName
	Draining bool
	Slots    int
	Cold     time.Duration // how much longer it stays slow after its start
	Sequence uint64        // rises within one start
	Born     int64         // start of the target, Unix milliseconds by its clock
}

// Verdict is the answer to a heartbeat.
type Verdict uint8

// The verdicts.
const (
	// Accepted: the heartbeat is in effect; a draining target gets no new flow
	// from now on.
	Accepted Verdict = iota + 1
	// Outdated: a later heartbeat, or one of a later start, came before.
	Outdated
	// Foreign: the heartbeat is not of this agent's target.
	Foreign
)

// String returns the verdict as used in counters.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Outdated:
		return "outdated"
	case Foreign:
		return "foreign"
	}
	return "invalid"
}

// Listed notes that the agent's object is in the store, so that every balancer
// can know of the flows that its target takes from now on.
func (c *Core) Listed(now time.Time) []Action {
	c.actions = c.actions[:0]
	if !c.listed {
		c.listed = true
		c.reportAll(now)
	}
	return c.actions
}

// admits reports whether balancers can know of the agent's flows.
func (c *Core) admits(now time.Time) bool {
	return c.listed || !c.hello.IsZero() && now.Sub(c.hello) >= unlistedDelay
}

// Leave marks that the agent is about to stop: new flows go elsewhere.
func (c *Core) Leave(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.leaving = true
	c.reportAll(now)
	return c.actions
}

// Heard takes a heartbeat of the target.
func (c *Core) Heard(now time.Time, h Heartbeat) (Verdict, []Action) {
	c.actions = c.actions[:0]
	v := c.judge(h)
	c.count(CounterHeartbeats, v.String())
	if v != Accepted {
		c.log(Entry{Event: "heartbeat", Reason: v.String(), Sequence: h.Sequence, Age: now.Sub(c.sign)})
		return v, c.actions
	}
	if c.known && h.Born != c.target.Born {
		c.forgetFlows(now, "restarted")
	}
	if c.uncertain && h.Born > 0 && h.Born+startSlack.Milliseconds() > int64(c.o.Incarnation) {
		c.uncertain = false // the target started with the agent or later, so all its flows were seen
		c.log(Entry{Event: "flows_certain", Reason: "target_started_later", Sequence: h.Sequence})
	}
	c.known, c.target, c.sign = true, h, now
	c.coldUntil = now.Add(h.Cold)
	state := steerwire.TargetReady
	if h.Draining {
		state = steerwire.TargetDraining
	}
	c.setState(now, state, "heartbeat")
	return v, c.actions
}

func (c *Core) judge(h Heartbeat) Verdict {
	switch {
	case h.Service != c.o.Service:
		return Foreign
	case !c.known:
		return Accepted
	case h.Born < c.target.Born:
		return Outdated
	case h.Born == c.target.Born && h.Target == c.target.Target && h.Sequence <= c.target.Sequence:
		return Outdated
	case h.Born == c.target.Born && h.Target == c.target.Target && c.state == steerwire.TargetGone:
		return Outdated
	}
	return Accepted
}

// Health is the outcome of a health check.
type Health uint8

// The outcomes. NotRunning means that nothing listens at the target's address,
// so no target holds flows there.
const (
	Unhealthy Health = iota
	Healthy
	NotRunning
)

// Checked takes the outcome of a health check, which counts until the first
// heartbeat. Slots are unknown then; one is the least a target has.
func (c *Core) Checked(now time.Time, h Health) []Action {
	c.actions = c.actions[:0]
	switch {
	case c.known:
	case h == NotRunning && len(c.flows) == 0:
		c.uncertain = false
		c.log(Entry{Event: "flows_certain", Reason: "target_not_running"})
	case h == Healthy:
		c.sign = now
		c.target.Slots = 1
		c.setState(now, steerwire.TargetReady, "health_check")
	}
	return c.actions
}

// Left takes the target's announcement that it ends.
func (c *Core) Left(now time.Time, target string) []Action {
	c.actions = c.actions[:0]
	if c.known && target != c.target.Target {
		c.count(CounterHeartbeats, "foreign_leave")
		return c.actions
	}
	c.setState(now, steerwire.TargetGone, "leave")
	return c.actions
}

// forgetFlows drops all flows of an earlier start of the target.
func (c *Core) forgetFlows(now time.Time, reason string) {
	c.log(Entry{Event: "flows_forgotten", Reason: reason, Sequence: uint64(len(c.flows))})
	clear(c.flows)
	c.opens, c.probes = c.opens[:0], c.probes[:0]
	c.load.reset(now)
	c.uncertain = false
}

func (c *Core) setState(now time.Time, s steerwire.TargetState, reason string) {
	if s == c.state {
		return
	}
	c.log(Entry{Event: "target_" + s.String(), Reason: reason, Sequence: c.target.Sequence, Age: now.Sub(c.sign)})
	c.state = s
	c.unanswered = 0
	c.reportAll(now)
}

// alive notes a sign of life. A silent target that sends again takes flows again.
func (c *Core) alive(now time.Time) {
	c.sign = now
	c.unanswered = 0
	if c.state == steerwire.TargetSilent {
		state := steerwire.TargetReady
		if c.target.Draining {
			state = steerwire.TargetDraining
		}
		c.setState(now, state, "packet")
	}
}
