package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/leastload"
)

// target is an agent and the last report of its target.
type target struct {
	addr           netip.AddrPort
	listed         bool      // in the store
	lastListed     time.Time // when a listing last named it
	knownSince     time.Time // when its address became known
	reported       bool      // a report has been received
	lossAdvertised bool      // the loss was queued for the hellos to balancers
	unresponsive   bool      // did not answer and holds no flow; reset by its next report
	endedAt        time.Time // when it reported that it ends with its target; zero if it may hold flows
	report         steerwire.Report
	lastHello      time.Time       // when a hello was last sent to it
	answeredHello  uint64          // highest ID of a hello that a report named, 0 for none
	override       config.Override // from decision files
	lastReport     time.Time       // when the last report was received
	firstReport    time.Time       // when the first report of its incarnation was received
	lastIgnored    time.Time       // when an ignored report was last logged
	coldUntil      time.Time       // end of the target's warm-up
	certainAt      time.Time       // when its agent expects to know all flows of the target
	assigned       float64         // flows placed since the last report
	suspectUntil   time.Time       // before it, the target gets no new flows if there are others
	pace           targetPace
}

func (c *Core) reachable(now time.Time, t *target) bool {
	return t.reported && now.Sub(t.lastReport) < c.reportTimeout()
}

// ended reports whether the agent has ended and nothing indicates a later one at its address.
func (t *target) ended() bool { return !t.endedAt.IsZero() }

// lost reports whether the agent has ended, or has not reported for longer than a restart
// takes.
func (t *target) lost(now time.Time) bool {
	if t.ended() {
		return true
	}
	if !t.reported {
		return now.Sub(t.knownSince) >= unreportedAgentTimeout
	}
	return now.Sub(t.lastReport) >= agentLossTimeout
}

// unavailable reports whether the agent is left out as a possible holder of flows: it has
// ended, all reachable balancers have lost it, or it is silent and last reported that its
// target holds no flow. An agent lost by this balancer only may still hold flows and serve them
// through other balancers, because this balancer's own link may be full. For the same
// reason, no lost agent is unavailable after all other balancers have become unreachable.
func (c *Core) unavailable(now time.Time, t *target) bool {
	if t.ended() {
		return true
	}
	if !t.lost(now) {
		return t.report.Empty && (t.unresponsive || !c.reachable(now, t))
	}
	anyHello, anyReachable := false, false
	for _, p := range c.peers {
		anyHello = anyHello || !p.lastHello.IsZero()
		if now.Sub(p.lastHello) >= peerTimeout {
			continue
		}
		anyReachable = true
		if !slices.Contains(p.lost, t.addr) {
			return false
		}
	}
	return anyReachable || !anyHello
}

// acceptsFlows reports whether new flows may be assigned to the target. includeSuspects
// also admits suspect and unreachable targets.
func (c *Core) acceptsFlows(now time.Time, t *target, includeSuspects bool) bool {
	if !t.reported || t.report.State != steerwire.TargetReady || t.override.Drain {
		return false
	}
	return includeSuspects || c.reachable(now, t) && !now.Before(t.suspectUntil)
}

func (t *target) candidate(now time.Time, dc model.DataCentre) leastload.Candidate {
	k := leastload.Candidate{
		Slots: t.report.Slots, Weight: t.override.Weight, Busy: float64(t.report.BusyCenti) / 100, Flows: t.report.Flows,
		Assigned: t.assigned, Cold: now.Before(t.coldUntil), Remote: t.report.DataCentre != dc,
		FailureRate: float64(t.report.FailingCenti) / 100,
	}
	if t.pace.speed > 0 {
		k.Speed = t.pace.speed
		k.Busy += float64(t.report.Waiting)
	}
	if t.pace.rejects {
		k.FailureRate = 1
	}
	return k
}

// peer is another balancer.
type peer struct {
	addr        netip.AddrPort
	lastHello   time.Time // zero if none was received
	knownSince  time.Time // when its address became known
	incarnation model.Incarnation
	config      configStamp
	// configAsOf and decisionsAsOf are the times as of which its views are complete, zero
	// if not known.
	configAsOf, decisionsAsOf time.Time
	decisions                 Decisions // revision and digest of its decision files
	wantsAgents               bool
	seed                      bool
	dataCentre                model.DataCentre
	unresponsive              bool             // did not answer a query; reset by its next hello or answer
	noStore                   bool             // cannot read the store for others
	lost                      []netip.AddrPort // agents that it reports as lost
}

// hasNewerDecisions reports whether a balancer has other and later decision files than d.
func (p *peer) hasNewerDecisions(d Decisions) bool {
	return p.decisions.newerThan(d) && p.decisions.Digest != d.Digest
}

// configStamp identifies the configuration that a balancer has in effect.
type configStamp struct {
	revision uint64
	version  int64 // 0 from a balancer of an earlier release, which sends the revision only
}

func (s configStamp) newerThan(t configStamp) bool {
	if s.version == 0 || t.version == 0 {
		return s.revision > t.revision
	}
	return s.version > t.version
}

// sameAs reports whether two balancers have the same configuration. The revision of one
// version differs after the store was restored.
func (s configStamp) sameAs(t configStamp) bool { return !s.newerThan(t) && !t.newerThan(s) }

// AgentListing holds the agents whose objects the store lists.
type AgentListing struct {
	Agents []netip.AddrPort
	Epoch  uint64 // of the store, 0 if it is not known
	// AsOf is a time at which the listing was complete, zero if it may be outdated.
	AsOf time.Time
}

// SetAgents sets the addresses of the agents that the store lists.
func (c *Core) SetAgents(now time.Time, l AgentListing) []Action {
	c.actions = c.actions[:0]
	c.setAgents(now, l)
	return c.actions
}

func (c *Core) setAgents(now time.Time, l AgentListing) {
	c.setStoreEpoch(now, l.Epoch, 0, "listing")
	if l.Epoch != 0 && l.Epoch < c.store.epoch {
		c.count(CounterDropped, "old_listing")
		return
	}
	first := l.Epoch > c.store.listedEpoch
	c.store.listedEpoch, c.store.listedAt = l.Epoch, now
	for _, t := range c.targets {
		t.listed = false
	}
	for _, a := range l.Agents {
		t := c.addAgent(now, a)
		t.listed, t.lastListed = true, now
		if t.ended() && l.AsOf.Sub(t.endedAt) > endedObjectTimeout {
			t.endedAt = time.Time{} // a later agent may have written the object
		}
	}
	if first {
		c.greetUnlisted(now)
	}
	if !l.AsOf.IsZero() {
		c.answerListingAskers(l.Agents, l.AsOf)
		c.resetProvenUnheld(now, l.AsOf)
	}
}

// addAgent returns the entry of an agent. It creates the entry of a new agent and sends
// a hello to it.
func (c *Core) addAgent(now time.Time, a netip.AddrPort) *target {
	t := c.targets[a]
	if t == nil {
		t = &target{addr: a, knownSince: now}
		c.targets[a] = t
		c.greet(now, t)
		c.unreportedAgents++
	}
	return t
}

// greet sends a hello to an agent.
func (c *Core) greet(now time.Time, t *target) {
	t.lastHello = now
	m := c.helloMessage(now, false)
	m.Hello.Unlisted = c.unlisted(now, t)
	m.Hello.Evacuations = c.evacuationsForAgent(t)
	if c.base != nil {
		if rate, ok := c.base.ColdFlowsPerSecond[t.report.Service]; ok {
			m.Hello.ColdFlowsPerSecond = &rate
		}
	}
	m.Hello.ID = c.nextHelloID
	c.nextHelloID++
	c.send(t.addr, m)
}

// greetUnreported repeats the hellos to agents that have not reported.
func (c *Core) greetUnreported(now time.Time) {
	if c.unreportedAgents == 0 || now.Sub(c.lastFirstHello) < firstHelloInterval {
		return
	}
	c.lastFirstHello, c.unreportedAgents = now, 0
	for _, a := range sortedKeys(c.targets) {
		if t := c.targets[a]; !t.reported && !t.lost(now) {
			c.unreportedAgents++
			if now.Sub(t.lastHello) >= firstHelloInterval {
				c.greet(now, t)
			}
		}
	}
}

func (c *Core) helloMessage(now time.Time, reply bool) steerwire.Message {
	m := steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: c.options.Node, Incarnation: c.options.Incarnation, Reply: reply}}
	if c.decisionsConfirmed(now) {
		m.Hello.DecisionsEpoch, m.Hello.Decisions, m.Hello.DecisionDigest = c.decisions.Epoch, c.decisions.Revision, c.decisions.Digest
	}
	if c.config != nil {
		m.Hello.Revision, m.Hello.ConfigVersion = c.config.Revision, c.config.Version
	}
	m.Hello.Epoch, m.Hello.EpochAgeMillis = c.store.epoch, c.epochAgeMillis(now)
	return m
}

// Message handles a message from a peer. s is the segment of a Refuse's packet.
func (c *Core) Message(now time.Time, from netip.AddrPort, m steerwire.Message, s segment.Segment) []Action {
	c.actions = c.actions[:0]
	switch m.Kind {
	case steerwire.KindRefuse:
		c.handleRefuse(now, from, m.Refuse, s)
	case steerwire.KindOpened:
		c.handleOpened(now, from, m.Opened)
	case steerwire.KindHolderAnswer:
		for _, v := range m.Answer.Answers {
			c.handleAnswer(now, from, v)
		}
	case steerwire.KindHintQuery:
		c.handleHintQuery(now, from, m.Query)
	case steerwire.KindHints:
		c.handleHints(now, from, m.Hints)
	case steerwire.KindReport:
		c.handleReport(now, from, m.Report)
	case steerwire.KindHello:
		c.handleHello(now, from, m.Hello)
	case steerwire.KindListingQuery:
		c.handleListingQuery(now, from, m.ListingQuery)
	case steerwire.KindListing:
		c.handleListing(now, from, m.Listing)
	default:
		c.count(CounterDropped, "unexpected_message")
	}
	return c.actions
}

// rebuildServiceIndex rebuilds the lists of targets by service.
func (c *Core) rebuildServiceIndex() {
	clear(c.byService)
	for _, t := range c.targets {
		if t.reported {
			c.byService[t.report.Service] = append(c.byService[t.report.Service], t)
		}
	}
	for _, ts := range c.byService {
		slices.SortFunc(ts, func(a, b *target) int { return a.addr.Compare(b.addr) })
	}
}

func (c *Core) addPeer(now time.Time, a netip.AddrPort, seed bool) *peer {
	p := c.peers[a]
	if p == nil {
		p = &peer{addr: a, knownSince: now, seed: seed}
		c.peers[a] = p
	}
	return p
}

// AddSeeds adds the configured seed balancers to the peers.
func (c *Core) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	for _, a := range seeds {
		c.addPeer(now, a, true).seed = true
	}
}

// handleHello handles a hello from another balancer.
func (c *Core) handleHello(now time.Time, from netip.AddrPort, h steerwire.Hello) {
	if h.Node == c.options.Node {
		return // a seed address may be this balancer's own
	}
	c.detectPause(now)
	p := c.addPeer(now, from, false)
	isNew := p.lastHello.IsZero() || p.incarnation != h.Incarnation
	if isNew {
		c.log(Entry{Event: "balancer", Target: from, Reason: "heard", Version: h.ConfigVersion})
		p.config, p.configAsOf = configStamp{}, time.Time{}
		p.decisions, p.decisionsAsOf = Decisions{}, time.Time{}
	}
	c.setStoreEpoch(now, h.Epoch, time.Duration(h.EpochAgeMillis)*time.Millisecond, "hello")
	p.lastHello, p.incarnation, p.wantsAgents = now, h.Incarnation, h.WantAgents
	next := configStamp{h.Revision, h.ConfigVersion}
	if next.newerThan(p.config) {
		p.config, p.configAsOf = next, time.Time{}
	}
	if asOf := asOfHello(now, h.ConfigAgeMillis); next.sameAs(p.config) && asOf.After(p.configAsOf) {
		p.configAsOf = asOf
	}
	epoch := cmp.Or(h.DecisionsEpoch, c.decisions.Epoch) // a peer of an earlier release sends the revision only
	if next := (Decisions{Epoch: epoch, Revision: h.Decisions, Digest: h.DecisionDigest}); h.Decisions > 0 && next.newerThan(p.decisions) {
		p.decisions, p.decisionsAsOf = next, time.Time{}
	}
	if asOf := asOfHello(now, h.DecisionsAgeMillis); h.Decisions == p.decisions.Revision && asOf.After(p.decisionsAsOf) {
		p.decisionsAsOf = asOf
	}
	c.handleEvacuations(now, h.Evacuations)
	p.lost, p.dataCentre, p.unresponsive, p.noStore = h.Lost, h.DataCentre, false, h.NoStore
	for _, a := range h.Agents {
		t := c.addAgent(now, a)
		t.endedAt = time.Time{}
		if !t.reported && now.Sub(t.lastHello) >= minPeerHelloInterval {
			c.greet(now, t)
		}
	}
	if !h.Reply && (isNew || h.WantAgents) {
		c.send(from, c.peerHelloMessage(now, p, true))
	}
	c.adoptPeerAges(now)
	c.fetchNewerConfig(now)
}

// fetchNewerConfig fetches from a peer if it has a newer configuration or newer decision
// files than this balancer.
func (c *Core) fetchNewerConfig(now time.Time) {
	if now.Sub(c.lastConfigFetch) < helloInterval {
		return
	}
	var own configStamp
	if c.base != nil {
		own = configStamp{c.base.Revision, c.base.Version}
	}
	var newer []*peer
	for _, p := range c.peers {
		isNewer := p.config.newerThan(own) || p.hasNewerDecisions(c.decisions)
		if isNewer && now.Sub(p.lastHello) < peerTimeout {
			newer = append(newer, p)
		}
	}
	if len(newer) > 0 {
		c.lastConfigFetch = now
		c.actions = append(c.actions, Action{Kind: FetchConfig, To: c.chooseConfigSource(newer)})
	}
}

// peerHelloMessage returns the hello to a balancer, with lost agents and with agents that
// the receiver may not know.
func (c *Core) peerHelloMessage(now time.Time, p *peer, reply bool) steerwire.Message {
	m := c.helloMessage(now, reply)
	m.Hello.DataCentre = c.options.DataCentre
	m.Hello.WantAgents = now.Sub(c.started) < startupPeriod
	m.Hello.ConfigAgeMillis, m.Hello.DecisionsAgeMillis = c.configAge.millis(now), c.decisionsAge.millis(now)
	m.Hello.NoStore = c.leaving || c.storeFailing
	m.Hello.Evacuations = c.evacuationsForPeers(now)
	for _, t := range c.targets {
		if t.lost(now) && len(m.Hello.Lost) < steerwire.MaxPeers {
			m.Hello.Lost = append(m.Hello.Lost, t.addr)
		}
		if len(m.Hello.Agents) < steerwire.MaxPeers && c.reachable(now, t) && (p.wantsAgents || now.Sub(t.firstReport) < newAgentAdvertisePeriod) {
			m.Hello.Agents = append(m.Hello.Agents, t.addr)
		}
	}
	slices.SortFunc(m.Hello.Agents, netip.AddrPort.Compare)
	return m
}

func (c *Core) sendPeerHellos(now time.Time) {
	for _, a := range sortedKeys(c.peers) {
		c.send(a, c.peerHelloMessage(now, c.peers[a], false))
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
