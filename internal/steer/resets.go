package steer

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
)

const (
	// maxResetDelay is the maximum delay of a reset: a third of the shortest deadline, so
	// that the caller's retry still has time to be served.
	maxResetDelay = 400 * time.Millisecond
	// resetCheckInterval is the interval between checks for pending resets that are due.
	resetCheckInterval = 20 * time.Millisecond
	// coldSlotFraction is the fraction of its slots that a target can use while it warms up.
	coldSlotFraction = 0.6
)

// pendingReset is a flow without a holder, whose reset is delayed until the service has
// capacity for the caller's retry.
type pendingReset struct {
	ack   uint32
	since time.Time // when the first packet of the lookup arrived
}

// queueReset queues the reset of a flow without a holder.
func (c *Core) queueReset(now time.Time, key model.Flow, r pendingReset) {
	service := c.config.Routes[key.Dst].service(key.Hash())
	q := c.resetQueues[service]
	if q == nil {
		q = new(pacing.Queue[model.Flow])
		c.resetQueues[service] = q
	}
	c.pendingReset[key] = r
	q.Add(now, key)
	c.sendDueResets(now)
}

// sendDueResets resets the queued flows whose services have capacity for a retry.
func (c *Core) sendDueResets(now time.Time) {
	if len(c.pendingReset) == 0 {
		return
	}
	services := make([]model.ServiceName, 0, len(c.resetQueues))
	for s := range c.resetQueues {
		services = append(services, s)
	}
	slices.Sort(services)
	for _, s := range services {
		for _, key := range c.resetQueues[s].Release(now, c.serviceCapacity(now, s), maxResetDelay) {
			r, ok := c.pendingReset[key]
			if !ok {
				continue // the caller has opened another flow meanwhile
			}
			delete(c.pendingReset, key)
			c.observe(LatencyLookup, "no_holder", now.Sub(r.since))
			c.log(Entry{Event: "reset", Flow: key, Service: s, Reason: "no_holder", Version: c.version(), Age: now.Sub(r.since)})
			c.reset(key, r.ack, "no_holder")
		}
	}
}

// serviceCapacity returns the total capacity of a service's targets that accept flows,
// and the number of balancers that share it.
func (c *Core) serviceCapacity(now time.Time, s model.ServiceName) pacing.Capacity {
	out := pacing.Capacity{Balancers: 1}
	for _, t := range c.byService[s] {
		if !c.acceptsFlows(now, t, false) {
			continue
		}
		slots := float64(t.report.Slots)
		switch {
		case t.pace.speed > 0:
			slots *= min(t.pace.speed, 1)
		case now.Before(t.coldUntil):
			slots *= coldSlotFraction
		}
		out.Slots += slots
		out.Busy += float64(t.report.BusyCenti) / 100
	}
	for _, p := range c.peers {
		if now.Sub(p.lastHello) < peerTimeout {
			out.Balancers++
		}
	}
	return out
}
