package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// askTries and askInterval give a candidate 0.3 s to answer. A caller sends a
	// lost SYN again after 1 s.
	askTries    = 3
	askInterval = 100 * time.Millisecond
	// maxCandidates bounds the agents asked at first, maxAsked also those that
	// are asked because an answer names them.
	maxCandidates = 24
	maxAsked      = 32
)

// ask is a question to the candidates of a flow whose holder is not known.
type ask struct {
	flow    model.Flow
	hash    uint64
	id      uint64
	opening bool // this agent opens the flow when nobody holds it
	ended   bool
	partial bool // there were more candidates than maxCandidates
	// returned was the believed holder until it passed a packet back.
	returned model.NodeID
	packets  []Packet
	asked    []asked
	sent     int
	due      time.Time
}

// asked is one agent of an ask.
type asked struct {
	id      model.NodeID
	denied  bool // it answered that it does not hold the flow
	claimed bool // another agent named it as the holder, or it was the believed one
}

// outranks reports whether a goes on when a and b open the same flow at once.
// Views and weights play no part, so that both decide alike. With equal weights
// the home wins, because it is ranked by the same hash.
func outranks(hash uint64, a, b model.NodeID) bool {
	ha, hb := model.Mix(hash^model.HashString(string(a))), model.Mix(hash^model.HashString(string(b)))
	if ha != hb {
		return ha > hb
	}
	return a > b
}

// startAsk asks all candidates about the flow of a packet. The agent returned,
// if any, was the believed holder. It may open the flow meanwhile, so its
// silence does not let this agent open it.
func (c *Core) startAsk(now time.Time, p Packet, returned model.NodeID) {
	if len(c.asks) >= c.opt.MaxAsks {
		c.emit(Drop{p.Ref, ReasonAsksFull})
		return
	}
	a := &ask{flow: p.Flow, hash: p.Flow.Hash(), returned: returned, packets: []Packet{p}}
	c.asks[p.Flow] = a
	c.asking = append(c.asking, a)
	c.sendAsks(now, a, c.isOpening(p))
}

// sendAsks starts the ask, or starts it again.
func (c *Core) sendAsks(now time.Time, a *ask, opening bool) {
	c.nextID++
	a.id = c.nextID
	a.opening = opening
	a.sent = 1
	a.due = now.Add(askInterval)
	a.asked = a.asked[:0]
	ids := c.table.Candidates(now, a.hash, maxCandidates)
	a.partial = len(ids) == maxCandidates
	for _, id := range ids {
		if id != c.opt.Self {
			a.asked = append(a.asked, asked{id: id, claimed: id == a.returned})
			c.sendAsk(a, id)
		}
	}
	c.finishIfAnswered(now, a)
}

func (c *Core) sendAsk(a *ask, to model.NodeID) {
	c.emit(Send{to, message.FlowAsk{ID: a.id, Service: c.opt.Service, Flow: a.flow, Opening: a.opening}})
}

// join adds a packet to an ask that is under way.
func (c *Core) join(now time.Time, a *ask, p Packet) {
	if len(a.packets) >= maxPackets {
		c.emit(Drop{p.Ref, ReasonHoldFull})
		return
	}
	if c.isOpening(p) && !a.opening {
		if reason, ok := c.refused(now, p); ok {
			c.emit(Drop{p.Ref, reason})
			return
		}
		// The candidates have not recorded this agent as tentative holder yet.
		a.packets = append(a.packets, p)
		c.sendAsks(now, a, true)
		return
	}
	a.packets = append(a.packets, p)
}

// onAsk answers another agent, or a balancer that looks for the holder of a
// flow on a moved address.
func (c *Core) onAsk(now time.Time, ev Message, q message.FlowAsk) {
	hash := q.Flow.Hash()
	answer := message.FlowAnswer{ID: q.ID, Flow: q.Flow, Verdict: message.VerdictNone}
	if holder := c.holderFor(now, ev, q, hash); holder != "" && holder != ev.From {
		answer.Verdict, answer.Holder = message.VerdictHeld, holder
	}
	c.emit(Send{ev.From, answer})
}

// holderFor returns whom this agent names to the asker, or "". It records an
// asker that opens the flow as tentative holder if there is no other.
func (c *Core) holderFor(now time.Time, ev Message, q message.FlowAsk, hash uint64) model.NodeID {
	if c.held.get(hash, q.Flow) != nil {
		return c.opt.Self
	}
	if e := c.lookup(now, hash, q.Flow); e != nil {
		if e.holder == ev.From && q.Opening {
			c.remember(now, hash, q.Flow, ev.From, ev.Incarnation, tentativeTime)
		}
		return e.holder
	}
	if q.Service != c.opt.Service {
		return ""
	}
	a := c.asks[q.Flow]
	if a != nil && a.opening && (!q.Opening || outranks(hash, c.opt.Self, ev.From)) {
		return c.opt.Self
	}
	if !q.Opening {
		return ""
	}
	if a == nil {
		c.remember(now, hash, q.Flow, ev.From, ev.Incarnation, tentativeTime)
		return ""
	}
	if a.opening {
		c.emit(Count{ReasonYielded})
	}
	c.resolve(now, a, ev.From, ev.Incarnation)
	return ""
}

func (c *Core) onAnswer(now time.Time, from model.NodeID, m message.FlowAnswer) {
	a := c.asks[m.Flow]
	if a == nil || a.id != m.ID {
		return
	}
	i := slices.IndexFunc(a.asked, func(q asked) bool { return q.id == from })
	if i < 0 {
		return
	}
	held := m.Verdict == message.VerdictHeld && m.Holder != c.opt.Self
	if held && m.Holder == from {
		c.resolve(now, a, from, 0)
		return
	}
	a.asked[i].denied = true
	if held {
		c.claim(now, a, m.Holder)
	}
	c.finishIfAnswered(now, a)
}

// claim notes that an answer names a holder, which is asked too. Its own answer
// decides: the claim may rest on an opening that the holder has given up.
func (c *Core) claim(now time.Time, a *ask, holder model.NodeID) {
	i := slices.IndexFunc(a.asked, func(q asked) bool { return q.id == holder })
	if i >= 0 {
		a.asked[i].claimed = true
		return
	}
	if len(a.asked) >= maxAsked {
		return
	}
	a.asked = append(a.asked, asked{id: holder, claimed: true})
	a.sent = 1
	a.due = now.Add(askInterval)
	c.sendAsk(a, holder)
}

// resolve ends an ask because holder has the flow.
func (c *Core) resolve(now time.Time, a *ask, holder model.NodeID, inc model.Incarnation) {
	c.end(a)
	ttl := learnedTime
	if a.opening {
		ttl = tentativeTime
	}
	c.remember(now, a.hash, a.flow, holder, inc, ttl)
	for _, p := range a.packets {
		c.pass(now, p, holder, false)
	}
}

func (c *Core) end(a *ask) {
	a.ended = true
	delete(c.asks, a.flow)
}

func (c *Core) tickAsks(now time.Time) {
	for _, a := range c.asking {
		if a.ended || now.Before(a.due) {
			continue
		}
		if a.sent >= askTries {
			c.finish(now, a)
			continue
		}
		a.sent++
		a.due = now.Add(askInterval)
		for _, q := range a.asked {
			if !q.denied {
				c.sendAsk(a, q.id)
			}
		}
	}
	c.asking = slices.DeleteFunc(c.asking, func(a *ask) bool { return a.ended })
}

func (c *Core) finishIfAnswered(now time.Time, a *ask) {
	if !slices.ContainsFunc(a.asked, func(q asked) bool { return !q.denied }) {
		c.finish(now, a)
	}
}

// finish ends an ask that found no holder.
func (c *Core) finish(now time.Time, a *ask) {
	answered := true
	for _, q := range a.asked {
		if !q.denied && q.claimed {
			c.resolve(now, a, q.id, 0)
			return
		}
		answered = answered && q.denied
	}
	c.end(a)
	if !a.opening {
		c.refuseUnknown(now, a, answered)
		return
	}
	if !answered {
		c.emit(Count{ReasonOpenedUnanswered})
	}
	i := slices.IndexFunc(a.packets, c.isOpening)
	if reason, ok := c.refused(now, a.packets[i]); ok {
		c.dropAll(a.packets, reason)
		return
	}
	if !c.takesFlows(now) {
		for _, p := range a.packets {
			c.decline(now, p)
		}
		return
	}
	// After an ask the flow is not handed over: the candidates have recorded this
	// agent as tentative holder and would pass the packet back.
	if c.atLimit() {
		c.dropAll(a.packets, ReasonFlowLimit)
		return
	}
	// The stack needs the opening packet first.
	a.packets[0], a.packets[i] = a.packets[i], a.packets[0]
	c.open(now, a.flow, a.hash, a.packets)
}

// refuseUnknown answers non-opening packets of a flow that nobody holds. A
// reset ends the caller's connection, so it needs the answer of every
// candidate, a settled view, and an address that has belonged to the service
// for so long that balancers know the holders of its previous service.
func (c *Core) refuseUnknown(now time.Time, a *ask, answered bool) {
	times, own := c.addrs[a.flow.ServiceAddr()]
	safe := answered && !a.partial && own && now.Sub(times.since) >= learnedTime && c.table.Settled(now)
	i := slices.IndexFunc(a.packets, func(p Packet) bool { return !p.Reset })
	if !safe || i < 0 {
		c.dropAll(a.packets, ReasonUnknownFlow)
		return
	}
	for j, p := range a.packets {
		if j == i {
			c.emit(Reset{p.Ref, a.flow})
		} else {
			c.emit(Drop{p.Ref, ReasonResetSent})
		}
	}
}

func (c *Core) dropAll(ps []Packet, reason Reason) {
	for _, p := range ps {
		c.emit(Drop{p.Ref, reason})
	}
}
