package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// lookup is a pending search for the holder of a flow that another balancer placed.
// The flow's packets are buffered meanwhile.
type lookup struct {
	unanswered []netip.AddrPort // agents with an outstanding answer
	unsure     []netip.AddrPort // agents that answered Unsure
	buffered   [][]byte
	seq, ack   uint32    // of the last packet
	startedAt  time.Time // when the first packet arrived
	phaseStart time.Time // when the last queries were sent, or the last round ended without a holder
	attempts   int       // queries to unanswered agents in this round; 0 before the first round
	idle       bool      // no query is outstanding: before the first round, or no holder was found
	// queried are the agents of this lookup, sorted. Those that are neither in unanswered
	// nor in unsure answered NotHeld. That answer is final for this flow, because it is
	// opened only once, so they are not queried again.
	queried       []netip.AddrPort
	allNotHeld    bool             // all agents in queried answered NotHeld
	finalRound    bool             // the current round decides on a reset
	incomplete    bool             // a possible holder was not queried; another round follows
	awaitingHints []netip.AddrPort // balancers with an outstanding answer; agents are queried after them
	// probing are the agents that were sent a probe and have neither returned nor confirmed
	// it, toProbe those that follow.
	probing []netip.AddrPort
	toProbe []netip.AddrPort
	atOnce  int // maximum number of agents in probing
	probed  []probedAgent
	// awaitsCertainty is set while no agent is probed because the agents will know all flows
	// of their targets shortly.
	awaitsCertainty bool
	// misplaced is set once the first buffered packet was sent to an agent whose target may
	// not hold the flow. It is kept until the holder is found.
	misplaced bool
}

// lookUpHolder buffers a packet of a flow and looks up the flow's holder. It queries all
// possible holders, and before them the balancers of the data centre if hints is set.
func (c *Core) lookUpHolder(now time.Time, s segment.Segment, raw []byte, hints bool) {
	if r, ok := c.pendingReset[s.Flow]; ok && !sameFlow(r.ack, s.Ack) {
		delete(c.pendingReset, s.Flow)
	} else if ok {
		r.ack = s.Ack
		c.pendingReset[s.Flow] = r
		c.count(CounterDropped, "returning")
		return
	}
	l := c.lookups[s.Flow]
	if l != nil && !sameFlow(l.ack, s.Ack) {
		// Of an earlier flow with the same addresses. Answers name no acknowledgement number, so
		// those on their way must arrive first; the caller sends its packet again.
		outstanding := len(l.unanswered) > 0
		l = nil
		if outstanding {
			c.lookups[s.Flow] = &lookup{startedAt: now, phaseStart: now, idle: true, seq: s.Seq, ack: s.Ack}
			c.count(CounterDropped, "earlier_lookup")
			return
		}
	}
	if l == nil {
		if len(c.lookups) >= maxLookups {
			c.count(CounterDropped, "ask_table_full")
			return
		}
		l = &lookup{startedAt: now, idle: true}
		c.lookups[s.Flow] = l
	}
	l.seq, l.ack = s.Seq, s.Ack
	if l.idle && !l.phaseStart.IsZero() && now.Sub(l.phaseStart) < lookupRetryDelay {
		c.count(CounterDropped, "no_holder")
		return
	}
	if len(l.buffered) >= maxBufferedPerLookup {
		c.count(CounterDropped, "ask_queue_full")
		return
	}
	l.buffered = append(l.buffered, slices.Clone(raw))
	if l.idle {
		c.count(CounterLookups, "unknown_flow")
		if !hints || l.attempts > 0 || !c.queryHintPeers(now, s.Flow, l) {
			c.startRound(now, s.Flow, l)
		}
	}
}

// startRound starts a round: it queries the possible holders that have not answered
// NotHeld, up to maxQueryAttempts times.
func (c *Core) startRound(now time.Time, key model.Flow, l *lookup) {
	possible := c.possibleHolders(now)
	waiting, unsure := c.splitUnsure(now, l)
	var unanswered []netip.AddrPort
	for _, to := range possible {
		_, queried := slices.BinarySearchFunc(l.queried, to, netip.AddrPort.Compare)
		if !queried || slices.Contains(l.unanswered, to) || slices.Contains(unsure, to) {
			unanswered = append(unanswered, to)
		}
	}
	l.queried, l.unanswered, l.unsure, l.idle = possible, unanswered, waiting, false
	l.phaseStart, l.attempts = now, 1
	if len(l.unanswered) == 0 {
		c.concludeRound(now, key, l)
		return
	}
	c.queueQueries(now, key, l)
}

// possibleHolders returns the available agents of all services, because the address of
// a flow may have been routed to another service when the flow opened.
func (c *Core) possibleHolders(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range c.targets {
		if t.reported && !c.unavailable(now, t) {
			out = append(out, t.addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// queueQueries queues the queries about a flow. They are sent at once if none were sent
// within queryBatchDelay, and otherwise in a batch: after an outage the callers of
// hundreds of flows return within a second, and each flow is queried at every agent.
func (c *Core) queueQueries(now time.Time, f model.Flow, l *lookup) {
	for _, to := range l.unanswered {
		c.queuedQueries[to] = append(c.queuedQueries[to], steerwire.QueryEntry{Flow: f, Ack: l.ack})
	}
	if now.Sub(c.lastQueryFlush) >= queryBatchDelay {
		c.flushQueries(now)
	}
}

// flushQueries sends the queued queries.
func (c *Core) flushQueries(now time.Time) {
	if len(c.queuedQueries) == 0 && len(c.queuedHintQueries) == 0 {
		return
	}
	c.lastQueryFlush = now
	c.flushHintQueries(now)
	for _, to := range sortedKeys(c.queuedQueries) {
		for qs := range slices.Chunk(c.queuedQueries[to], steerwire.MaxQueryEntries) {
			c.send(to, steerwire.Message{Kind: steerwire.KindHolderQuery, Query: steerwire.Query{Queries: qs}})
		}
	}
	clear(c.queuedQueries)
}

// handleAnswer handles an agent's answer about one flow.
func (c *Core) handleAnswer(now time.Time, from netip.AddrPort, answer steerwire.AnswerEntry) {
	l := c.lookups[answer.Flow]
	if l == nil || l.idle || len(l.awaitingHints) > 0 {
		return
	}
	i := slices.Index(l.unanswered, from)
	if i >= 0 {
		l.unanswered = slices.Delete(l.unanswered, i, i+1)
	}
	switch answer.FlowStatus {
	case steerwire.Held:
		c.holderFound(now, answer.Flow, l, from, "held")
		return
	case steerwire.Unsure:
		if i >= 0 {
			l.unsure = append(l.unsure, from)
		}
	}
	if len(l.unanswered) == 0 && len(l.probing) == 0 {
		c.concludeRound(now, answer.Flow, l)
	}
}

// holderFound ends a lookup and forwards the buffered packets to the flow's target.
func (c *Core) holderFound(now time.Time, key model.Flow, l *lookup, target netip.AddrPort, reason string) {
	delete(c.lookups, key)
	f := &flow{target: target, opened: true, lastSeen: now, openingAt: now, seq: l.seq, ack: l.ack}
	if t := c.targets[target]; t != nil {
		f.service = t.report.Service
	}
	c.flows[key] = f
	c.observe(LatencyLookup, reason, now.Sub(l.startedAt))
	c.log(Entry{Event: "found", Flow: key, Service: f.service, Target: target, Reason: reason, Version: c.version(), Age: now.Sub(l.phaseStart), Detail: l.attempts})
	buffered := l.buffered
	if reason == "probe" && l.atOnce == 1 {
		buffered = buffered[1:] // no other target has had it since
	}
	for _, p := range buffered {
		c.forward(key, target, f.service, p)
	}
}

// concludeRound ends a round without a holder.
func (c *Core) concludeRound(now time.Time, key model.Flow, l *lookup) {
	if len(l.buffered) > 0 && !c.queriedAll(now, l, firstReportTimeout) {
		l.incomplete = true // an agent that was not queried may hold the flow
		return
	}
	if len(l.buffered) > 0 && c.probe(now, key, l) {
		return
	}
	silent := func(to netip.AddrPort) bool { return slices.Contains(l.unanswered, to) && c.excludeSilentEmpty(l, to) }
	l.queried = slices.DeleteFunc(l.queried, silent) // until its next report
	l.unanswered = slices.DeleteFunc(l.unanswered, silent)
	l.allNotHeld = len(l.unanswered) == 0 && len(l.unsure) == 0
	if l.finalRound && now.Sub(c.started) >= startupPeriod && c.provesUnheld(now, l) {
		c.resetUnheld(now, key, l)
		return
	}
	if l.misplaced && len(l.buffered) > 0 && !l.allNotHeld && now.Sub(l.startedAt) < probedLookupPeriod {
		l.incomplete, l.phaseStart = true, now
		return
	}
	l.idle, l.phaseStart = true, now
	l.buffered = l.buffered[:0]
	c.count(CounterDropped, "no_holder")
	blocking, why := c.unprovenBecause(now, l)
	c.log(Entry{Event: "dropped", Flow: key, Target: blocking, Reason: why, Version: c.version(), Age: now.Sub(l.startedAt), Detail: len(l.unanswered)})
	if l.allNotHeld {
		c.listingWanted = true
		c.requestListing(now)
	}
}

// excludeSilentEmpty reports whether an agent whose last report said that its target
// holds no flow has neither answered nor reported since the first queries of the round.
// Such an agent is marked unresponsive and not queried before its next report.
func (c *Core) excludeSilentEmpty(l *lookup, to netip.AddrPort) bool {
	t := c.targets[to]
	if t == nil || !t.report.Empty || !t.lastReport.Before(l.phaseStart.Add(-(maxQueryAttempts-1)*queryTimeout)) {
		return false
	}
	t.unresponsive = true
	return true
}

// requestListing starts a listing if one is wanted, at most once in minListInterval.
func (c *Core) requestListing(now time.Time) {
	if c.listingWanted && now.Sub(c.lastListing) >= minListInterval {
		c.listingWanted, c.lastListing = false, now
		c.startListing(now)
	}
}

// resetUnheld ends a lookup and queues a reset of the flow, which no target holds.
func (c *Core) resetUnheld(now time.Time, key model.Flow, l *lookup) {
	delete(c.lookups, key)
	c.queueReset(now, key, pendingReset{ack: l.ack, since: l.startedAt})
}

// resetProvenUnheld resets the flows that no agent holds according to a listing that was
// complete at asOf. Agents register in the store before they accept flows, so a listing
// later than the first packet of a lookup names all agents that may hold the flow. A store
// that has just been restored may have lost some.
func (c *Core) resetProvenUnheld(now, asOf time.Time) {
	if !c.listingsComplete(now) {
		c.count(CounterDropped, "restored_listing")
		return
	}
	var proven, incomplete []model.Flow
	tooRecent := false
	for k, l := range c.lookups {
		switch {
		case !l.idle || !l.allNotHeld:
		case !l.startedAt.Before(asOf):
			tooRecent = true
		case c.provesUnheld(now, l):
			proven = append(proven, k)
		default:
			incomplete = append(incomplete, k)
		}
	}
	slices.SortFunc(incomplete, model.Flow.Compare)
	for _, k := range incomplete {
		if l := c.lookups[k]; now.Sub(l.phaseStart) < lookupRetryDelay {
			c.startRound(now, k, l)
		}
	}
	slices.SortFunc(proven, model.Flow.Compare)
	for _, k := range proven {
		c.resetUnheld(now, k, c.lookups[k])
	}
	c.listingWanted = c.listingWanted || tooRecent
}

// routesTo reports whether an address is routed to a service, in the current or an
// earlier configuration since the start of the process.
func (c *Core) routesTo(dst netip.AddrPort, service model.ServiceName) bool {
	has := func(shares []Share) bool {
		return slices.ContainsFunc(shares, func(s Share) bool { return s.Service == service })
	}
	return has(c.config.Routes[dst].Shares) || has(c.formerShares[dst])
}

// firstReportTimeout is the time after which a lookup proceeds without a known
// agent that has never reported. Such an agent may start after the balancer, and reports
// after the next hello, one of which may be lost. Lookups do not wait agentLossTimeout for
// it, because the store lists agents of failed VMs until their addresses are reused.
const firstReportTimeout = maxStartSpread + 2*firstHelloInterval

// provesUnheld reports whether a lookup proves that no agent holds the flow: all possible
// holders were queried and answered NotHeld. An agent that first reported after the
// queries may be the holder.
func (c *Core) provesUnheld(now time.Time, l *lookup) bool {
	return l.allNotHeld && c.agentViewComplete(now) && c.queriedAll(now, l, agentLossTimeout)
}

// queriedAll reports whether all agents that may hold the flow were queried. A known
// agent that has not reported yet may hold it too, until the timeout since its address
// became known.
func (c *Core) queriedAll(now time.Time, l *lookup, timeout time.Duration) bool {
	for _, t := range c.targets {
		if !t.reported && now.Sub(t.knownSince) >= timeout || c.unavailable(now, t) {
			continue
		}
		if _, found := slices.BinarySearchFunc(l.queried, t.addr, netip.AddrPort.Compare); !found {
			return false
		}
	}
	return true
}

// agentViewComplete reports whether the known agents suffice to prove that a flow has no
// holder: each is either unavailable, or present (it has reported and is not lost), and
// more are present than unavailable. If an agent is unavailable but not lost yet, all
// present ones must be reachable: otherwise this balancer's own link may be the cause.
func (c *Core) agentViewComplete(now time.Time) bool {
	present, unavailable := 0, 0
	unreachable, unavailableEarly := false, false
	for _, t := range c.targets {
		switch {
		case c.unavailable(now, t):
			unavailable++
			unavailableEarly = unavailableEarly || !t.lost(now)
		case !t.reported || t.lost(now):
			return false
		default:
			present++
			unreachable = unreachable || !c.reachable(now, t)
		}
	}
	return present > unavailable && !(unavailableEarly && unreachable)
}

// unprovenBecause returns an agent that keeps a lookup from proving that the flow has no
// holder, and why, for the log.
func (c *Core) unprovenBecause(now time.Time, l *lookup) (netip.AddrPort, string) {
	switch {
	case len(l.unanswered) > 0:
		return l.unanswered[0], "no_answer"
	case len(l.unsure) > 0:
		return l.unsure[0], "unsure"
	}
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		_, queried := slices.BinarySearchFunc(l.queried, a, netip.AddrPort.Compare)
		switch {
		case c.unavailable(now, t):
		case !t.reported:
			return a, "no_report_yet"
		case t.lost(now):
			return a, "lost_here_only"
		case !queried:
			return a, "not_queried"
		}
	}
	if !c.agentViewComplete(now) {
		return netip.AddrPort{}, "too_many_unavailable"
	}
	return netip.AddrPort{}, "listing_needed"
}

// advanceLookups retries, continues or ends the lookups whose current phase timed out.
func (c *Core) advanceLookups(now time.Time) {
	var due []model.Flow
	for k, l := range c.lookups {
		timeout := queryTimeout
		switch {
		case len(l.awaitingHints) > 0:
			timeout = hintTimeout
		case len(l.probing) > 0:
			timeout = probeTimeout
		case l.awaitsCertainty:
			timeout = certaintyCheckInterval
		case l.incomplete && l.misplaced:
			timeout = lookupRetryDelay
		}
		if now.Sub(l.phaseStart) >= timeout {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, model.Flow.Compare)
	for _, k := range due {
		l := c.lookups[k]
		switch {
		case len(l.awaitingHints) > 0:
			c.handleHintTimeout(now, k, l)
		case len(l.probing) > 0:
			c.handleProbeTimeout(now, k, l)
		case l.awaitsCertainty && c.waitsForCertainty(now, l):
			l.phaseStart = now
		case l.incomplete:
			l.incomplete, l.awaitsCertainty = false, false
			c.startRound(now, k, l)
		case l.idle && l.finalRound:
			if now.Sub(l.phaseStart) >= lookupExpiry {
				delete(c.lookups, k)
			}
		case l.idle:
			if now.Sub(l.startedAt) >= finalRoundDelay {
				l.finalRound = true
				c.startRound(now, k, l)
			}
		case l.attempts >= maxQueryAttempts:
			c.concludeRound(now, k, l)
		default:
			l.attempts++
			l.phaseStart = now
			c.queueQueries(now, k, l)
		}
	}
}

// Intervals and timeouts of a lookup.
const (
	// queryBatchDelay is the maximum time that queries are queued to be sent in a batch.
	queryBatchDelay = 10 * time.Millisecond
	// lookupRetryDelay is the time after a round without a holder in which packets of the
	// flow start no new round. Callers retransmit after 200 ms at the earliest.
	lookupRetryDelay = 150 * time.Millisecond
	// finalRoundDelay is the time from the first packet to the final round of queries. A
	// new agent becomes known to this balancer within two hellos.
	finalRoundDelay = 2*helloInterval + 100*time.Millisecond
	// lookupExpiry is the time from the end of the final round to the removal of a lookup
	// without a result.
	lookupExpiry = 2 * time.Second
)
