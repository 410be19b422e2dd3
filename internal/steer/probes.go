package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// An agent that may have started after its target answers Unsure, because the target may
// hold flows that the agent has not seen. Such agents get the first packet of the lookup as
// a probe, one at a time, or several at once if there are many: a target that does not hold
// the flow bounces it. The lookup goes on without further packets of the caller until a
// target has kept the probe.
const (
	// probeTimeout is the time after which a further agent is probed because a probe was
	// neither returned nor confirmed. An agent confirms it 50 ms after the delivery at the
	// latest, and the longest round trip takes 10 ms.
	probeTimeout = 80 * time.Millisecond
	// probedLookupPeriod is the time from the first packet for which a lookup repeats its
	// rounds after a probe. By then, agents that do not answer are lost.
	probedLookupPeriod = agentLossTimeout + 500*time.Millisecond
	// maxProbeRounds is the maximum number of round trips until all agents are probed. Of more
	// agents several are probed at once, so that the holder's turn comes before the packets
	// at other targets count as misdirected.
	maxProbeRounds = 8
	// leavingProbePeriod is the time after its stop began for which a balancer starts to
	// probe. It ends later by more than the restart of an agent takes.
	leavingProbePeriod = time.Second
)

// probedAgent is an agent that was sent a probe.
type probedAgent struct {
	addr        netip.AddrPort
	incarnation model.Incarnation
}

// probe starts to probe the agents that answered Unsure, those of services that the address is
// routed to first. It may have been routed to the others before this process started, so a
// reset needs their denial too. They are probed only once all possible holders have answered,
// because otherwise the holder may be one that has not. It returns false if there is none.
func (c *Core) probe(now time.Time, key model.Flow, l *lookup) bool {
	if c.leaving && !l.misplaced && now.Sub(c.leavingSince) >= leavingProbePeriod {
		return false // the lookup might not end before the process does
	}
	l.toProbe = l.toProbe[:0]
	var first []netip.AddrPort // restarted with the probe
	var again []netip.AddrPort // agents of silent targets do not return or confirm a probe
	var others []netip.AddrPort
	wait := c.waitsForCertainty(now, l)
	complete := len(l.unanswered) == 0 && c.queriedAll(now, l, agentLossTimeout)
	for _, a := range l.unsure {
		t := c.targets[a]
		if t == nil || wait && t.certainSoon(now) {
			continue
		}
		i := slices.IndexFunc(l.probed, func(p probedAgent) bool { return p.addr == a })
		switch routed := c.routesTo(key.Dst, t.report.Service); {
		case !routed && !complete:
		case !routed && i < 0:
			others = append(others, a)
		case i < 0:
			l.toProbe = append(l.toProbe, a)
		case l.probed[i].incarnation != t.report.Incarnation:
			first = append(first, a)
		case now.Sub(l.startedAt) < probedLookupPeriod:
			again = append(again, a)
		}
	}
	l.toProbe = slices.Concat(first, l.toProbe, others, again)
	if len(l.toProbe) == 0 && wait {
		c.awaitCertainty(now, key, l)
		return true
	}
	if len(l.toProbe) == 0 {
		return false
	}
	l.atOnce = (len(l.toProbe) + maxProbeRounds - 1) / maxProbeRounds
	c.sendProbes(now, key, l)
	return true
}

// sendProbes probes the next agents, as many as may be probed at once.
func (c *Core) sendProbes(now time.Time, key model.Flow, l *lookup) {
	l.misplaced, l.phaseStart = true, now
	for len(l.probing) < l.atOnce && len(l.toProbe) > 0 {
		next := l.toProbe[0]
		l.toProbe = l.toProbe[1:]
		l.probing = append(l.probing, next)
		l.probed = slices.DeleteFunc(l.probed, func(p probedAgent) bool { return p.addr == next })
		var service model.ServiceName
		if t := c.targets[next]; t != nil {
			service = t.report.Service
			l.probed = append(l.probed, probedAgent{next, t.report.Incarnation})
		}
		c.log(Entry{Event: "probed", Flow: key, Service: service, Target: next, Version: c.version(), Age: now.Sub(l.startedAt), Detail: 1 + len(l.toProbe)})
		c.forward(key, next, service, l.buffered[0])
	}
}

// handleReturnedProbe handles a packet that an agent returned during a lookup.
func (c *Core) handleReturnedProbe(now time.Time, key model.Flow, l *lookup, from netip.AddrPort, reason steerwire.Reason) {
	if reason == steerwire.ReasonNotHeld {
		l.unsure = slices.DeleteFunc(l.unsure, func(a netip.AddrPort) bool { return a == from })
	}
	i := slices.Index(l.probing, from)
	if i < 0 {
		return
	}
	l.probing = slices.Delete(l.probing, i, i+1)
	c.sendProbes(now, key, l)
	if len(l.probing) == 0 {
		c.startRound(now, key, l)
	}
}

// handleConfirmedProbe handles an agent's notice that its target holds the flow.
func (c *Core) handleConfirmedProbe(now time.Time, from netip.AddrPort, o steerwire.Opened) {
	if l := c.lookups[o.Flow]; l != nil && slices.Contains(l.probing, from) {
		c.holderFound(now, o.Flow, l, from, "probe")
	}
}

// handleProbeTimeout probes a further agent, and after the last one queries the agents again.
// Those that were probed may have stopped, or may not confirm probes because they are of an
// earlier release.
func (c *Core) handleProbeTimeout(now time.Time, key model.Flow, l *lookup) {
	if len(l.toProbe) > 0 {
		l.atOnce++
		c.sendProbes(now, key, l)
		return
	}
	l.probing = l.probing[:0]
	c.startRound(now, key, l)
}
