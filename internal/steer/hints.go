package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Routers that hash by the number of balancers in rotation move nearly all flows of a
// data centre when a balancer joins or leaves. The other balancers of the data centre
// know the targets of these flows, so they are queried before the agents: this takes a
// tenth of the messages, and no round trip to another data centre. Agents deliver only
// packets of flows that their target holds, so a wrong hint costs one round trip.
const (
	// hintTimeout is the time after which the agents are queried although a balancer has
	// not answered. Queries are queued for up to queryBatchDelay, and the round trip within
	// a data centre takes 0.2 ms. A balancer that has used up its CPU share answers later
	// than the agents would.
	hintTimeout = queryBatchDelay + 20*time.Millisecond
	// maxHintPeers is the maximum number of balancers queried about a flow.
	maxHintPeers = 8
)

// hintPeers returns the reachable balancers of the own data centre that answer queries.
func (c *Core) hintPeers(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for a, p := range c.peers {
		if p.dataCentre == c.options.DataCentre && now.Sub(p.lastHello) < peerTimeout && !p.unresponsive {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out[:min(len(out), maxHintPeers)]
}

// queryHintPeers queries the balancers of the data centre about a flow. It returns false
// if there are none.
func (c *Core) queryHintPeers(now time.Time, key model.Flow, l *lookup) bool {
	l.awaitingHints = c.hintPeers(now)
	if len(l.awaitingHints) == 0 {
		return false
	}
	l.idle, l.phaseStart = false, now
	c.queuedHintQueries = append(c.queuedHintQueries, steerwire.QueryEntry{Flow: key})
	if now.Sub(c.lastQueryFlush) >= queryBatchDelay {
		c.flushQueries(now)
	}
	return true
}

// flushHintQueries sends the queued queries for the balancers of the data centre.
func (c *Core) flushHintQueries(now time.Time) {
	for _, to := range c.hintPeers(now) {
		for qs := range slices.Chunk(c.queuedHintQueries, steerwire.MaxQueryEntries) {
			c.send(to, steerwire.Message{Kind: steerwire.KindHintQuery, Query: steerwire.Query{Queries: slices.Clone(qs)}})
		}
	}
	c.queuedHintQueries = c.queuedHintQueries[:0]
}

// handleHintQuery answers a query of another balancer from the flow table.
func (c *Core) handleHintQuery(now time.Time, from netip.AddrPort, q steerwire.Query) {
	out := steerwire.Hints{Hints: make([]steerwire.Hint, 0, len(q.Queries))}
	for _, q := range q.Queries {
		h := steerwire.Hint{Flow: q.Flow}
		if f := c.flows[q.Flow]; f != nil && f.opened {
			if t := c.targets[f.target]; t != nil && t.report.Service == f.service && !c.unavailable(now, t) {
				h.Target = f.target
			}
		}
		out.Hints = append(out.Hints, h)
	}
	c.send(from, steerwire.Message{Kind: steerwire.KindHints, Hints: out})
}

// handleHints handles a balancer's answer. A hint with an available target ends the lookup;
// after the last answer without one, the agents are queried.
func (c *Core) handleHints(now time.Time, from netip.AddrPort, m steerwire.Hints) {
	if p := c.peers[from]; p != nil {
		p.unresponsive = false
	}
	for _, h := range m.Hints {
		l := c.lookups[h.Flow]
		if l == nil {
			continue
		}
		i := slices.Index(l.awaitingHints, from)
		if i < 0 {
			continue
		}
		l.awaitingHints = slices.Delete(l.awaitingHints, i, i+1)
		if t := c.targets[h.Target]; t != nil && t.reported && c.routesTo(h.Flow.Dst, t.report.Service) && !c.unavailable(now, t) {
			c.holderFound(now, h.Flow, l, h.Target, "hint")
			continue
		}
		if len(l.awaitingHints) == 0 {
			c.startRound(now, h.Flow, l)
		}
	}
}

// handleHintTimeout proceeds to query the agents. Balancers that did not answer are not
// queried again before their next message.
func (c *Core) handleHintTimeout(now time.Time, key model.Flow, l *lookup) {
	for _, silent := range l.awaitingHints {
		if p := c.peers[silent]; p != nil && !p.unresponsive {
			p.unresponsive = true
			c.log(Entry{Event: "balancer", Target: silent, Reason: "no_hint", Age: now.Sub(p.lastHello)})
		}
	}
	l.awaitingHints = nil
	c.startRound(now, key, l)
}
