package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// ask is the search for the target of a flow that another balancer placed.
// Packets wait for its end.
type ask struct {
	waiting []netip.AddrPort // agents that have not answered
	unsure  []netip.AddrPort // agents that cannot tell
	packets [][]byte
	ack     uint32
	first   time.Time // of the search
	at      time.Time // of the last round
	rounds  int
	done    bool // no agent holds the flow
	// asked are the agents of this search, in order. Those that neither wait nor are
	// unsure are certain that their targets do not hold the flow. That stays so: a flow
	// is opened once, so they are not asked again.
	asked   []netip.AddrPort
	certain bool             // all of asked answered so, for certain
	last    bool             // the round that decides on a reset
	again   bool             // not all agents were asked; another round follows
	hinting []netip.AddrPort // balancers that have not answered; agents are asked after them
}

// startAsk searches for the target of a flow and keeps the packet: it asks all agents
// that may hold the flow, after the balancers of the data centre if hints is set.
func (c *Core) startAsk(now time.Time, s segment.Segment, raw []byte, hints bool) {
	if r, ok := c.returning[s.Flow]; ok {
		r.ack = s.Ack
		c.returning[s.Flow] = r
		c.count(CounterDropped, "returning")
		return
	}
	a := c.asks[s.Flow]
	if a == nil {
		if len(c.asks) >= maxAsks {
			c.count(CounterDropped, "ask_table_full")
			return
		}
		a = &ask{first: now, done: true}
		c.asks[s.Flow] = a
	}
	a.ack = s.Ack
	if a.done && !a.at.IsZero() && now.Sub(a.at) < askAgainAfter {
		c.count(CounterDropped, "no_holder")
		return
	}
	if len(a.packets) >= maxHeld {
		c.count(CounterDropped, "ask_queue_full")
		return
	}
	a.packets = append(a.packets, slices.Clone(raw))
	if a.done {
		c.count(CounterAsked, "unknown_flow")
		if !hints || a.rounds > 0 || !c.askPeers(now, s.Flow, a) {
			c.startRound(now, s.Flow, a)
		}
	}
}

func (c *Core) startRound(now time.Time, key model.Flow, a *ask) {
	possible := c.possibleHolders(now)
	var waiting []netip.AddrPort
	for _, to := range possible {
		_, asked := slices.BinarySearchFunc(a.asked, to, netip.AddrPort.Compare)
		if !asked || slices.Contains(a.waiting, to) || slices.Contains(a.unsure, to) {
			waiting = append(waiting, to)
		}
	}
	a.asked, a.waiting, a.unsure, a.done = possible, waiting, a.unsure[:0], false
	a.at, a.rounds = now, 1
	if len(a.waiting) == 0 {
		c.conclude(now, key, a)
		return
	}
	c.sendAsks(now, key, a)
}

// possibleHolders returns all agents: an address may have led to another service
// when the flow opened.
func (c *Core) possibleHolders(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range c.targets {
		if t.ever && !c.gone(now, t) {
			out = append(out, t.addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// sendAsks notes the questions about a flow. They leave at once when there were
// none lately, else together with others: after an outage the callers of hundreds
// of flows return within a second, and each question goes to every agent.
func (c *Core) sendAsks(now time.Time, f model.Flow, a *ask) {
	for _, to := range a.waiting {
		c.questions[to] = append(c.questions[to], steerwire.QueryEntry{Flow: f, Ack: a.ack})
	}
	if now.Sub(c.questioned) >= askBatch {
		c.flushQuestions(now)
	}
}

// flushQuestions sends the questions noted for each agent.
func (c *Core) flushQuestions(now time.Time) {
	if len(c.questions) == 0 && len(c.finds) == 0 {
		return
	}
	c.questioned = now
	c.flushFinds(now)
	for _, to := range sortedKeys(c.questions) {
		for qs := range slices.Chunk(c.questions[to], steerwire.MaxQueryEntries) {
			c.send(to, steerwire.Message{Kind: steerwire.KindHolderQuery, Query: steerwire.Query{Queries: qs}})
		}
	}
	clear(c.questions)
}

// answered takes an agent's answer to one question.
func (c *Core) answered(now time.Time, from netip.AddrPort, m steerwire.AnswerEntry) {
	a := c.asks[m.Flow]
	if a == nil || a.done || len(a.hinting) > 0 {
		return
	}
	i := slices.Index(a.waiting, from)
	if i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	switch m.FlowStatus {
	case steerwire.Held:
		c.found(now, m.Flow, a, from, "held")
		return
	case steerwire.Unsure:
		if i >= 0 {
			a.unsure = append(a.unsure, from)
		}
	}
	if len(a.waiting) == 0 {
		c.conclude(now, m.Flow, a)
	}
}

// found sends the waiting packets to the flow's target.
func (c *Core) found(now time.Time, key model.Flow, a *ask, target netip.AddrPort, reason string) {
	delete(c.asks, key)
	f := &flow{target: target, opened: true, lastSeen: now, at: now, ack: a.ack}
	if t := c.targets[target]; t != nil {
		f.service = t.report.Service
	}
	c.flows[key] = f
	c.observe(LatencySearch, reason, now.Sub(a.first))
	c.log(Entry{Event: "found", Flow: key, Service: f.service, Target: target, Reason: reason, Version: c.version(), Age: now.Sub(a.at), Detail: a.rounds})
	for _, p := range a.packets {
		c.forward(key, target, f.service, p)
	}
}

// conclude ends an ask without a holder.
func (c *Core) conclude(now time.Time, key model.Flow, a *ask) {
	if len(a.packets) > 0 && !c.askedAll(now, a, c.silentAfter()) {
		a.again = true // an agent that was not asked may hold the flow
		return
	}
	if len(a.packets) > 0 && c.probe(now, key, a) {
		return
	}
	silent := func(to netip.AddrPort) bool { return slices.Contains(a.waiting, to) && c.silentWithoutFlows(a, to) }
	a.asked = slices.DeleteFunc(a.asked, silent) // it is asked when it reports again
	a.waiting = slices.DeleteFunc(a.waiting, silent)
	a.certain = len(a.waiting) == 0 && len(a.unsure) == 0
	if a.last && now.Sub(c.started) >= startTimeout && c.proves(now, a) {
		c.resetUnheld(now, key, a)
		return
	}
	a.done, a.at = true, now
	a.packets = a.packets[:0]
	c.count(CounterDropped, "no_holder")
	c.log(Entry{Event: "dropped", Flow: key, Reason: "no_holder", Version: c.version(), Age: now.Sub(a.first), Detail: len(a.waiting)})
	if a.certain {
		c.listWanted = true
		c.listAgents(now)
	}
}

// silentWithoutFlows reports whether an agent that said that its target holds no flow
// has neither answered the rounds of a search nor reported since. It is not asked
// before it reports again.
func (c *Core) silentWithoutFlows(a *ask, to netip.AddrPort) bool {
	t := c.targets[to]
	if t == nil || !t.report.Empty || !t.at.Before(a.at.Add(-(askRounds-1)*askTimeout)) {
		return false
	}
	t.muted = true
	return true
}

// listAgents asks for a listing if one is wanted and the last was long enough ago.
func (c *Core) listAgents(now time.Time) {
	if c.listWanted && now.Sub(c.listing) >= listPause {
		c.listWanted, c.listing = false, now
		c.actions = append(c.actions, Action{Kind: ListAgents})
	}
}

// resetUnheld tells the caller of a flow that no target holds.
func (c *Core) resetUnheld(now time.Time, key model.Flow, a *ask) {
	delete(c.asks, key)
	c.returnLater(now, key, returning{ack: a.ack, since: a.first})
}

// resetProven resets the flows that no agent holds. Agents are in the store
// before they take flows, so a listing that is younger than a flow's first
// packet names all agents that can hold it.
func (c *Core) resetProven(now, asOf time.Time) {
	var proven, again []model.Flow
	more := false
	for k, a := range c.asks {
		switch {
		case !a.done || !a.certain:
		case !a.first.Before(asOf):
			more = true
		case c.proves(now, a):
			proven = append(proven, k)
		default:
			again = append(again, k)
		}
	}
	slices.SortFunc(again, model.Flow.Compare)
	for _, k := range again {
		if a := c.asks[k]; now.Sub(a.at) < askAgainAfter {
			c.startRound(now, k, a)
		}
	}
	slices.SortFunc(proven, model.Flow.Compare)
	for _, k := range proven {
		c.resetUnheld(now, k, c.asks[k])
	}
	c.listWanted = c.listWanted || more
}

// probe gives the first packet to the agents that cannot tell, one after the
// other, but never to a target of a service that the address did not lead to.
func (c *Core) probe(now time.Time, key model.Flow, a *ask) bool {
	f := &flow{lastSeen: now, at: now, ack: a.ack}
	for _, u := range a.unsure {
		if t := c.targets[u]; t != nil && c.leadsTo(key.Dst, t.report.Service) {
			f.try(u)
		}
	}
	if f.ntried == 0 {
		return false
	}
	f.target = f.tried[0]
	f.service = c.targets[f.target].report.Service
	delete(c.asks, key)
	c.flows[key] = f
	c.log(Entry{Event: "probed", Flow: key, Service: f.service, Target: f.target, Version: c.version(), Detail: int(f.ntried)})
	c.forward(key, f.target, f.service, a.packets[0])
	return true
}

// leadsTo reports whether an address leads to a service, now or in an earlier
// configuration of this life of the process.
func (c *Core) leadsTo(dst netip.AddrPort, service model.ServiceName) bool {
	has := func(shares []Share) bool {
		return slices.ContainsFunc(shares, func(s Share) bool { return s.Service == service })
	}
	return has(c.config.Routes[dst].Shares) || has(c.former[dst])
}

// silentAfter returns when a search goes on without a known agent that has never
// reported: it may start after the balancer and hears of it with the next hello. The
// store lists agents whose VMs died until their addresses are used again, and callers
// would wait lostAfter.
func (c *Core) silentAfter() time.Duration { return startSpread + c.agentInterval() + helloSlack }

// proves reports whether a search shows that nobody holds the flow: each agent
// that may hold it was asked and is certain. An agent that reported since the
// question may be the holder.
func (c *Core) proves(now time.Time, a *ask) bool {
	return a.certain && c.agentsComplete(now) && c.askedAll(now, a, lostAfter)
}

// askedAll reports whether all agents that may hold the flow were asked. One that
// is known and has not reported yet may hold it too, until it has been silent for
// the given time.
func (c *Core) askedAll(now time.Time, a *ask, silent time.Duration) bool {
	for _, t := range c.targets {
		if !t.ever && now.Sub(t.noted) >= silent || c.gone(now, t) {
			continue
		}
		if _, found := slices.BinarySearchFunc(a.asked, t.addr, netip.AddrPort.Compare); !found {
			return false
		}
	}
	return true
}

// agentsComplete reports whether the agents known are enough to tell that nobody
// holds a flow: each has reported lately or is gone, and no more are gone than are
// there. While one counts as gone that was heard lately, all others must be
// reachable, so that its silence is not due to the own link.
func (c *Core) agentsComplete(now time.Time) bool {
	present, gone := 0, 0
	unreachable, early := false, false
	for _, t := range c.targets {
		switch {
		case c.gone(now, t):
			gone++
			early = early || !t.lost(now)
		case !t.ever || t.lost(now):
			return false
		default:
			present++
			unreachable = unreachable || !c.reachable(now, t)
		}
	}
	return present > gone && !(early && unreachable)
}

// overdueAsks repeats or ends asks without all answers.
func (c *Core) overdueAsks(now time.Time) {
	var due []model.Flow
	for k, a := range c.asks {
		timeout := askTimeout
		if len(a.hinting) > 0 {
			timeout = hintTimeout
		}
		if now.Sub(a.at) >= timeout {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, model.Flow.Compare)
	for _, k := range due {
		a := c.asks[k]
		switch {
		case len(a.hinting) > 0:
			c.overdueHints(now, k, a)
		case a.again:
			a.again = false
			c.startRound(now, k, a)
		case a.done && a.last:
			if now.Sub(a.at) >= forgetAskAfter {
				delete(c.asks, k)
			}
		case a.done:
			if now.Sub(a.first) >= resetAfter {
				a.last = true
				c.startRound(now, k, a)
			}
		case a.rounds >= askRounds:
			c.conclude(now, k, a)
		default:
			a.rounds++
			a.at = now
			c.sendAsks(now, k, a)
		}
	}
}

// Times of a search.
const (
	// askBatch is how long questions wait for others.
	askBatch = 10 * time.Millisecond
	// askAgainAfter bounds the asks for one flow: its caller repeats a packet
	// after 200 ms at the earliest.
	askAgainAfter = 150 * time.Millisecond
	// resetAfter is how long after the first packet agents are asked a last time.
	// An agent that is new to this balancer becomes known within two hellos.
	resetAfter = 2*helloInterval + 100*time.Millisecond
	// forgetAskAfter ends a search that could not decide.
	forgetAskAfter = 2 * time.Second
)
