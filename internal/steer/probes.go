package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// An agent that started after its target answers Unsure, because the target may hold flows
// that the agent has not seen. Such agents get the first packet of the lookup as a probe,
// one after the other: a target that does not hold the flow bounces it. The lookup goes on
// without further packets of the caller until a target has kept the probe.
const (
	// probeTimeout is the time after which the agents are queried again because a probe was
	// neither returned nor confirmed. An agent confirms it 50 ms after the delivery at the
	// latest, and the longest round trip takes 10 ms.
	probeTimeout = 120 * time.Millisecond
	// probedLookupPeriod is the time from the first packet for which a lookup repeats its
	// rounds after a probe. By then, agents that do not answer are lost.
	probedLookupPeriod = agentLossTimeout + 500*time.Millisecond
)

// probe starts to probe the agents that answered Unsure, those of services that the address is
// routed to first. It may have been routed to the others before this process started, so a
// reset needs their denial too. They are probed only once all possible holders have answered,
// because otherwise the holder may be one that has not. It returns false if there is none.
func (c *Core) probe(now time.Time, key model.Flow, l *lookup) bool {
	l.toProbe = l.toProbe[:0]
	var again []netip.AddrPort // agents of silent targets do not return or confirm a probe
	var others []netip.AddrPort
	for _, a := range l.unsure {
		switch t := c.targets[a]; {
		case t == nil:
		case !c.routesTo(key.Dst, t.report.Service):
			if len(l.unanswered) == 0 && !slices.Contains(l.probed, a) {
				others = append(others, a)
			}
		case slices.Contains(l.probed, a):
			again = append(again, a)
		default:
			l.toProbe = append(l.toProbe, a)
		}
	}
	l.toProbe = append(append(l.toProbe, others...), again...)
	if len(l.toProbe) == 0 {
		return false
	}
	c.probeNext(now, key, l)
	return true
}

func (c *Core) probeNext(now time.Time, key model.Flow, l *lookup) {
	l.probing, l.toProbe = l.toProbe[0], l.toProbe[1:]
	l.misplaced, l.phaseStart, l.probed = true, now, append(l.probed, l.probing)
	var service model.ServiceName
	if t := c.targets[l.probing]; t != nil {
		service = t.report.Service
	}
	c.log(Entry{Event: "probed", Flow: key, Service: service, Target: l.probing, Version: c.version(), Age: now.Sub(l.startedAt), Detail: 1 + len(l.toProbe)})
	c.forward(key, l.probing, service, l.buffered[0])
}

// handleReturnedProbe handles a packet that an agent returned during a lookup: its target
// does not hold the flow.
func (c *Core) handleReturnedProbe(now time.Time, key model.Flow, l *lookup, from netip.AddrPort) {
	l.unsure = slices.DeleteFunc(l.unsure, func(a netip.AddrPort) bool { return a == from })
	switch {
	case from != l.probing:
	case len(l.toProbe) > 0:
		c.probeNext(now, key, l)
	default:
		l.probing = netip.AddrPort{}
		c.startRound(now, key, l)
	}
}

// handleConfirmedProbe handles an agent's notice that its target holds the flow.
func (c *Core) handleConfirmedProbe(now time.Time, from netip.AddrPort, o steerwire.Opened) {
	if l := c.lookups[o.Flow]; l != nil && l.probing == from {
		c.holderFound(now, o.Flow, l, from, "probe")
	}
}

// handleProbeTimeout queries the agents again. The one that was probed may have stopped, or
// may not confirm probes because it is of an earlier release.
func (c *Core) handleProbeTimeout(now time.Time, key model.Flow, l *lookup) {
	l.probing = netip.AddrPort{}
	c.startRound(now, key, l)
}
