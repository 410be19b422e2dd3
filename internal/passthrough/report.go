package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// reportAll tells all balancers the state at once.
func (c *Core) reportAll(now time.Time) {
	c.admitted = c.admits(now)
	c.sequence++
	for _, a := range c.knownBalancers() {
		c.send(a, steerwire.Message{Kind: steerwire.KindReport, Report: c.report(now)})
	}
}

// contacted notes the hello of a balancer. In a long loss of all balancers they
// may have removed the agent's object, so it is written again.
func (c *Core) contacted(now time.Time) {
	if c.hello.IsZero() {
		c.hello = now
	} else if now.Sub(c.contact) >= registerAfter && c.listed {
		c.hello, c.listed, c.admitted = now, false, false
		c.log(Entry{Event: "registering", Reason: "balancers_back", Age: now.Sub(c.contact)})
		c.actions = append(c.actions, Action{Kind: Register})
	}
	c.contact = now
}

func (c *Core) knownBalancers() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.balancers))
	for a := range c.balancers {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Report returns the state and load, for a balancer that has not been heard.
func (c *Core) Report(now time.Time) steerwire.Report {
	c.sequence++
	return c.report(now)
}

func (c *Core) report(now time.Time) steerwire.Report {
	r := steerwire.Report{
		Node: c.o.Node, Incarnation: c.o.Incarnation, Sequence: c.sequence, DataCentre: c.o.DataCentre,
		Service: c.o.Service, State: c.state, Slots: c.target.Slots,
		BusyCenti: int(c.load.average(now)*100 + 0.5), Flows: len(c.flows), BornMillis: c.target.Born,
		FailingCenti: int(c.outcomes.FailureRatio(now)*100 + 0.5),
		Empty:        !c.uncertain && len(c.flows) == 0 && c.state != steerwire.TargetReady,
	}
	switch {
	case r.State != steerwire.TargetReady:
	case c.leaving:
		r.State = steerwire.TargetDraining
	case !c.admits(now):
		r.State = steerwire.TargetUnknown
	}
	if left := c.coldUntil.Sub(now); left > 0 {
		r.ColdMillis = int(left / time.Millisecond)
	}
	if c.sequence%balancersEvery == 1 {
		if r.Balancers = c.knownBalancers(); len(r.Balancers) > steerwire.MaxPeers {
			r.Balancers = r.Balancers[:steerwire.MaxPeers]
		}
	}
	return r
}
