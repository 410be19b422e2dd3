package steer

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// After a loss of power all agents and targets have just started, and no agent knows yet that
// its target holds no earlier flow. A probe of each flow at each target takes longer than the
// agents take to know it, and more than the links and processors of small VMs carry. Lookups
// therefore wait for agents that expect to know it shortly.

const (
	// maxCertaintyWait bounds the wait for one process of an agent.
	maxCertaintyWait = 1500 * time.Millisecond
	// certaintyCheckInterval is the interval at which waiting lookups check the reports.
	certaintyCheckInterval = 20 * time.Millisecond
	// certaintySlack is the time for which a lookup waits longer than an agent expects.
	certaintySlack = 20 * time.Millisecond
)

// certainSoon reports whether the agent expects to know all flows of its target shortly.
func (t *target) certainSoon(now time.Time) bool {
	return t.certainAt.After(t.lastReport) && now.Before(t.certainAt.Add(certaintySlack))
}

// waitsForCertainty reports whether a lookup waits for agents that answered Unsure. Up to
// maxProbeRounds agents are probed instead, which takes less time.
func (c *Core) waitsForCertainty(now time.Time, l *lookup) bool {
	n := 0
	for _, a := range l.unsure {
		if t := c.targets[a]; t != nil && t.certainSoon(now) {
			n++
		}
	}
	return n > maxProbeRounds || n > 0 && l.awaitsCertainty
}

// splitUnsure splits the agents that answered Unsure into those for which the lookup waits and
// those that are queried again.
func (c *Core) splitUnsure(now time.Time, l *lookup) (waiting, again []netip.AddrPort) {
	if !c.waitsForCertainty(now, l) {
		return nil, l.unsure
	}
	for _, a := range l.unsure {
		if t := c.targets[a]; t != nil && t.certainSoon(now) {
			waiting = append(waiting, a)
		} else {
			again = append(again, a)
		}
	}
	return waiting, again
}

// awaitCertainty suspends a lookup until its agents know all flows of their targets.
func (c *Core) awaitCertainty(now time.Time, key model.Flow, l *lookup) {
	l.incomplete, l.awaitsCertainty, l.phaseStart = true, true, now
	c.count(CounterLookups, "awaits_certainty")
	c.log(Entry{Event: "lookup_waits", Flow: key, Reason: "agents_uncertain", Version: c.version(), Age: now.Sub(l.startedAt), Detail: len(l.unsure)})
}
