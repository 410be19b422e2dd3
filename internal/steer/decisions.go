package steer

import (
	"cmp"
	"maps"
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Decisions are the decision files in effect. They take precedence over the operator's
// configuration: a service that claims an address gets the new flows of that address,
// and drains and weights of targets and data centres apply to the placement of flows.
type Decisions struct {
	// Epoch and Revision are the position in the store at which the files were read.
	Epoch    uint64
	Revision uint64
	Digest   uint64 // hash of the files, 0 for none
	Files    *config.Snapshot
	// Confirmed is set if the files include those that a restoration of the store to Epoch
	// had lost. Other balancers may take them in place of theirs.
	Confirmed bool
}

// newerThan orders decisions by the position at which they were read.
func (d Decisions) newerThan(e Decisions) bool {
	return cmp.Or(cmp.Compare(d.Epoch, e.Epoch), cmp.Compare(d.Revision, e.Revision)) > 0
}

// Decisions returns the decision files in effect.
func (c *Core) Decisions() Decisions { return c.decisions }

// SetDecisions puts decision files that were listed in the store into effect if they are
// newer than the current ones.
func (c *Core) SetDecisions(now time.Time, d Decisions) []Action {
	c.actions = c.actions[:0]
	c.decisionsListed = true
	c.setDecisions(now, d)
	return c.actions
}

func (c *Core) setDecisions(now time.Time, d Decisions) {
	c.decisionsAge.learn(now)
	switch {
	case !d.newerThan(c.decisions):
	case d.Digest == c.decisions.Digest:
		c.decisions.Epoch, c.decisions.Revision, c.decisions.Confirmed = d.Epoch, d.Revision, d.Confirmed
	default:
		c.decisions = d
		for _, t := range c.targets {
			c.override(t)
		}
		if c.base != nil {
			c.replaceConfig(now, c.base, true)
		}
	}
	if c.base != nil {
		c.replayPreConfig(now) // new flows may have waited for the files
	}
}

// SetPeerDecisions does the same with files that were fetched from a peer, unless the peer
// has read them in a restored store that may have lost some of those in effect here.
func (c *Core) SetPeerDecisions(now time.Time, d Decisions) []Action {
	d.Epoch = cmp.Or(d.Epoch, c.decisions.Epoch) // a peer of an earlier release sends the revision only
	if d.Epoch > c.decisions.Epoch && c.decisions.Revision > 0 && !d.Confirmed && !c.decisionsSettled(now) {
		c.actions = c.actions[:0]
		c.log(Entry{Event: "decisions_ignored", Reason: "unconfirmed", Detail: int(d.Epoch)})
		return c.actions
	}
	c.actions = c.actions[:0]
	c.setDecisions(now, d)
	c.adoptPeerAges(now)
	return c.actions
}

// decisionsConfirmed reports whether the files in effect include those that the last
// restoration of the store had lost: they are from before it, or were compared with those.
func (c *Core) decisionsConfirmed(now time.Time) bool {
	known := c.decisions.Revision > 0
	return known && (c.decisions.Confirmed || c.decisions.Epoch < c.store.epoch) || c.decisionsSettled(now)
}

// decisionsSettled reports whether the last restoration of the store was so long ago that
// the files in it count as complete.
func (c *Core) decisionsSettled(now time.Time) bool {
	return c.store.epochSince.IsZero() || now.Sub(c.store.epochSince) >= restoredDecisionsDelay
}

// MayRestoreDecisions reports whether the balancer may take its decision files for the
// last ones from before the store was restored, and write those that it lost: no other
// balancer has later ones.
func (c *Core) MayRestoreDecisions(now time.Time) bool {
	if now.Sub(c.store.learnedAt) < restoreDecisionsAfter {
		return false
	}
	for _, p := range c.peers {
		if now.Sub(p.lastHello) < peerTimeout && p.hasNewerDecisions(c.decisions) {
			return false
		}
	}
	return true
}

// AwaitsPeerDecisions reports whether a balancer that has just started should get the
// decision files from a peer first, because the store was restored shortly before and may
// have lost some.
func (c *Core) AwaitsPeerDecisions(now time.Time) bool {
	return c.decisions.Revision == 0 && !c.decisionsConfirmed(now)
}

// decisionsMissing reports whether another balancer has decision files and this one,
// which has just started, has not listed them yet. They may drain a target or claim an
// address, so new flows wait until they arrive from the store or that balancer. Those of
// a balancer may be older than the ones in the store, whose answer gets a short time.
func (c *Core) decisionsMissing(now time.Time) bool {
	switch age := now.Sub(c.started); {
	case c.decisions.Revision > 0:
		return !c.decisionsListed && age < FirstDecisionsTimeout
	case age >= startupPeriod:
		return false
	}
	for _, p := range c.peers {
		if p.decisions.Digest != 0 && now.Sub(p.lastHello) < peerTimeout {
			return true
		}
	}
	return false
}

// override sets the drain and weight that the decision files give a target. An evacuation of
// its data centre drains it too.
func (c *Core) override(t *target) {
	t.override = config.Override{Weight: 1}
	if c.decisions.Files != nil {
		t.override = c.decisions.Files.Effective(t.report.DataCentre, t.report.Node)
	}
	t.override.Drain = t.override.Drain || c.evacuations.Evacuated(t.report.DataCentre)
}

// apply returns base with the addresses that services claim in decision files. An
// address that base has too keeps its request terms.
func (d Decisions) apply(base *Config) *Config {
	if d.Files == nil || d.Files.NumServices() == 0 {
		return base
	}
	out := *base
	out.Routes = maps.Clone(base.Routes)
	if out.Routes == nil {
		out.Routes = make(map[netip.AddrPort]Route)
	}
	for _, s := range d.Files.Services() {
		for _, a := range s.Addresses {
			if a.Proto != model.TCP {
				continue // flows in pass-through mode are TCP only
			}
			r, known := out.Routes[a.Addr]
			if !known {
				r.Name, r.Terms.Deadline = string(s.Name), s.Policy.Deadline
			}
			r.Shares = []Share{{Service: s.Name, Weight: 1}}
			out.Routes[a.Addr] = r
		}
	}
	return &out
}
