package passthrough

import "time"

// An agent that starts beside a running target does not know the flows that an earlier process
// of the agent has delivered there. A target that calls its agent for the first time has
// registered with no earlier process. The call may be late, though, and its sender may have
// ended: only a second call on schedule, without a call of another start in between, shows
// that the sender is the running target. No time of day takes part.

const (
	// secondCallEarliest and secondCallLatest bound the time from the first call of a target to
	// its second one, in heartbeat intervals. Calls that were held up arrive together.
	secondCallEarliest = 0.75
	secondCallLatest   = 1.5
	// firstCallCheckInterval is the interval of ticks until the second call. A process that was paused
	// for longer may have missed the calls of another start.
	firstCallCheckInterval = 100 * time.Millisecond
	maxFirstCallGap        = 3 * firstCallCheckInterval
	// firstCallSlack is how much later than one interval the second call is expected.
	firstCallSlack = 60 * time.Millisecond
)

// firstCall follows the calls of a target from its first one on. The zero value waits for it.
type firstCall struct {
	state     firstCallState
	heartbeat Heartbeat
	at        time.Time
	checked   time.Time // last event while the second call is awaited
}

type firstCallState uint8

const (
	firstCallUnheard firstCallState = iota // no call has been heard
	firstCallHeard                         // the target's first call was heard, and none since
	firstCallSettled                       // a later call was heard, or the first one does not count
)

// refute records that what the agent has heard does not show that it knows all flows.
func (f *firstCall) refute() { f.state = firstCallSettled }

// observe records that the process runs. A pause may have hidden calls.
func (f *firstCall) observe(now time.Time) {
	if f.state == firstCallHeard && (now.Sub(f.checked) > maxFirstCallGap || now.Before(f.checked)) {
		f.refute()
	}
	f.checked = now
}

// hear handles a call of the target and reports whether it shows that no earlier process of
// the agent has delivered a packet to this start of the target.
func (f *firstCall) hear(now time.Time, h Heartbeat, interval time.Duration) bool {
	f.observe(now)
	switch f.state {
	case firstCallUnheard:
		f.state = firstCallSettled
		if h.FirstCall {
			f.state, f.heartbeat, f.at = firstCallHeard, h, now
		}
	case firstCallHeard:
		f.state = firstCallSettled
		since := now.Sub(f.at).Seconds() / interval.Seconds()
		return h.sameStart(f.heartbeat) && h.Service == f.heartbeat.Service && h.Sequence == f.heartbeat.Sequence+1 &&
			since >= secondCallEarliest && since <= secondCallLatest
	}
	return false
}

// expected returns when the second call is expected, zero if it shows nothing.
func (f *firstCall) expected(interval time.Duration) time.Time {
	if f.state != firstCallHeard {
		return time.Time{}
	}
	return f.at.Add(interval + firstCallSlack)
}

// hearCall follows the calls of a target that may hold unseen flows.
func (c *Core) hearCall(now time.Time, h Heartbeat) {
	if h.Service != c.opts.Service {
		c.firstCall.refute()
	}
	if !c.firstCall.hear(now, h, c.opts.HeartbeatInterval) || !c.mayHoldUnseen {
		return
	}
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
	return max(c.firstCall.expected(c.opts.HeartbeatInterval).Sub(now), 0)
}
