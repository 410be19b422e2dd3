package steer

import "time"

// Tick handles all timeouts that are due. The runtime calls it no later than Next.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.detectPause(now)
	c.lastTick = now
	if now.Sub(c.unconfirmedSince) >= confirmTimeout {
		c.confirmConfig(now)
	}
	if len(c.preConfig) > 0 && c.base != nil {
		c.replayPreConfig(now)
	}
	c.retryOverdueOpenings(now)
	c.advanceLookups(now)
	c.checkListingQuery(now)
	c.requestListing(now)
	c.refuseOverduePending(now)
	c.sendDueResets(now)
	c.releaseTransfers(now)
	if now.Sub(c.lastQueryFlush) >= queryBatchDelay {
		c.flushQueries(now)
	}
	if now.Sub(c.lastLossCheck) >= lossCheckInterval {
		c.lastLossCheck = now
		c.expireSilent(now)
		c.fetchNewerConfig(now)
		c.confirmStaleViews(now)
	}
	if now.Sub(c.lastAgentHello) >= c.agentHelloInterval() {
		c.lastAgentHello = now
		for _, a := range sortedKeys(c.targets) {
			c.greet(now, c.targets[a])
		}
	}
	c.greetUnreported(now)
	if since := now.Sub(c.lastPeerHello); since >= peerHelloInterval || c.advertiseSoon && since >= minPeerHelloInterval {
		c.lastPeerHello, c.advertiseSoon = now, false
		c.sendPeerHellos(now)
	}
	c.expireIdleFlows(now)
	return c.actions
}

// agentHelloInterval returns the interval between hellos to the agents. It grows with
// their number, so that hellos use little of the CPU share of the smallest VM.
func (c *Core) agentHelloInterval() time.Duration {
	return max(helloInterval, time.Duration(len(c.targets))*time.Second/maxHellosPerSecond)
}

// reportTimeout returns the time without reports after which an agent is unreachable.
func (c *Core) reportTimeout() time.Duration { return 3*c.agentHelloInterval() + helloSlack }

// expireSilent detects lost agents and removes the entries of agents and balancers that
// have been silent for entryExpiry.
func (c *Core) expireSilent(now time.Time) {
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		if t.reported && !t.ended() && !c.reachable(now, t) && now.Sub(t.lastReport) < c.reportTimeout()+lossCheckInterval {
			c.log(Entry{Event: "lost", Service: t.report.Service, Target: a, Reason: "no_report", Age: now.Sub(t.lastReport)})
		}
		if t.lost(now) && !t.lossAdvertised {
			t.lossAdvertised, c.advertiseSoon = true, true
		}
		if !t.listed && now.Sub(t.lastReport) > entryExpiry && now.Sub(t.knownSince) > entryExpiry {
			delete(c.targets, a)
			c.rebuildServiceIndex()
		}
	}
	if c.store.listedEpoch == c.store.epoch {
		c.removeLostAgentObjects(now)
		c.removeEndedAgentObjects(now)
	}
	for _, a := range sortedKeys(c.peers) {
		if p := c.peers[a]; !p.seed && now.Sub(p.knownSince) > entryExpiry && now.Sub(p.lastHello) > entryExpiry {
			delete(c.peers, a)
		}
	}
}

// removeLostAgentObjects removes the store objects of agents without reports for
// objectRemovalDelay. Only the reachable balancer with the lowest address does so, and
// only while its view of the agents is complete.
func (c *Core) removeLostAgentObjects(now time.Time) {
	for a, p := range c.peers {
		if now.Sub(p.lastHello) < peerTimeout && a.Compare(c.options.Peer) < 0 {
			return
		}
	}
	if now.Sub(c.started) < objectRemovalDelay || !c.agentViewComplete(now) {
		return
	}
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		if t.listed && now.Sub(t.lastReport) >= objectRemovalDelay && now.Sub(t.knownSince) >= objectRemovalDelay {
			c.removeObject(now, t, "no_report")
		}
	}
}

// removeEndedAgentObjects removes the store objects that agents of the data centre left
// behind when they ended. Only the highest reader does so.
func (c *Core) removeEndedAgentObjects(now time.Time) {
	if !c.ReadsStore(now) || len(c.readersAbove(now)) > 0 {
		return
	}
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		if t.listed && t.report.Ended && t.report.DataCentre == c.options.DataCentre && t.lastListed.Sub(t.lastReport) >= endedRemovalDelay {
			c.removeObject(now, t, "ended")
		}
	}
}

func (c *Core) removeObject(now time.Time, t *target, reason string) {
	c.log(Entry{Event: "agent_removed", Service: t.report.Service, Target: t.addr, Reason: reason, Age: now.Sub(t.lastReport)})
	c.actions = append(c.actions, Action{Kind: RemoveAgent, To: t.addr, Incarnation: t.report.Incarnation})
	t.listed = false // the next listing shows whether the removal succeeded
}

// Next returns the time at which Tick is due.
func (c *Core) Next() time.Time {
	next := minTime(c.lastAgentHello.Add(c.agentHelloInterval()), c.lastPeerHello.Add(peerHelloInterval))
	next = minTime(next, c.lastLossCheck.Add(lossCheckInterval))
	if c.unreportedAgents > 0 {
		next = minTime(next, c.lastFirstHello.Add(firstHelloInterval))
	}
	if c.advertiseSoon {
		next = minTime(next, c.lastPeerHello.Add(minPeerHelloInterval))
	}
	if len(c.queuedQueries) > 0 || len(c.queuedHintQueries) > 0 {
		next = minTime(next, c.lastQueryFlush.Add(queryBatchDelay))
	}
	if len(c.sentOpenings) > 0 {
		next = minTime(next, c.sentOpenings[0].openingAt.Add(openTimeout))
	}
	if !c.unconfirmedSince.IsZero() {
		next = minTime(next, c.unconfirmedSince.Add(confirmTimeout))
	}
	if end := c.started.Add(FirstDecisionsTimeout); len(c.preConfig) > 0 && c.lastTick.Before(end) {
		next = minTime(next, end)
	}
	if c.listingWanted {
		next = minTime(next, c.lastListing.Add(minListInterval))
	}
	if c.listingQuery.pending() {
		next = minTime(next, c.listingQuery.sentAt.Add(listingTimeout))
	}
	if c.transfers.Len() > 0 {
		next = minTime(next, c.transfers.NextRelease(c.lastTransferRelease))
	}
	if len(c.pendingReset) > 0 {
		next = minTime(next, c.lastTick.Add(resetCheckInterval))
	}
	if len(c.pendingOpenings) > 0 {
		next = minTime(next, c.pendingOpenings[0].openingAt.Add(pendingOpeningTimeout))
	}
	if len(c.lookups) > 0 {
		next = minTime(next, c.lastTick.Add(queryTimeout/2))
	}
	return next
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
