package passthrough

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/pace"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// LatencyService is the time for which a request had a slot of the target.
const LatencyService = "passthrough_service_seconds"

// stallStep is the factor by which a stall grows before balancers are told again at once.
const stallStep = 2

// targetPace is what the agent measures of its target's service times.
type targetPace struct {
	tracker  pace.Tracker
	reported float64 // factor of the stall in the last reports that were sent at once, 0 for none
}

// startWork records the delivery of a flow's request.
func (c *Core) startWork(now time.Time, f *flow) {
	if c.opts.Pace && c.heartbeatReceived {
		f.work = c.pace.tracker.Start(now, f.class, c.target.Slots)
	}
}

// endWork records the end of a flow's request and returns its outcome.
func (c *Core) endWork(now time.Time, f *flow, o pace.Outcome) pace.Outcome {
	if f.work == 0 {
		return o
	}
	id := f.work
	f.work = 0
	d, o := c.pace.tracker.End(now, id, o)
	if o == pace.Answered && d > 0 {
		c.observe(LatencyService, "answered", d)
	}
	return o
}

// forgetPace drops the service times of a target that has started again or is silent.
func (c *Core) forgetPace() { c.pace = targetPace{tracker: c.pace.tracker.Reset()} }

// addPace adds the service times to a report.
func (c *Core) addPace(now time.Time, r *steerwire.Report) {
	if !c.opts.Pace {
		return
	}
	r.MeasuresPace, r.Waiting = true, c.queue.Len()
	for _, t := range c.pace.tracker.Times(now) {
		r.ServiceTimes = append(r.ServiceTimes, steerwire.ServiceTime{Class: uint64(t.Class), Micros: t.Time.Microseconds(), Samples: int(t.Samples)})
	}
}

// reportStall tells the balancers at once that a target has become much slower. That it is
// fast again follows with the next regular reports.
func (c *Core) reportStall(now time.Time) {
	if !c.opts.Pace {
		return
	}
	stall := c.pace.tracker.Stall(now)
	switch {
	case stall >= stallStep*max(c.pace.reported, 1):
		c.pace.reported = stall
		c.log(Entry{Event: "pace", Reason: "stalled", Age: c.pace.tracker.Oldest(now)})
		c.sendReports(now)
	case stall <= 1 && c.pace.reported > 0:
		c.pace.reported = 0
		c.log(Entry{Event: "pace", Reason: "answers"})
	}
}
