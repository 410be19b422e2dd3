package steer

import (
	"math"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pace"
)

const (
	// referenceInterval is the interval at which the median service times of a service are
	// computed, about that of reports.
	referenceInterval = 250 * time.Millisecond
	// paceLogFactor is the change of a target's speed that is logged.
	paceLogFactor = 2
	// paceLogInterval is the minimum interval between log lines about a target's speed.
	paceLogInterval = time.Second
)

// CounterPace counts logged changes of targets' speeds.
const CounterPace = "steer_pace_changes"

// targetPace is the speed of a target compared with the others of its service.
type targetPace struct {
	times    []pace.ClassTime // from the last report
	speed    float64          // 0 if it is not measured
	rejects  bool             // answers without doing work
	logged   float64          // speed in the last log line, 0 for none
	loggedAt time.Time
}

// serviceReference holds the median service times of a service.
type serviceReference struct {
	reference pace.Reference
	at        time.Time
}

// updatePace applies the service times in a target's last report. Those of agents that
// measure none leave the speed unknown.
func (c *Core) updatePace(now time.Time, t *target) {
	if !c.options.Pace || !t.report.MeasuresPace {
		t.pace = targetPace{}
		return
	}
	t.pace.times = t.pace.times[:0]
	for _, s := range t.report.ServiceTimes {
		t.pace.times = append(t.pace.times, pace.ClassTime{
			Class: pace.Class(s.Class), Time: time.Duration(s.Micros) * time.Microsecond, Samples: float64(s.Samples),
		})
	}
	service := t.report.Service
	ref := c.references[service]
	if now.Sub(ref.at) < referenceInterval {
		c.compare(now, t, ref.reference)
		return
	}
	ref = serviceReference{c.newReference(now, service), now}
	c.references[service] = ref
	for _, o := range c.byService[service] {
		if o.report.MeasuresPace {
			c.compare(now, o, ref.reference)
		}
	}
}

// newReference returns the median service times of the service's targets that take flows.
// Those whose reports are late count with their last one.
func (c *Core) newReference(now time.Time, s model.ServiceName) pace.Reference {
	var all [][]pace.ClassTime
	for _, t := range c.byService[s] {
		if c.acceptsFlows(now, t, true) {
			all = append(all, t.pace.times)
		}
	}
	return pace.NewReference(all)
}

// compare sets a target's speed, and logs large changes.
func (c *Core) compare(now time.Time, t *target, r pace.Reference) {
	p := &t.pace
	p.speed, p.rejects = r.Speed(p.times)
	if p.logged == 0 {
		p.logged = p.speed
	}
	change := p.speed / p.logged
	if change < paceLogFactor && change > 1.0/paceLogFactor || now.Sub(p.loggedAt) < paceLogInterval {
		return
	}
	reason := "faster"
	if change < 1 {
		reason = "slower"
	}
	p.logged, p.loggedAt = p.speed, now
	c.count(CounterPace, reason)
	c.log(Entry{Event: "pace", Service: t.report.Service, Target: t.addr, Reason: reason, Age: now.Sub(t.lastReport), Detail: int(math.Round(100 * p.speed))})
}

// CapacityCenti returns the capacity of all targets that accept flows, in hundredths of a
// slot of their services' medians.
func (c *Core) CapacityCenti(now time.Time) int64 {
	sum := 0.0
	for s := range c.byService {
		sum += c.serviceCapacity(now, s).Slots
	}
	return int64(math.Round(100 * sum))
}
