package steer

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
)

const (
	// returnBound is the longest wait of a caller whose flow is over: a third of
	// the shortest deadline, so that its retry has time to be served.
	returnBound = 400 * time.Millisecond
	// returnInterval is the pause between two looks at waiting callers.
	returnInterval = 20 * time.Millisecond
	// coldSlots is the part of its slots that a target fills usefully after its start.
	coldSlots = 0.6
)

// returning is a flow that is over and whose caller is told when there is room
// for its retry.
type returning struct {
	ack   uint32
	since time.Time // first packet seen
}

// returnLater queues the reset of a flow that is over.
func (c *Core) returnLater(now time.Time, key model.Flow, r returning) {
	service := c.config.Routes[key.Dst].service(key.Hash())
	q := c.returns[service]
	if q == nil {
		q = new(pacing.Queue[model.Flow])
		c.returns[service] = q
	}
	c.returning[key] = r
	q.Add(now, key)
	c.releaseReturns(now)
}

// releaseReturns resets the flows for whose callers there is room.
func (c *Core) releaseReturns(now time.Time) {
	if len(c.returning) == 0 {
		return
	}
	services := make([]model.ServiceName, 0, len(c.returns))
	for s := range c.returns {
		services = append(services, s)
	}
	slices.Sort(services)
	for _, s := range services {
		for _, key := range c.returns[s].Release(now, c.capacity(now, s), returnBound) {
			r := c.returning[key]
			delete(c.returning, key)
			c.observe(LatencySearch, "no_holder", now.Sub(r.since))
			c.log(Entry{Event: "reset", Flow: key, Service: s, Reason: "no_holder", Version: c.version(), Age: now.Sub(r.since)})
			c.reset(key, r.ack, "no_holder")
		}
	}
}

// capacity sums up the targets of a service that take flows.
func (c *Core) capacity(now time.Time, s model.ServiceName) pacing.Capacity {
	out := pacing.Capacity{Balancers: 1}
	for _, t := range c.byService[s] {
		if !c.takesFlows(now, t, false) {
			continue
		}
		slots := float64(t.report.Slots)
		if now.Before(t.coldUntil) {
			slots *= coldSlots
		}
		out.Slots += slots
		out.Busy += float64(t.report.BusyCenti) / 100
	}
	for _, p := range c.peers {
		if now.Sub(p.heard) < peerTimeout {
			out.Balancers++
		}
	}
	return out
}
