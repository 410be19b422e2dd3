package steer

import (
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
	// Revision is the store revision at which the files were read.
	Revision uint64
	Digest   uint64 // hash of the files, 0 for none
	Files    *config.Snapshot
}

// Decisions returns the decision files in effect.
func (c *Core) Decisions() Decisions { return c.decisions }

// SetDecisions puts decision files into effect if they are newer than the current ones.
func (c *Core) SetDecisions(now time.Time, d Decisions) []Action {
	c.actions = c.actions[:0]
	if d.Revision <= c.decisions.Revision {
		return nil
	}
	if d.Digest == c.decisions.Digest {
		c.decisions.Revision = d.Revision
		if c.base != nil {
			c.replayPreConfig(now) // new flows may have waited for the files
		}
		return c.actions
	}
	c.decisions = d
	for _, t := range c.targets {
		c.override(t)
	}
	if c.base != nil {
		c.replaceConfig(now, c.base, true)
	}
	return c.actions
}

// decisionsMissing reports whether another balancer has decision files and this one,
// which has just started, has not listed them yet. They may drain a target or claim an
// address, so new flows wait until they arrive from the store or that balancer.
func (c *Core) decisionsMissing(now time.Time) bool {
	if c.decisions.Revision > 0 || now.Sub(c.started) >= startupPeriod {
		return false
	}
	for _, p := range c.peers {
		if p.decisions.Digest != 0 && now.Sub(p.lastHello) < peerTimeout {
			return true
		}
	}
	return false
}

// override sets the drain and weight that the decision files give a target.
func (c *Core) override(t *target) {
	t.override = config.Override{Weight: 1}
	if c.decisions.Files != nil {
		t.override = c.decisions.Files.Effective(t.report.DataCentre, t.report.Node)
	}
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
