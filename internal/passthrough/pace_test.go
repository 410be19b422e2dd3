package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// newPacedCore returns the core of an agent that has measured n answers of 13 ms, and the
// time of the last one.
func newPacedCore(n int) (*Core, int) {
	c := newCore(true)
	c.opts.Pace = true
	c.HandleHeartbeat(start, heartbeat(1))
	c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b1"}}, segment.Segment{})
	now := 0
	for i := range n {
		openFlow(c, ms(now), uint16(1000+i))
		now += 13
		c.FromTarget(ms(now), response(uint16(1000+i)), nil)
	}
	return c, now
}

// Guards against service times that balancers do not learn, and against reports that are
// changed while the setting is off.
func TestReportsHoldServiceTimes(t *testing.T) {
	is := is.New(t)
	c, now := newPacedCore(20)
	r := c.Report(ms(now))
	is.True(r.MeasuresPace)
	is.Equal(len(r.ServiceTimes), 1)
	is.Equal(r.ServiceTimes[0].Class, steerwire.Terms{Priority: 1, Objective: 150 * time.Millisecond, Deadline: time.Second}.Class())
	is.True(r.ServiceTimes[0].Micros > 12_900 && r.ServiceTimes[0].Micros < 13_100)
	for i := range 6 { // four are at the target
		openFlow(c, ms(now), uint16(2000+i))
	}
	is.Equal(c.Report(ms(now)).Waiting, 2)

	off := newReadyCore()
	openFlow(off, ms(0), 1)
	off.FromTarget(ms(13), response(1), nil)
	r = off.Report(ms(13))
	is.True(!r.MeasuresPace && r.ServiceTimes == nil && r.Waiting == 0)
}

// Guards against a start that is placed by the speed of the one before it. Requests of the
// former start that are answered late do not count.
func TestServiceTimesEndWithTheTarget(t *testing.T) {
	is := is.New(t)
	c, now := newPacedCore(20)
	openFlow(c, ms(now), 1)
	for i := range 12 {
		c.Tick(ms(now + 500*i)) // neither packets nor heartbeats
	}
	now += 5500
	is.Equal(c.State(), steerwire.TargetSilent)
	is.True(c.Report(ms(now)).MeasuresPace)
	is.Equal(len(c.Report(ms(now)).ServiceTimes), 0)
	h := heartbeat(1)
	h.Target = "t2"
	c.HandleHeartbeat(ms(now), h)
	c.FromTarget(ms(now+1), response(1), nil)
	is.Equal(len(c.Report(ms(now+1)).ServiceTimes), 0)
}

// Guards against balancers that hear of a stalled target with the next regular report
// only, and against a report at each check.
func TestStallIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	c, now := newPacedCore(20)
	openFlow(c, ms(now), 1)
	sent := 0
	for i := range 4 { // checks after 250, 500, 750 and 1,000 ms
		if _, ok := reported(c.Tick(ms(now + 250*(i+1)))); ok {
			sent++
		}
	}
	is.Equal(sent, 3) // at each doubling: after 250, 500 and 1,000 ms
	r := c.Report(ms(now + 1000))
	is.True(r.ServiceTimes[0].Micros > 100_000)
}

// Guards against an answer that comes too early to be one and counts as a success, and
// against a repeated packet of the answer before it that counts as such.
func TestQuickAnswersCountAsFailures(t *testing.T) {
	is := is.New(t)
	c, now := newPacedCore(20)
	openFlow(c, ms(now), 2)
	repeated := response(2)
	repeated.Ack = clientSeq + 1
	c.FromTarget(ms(now).Add(300*time.Microsecond), repeated, nil)
	is.Equal(c.Report(ms(now+1)).FailingCenti, 0)
	openFlow(c, ms(now), 1)
	actions := c.FromTarget(ms(now).Add(300*time.Microsecond), response(1), nil)
	is.True(c.Report(ms(now+1)).FailingCenti > 0)
	is.Equal(actions[len(actions)-1].Kind, ToCaller) // it is passed on all the same
}
