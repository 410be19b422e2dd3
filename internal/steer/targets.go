package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/leastload"
)

// target is an agent and what it last reported of its target.
type target struct {
	addr         netip.AddrPort
	listed       bool      // in the store
	noted        time.Time // when its address became known
	ever         bool      // has reported
	lossTold     bool      // hellos to balancers named it as lost
	muted        bool      // held no flow and did not answer; until its next report
	report       steerwire.Report
	override     config.Override // by decision files
	at           time.Time       // of the last report
	first        time.Time       // when the agent was first heard, in this incarnation
	coldUntil    time.Time
	assigned     float64 // flows placed since the last report
	suspectUntil time.Time
}

func (c *Core) reachable(now time.Time, t *target) bool {
	return t.ever && now.Sub(t.at) < c.reportTimeout()
}

// lost reports whether the agent has been silent for longer than a restart takes.
func (t *target) lost(now time.Time) bool {
	if !t.ever {
		return now.Sub(t.noted) >= unheardAfter
	}
	return now.Sub(t.at) >= lostAfter
}

// gone reports whether the agent is lost to all balancers. An agent that only this
// one has lost may hold flows that other balancers reach: the own link may be full.
// One that is silent and last said that its target holds no flow has none to lose.
func (c *Core) gone(now time.Time, t *target) bool {
	if !t.lost(now) {
		return t.report.Empty && (t.muted || !c.reachable(now, t))
	}
	heard, live := false, false
	for _, p := range c.peers {
		heard = heard || !p.heard.IsZero()
		if now.Sub(p.heard) >= peerTimeout {
			continue
		}
		live = true
		if !slices.Contains(p.lost, t.addr) {
			return false
		}
	}
	return live || !heard
}

// takesFlows reports whether a new flow may go to the target. suspects admits
// those that were silent lately.
func (c *Core) takesFlows(now time.Time, t *target, suspects bool) bool {
	if !t.ever || t.report.State != steerwire.TargetReady || t.override.Drain {
		return false
	}
	return suspects || c.reachable(now, t) && !now.Before(t.suspectUntil)
}

func (t *target) candidate(now time.Time, dc model.DataCentre) leastload.Candidate {
	return leastload.Candidate{
		Slots: t.report.Slots, Weight: t.override.Weight, Busy: float64(t.report.BusyCenti) / 100, Flows: t.report.Flows,
		Assigned: t.assigned, Cold: now.Before(t.coldUntil), Remote: t.report.DataCentre != dc,
		FailureRate: float64(t.report.FailingCenti) / 100,
	}
}

// peer is another balancer.
type peer struct {
	addr        netip.AddrPort
	heard       time.Time // zero if never
	noted       time.Time // when its address became known
	incarnation model.Incarnation
	revision    uint64
	decisions   Decisions // revision and digest of its decision files
	wantsAgents bool
	seed        bool
	dataCentre  model.DataCentre
	muted       bool             // did not answer a question; it is not asked before it is heard
	lost        []netip.AddrPort // agents that it has lost
}

// SetAgents takes the addresses of the agents that the store lists. asOf is a
// time at which the listing was complete, zero if it may be old.
func (c *Core) SetAgents(now time.Time, listed []netip.AddrPort, asOf time.Time) []Action {
	c.actions = c.actions[:0]
	for _, t := range c.targets {
		t.listed = false
	}
	for _, a := range listed {
		t := c.noteAgent(now, a)
		t.listed = true
	}
	if !asOf.IsZero() {
		c.resetProven(now, asOf)
	}
	return c.actions
}

// noteAgent makes an agent known and says hello to a new one.
func (c *Core) noteAgent(now time.Time, a netip.AddrPort) *target {
	t := c.targets[a]
	if t == nil {
		t = &target{addr: a, noted: now}
		c.targets[a] = t
		c.send(a, c.helloMessage(false))
	}
	return t
}

func (c *Core) helloMessage(reply bool) steerwire.Message {
	m := steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: c.o.Node, Incarnation: c.o.Incarnation, Reply: reply, Decisions: c.decisions.Revision, DecisionDigest: c.decisions.Digest}}
	if c.config != nil {
		m.Hello.Revision = c.config.Revision
	}
	return m
}

// Message handles a message from a peer. s is the segment of a Refuse's packet.
func (c *Core) Message(now time.Time, from netip.AddrPort, m steerwire.Message, s segment.Segment) []Action {
	c.actions = c.actions[:0]
	switch m.Kind {
	case steerwire.KindRefuse:
		c.refused(now, from, m.Refuse, s)
	case steerwire.KindOpened:
		c.opened(now, from, m.Opened)
	case steerwire.KindHolderAnswer:
		for _, v := range m.Answer.Answers {
			c.answered(now, from, v)
		}
	case steerwire.KindHintQuery:
		c.find(now, from, m.Query)
	case steerwire.KindHints:
		c.hinted(now, from, m.Hints)
	case steerwire.KindReport:
		c.reported(now, from, m.Report)
	case steerwire.KindHello:
		c.greeted(now, from, m.Hello)
	default:
		c.count(CounterDropped, "unexpected_message")
	}
	return c.actions
}

// reported takes an agent's report unless a later one came before.
func (c *Core) reported(now time.Time, from netip.AddrPort, r steerwire.Report) {
	t := c.noteAgent(now, from)
	for _, a := range r.Balancers {
		c.notePeer(now, a, false)
	}
	if t.ever && (r.Incarnation < t.report.Incarnation || r.Incarnation == t.report.Incarnation && r.Sequence <= t.report.Sequence) {
		c.count(CounterDropped, "old_report")
		return
	}
	old := t.report
	if !t.ever || old.State != r.State || old.Incarnation != r.Incarnation || old.Service != r.Service {
		c.log(Entry{Event: "target", Service: r.Service, Target: from, Reason: r.State.String(), Age: now.Sub(t.at), Detail: r.Slots})
	} else if !c.reachable(now, t) {
		c.log(Entry{Event: "regained", Service: r.Service, Target: from, Age: now.Sub(t.at)})
	}
	if !t.ever || old.Incarnation != r.Incarnation {
		t.first = now
		c.tellPeers = true
	}
	t.ever, t.lossTold, t.muted, t.report, t.at = true, false, false, r, now
	t.report.Balancers = nil
	if old.Node != r.Node || old.DataCentre != r.DataCentre || t.override.Weight == 0 {
		c.override(t)
	}
	t.assigned = 0
	t.suspectUntil = time.Time{}
	t.coldUntil = now.Add(time.Duration(r.ColdMillis) * time.Millisecond)
	if old.Service != r.Service || len(c.byService[r.Service]) == 0 {
		c.index()
	}
	if len(c.waiting) > 0 && r.State == steerwire.TargetReady {
		c.placeWaiting(now, r.Service)
	}
}

// index rebuilds the lists of targets by service.
func (c *Core) index() {
	clear(c.byService)
	for _, t := range c.targets {
		if t.ever {
			c.byService[t.report.Service] = append(c.byService[t.report.Service], t)
		}
	}
	for _, ts := range c.byService {
		slices.SortFunc(ts, func(a, b *target) int { return a.addr.Compare(b.addr) })
	}
}

func (c *Core) notePeer(now time.Time, a netip.AddrPort, seed bool) *peer {
	p := c.peers[a]
	if p == nil {
		p = &peer{addr: a, noted: now, seed: seed}
		c.peers[a] = p
	}
	return p
}

// AddSeeds makes the configured seeds known.
func (c *Core) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	for _, a := range seeds {
		c.notePeer(now, a, true).seed = true
	}
}

// greeted takes the hello of another balancer.
func (c *Core) greeted(now time.Time, from netip.AddrPort, h steerwire.Hello) {
	if h.Node == c.o.Node {
		return // a seed may name this balancer itself
	}
	p := c.notePeer(now, from, false)
	isNew := p.heard.IsZero() || p.incarnation != h.Incarnation
	if isNew {
		c.log(Entry{Event: "balancer", Target: from, Reason: "heard", Version: int64(h.Revision)})
	}
	p.heard, p.incarnation, p.wantsAgents = now, h.Incarnation, h.WantAgents
	p.revision = max(p.revision, h.Revision)
	if h.Decisions > p.decisions.Revision {
		p.decisions = Decisions{Revision: h.Decisions, Digest: h.DecisionDigest}
	}
	p.lost, p.dataCentre, p.muted = h.Lost, h.DataCentre, false
	for _, a := range h.Agents {
		c.noteAgent(now, a)
	}
	if !h.Reply && (isNew || h.WantAgents) {
		c.send(from, c.helloTo(now, p, true))
	}
	c.wantConfig(now)
}

// wantConfig asks a peer for a configuration or decision files that are newer than
// the own ones.
func (c *Core) wantConfig(now time.Time) {
	if now.Sub(c.fetching) < helloInterval {
		return
	}
	var own uint64
	if c.base != nil {
		own = c.base.Revision
	}
	best := netip.AddrPort{}
	for _, p := range c.peers {
		newer := p.revision > own || p.decisions.Revision > c.decisions.Revision && p.decisions.Digest != c.decisions.Digest
		if newer && now.Sub(p.heard) < peerTimeout && (!best.IsValid() || p.addr.Compare(best) < 0) {
			best = p.addr
		}
	}
	if best.IsValid() {
		c.fetching = now
		c.actions = append(c.actions, Action{Kind: FetchConfig, To: best})
	}
}

// helloTo returns the hello for a balancer, with the agents that it may lack.
func (c *Core) helloTo(now time.Time, p *peer, reply bool) steerwire.Message {
	m := c.helloMessage(reply)
	m.Hello.DataCentre = c.o.DataCentre
	m.Hello.WantAgents = now.Sub(c.started) < startTimeout
	for _, t := range c.targets {
		if t.lost(now) && len(m.Hello.Lost) < steerwire.MaxPeers {
			m.Hello.Lost = append(m.Hello.Lost, t.addr)
		}
		if len(m.Hello.Agents) < steerwire.MaxPeers && c.reachable(now, t) && (p.wantsAgents || now.Sub(t.first) < newAgentFor) {
			m.Hello.Agents = append(m.Hello.Agents, t.addr)
		}
	}
	slices.SortFunc(m.Hello.Agents, netip.AddrPort.Compare)
	return m
}

func (c *Core) helloBalancers(now time.Time) {
	for _, a := range sortedKeys(c.peers) {
		c.send(a, c.helloTo(now, c.peers[a], false))
	}
}

func sortedKeys[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(m))
	for a := range m {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Tick does what is due. The runtime calls it at Next or earlier.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.tick = now
	c.overdueOpens(now)
	c.overdueAsks(now)
	c.listAgents(now)
	c.overdueWaiting(now)
	c.releaseReturns(now)
	c.releaseTransfers(now)
	if now.Sub(c.questioned) >= askBatch {
		c.flushQuestions(now)
	}
	if now.Sub(c.hello) >= c.agentInterval() {
		c.hello = now
		c.forgetSilent(now)
		for _, a := range sortedKeys(c.targets) {
			c.send(a, c.helloMessage(false))
		}
		c.wantConfig(now)
	}
	if since := now.Sub(c.peerHello); since >= peerInterval || c.tellPeers && since >= tellPause {
		c.peerHello, c.tellPeers = now, false
		c.helloBalancers(now)
	}
	c.forgetIdle(now)
	return c.actions
}

// agentInterval returns the pause between hellos to the agents. It grows with
// their number, so that the smallest VM spends little of its share on them.
func (c *Core) agentInterval() time.Duration {
	return max(helloInterval, time.Duration(len(c.targets))*time.Second/maxHellos)
}

// reportTimeout returns when an agent without reports counts as unreachable.
func (c *Core) reportTimeout() time.Duration { return 3*c.agentInterval() + helloSlack }

// forgetSilent drops agents and balancers that are gone.
func (c *Core) forgetSilent(now time.Time) {
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		if t.ever && !c.reachable(now, t) && now.Sub(t.at) < c.reportTimeout()+c.agentInterval() {
			c.log(Entry{Event: "lost", Service: t.report.Service, Target: a, Reason: "no_report", Age: now.Sub(t.at)})
		}
		if t.lost(now) && !t.lossTold {
			t.lossTold, c.tellPeers = true, true
		}
		if !t.listed && now.Sub(t.at) > forgetAfter && now.Sub(t.noted) > forgetAfter {
			delete(c.targets, a)
			c.index()
		}
	}
	c.removeDead(now)
	for _, a := range sortedKeys(c.peers) {
		if p := c.peers[a]; !p.seed && now.Sub(p.noted) > forgetAfter && now.Sub(p.heard) > forgetAfter {
			delete(c.peers, a)
		}
	}
}

// removeDead removes the objects of agents that have been silent for long. Only the
// balancer with the lowest address does so, and only while it hears most agents.
func (c *Core) removeDead(now time.Time) {
	for a, p := range c.peers {
		if now.Sub(p.heard) < peerTimeout && a.Compare(c.o.Peer) < 0 {
			return
		}
	}
	if now.Sub(c.started) < removeAfter || !c.agentsComplete(now) {
		return
	}
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		if t.listed && now.Sub(t.at) >= removeAfter && now.Sub(t.noted) >= removeAfter {
			c.log(Entry{Event: "agent_removed", Service: t.report.Service, Target: a, Reason: "no_report", Age: now.Sub(t.at)})
			c.actions = append(c.actions, Action{Kind: RemoveAgent, To: a})
			t.listed = false // the next listing tells whether the store did it
		}
	}
}

// Next returns when Tick has something to do.
func (c *Core) Next() time.Time {
	next := earlier(c.hello.Add(c.agentInterval()), c.peerHello.Add(peerInterval))
	if c.tellPeers {
		next = earlier(next, c.peerHello.Add(tellPause))
	}
	if len(c.questions) > 0 || len(c.finds) > 0 {
		next = earlier(next, c.questioned.Add(askBatch))
	}
	if len(c.opens) > 0 {
		next = earlier(next, c.opens[0].at.Add(openTimeout))
	}
	if c.listWanted {
		next = earlier(next, c.listing.Add(listPause))
	}
	if c.transfers.Len() > 0 {
		next = earlier(next, c.transfers.NextRelease(c.released))
	}
	if len(c.returning) > 0 {
		next = earlier(next, c.tick.Add(returnInterval))
	}
	if len(c.waiting) > 0 {
		next = earlier(next, c.waiting[0].at.Add(holdTimeout))
	}
	if len(c.asks) > 0 {
		next = earlier(next, c.tick.Add(askTimeout/2))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
