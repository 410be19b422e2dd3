package steer

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// ignoredReportLogInterval is the minimum interval between log lines about ignored reports
// of an agent.
const ignoredReportLogInterval = time.Second

// handleReport applies an agent's report unless a later one has been received.
func (c *Core) handleReport(now time.Time, from netip.AddrPort, r steerwire.Report) {
	t := c.addAgent(now, from)
	for _, a := range r.Balancers {
		c.addPeer(now, a, false)
	}
	if !c.laterReport(t, r) {
		c.count(CounterDropped, "old_report")
		c.handleIgnoredReport(now, t, r)
		return
	}
	if c.sentHello(r.HelloID) {
		t.answeredHello = max(t.answeredHello, *r.HelloID)
	}
	old := t.report
	if !t.reported || old.State != r.State || old.Incarnation != r.Incarnation || old.Service != r.Service {
		c.log(Entry{Event: "target", Service: r.Service, Target: from, Reason: r.State.String(), Age: now.Sub(t.lastReport), Detail: r.Slots, Incarnation: r.Incarnation})
	} else if !c.reachable(now, t) {
		c.log(Entry{Event: "regained", Service: r.Service, Target: from, Age: now.Sub(t.lastReport), Incarnation: r.Incarnation})
	}
	if !t.reported || old.Incarnation != r.Incarnation {
		t.firstReport = now
		c.advertiseSoon = true
	}
	t.reported, t.lossAdvertised, t.unresponsive, t.report, t.lastReport = true, false, false, r, now
	t.report.Balancers = nil
	if r.HelloID != nil && *r.HelloID == 0 && now.Sub(t.lastHello) >= minPeerHelloInterval {
		c.greet(now, t) // it has started since the last hello, and reports more with the next one
	}
	t.endedAt = time.Time{}
	if r.Ended {
		t.endedAt, c.advertiseSoon = now, true
		c.log(Entry{Event: "lost", Service: r.Service, Target: from, Reason: "ended"})
	}
	if old.Node != r.Node || old.DataCentre != r.DataCentre || t.override.Weight == 0 {
		c.override(t)
	}
	t.assigned = 0
	t.suspectUntil = time.Time{}
	t.coldUntil = now.Add(time.Duration(r.ColdMillis) * time.Millisecond)
	t.certainAt = now.Add(min(time.Duration(r.CertainInMillis)*time.Millisecond, maxCertaintyWait))
	if old.Service != r.Service || len(c.byService[r.Service]) == 0 {
		c.rebuildServiceIndex()
	}
	c.updatePace(now, t)
	if len(c.pendingOpenings) > 0 && r.State == steerwire.TargetReady {
		c.placePending(now, r.Service)
	}
}

// laterReport reports whether a report is later than the last one. Incarnations do not
// order the processes of an agent, because the time of day may go back between two starts.
// A process that names a hello was running when that hello was sent, so of two processes
// the one that names the later hello is the later one.
func (c *Core) laterReport(t *target, r steerwire.Report) bool {
	switch {
	case !t.reported:
		return true
	case c.sentHello(r.HelloID) && *r.HelloID > t.answeredHello:
		return true
	case r.Incarnation == t.report.Incarnation:
		return r.Sequence > t.report.Sequence
	default:
		return r.HelloID == nil && r.Incarnation > t.report.Incarnation
	}
}

// sentHello reports whether this process has sent the hello that a report names.
func (c *Core) sentHello(id *uint64) bool {
	return id != nil && *id >= c.firstHelloID && *id < c.nextHelloID
}

// handleIgnoredReport sends a hello to an agent that may have restarted: its next report
// names that hello. The log has a line at most once in ignoredReportLogInterval.
func (c *Core) handleIgnoredReport(now time.Time, t *target, r steerwire.Report) {
	if r.Incarnation == t.report.Incarnation {
		return
	}
	if now.Sub(t.lastHello) >= minPeerHelloInterval {
		c.greet(now, t)
	}
	if now.Sub(t.lastIgnored) < ignoredReportLogInterval {
		return
	}
	t.lastIgnored = now
	c.log(Entry{Event: "report_ignored", Service: r.Service, Target: t.addr, Reason: "other_incarnation", Age: now.Sub(t.lastReport), Incarnation: r.Incarnation})
}
