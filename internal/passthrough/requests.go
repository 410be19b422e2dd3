package passthrough

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/schedule"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

const (
	// spareRequests is how many requests beyond its slots a target may have, so
	// that a slot is not idle while the next request is on its way.
	spareRequests = 1
	// maxKept bounds the packets of one waiting request: what a caller sends
	// before the first is acknowledged.
	maxKept = 16
	// requestTimeout is when a request without any packet of its flow no longer
	// counts as in progress: its caller or target gave up unseen.
	requestTimeout = 2 * time.Second
	// stuckAfter is when a request without an answer counts as failed: a target with
	// all slots busy and a queue of its own answers within a fifth of that.
	stuckAfter = time.Second
	// requestSweep is the pause between searches for such requests.
	requestSweep = 250 * time.Millisecond
	// workWeight is the weight of one request in the average of their times.
	workWeight = 0.05
)

// isNew reports whether a packet of the caller carries data not seen before.
func (f *flow) isNew(s segment.Segment) bool {
	return s.DataLen > 0 && int32(s.Seq+uint32(s.DataLen)-f.nextSeq) > 0
}

// keep holds a packet back if it belongs to a request that must wait for a slot.
func (c *Core) keep(now time.Time, f *flow, m steerwire.Forward, s segment.Segment) bool {
	if s.Flags.Has(segment.RST) || s.Flags.Has(segment.FIN) {
		c.giveUp(s.Flow, f) // the caller does not wait for an answer any more
		return false
	}
	switch {
	case !c.known:
		return false
	case f.kept != nil && s.DataLen == 0:
		return false
	case f.kept != nil:
	case f.busy || f.transfer || s.DataLen >= c.o.FullSegment || !f.isNew(s) || c.load.busy < c.target.Slots+spareRequests:
		return false
	default:
		c.queue.Add(schedule.Request{
			Flow: s.Flow, Arrived: now, Objective: m.Terms.Objective, Deadline: m.Terms.Deadline, Priority: m.Terms.Priority,
		})
		c.count(CounterWaiting, "slots_busy")
	}
	if len(f.kept) < maxKept && !slices.ContainsFunc(f.kept, func(p []byte) bool { return slices.Equal(p, m.Packet) }) {
		f.kept = append(f.kept, slices.Clone(m.Packet))
		f.keptSegments = append(f.keptSegments, s)
	}
	return true
}

// giveUp drops the request of a flow that waits for a slot.
func (c *Core) giveUp(key model.Flow, f *flow) {
	if f.kept != nil {
		c.queue.Remove(key)
		f.kept, f.keptSegments = nil, nil
		c.count(CounterWaiting, "given_up")
	}
}

// CounterWaiting counts requests that waited for a slot, and how that ended.
const CounterWaiting = "passthrough_requests_waiting"

// startWaiting delivers waiting requests while slots are free.
func (c *Core) startWaiting(now time.Time) {
	for c.queue.Len() > 0 && c.load.busy < c.target.Slots+spareRequests {
		r, ok := c.queue.Next(now, c.work)
		if !ok {
			return
		}
		f := c.flows[r.Flow]
		if f == nil {
			continue
		}
		c.count(CounterWaiting, "started")
		c.observe(LatencyWaiting, "started", now.Sub(r.Arrived))
		c.log(Entry{Event: "request_started", Flow: r.Flow, Reason: "slot_free", Age: now.Sub(r.Arrived)})
		packets, segments := f.kept, f.keptSegments
		f.kept, f.keptSegments = nil, nil
		for i, p := range packets {
			c.fromCaller(now, f, segments[i])
			c.deliver(r.Flow, p)
		}
	}
}

// requestEnded takes the target's answer to a request, or its reset instead.
func (c *Core) requestEnded(now time.Time, key model.Flow, f *flow, reset bool) {
	if reset {
		c.failed(now, key, f, "reset")
	} else if !f.stuck {
		c.outcomes.Record(now, false)
	}
}

// failed takes a request that the target did not answer into its outcomes.
func (c *Core) failed(now time.Time, key model.Flow, f *flow, reason string) {
	c.outcomes.Record(now, true)
	c.count(CounterFailures, reason)
	c.log(Entry{Event: "request_failed", Flow: key, Reason: reason, Age: now.Sub(f.since)})
}

// noteWork takes the time of a request into the average.
func (c *Core) noteWork(d time.Duration) {
	if c.work == 0 {
		c.work = d
	}
	c.work += time.Duration(workWeight * float64(d-c.work))
}

// overdueRequests ends requests whose callers or targets gave up unseen.
func (c *Core) overdueRequests(now time.Time) {
	if now.Sub(c.swept) < requestSweep {
		return
	}
	c.swept = now
	for _, r := range c.queue.Expire(now) {
		c.count(CounterWaiting, "expired")
		c.observe(LatencyWaiting, "expired", now.Sub(r.Arrived))
		c.log(Entry{Event: "request_expired", Flow: r.Flow, Reason: "deadline", Age: now.Sub(r.Arrived)})
		if f := c.flows[r.Flow]; f != nil {
			f.kept, f.keptSegments = nil, nil
		}
	}
	var ended []model.Flow
	for k, f := range c.flows {
		if f.busy && !f.stuck && now.Sub(f.since) >= stuckAfter {
			f.stuck = true
			c.failed(now, k, f, "no_answer")
		}
		if f.busy && now.Sub(f.lastSeen) >= requestTimeout {
			ended = append(ended, k)
		}
	}
	for _, k := range ended {
		c.settle(now, c.flows[k])
	}
	c.startWaiting(now)
}
