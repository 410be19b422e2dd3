package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// queryAttempts and queryInterval give a candidate 0.3 s to answer. Callers
	// retransmit a lost SYN after 1 s.
	queryAttempts = 3
	queryInterval = 100 * time.Millisecond
	// maxCandidates bounds the agents queried initially. maxQueried also includes
	// the agents queried because an answer names them as the holder.
	maxCandidates = 24
	maxQueried    = 32
)

// lookup is a pending search for the holder of a flow. It queries the candidates
// and buffers packets of the flow until it ends.
type lookup struct {
	flow      model.Flow
	hash      uint64
	id        uint64
	opening   bool // this agent opens the flow if no agent holds it
	ended     bool
	truncated bool // maxCandidates was reached, so not all candidates may be queried
	// returnedBy is the previously recorded holder, which returned a packet.
	returnedBy model.NodeID
	buffered   []Packet
	queried    []queriedAgent
	attempts   int // queries sent to each unanswered agent
	retryAt    time.Time
}

// queriedAgent is the state of one queried agent in a lookup.
type queriedAgent struct {
	id          model.NodeID
	denied      bool // answered that it does not hold the flow
	namedHolder bool // named as the holder by another agent, or equal to returnedBy
}

// outranks reports whether a takes precedence when a and b open the same flow
// concurrently. Views and weights are not considered, so that both agents reach
// the same result. With equal weights the home wins, because homes are ranked
// by the same hash.
func outranks(hash uint64, a, b model.NodeID) bool {
	ha, hb := model.Mix(hash^model.HashString(string(a))), model.Mix(hash^model.HashString(string(b)))
	if ha != hb {
		return ha > hb
	}
	return a > b
}

// startLookup queries all candidates about the flow of a packet. returnedBy, if
// not empty, was the recorded holder. It may open the flow in the meantime, so
// this agent must not open the flow if returnedBy does not answer.
func (c *Core) startLookup(now time.Time, p Packet, returnedBy model.NodeID) {
	if len(c.lookups) >= c.opt.MaxLookups {
		c.emit(Drop{p.Ref, ReasonLookupsFull})
		return
	}
	l := &lookup{flow: p.Flow, hash: p.Flow.Hash(), returnedBy: returnedBy, buffered: []Packet{p}}
	c.lookups[p.Flow] = l
	c.lookupOrder = append(c.lookupOrder, l)
	c.queryCandidates(now, l, c.isOpening(p))
}

// queryCandidates starts or restarts a lookup with a new query ID.
func (c *Core) queryCandidates(now time.Time, l *lookup, opening bool) {
	c.nextQueryID++
	l.id = c.nextQueryID
	l.opening = opening
	l.attempts = 1
	l.retryAt = now.Add(queryInterval)
	l.queried = l.queried[:0]
	ids := c.table.Candidates(now, l.hash, maxCandidates)
	l.truncated = len(ids) == maxCandidates
	for _, id := range ids {
		if id != c.opt.Self {
			l.queried = append(l.queried, queriedAgent{id: id, namedHolder: id == l.returnedBy})
			c.sendQuery(l, id)
		}
	}
	c.finishIfAllDenied(now, l)
}

func (c *Core) sendQuery(l *lookup, to model.NodeID) {
	c.emit(Send{to, message.FlowQuery{ID: l.id, Service: c.opt.Service, Flow: l.flow, Opening: l.opening}})
}

// joinLookup buffers a packet of a flow with a pending lookup. The first opening
// packet restarts the lookup.
func (c *Core) joinLookup(now time.Time, l *lookup, p Packet) {
	if len(l.buffered) >= maxBuffered {
		c.emit(Drop{p.Ref, ReasonBufferFull})
		return
	}
	if c.isOpening(p) && !l.opening {
		if reason, ok := c.rejectReason(now, p); ok {
			c.emit(Drop{p.Ref, reason})
			return
		}
		// The first queries were sent without Opening, so the candidates have not
		// recorded this agent as tentative holder.
		l.buffered = append(l.buffered, p)
		c.queryCandidates(now, l, true)
		return
	}
	l.buffered = append(l.buffered, p)
}

// onQuery answers a query of another agent, or of a balancer that looks up the
// holder of a flow on a moved address.
func (c *Core) onQuery(now time.Time, ev Message, q message.FlowQuery) {
	hash := q.Flow.Hash()
	answer := message.FlowAnswer{ID: q.ID, Flow: q.Flow, Verdict: message.VerdictNone}
	if holder := c.holderFor(now, ev, q, hash); holder != "" && holder != ev.From {
		answer.Verdict, answer.Holder = message.VerdictHeld, holder
	}
	c.emit(Send{ev.From, answer})
}

// holderFor returns the holder to name in the answer to a query, or "". If there
// is none and the sender is opening the flow, it records the sender as the
// tentative holder.
func (c *Core) holderFor(now time.Time, ev Message, q message.FlowQuery, hash uint64) model.NodeID {
	if c.held.get(hash, q.Flow) != nil {
		return c.opt.Self
	}
	if e := c.exceptionFor(now, hash, q.Flow); e != nil {
		if e.holder == ev.From && q.Opening {
			c.recordHolder(now, hash, q.Flow, ev.From, ev.Incarnation, tentativeTTL)
		}
		return e.holder
	}
	if q.Service != c.opt.Service {
		return ""
	}
	l := c.lookups[q.Flow]
	if l != nil && l.opening && (!q.Opening || outranks(hash, c.opt.Self, ev.From)) {
		return c.opt.Self
	}
	if !q.Opening {
		return ""
	}
	if l == nil {
		c.recordHolder(now, hash, q.Flow, ev.From, ev.Incarnation, tentativeTTL)
		return ""
	}
	if l.opening {
		c.emit(Count{ReasonYielded})
	}
	c.resolveLookup(now, l, ev.From, ev.Incarnation)
	return ""
}

func (c *Core) onAnswer(now time.Time, from model.NodeID, m message.FlowAnswer) {
	l := c.lookups[m.Flow]
	if l == nil || l.id != m.ID {
		return
	}
	i := slices.IndexFunc(l.queried, func(q queriedAgent) bool { return q.id == from })
	if i < 0 {
		return
	}
	held := m.Verdict == message.VerdictHeld && m.Holder != c.opt.Self
	if held && m.Holder == from {
		c.resolveLookup(now, l, from, 0)
		return
	}
	l.queried[i].denied = true
	if held {
		c.queryNamedHolder(now, l, m.Holder)
	}
	c.finishIfAllDenied(now, l)
}

// queryNamedHolder marks an agent that an answer names as the holder, and queries
// it too. Only its own answer is conclusive: the other answer may stem from an
// opening that this agent has since abandoned.
func (c *Core) queryNamedHolder(now time.Time, l *lookup, holder model.NodeID) {
	i := slices.IndexFunc(l.queried, func(q queriedAgent) bool { return q.id == holder })
	if i >= 0 {
		l.queried[i].namedHolder = true
		return
	}
	if len(l.queried) >= maxQueried {
		return
	}
	l.queried = append(l.queried, queriedAgent{id: holder, namedHolder: true})
	l.attempts = 1
	l.retryAt = now.Add(queryInterval)
	c.sendQuery(l, holder)
}

// resolveLookup ends a lookup whose holder is known and forwards its packets there.
func (c *Core) resolveLookup(now time.Time, l *lookup, holder model.NodeID, inc model.Incarnation) {
	c.endLookup(l)
	ttl := learnedTTL
	if l.opening {
		ttl = tentativeTTL
	}
	c.recordHolder(now, l.hash, l.flow, holder, inc, ttl)
	for _, p := range l.buffered {
		c.forward(now, p, holder, false)
	}
}

func (c *Core) endLookup(l *lookup) {
	l.ended = true
	delete(c.lookups, l.flow)
}

func (c *Core) tickLookups(now time.Time) {
	for _, l := range c.lookupOrder {
		if l.ended || now.Before(l.retryAt) {
			continue
		}
		if l.attempts >= queryAttempts {
			c.finishLookup(now, l)
			continue
		}
		l.attempts++
		l.retryAt = now.Add(queryInterval)
		for _, q := range l.queried {
			if !q.denied {
				c.sendQuery(l, q.id)
			}
		}
	}
	c.lookupOrder = slices.DeleteFunc(c.lookupOrder, func(l *lookup) bool { return l.ended })
}

func (c *Core) finishIfAllDenied(now time.Time, l *lookup) {
	if !slices.ContainsFunc(l.queried, func(q queriedAgent) bool { return !q.denied }) {
		c.finishLookup(now, l)
	}
}

// finishLookup ends a lookup in which no agent confirmed that it holds the flow.
// If an agent named as the holder has not answered, the packets go to that agent.
func (c *Core) finishLookup(now time.Time, l *lookup) {
	allAnswered := true
	for _, q := range l.queried {
		if !q.denied && q.namedHolder {
			c.resolveLookup(now, l, q.id, 0)
			return
		}
		allAnswered = allAnswered && q.denied
	}
	c.endLookup(l)
	if !l.opening {
		c.rejectUnknown(now, l, allAnswered)
		return
	}
	if !allAnswered {
		c.emit(Count{ReasonOpenedUnanswered})
	}
	i := slices.IndexFunc(l.buffered, c.isOpening)
	if reason, ok := c.rejectReason(now, l.buffered[i]); ok {
		c.dropAll(l.buffered, reason)
		return
	}
	if !c.acceptsNewFlows(now) {
		for _, p := range l.buffered {
			c.forwardToActive(now, p)
		}
		return
	}
	// The flow is not handed over after a lookup: the candidates have recorded this
	// agent as tentative holder and would return the packet.
	if c.atLimit() {
		c.dropAll(l.buffered, ReasonFlowLimit)
		return
	}
	// The TCP stack must receive the opening packet first.
	l.buffered[0], l.buffered[i] = l.buffered[i], l.buffered[0]
	c.openFlow(now, l.flow, l.hash, l.buffered)
}

// rejectUnknown rejects non-opening packets of a flow for which no holder was found.
// A reset terminates the caller's connection, so it is sent only if every candidate
// answered, the view has settled, and the address has belonged to the service for
// learnedTTL, so that balancers know the holders of its previous service.
func (c *Core) rejectUnknown(now time.Time, l *lookup, allAnswered bool) {
	times, own := c.addrs[l.flow.ServiceAddr()]
	safe := allAnswered && !l.truncated && own && now.Sub(times.since) >= learnedTTL && c.table.Settled(now)
	i := slices.IndexFunc(l.buffered, func(p Packet) bool { return !p.Reset })
	if !safe || i < 0 {
		c.dropAll(l.buffered, ReasonUnknownFlow)
		return
	}
	for j, p := range l.buffered {
		if j == i {
			c.emit(Reset{p.Ref, l.flow})
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
