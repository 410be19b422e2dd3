package passthrough

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// sendReports sends a report to all known balancers immediately.
func (c *Core) sendReports(now time.Time) {
	c.reportedDiscoverable = c.discoverable(now)
	c.reportSequence++
	for _, a := range c.sortedBalancers() {
		c.send(a, steerwire.Message{Kind: steerwire.KindReport, Report: c.reportTo(now, a)})
	}
}

// recordHello records the receipt of a hello. If none was received for reregisterAfter,
// balancers may have removed the agent's object, so it is written again.
func (c *Core) recordHello(now time.Time, h steerwire.Hello) {
	if c.firstHello.IsZero() {
		c.firstHello = now
	} else if now.Sub(c.lastHello) >= reregisterAfter && c.registered {
		c.firstHello, c.registered, c.reportedDiscoverable = now, false, false
		c.log(Entry{Event: "registering", Reason: "balancers_back", Age: now.Sub(c.lastHello)})
		c.actions = append(c.actions, Action{Kind: Register})
	}
	c.lastHello = now
	c.recordEvacuation(now, h.Evacuations)
	c.recordColdRate(h)
	if h.Unlisted {
		c.handleUnlisted(now, h.Epoch)
	}
}

// handleUnlisted writes the agent's object again if a balancer does not find it in the
// store: it was removed by mistake, or lost when the store was restored from a copy. Flows
// are accepted meanwhile, because the balancers know the agent from its reports.
func (c *Core) handleUnlisted(now time.Time, epoch uint64) {
	if !c.registered || c.leaving || epoch <= c.registeredEpoch && now.Sub(c.registeredAt) < listedDelay {
		return
	}
	c.log(Entry{Event: "registering", Reason: "unlisted", Sequence: epoch, Age: now.Sub(c.registeredAt)})
	c.registeredAt, c.registeredEpoch = now, epoch
	c.actions = append(c.actions, Action{Kind: Register})
}

// AdvertisesToSeeds reports whether the agent sends reports to the seeds because it has
// not received a hello of a balancer yet, or for advertiseAfter.
func (c *Core) AdvertisesToSeeds(now time.Time) bool {
	return !c.ended && (c.lastHello.IsZero() || now.Sub(c.lastHello) >= advertiseAfter)
}

func (c *Core) sortedBalancers() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.balancers))
	for a := range c.balancers {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Report returns a report for balancers from which no hello has been received.
func (c *Core) Report(now time.Time) steerwire.Report {
	c.reportSequence++
	return c.reportTo(now, netip.AddrPort{})
}

// reportTo returns a report for a balancer. It names the balancer's last hello, by which
// the balancer orders the reports of successive processes of the agent.
func (c *Core) reportTo(now time.Time, to netip.AddrPort) steerwire.Report {
	helloID := c.balancers[to].id
	r := steerwire.Report{
		HelloID: &helloID,
		Node:    c.opts.Node, Incarnation: c.opts.Incarnation, Sequence: c.reportSequence, DataCentre: c.opts.DataCentre,
		Service: c.opts.Service, State: c.state, Slots: c.target.Slots,
		BusyCenti: int(c.load.average(now)*100 + 0.5), Flows: len(c.flows), TargetStartMillis: c.target.StartMillis,
		FailingCenti: int(c.outcomes.FailureRate(now)*100 + 0.5),
		Ended:        c.ended,
		Evacuated:    c.evacuation.active,
		Empty:        !c.mayHoldUnseen && len(c.flows) == 0 && c.state != steerwire.TargetReady,
	}
	switch {
	case r.State != steerwire.TargetReady:
	case c.leaving || c.evacuation.active:
		r.State = steerwire.TargetDraining
	case !c.discoverable(now):
		r.State = steerwire.TargetUnknown
	}
	r.CertainInMillis = int(c.certainIn(now) / time.Millisecond)
	if left := c.coldUntil.Sub(now); left > 0 {
		r.ColdMillis = int(left / time.Millisecond)
	}
	c.addPace(now, &r)
	if c.reportSequence%reportsPerBalancerList == 1 {
		r.Balancers = c.listBalancers()
	}
	return r
}

// listBalancers returns the known balancers. Of more than a message holds, it returns a
// part that differs from one report and agent to the next.
func (c *Core) listBalancers() []netip.AddrPort {
	all := c.sortedBalancers()
	if len(all) <= steerwire.MaxPeers {
		return all
	}
	first := int((c.reportSequence + model.HashString(string(c.opts.Node))) % uint64(len(all)))
	return append(all[first:], all[:first]...)[:steerwire.MaxPeers]
}
