package passthrough

import "time"

// An agent that starts beside a running target does not know the flows that an earlier process
// of the agent has delivered there. A target that sends its first heartbeat has registered with
// no earlier process. The heartbeat may be late, though, and its sender may have ended: only a
// second one on schedule, with none of another start for longer than the running target's
// interval, shows that the sender is the running target. No time of day takes part.

const (
	// secondHeartbeatEarliest and secondHeartbeatLatest bound the time from the first heartbeat
	// of a target to its second one, in intervals. Heartbeats that were held up arrive together.
	secondHeartbeatEarliest = 0.75
	secondHeartbeatLatest   = 1.5
	// maxHeartbeatInterval bounds the time between two heartbeats of a running target, in intervals.
	maxHeartbeatInterval = 1.1
	// firstHeartbeatCheckInterval is the interval of ticks until the agent is certain. A process
	// that was paused for longer than maxFirstHeartbeatGap may have missed those of another start.
	firstHeartbeatCheckInterval = 100 * time.Millisecond
	maxFirstHeartbeatGap        = 3 * firstHeartbeatCheckInterval
)

// firstHeartbeat follows the heartbeats of a target from its first one on. The zero value waits
// for it.
type firstHeartbeat struct {
	state   firstHeartbeatState
	last    Heartbeat // the last heartbeat
	at      time.Time // of the first heartbeat
	second  bool      // the second heartbeat was heard on schedule
	checked time.Time // last event since the first heartbeat
}

type firstHeartbeatState uint8

const (
	firstHeartbeatUnheard firstHeartbeatState = iota // no heartbeat has been heard
	firstHeartbeatHeard                              // the first heartbeat was heard, and nothing against it
	firstHeartbeatSettled                            // the agent is certain, or what it heard shows nothing
)

// refute records that what the agent has heard does not show that it knows all flows.
func (f *firstHeartbeat) refute() { f.state = firstHeartbeatSettled }

// observe records that the process runs, and reports whether no earlier process of the agent
// has delivered a packet to this start of the target.
func (f *firstHeartbeat) observe(now time.Time, interval time.Duration) bool {
	if f.state != firstHeartbeatHeard {
		return false
	}
	gap := now.Sub(f.checked)
	f.checked = now
	switch {
	case gap > maxFirstHeartbeatGap, !f.second && now.Sub(f.at) > scale(interval, secondHeartbeatLatest):
		f.refute()
	case f.second && !now.Before(f.settles(interval)):
		f.state = firstHeartbeatSettled
		return true
	}
	return false
}

// hear handles a heartbeat of the target.
func (f *firstHeartbeat) hear(now time.Time, h Heartbeat, interval time.Duration) {
	switch f.state {
	case firstHeartbeatUnheard:
		f.state = firstHeartbeatSettled
		if h.First {
			*f = firstHeartbeat{state: firstHeartbeatHeard, at: now, checked: now}
		}
	case firstHeartbeatHeard:
		if !h.sameStart(f.last) || h.Sequence != f.last.Sequence+1 || !f.second && now.Sub(f.at) < scale(interval, secondHeartbeatEarliest) {
			f.refute()
		}
		f.second = true
	}
	f.last = h
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// settles returns when the agent expects to be certain, zero if it does not.
func (f *firstHeartbeat) settles(interval time.Duration) time.Time {
	if f.state != firstHeartbeatHeard {
		return time.Time{}
	}
	return f.at.Add(scale(interval, maxHeartbeatInterval))
}

// followHeartbeat follows the heartbeats of a target.
func (c *Core) followHeartbeat(now time.Time, h Heartbeat) {
	c.checkFirstHeartbeat(now)
	if h.Service != c.opts.Service {
		c.firstHeartbeat.refute()
	}
	c.firstHeartbeat.hear(now, h, c.opts.HeartbeatInterval)
	c.checkFirstHeartbeat(now)
}

// checkFirstHeartbeat ends the uncertainty about unseen flows if the heartbeats of the target
// show that there are none.
func (c *Core) checkFirstHeartbeat(now time.Time) {
	if !c.firstHeartbeat.observe(now, c.opts.HeartbeatInterval) || !c.mayHoldUnseen {
		return
	}
	h := c.firstHeartbeat.last
	c.mayHoldUnseen = false
	c.log(Entry{Event: "flows_certain", Target: h.Target, StartMillis: h.StartMillis, Reason: "first_heartbeats", Sequence: h.Sequence, Age: now.Sub(c.started)})
	c.sendReports(now)
}

// certainIn returns the time until the agent expects to know all flows of its target, 0 if it
// knows them or has no reason to expect so.
func (c *Core) certainIn(now time.Time) time.Duration {
	if !c.mayHoldUnseen {
		return 0
	}
	return max(c.firstHeartbeat.settles(c.opts.HeartbeatInterval).Sub(now), 0)
}
