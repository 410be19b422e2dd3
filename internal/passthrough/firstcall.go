package passthrough

import "time"

// An agent that starts beside a running target does not know the flows that an earlier process
// of the agent has delivered there. A target that calls its agent for the first time has
// registered with no earlier process. The call may be late, though, and its sender may have
// ended: only a second call on schedule, with no call of another start for longer than the
// running target's interval, shows that the sender is the running target. No time of day takes
// part.

const (
	// secondCallEarliest and secondCallLatest bound the time from the first call of a target to
	// its second one, in heartbeat intervals. Calls that were held up arrive together.
	secondCallEarliest = 0.75
	secondCallLatest   = 1.5
	// maxCallInterval bounds the time between the calls of a running target, in heartbeat intervals.
	maxCallInterval = 1.1
	// firstCallCheckInterval is the interval of ticks until the agent is certain. A process that
	// was paused for longer than maxFirstCallGap may have missed the calls of another start.
	firstCallCheckInterval = 100 * time.Millisecond
	maxFirstCallGap        = 3 * firstCallCheckInterval
)

// firstCall follows the calls of a target from its first one on. The zero value waits for it.
type firstCall struct {
	state   firstCallState
	last    Heartbeat // the last call
	at      time.Time // of the first call
	second  bool      // the second call was heard on schedule
	checked time.Time // last event since the first call
}

type firstCallState uint8

const (
	firstCallUnheard firstCallState = iota // no call has been heard
	firstCallHeard                         // the first call was heard, and nothing against it
	firstCallSettled                       // the agent is certain, or what it heard shows nothing
)

// refute records that what the agent has heard does not show that it knows all flows.
func (f *firstCall) refute() { f.state = firstCallSettled }

// observe records that the process runs, and reports whether no earlier process of the agent
// has delivered a packet to this start of the target.
func (f *firstCall) observe(now time.Time, interval time.Duration) bool {
	if f.state != firstCallHeard {
		return false
	}
	gap := now.Sub(f.checked)
	f.checked = now
	switch {
	case gap > maxFirstCallGap, !f.second && now.Sub(f.at) > scale(interval, secondCallLatest):
		f.refute()
	case f.second && !now.Before(f.settles(interval)):
		f.state = firstCallSettled
		return true
	}
	return false
}

// hear handles a call of the target.
func (f *firstCall) hear(now time.Time, h Heartbeat, interval time.Duration) {
	switch f.state {
	case firstCallUnheard:
		f.state = firstCallSettled
		if h.FirstCall {
			*f = firstCall{state: firstCallHeard, at: now, checked: now}
		}
	case firstCallHeard:
		if !h.sameStart(f.last) || h.Sequence != f.last.Sequence+1 || !f.second && now.Sub(f.at) < scale(interval, secondCallEarliest) {
			f.refute()
		}
		f.second = true
	}
	f.last = h
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// settles returns when the agent expects to be certain, zero if it does not.
func (f *firstCall) settles(interval time.Duration) time.Time {
	if f.state != firstCallHeard {
		return time.Time{}
	}
	return f.at.Add(scale(interval, maxCallInterval))
}

// hearCall follows the calls of a target.
func (c *Core) hearCall(now time.Time, h Heartbeat) {
	c.checkFirstCall(now)
	if h.Service != c.opts.Service {
		c.firstCall.refute()
	}
	c.firstCall.hear(now, h, c.opts.HeartbeatInterval)
	c.checkFirstCall(now)
}

// checkFirstCall ends the uncertainty about unseen flows if the calls of the target show that
// there are none.
func (c *Core) checkFirstCall(now time.Time) {
	if !c.firstCall.observe(now, c.opts.HeartbeatInterval) || !c.mayHoldUnseen {
		return
	}
	h := c.firstCall.last
	c.mayHoldUnseen = false
	c.log(Entry{Event: "flows_certain", Target: h.Target, StartMillis: h.StartMillis, Reason: "first_calls", Sequence: h.Sequence, Age: now.Sub(c.started)})
	c.sendReports(now)
}

// certainIn returns the time until the agent expects to know all flows of its target, 0 if it
// knows them or has no reason to expect so.
func (c *Core) certainIn(now time.Time) time.Duration {
	if !c.mayHoldUnseen {
		return 0
	}
	return max(c.firstCall.settles(c.opts.HeartbeatInterval).Sub(now), 0)
}
