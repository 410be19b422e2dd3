package passthrough

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pace"
	"github.com/bulrushshelf/bulrushshelf/internal/schedule"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

const (
	// extraRequests is the number of requests a target may have beyond its slots, so
	// that a slot is not idle while the next request is in flight.
	extraRequests = 1
	// maxBuffered is the maximum number of buffered packets per waiting request. A caller
	// sends no more before the first is acknowledged.
	maxBuffered = 16
	// requestIdleTimeout is the time without a packet of its flow after which a request
	// is no longer in progress: its caller or target gave up without a FIN or reset.
	requestIdleTimeout = 2 * time.Second
	// answerTimeout is the time without an answer after which a request is counted as
	// failed. A target with all slots busy and requests queued answers in a fifth of it.
	answerTimeout = time.Second
	// requestSweepInterval is the interval of the check for expired requests.
	requestSweepInterval = 250 * time.Millisecond
	// requestTimeWeight is the weight of one request in the average of the durations.
	requestTimeWeight = 0.05
)

// slotLimit returns the number of requests that the target may have.
func (c *Core) slotLimit() int { return c.target.Slots + extraRequests }

// hasNewData reports whether a packet of the caller carries data not seen before.
func (f *flow) hasNewData(s segment.Segment) bool {
	return s.DataLen > 0 && int32(s.Seq+uint32(s.DataLen)-f.callerNextSeq) > 0
}

// bufferIfNoSlot buffers a packet of a request that must wait for a slot, and reports
// whether the packet belongs to such a request.
func (c *Core) bufferIfNoSlot(now time.Time, f *flow, m steerwire.Forward, s segment.Segment) bool {
	if s.Flags.Has(segment.RST) || s.Flags.Has(segment.FIN) {
		c.cancelWaitingRequest(s.Flow, f) // the caller no longer waits for an answer
		return false
	}
	switch {
	case !c.heartbeatReceived:
		return false
	case f.buffered != nil && s.DataLen == 0:
		return false
	case f.buffered != nil:
	case f.requestActive || f.inTransfer || s.DataLen >= c.opts.FullSegment || !f.hasNewData(s) || c.load.requests < c.slotLimit():
		return false
	default:
		c.queue.Add(schedule.Request{
			Flow: s.Flow, Arrived: now, Objective: m.Terms.Objective, Deadline: m.Terms.Deadline, Priority: m.Terms.Priority,
		})
		c.count(CounterWaiting, "slots_busy")
	}
	if len(f.buffered) < maxBuffered && !slices.ContainsFunc(f.buffered, func(p []byte) bool { return slices.Equal(p, m.Packet) }) {
		f.buffered = append(f.buffered, slices.Clone(m.Packet))
		f.bufferedSegments = append(f.bufferedSegments, s)
	}
	return true
}

// cancelWaitingRequest drops the flow's request if it waits for a slot.
func (c *Core) cancelWaitingRequest(key model.Flow, f *flow) {
	if f.buffered != nil {
		c.queue.Remove(key)
		f.buffered, f.bufferedSegments = nil, nil
		c.count(CounterWaiting, "given_up")
	}
}

// CounterWaiting counts requests that waited for a slot and how their wait ended.
const CounterWaiting = "passthrough_requests_waiting"

// startWaitingRequests delivers waiting requests as long as slots are free, and at least n.
func (c *Core) startWaitingRequests(now time.Time, n int) {
	for ; c.queue.Len() > 0 && (n > 0 || c.load.requests < c.slotLimit()); n-- {
		r, ok := c.queue.Next(now, c.meanRequestTime)
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
		packets, segments := f.buffered, f.bufferedSegments
		f.buffered, f.bufferedSegments = nil, nil
		for i, p := range packets {
			c.trackCallerPacket(now, f, segments[i])
			c.deliver(r.Flow, p)
		}
	}
}

// handleAnswer records the answer to the active request and ends it. A packet that does not
// acknowledge the request repeats an earlier answer and says nothing about its service time.
func (c *Core) handleAnswer(now time.Time, f *flow, s segment.Segment) {
	outcome := pace.Answered
	if int32(s.Ack-f.callerNextSeq) < 0 {
		outcome = pace.Abandoned
	}
	if c.endWork(now, f, outcome) == pace.Quick {
		c.recordFailure(now, s.Flow, f, "too_quick")
	} else if !f.countedFailed {
		c.outcomes.Record(now, false)
	}
	c.recordRequestTime(now.Sub(f.requestStart))
	c.observe(LatencyRequest, "answered", now.Sub(f.requestStart))
	c.endRequest(now, f)
}

// recordFailure records that the target did not answer the active request.
func (c *Core) recordFailure(now time.Time, key model.Flow, f *flow, reason string) {
	c.outcomes.Record(now, true)
	c.count(CounterFailures, reason)
	c.log(Entry{Event: "request_failed", Flow: key, Reason: reason, Age: now.Sub(f.requestStart)})
}

// recordRequestTime adds the duration of a request to the average.
func (c *Core) recordRequestTime(d time.Duration) {
	if c.meanRequestTime == 0 {
		c.meanRequestTime = d
	}
	c.meanRequestTime += time.Duration(requestTimeWeight * float64(d-c.meanRequestTime))
}

// expireRequests drops waiting requests past their deadline, counts unanswered ones as
// failed, and ends those whose caller or target gave up.
func (c *Core) expireRequests(now time.Time) {
	if now.Sub(c.lastRequestSweep) < requestSweepInterval {
		return
	}
	c.lastRequestSweep = now
	for _, r := range c.queue.Expire(now) {
		c.count(CounterWaiting, "expired")
		c.observe(LatencyWaiting, "expired", now.Sub(r.Arrived))
		c.log(Entry{Event: "request_expired", Flow: r.Flow, Reason: "deadline", Age: now.Sub(r.Arrived)})
		if f := c.flows[r.Flow]; f != nil {
			f.buffered, f.bufferedSegments = nil, nil
		}
	}
	c.reportStall(now)
	var ended []model.Flow
	for k, f := range c.flows {
		if f.requestActive && !f.countedFailed && now.Sub(f.requestStart) >= answerTimeout {
			f.countedFailed = true
			c.recordFailure(now, k, f, "no_answer")
		}
		if f.requestActive && now.Sub(f.lastSeen) >= requestIdleTimeout {
			ended = append(ended, k)
		}
	}
	for _, k := range ended {
		c.endRequest(now, c.flows[k])
	}
	c.startWaitingRequests(now, 0)
}
