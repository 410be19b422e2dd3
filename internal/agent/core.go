// Package agent composes the cores of an agent that decide about flows:
// membership and the flow core. Requests on accepted flows are the business of
// package front. The process is driven by events with the time as an argument;
// the runtime in package node adds sockets, timers and goroutines.
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

// senderGrace is how long packets of an authentic sender are taken before a
// slice lists it: a balancer that has just joined forwards at once, and the
// slice that names it is up to a heartbeat interval behind.
const senderGrace = 5 * time.Second

// maxSenders bounds the senders on probation.
const maxSenders = 4096

// Options configures a Core.
type Options struct {
	Self  model.Member // Kind is set to KindAgent
	Seeds []netip.AddrPort
	Seed  uint64 // of all random choices
	Flows flows.Options
	// Intervals of the membership protocol; zero values get the defaults.
	Intervals membership.Intervals
}

// Core is the state of one agent. It is not safe for concurrent use.
type Core struct {
	announcer *membership.Announcer
	flows     *flows.Core

	members  map[model.NodeID]model.Member // of the own service and the listed balancers
	complete bool                          // all balancers are listed
	firstAt  map[model.NodeID]time.Time    // unlisted senders
	incarn   model.Incarnation
	draining bool
	viewed   bool

	now time.Time
	out []Action
}

// New returns a core that knows no member but itself.
func New(opt Options) *Core {
	opt.Self.Kind = model.KindAgent
	opt.Flows.Self, opt.Flows.Service, opt.Flows.Seed = opt.Self.ID, opt.Self.Service, opt.Seed
	return &Core{
		announcer: membership.NewAnnouncer(membership.Options{
			Self: opt.Self, Seeds: opt.Seeds, Seed: model.Mix(opt.Seed), Intervals: opt.Intervals,
		}),
		flows:   flows.New(opt.Flows),
		members: make(map[model.NodeID]model.Member),
		firstAt: make(map[model.NodeID]time.Time),
		incarn:  opt.Self.Incarnation,
	}
}

// Self returns the agent's own record.
func (c *Core) Self() model.Member { return c.announcer.Self() }

// Slice returns what the agent was told of its service.
func (c *Core) Slice() message.Slice { return c.announcer.Slice() }

// Member returns a member of the own service or a listed balancer.
func (c *Core) Member(id model.NodeID) (model.Member, bool) {
	m, ok := c.members[id]
	return m, ok
}

// Held returns the number of flows held.
func (c *Core) Held() int { return c.flows.Load().Flows }

// Settled reports whether the view of the service has not changed lately.
func (c *Core) Settled(now time.Time) bool { return c.flows.Table().Settled(now) }

// Table returns the placement table, which only the core changes.
func (c *Core) Table() *placement.Table { return c.flows.Table() }

// Holds reports whether this agent holds a flow.
func (c *Core) Holds(f model.Flow) bool { return c.flows.Holds(f) }

// Step handles one event. The returned slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now, c.out = now, c.out[:0]
	switch ev := ev.(type) {
	case Forwarded:
		c.forwarded(ev)
	case Received:
		c.received(ev)
	case Closed:
		c.flowStep(flows.Closed(ev))
	case Load:
		c.flowStep(flows.LoadChanged(ev))
		load := ev.Load
		load.Flows = c.flows.Load().Flows
		c.announce(membership.SetLoad{Load: load, FileRev: c.announcer.Slice().FileRev})
	case Leave:
		c.flowStep(flows.Leave{})
		c.announce(membership.Leave(ev))
	case Tick:
		c.announce(membership.Tick{})
		c.flowStep(flows.Tick{})
	}
	return c.out
}

func (c *Core) forwarded(ev Forwarded) {
	if !c.allowed(ev.From) {
		c.out = append(c.out, Drop{Ref: ev.Ref, Reason: "sender_not_member"})
		return
	}
	c.flowStep(flows.Packet{
		Ref: ev.Ref, Flow: ev.Info.Flow, Opening: ev.Info.Opening(), Reset: ev.Info.RST,
		Service: ev.Header.Service, ViewHash: ev.Header.ViewHash, Hops: ev.Header.Hops,
		Assigned: ev.Header.Assigned, From: ev.From,
	})
}

// allowed reports whether packets of an authentic sender are taken. Where the
// slice does not list all balancers, the shared key alone admits a sender.
func (c *Core) allowed(from model.NodeID) bool {
	if _, ok := c.members[from]; ok || !c.complete {
		return true
	}
	first, ok := c.firstAt[from]
	if !ok {
		if len(c.firstAt) >= maxSenders {
			return false
		}
		c.firstAt[from] = c.now
		return true
	}
	return c.now.Sub(first) < senderGrace
}

func (c *Core) received(ev Received) {
	switch ev.Msg.(type) {
	case message.HeartbeatAck, message.Slice:
		c.flowStep(flows.Contact{})
		c.announce(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
	case message.FlowAsk, message.FlowAnswer, message.FlowRegister, message.FlowRelease, message.FlowAck, message.LoadReport:
		c.flowReceived(ev)
	default:
		c.out = append(c.out, Count{Reason: "message_unexpected"})
	}
}

// flowReceived hands a message to the flow core. A balancer's question about a
// flow on a moved address is answered to the address that it came from, since
// this agent may not have the balancer in its slice.
func (c *Core) flowReceived(ev Received) {
	for _, a := range slices.Clone(c.flows.Step(c.now, flows.Message{From: ev.From, Incarnation: ev.Incarnation, Msg: ev.Msg})) {
		if s, ok := a.(flows.Send); ok && s.To == ev.From {
			c.out = append(c.out, Send{To: s.To, Addr: ev.Addr, Msg: s.Msg})
			continue
		}
		c.flowAction(a)
	}
}

func (c *Core) flowStep(ev flows.Event) {
	for _, a := range slices.Clone(c.flows.Step(c.now, ev)) {
		c.flowAction(a)
	}
}

func (c *Core) flowAction(a flows.Action) {
	switch a := a.(type) {
	case flows.Accept:
		c.out = append(c.out, Accept(a))
	case flows.Pass:
		c.pass(a)
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
		c.announce(membership.SetMember{Member: self})
	case flows.Count:
		c.out = append(c.out, Count{Reason: a.Reason.String()})
	}
}

func (c *Core) pass(a flows.Pass) {
	m, ok := c.members[a.To]
	if !ok {
		c.out = append(c.out, Drop{Ref: a.Ref, Reason: "pass_to_unknown"})
		return
	}
	c.out = append(c.out, Pass{Ref: a.Ref, Addr: m.PeerAddr, To: a.To, Header: message.Forward{
		Service: a.Service, ViewHash: a.ViewHash, Hops: a.Hops, Assigned: a.Assigned,
	}})
}

// announce drives the membership core.
func (c *Core) announce(ev membership.Event) {
	for _, a := range slices.Clone(c.announcer.Step(c.now, ev)) {
		switch a := a.(type) {
		case membership.Send:
			c.out = append(c.out, Send(a))
		case membership.SliceChanged:
			c.sliceChanged(a.Slice)
		case membership.Contact:
		}
	}
	if inc := c.announcer.Self().Incarnation; inc != c.incarn {
		c.incarn = inc
		c.out = append(c.out, Incarnation{Incarnation: inc})
	}
}

func (c *Core) sliceChanged(s message.Slice) {
	clear(c.members)
	for _, m := range s.Balancers {
		c.members[m.ID] = m
		delete(c.firstAt, m.ID)
	}
	for _, m := range s.View.Members {
		c.members[m.ID] = m
	}
	c.complete = len(s.Balancers) > 0 && s.AllBalancers
	if !c.viewed && len(s.View.Addrs) == 0 {
		return // the observer has no configuration yet
	}
	c.viewed = true
	c.flowStep(flows.ViewChanged{View: s.View})
	c.out = append(c.out, ViewChanged{View: s.View})
	// An agent that leaves by itself is leaving in its slice too, whatever the
	// decision files say.
	own := c.announcer.Self()
	if self, ok := c.members[own.ID]; ok && own.State < model.StateLeaving {
		if draining := self.State == model.StateLeaving; draining != c.draining {
			c.draining = draining
			c.out = append(c.out, Draining{On: draining})
		}
	}
}
