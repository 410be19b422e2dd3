// Package agent combines the cores of an agent that decide about flows: membership and flows.
// Package front handles the requests on accepted flows. The agent is driven by events with the time
// as an argument; the runtime in package node adds sockets, timers and goroutines.
package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/flows"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
)

// unlistedSenderGrace is the time for which packets of an authentic sender are accepted although
// the slice does not list it: a balancer that has just joined forwards packets at once, while the
// slice that lists it arrives up to a heartbeat interval later.
const unlistedSenderGrace = 5 * time.Second

// maxUnlistedSenders bounds the senders accepted during unlistedSenderGrace.
const maxUnlistedSenders = 4096

// Options configures a Core.
type Options struct {
	Self  model.Member // Kind is set to KindAgent
	Seeds []netip.AddrPort
	Seed  uint64 // of all pseudo-random choices
	Flows flows.Options
	// Intervals configures the membership protocol; zero values get the defaults.
	Intervals membership.Intervals
}

// Core is the state of one agent. It is not safe for concurrent use.
type Core struct {
	announcer *membership.Announcer
	flows     *flows.Core

	// members holds the agents of the same service and the listed balancers.
	members            map[model.NodeID]model.Member
	allBalancersListed bool                       // the slice lists all balancers
	firstSeen          map[model.NodeID]time.Time // time of the first packet of each unlisted sender
	incarnation        model.Incarnation
	draining           bool
	viewKnown          bool

	now time.Time
	out []Action
}

// New returns a core that knows no other member.
func New(opt Options) *Core {
	opt.Self.Kind = model.KindAgent
	opt.Flows.Self, opt.Flows.Service, opt.Flows.Seed = opt.Self.ID, opt.Self.Service, opt.Seed
	return &Core{
		announcer: membership.NewAnnouncer(membership.Options{
			Self: opt.Self, Seeds: opt.Seeds, Seed: model.Mix(opt.Seed), Intervals: opt.Intervals,
		}),
		flows:       flows.New(opt.Flows),
		members:     make(map[model.NodeID]model.Member),
		firstSeen:   make(map[model.NodeID]time.Time),
		incarnation: opt.Self.Incarnation,
	}
}

// Self returns the agent's own record.
func (c *Core) Self() model.Member { return c.announcer.Self() }

// Slice returns the latest slice received from the observer.
func (c *Core) Slice() message.Slice { return c.announcer.Slice() }

// Member returns an agent of the same service or a listed balancer.
func (c *Core) Member(id model.NodeID) (model.Member, bool) {
	m, ok := c.members[id]
	return m, ok
}

// HeldFlows returns the number of flows that this agent holds.
func (c *Core) HeldFlows() int { return c.flows.Load().Flows }

// Settled reports whether the view of the service has been stable for the settle time, with
// uninterrupted contact to the observers.
func (c *Core) Settled(now time.Time) bool { return c.flows.Table().Settled(now) }

// Table returns the placement table. Only the core modifies it.
func (c *Core) Table() *placement.Table { return c.flows.Table() }

// Holds reports whether this agent holds a flow.
func (c *Core) Holds(f model.Flow) bool { return c.flows.Holds(f) }

// Step handles one event. The returned slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now, c.out = now, c.out[:0]
	switch ev := ev.(type) {
	case Forwarded:
		c.handleForwarded(ev)
	case Received:
		c.handleMessage(ev)
	case Closed:
		c.stepFlows(flows.Closed(ev))
	case Load:
		c.stepFlows(flows.LoadChanged(ev))
		load := ev.Load
		load.Flows = c.flows.Load().Flows
		c.stepAnnouncer(membership.SetLoad{Load: load, FileRev: c.announcer.Slice().FileRev})
	case Leave:
		c.stepFlows(flows.Leave{})
		c.stepAnnouncer(membership.Leave(ev))
	case Tick:
		c.stepAnnouncer(membership.Tick{})
		c.stepFlows(flows.Tick{})
	}
	return c.out
}

// handleForwarded passes a packet of an accepted sender to the flow core.
func (c *Core) handleForwarded(ev Forwarded) {
	if !c.senderAllowed(ev.From) {
		c.out = append(c.out, Drop{Ref: ev.Ref, Reason: "sender_not_member"})
		return
	}
	c.stepFlows(flows.Packet{
		Ref: ev.Ref, Flow: ev.Info.Flow, Opening: ev.Info.Opening(), Reset: ev.Info.RST,
		Service: ev.Header.Service, ViewHash: ev.Header.ViewHash, Hops: ev.Header.Hops,
		Assigned: ev.Header.Assigned, From: ev.From,
	})
}

// senderAllowed reports whether packets of an authentic sender are accepted. If the slice does not
// list all balancers, the shared key alone admits a sender.
func (c *Core) senderAllowed(from model.NodeID) bool {
	if _, ok := c.members[from]; ok || !c.allBalancersListed {
		return true
	}
	first, ok := c.firstSeen[from]
	if !ok {
		if len(c.firstSeen) >= maxUnlistedSenders {
			return false
		}
		c.firstSeen[from] = c.now
		return true
	}
	return c.now.Sub(first) < unlistedSenderGrace
}

// handleMessage passes a peer message to the core that handles it.
func (c *Core) handleMessage(ev Received) {
	switch ev.Msg.(type) {
	case message.HeartbeatAck, message.Slice:
		c.stepFlows(flows.Contact{})
		c.stepAnnouncer(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
	case message.Superseded:
		c.stepAnnouncer(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
	case message.FlowQuery, message.FlowAnswer, message.FlowRegister, message.FlowRelease, message.FlowAck, message.LoadReport:
		c.handleFlowMessage(ev)
	default:
		c.out = append(c.out, Count{Reason: "message_unexpected"})
	}
}

// handleFlowMessage passes a message to the flow core. A reply goes to the source address of the
// message, since the slice may not list a balancer that queries a flow on a moved address.
func (c *Core) handleFlowMessage(ev Received) {
	for _, a := range slices.Clone(c.flows.Step(c.now, flows.Message{From: ev.From, Incarnation: ev.Incarnation, Msg: ev.Msg})) {
		if s, ok := a.(flows.Send); ok && s.To == ev.From {
			c.out = append(c.out, Send{To: s.To, Addr: ev.Addr, Msg: s.Msg})
			continue
		}
		c.applyFlowAction(a)
	}
}

// stepFlows steps the flow core.
func (c *Core) stepFlows(ev flows.Event) {
	for _, a := range slices.Clone(c.flows.Step(c.now, ev)) {
		c.applyFlowAction(a)
	}
}

// applyFlowAction converts an action of the flow core. It drops messages to unknown members.
func (c *Core) applyFlowAction(a flows.Action) {
	switch a := a.(type) {
	case flows.Accept:
		c.out = append(c.out, Accept(a))
	case flows.Pass:
		c.forwardToAgent(a)
	case flows.Drop:
		c.out = append(c.out, Drop{Ref: a.Ref, Reason: a.Reason.String()})
	case flows.Reset:
		c.out = append(c.out, Reset(a))
	case flows.Send:
		if m, ok := c.members[a.To]; ok {
			c.out = append(c.out, Send{To: a.To, Addr: m.PeerAddr, Msg: a.Msg})
		}
	case flows.HeldAddrs:
		self := c.announcer.Self()
		self.HeldAddrs = a.Addrs
		c.stepAnnouncer(membership.SetMember{Member: self})
	case flows.Count:
		c.out = append(c.out, Count{Reason: a.Reason.String()})
	}
}

// forwardToAgent forwards a packet to another agent, or drops it if the agent is unknown.
func (c *Core) forwardToAgent(a flows.Pass) {
	m, ok := c.members[a.To]
	if !ok {
		c.out = append(c.out, Drop{Ref: a.Ref, Reason: "pass_to_unknown"})
		return
	}
	c.out = append(c.out, Pass{Ref: a.Ref, Addr: m.PeerAddr, To: a.To, Header: message.Forward{
		Service: a.Service, ViewHash: a.ViewHash, Hops: a.Hops, Assigned: a.Assigned,
	}})
}

// stepAnnouncer steps the membership core.
func (c *Core) stepAnnouncer(ev membership.Event) {
	actions := slices.Clone(c.announcer.Step(c.now, ev))
	if inc := c.announcer.Self().Incarnation; inc != c.incarnation {
		c.incarnation = inc
		c.out = append(c.out, Incarnation{Incarnation: inc}) // before messages under it
		c.stepFlows(flows.IncarnationRaised{})
	}
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			c.out = append(c.out, Send(a))
		case membership.SliceChanged:
			c.updateSlice(a.Slice)
		case membership.ObserverCountChanged:
		}
	}
}

// updateSlice replaces the members and the view, and reports drains by decision file.
func (c *Core) updateSlice(s message.Slice) {
	clear(c.members)
	for _, m := range s.Balancers {
		c.members[m.ID] = m
		delete(c.firstSeen, m.ID)
	}
	for _, m := range s.View.Members {
		c.members[m.ID] = m
	}
	c.allBalancersListed = len(s.Balancers) > 0 && s.AllBalancers
	if !c.viewKnown && len(s.View.Addrs) == 0 {
		return // the observer has not loaded the configuration yet
	}
	c.viewKnown = true
	c.stepFlows(flows.ViewChanged{View: s.View})
	c.out = append(c.out, ViewChanged{View: s.View})
	// After Leave, the agent is listed as leaving regardless of the decision files.
	own := c.announcer.Self()
	if self, ok := c.members[own.ID]; ok && own.State < model.StateLeaving {
		if draining := self.State == model.StateLeaving; draining != c.draining {
			c.draining = draining
			c.out = append(c.out, Draining{On: draining})
		}
	}
}
