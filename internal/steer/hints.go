package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Routers that hash by the number of balancers in rotation move nearly all flows of
// a data centre when one joins or leaves. The balancers of the same data centre know
// where these flows are, so they are asked before the agents: that is a tenth of the
// messages, and no round trip to another data centre. An agent still delivers only
// what its target holds, so a wrong hint costs one round trip.
const (
	// hintTimeout is when the agents are asked although a balancer has not answered.
	// Questions wait up to askBatch for others and the round trip within a data centre
	// takes 0.2 ms; a balancer that has used up its processor share for the moment
	// answers later than the agents would.
	hintTimeout = askBatch + 20*time.Millisecond
	// maxHintPeers bounds the balancers asked about one flow.
	maxHintPeers = 8
)

// localPeers returns the balancers of the own data centre that answered lately.
func (c *Core) localPeers(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for a, p := range c.peers {
		if p.dataCentre == c.o.DataCentre && now.Sub(p.heard) < peerTimeout && !p.muted {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out[:min(len(out), maxHintPeers)]
}

// askPeers starts a search with the balancers of the data centre. It returns false
// if there are none.
func (c *Core) askPeers(now time.Time, key model.Flow, a *ask) bool {
	a.hinting = c.localPeers(now)
	if len(a.hinting) == 0 {
		return false
	}
	a.done, a.at = false, now
	c.finds = append(c.finds, steerwire.QueryEntry{Flow: key})
	if now.Sub(c.questioned) >= askBatch {
		c.flushQuestions(now)
	}
	return true
}

// flushFinds sends the questions noted for the balancers of the data centre.
func (c *Core) flushFinds(now time.Time) {
	for _, to := range c.localPeers(now) {
		for qs := range slices.Chunk(c.finds, steerwire.MaxQueryEntries) {
			c.send(to, steerwire.Message{Kind: steerwire.KindHintQuery, Query: steerwire.Query{Queries: slices.Clone(qs)}})
		}
	}
	c.finds = c.finds[:0]
}

// find answers a balancer of the same data centre.
func (c *Core) find(now time.Time, from netip.AddrPort, q steerwire.Query) {
	out := steerwire.Hints{Hints: make([]steerwire.Hint, 0, len(q.Queries))}
	for _, q := range q.Queries {
		h := steerwire.Hint{Flow: q.Flow}
		if f := c.flows[q.Flow]; f != nil && f.opened {
			if t := c.targets[f.target]; t != nil && !c.gone(now, t) {
				h.Target = f.target
			}
		}
		out.Hints = append(out.Hints, h)
	}
	c.send(from, steerwire.Message{Kind: steerwire.KindHints, Hints: out})
}

// hinted takes the answer of a balancer.
func (c *Core) hinted(now time.Time, from netip.AddrPort, m steerwire.Hints) {
	if p := c.peers[from]; p != nil {
		p.muted = false
	}
	for _, h := range m.Hints {
		a := c.asks[h.Flow]
		if a == nil {
			continue
		}
		i := slices.Index(a.hinting, from)
		if i < 0 {
			continue
		}
		a.hinting = slices.Delete(a.hinting, i, i+1)
		if t := c.targets[h.Target]; t != nil && t.ever && !c.gone(now, t) {
			c.found(now, h.Flow, a, h.Target, "hint")
			continue
		}
		if len(a.hinting) == 0 {
			c.startRound(now, h.Flow, a)
		}
	}
}

// overdueHints goes on to the agents without the balancers that did not answer.
// They are not asked again before they are heard.
func (c *Core) overdueHints(now time.Time, key model.Flow, a *ask) {
	for _, silent := range a.hinting {
		if p := c.peers[silent]; p != nil && !p.muted {
			p.muted = true
			c.log(Entry{Event: "balancer", Target: silent, Reason: "no_hint", Age: now.Sub(p.heard)})
		}
	}
	a.hinting = nil
	c.startRound(now, key, a)
}
