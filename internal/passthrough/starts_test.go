package passthrough

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// restarted returns a heartbeat of another start than that of heartbeat. Its clock shows
// the start change later, or earlier if change is negative.
func restarted(id string, change time.Duration, seq uint64) Heartbeat {
	h := heartbeat(seq)
	h.Target, h.StartMillis, h.Slots = id, h.StartMillis+change.Milliseconds(), 7
	return h
}

func bounce(c *Core, now time.Time, s segment.Segment) []Action {
	s.Flags |= segment.Bounced
	return c.FromTarget(now, s, []byte{1})
}

// Guards against an agent that ignores all heartbeats of its running target, because the
// clock was set back before the target started again or the start time makes no sense.
func TestRestartedTargetIsAcceptedWhateverItsClockShows(t *testing.T) {
	tests := []struct {
		name  string
		id    string
		start int64
	}{
		{"new identity, earlier by its clock", "t2", heartbeat(1).StartMillis - 8000},
		{"same identity, earlier by its clock", "t1", heartbeat(1).StartMillis - 8000},
		{"new identity, same time by its clock", "t2", heartbeat(1).StartMillis},
		{"later by its clock", "t1", heartbeat(1).StartMillis + 8000},
		{"start time missing", "t2", 0},
		{"start time negative", "t2", math.MinInt64},
		{"start time in the far future", "t2", math.MaxInt64},
	}
	for _, tt := range tests {
		for _, seenSilent := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				c := newReadyCore()
				now := ms(500)
				if seenSilent { // the former start stopped answering before
					c.Tick(ms(3100))
					is.Equal(c.State(), steerwire.TargetSilent)
					now = ms(3200)
				}
				var v Verdict
				for seq := uint64(1); seq <= 3; seq++ {
					h := restarted(tt.id, 0, seq)
					h.StartMillis = tt.start
					v, _ = c.HandleHeartbeat(now, h)
					if seenSilent {
						is.Equal(v, Accepted)
					}
					now = now.Add(time.Second)
				}
				is.Equal(v, Accepted)
				is.Equal(c.State(), steerwire.TargetReady)
				is.Equal(c.Report(now).Slots, 7)
				is.Equal(c.Report(now).TargetStartMillis, tt.start)
				v, _ = c.HandleHeartbeat(now, heartbeat(2)) // a late one of the former start
				is.Equal(v, Unconfirmed)
				is.Equal(c.Report(now).Slots, 7)
			})
		}
	}
}

// Guards against resets of open flows by late heartbeats of an earlier start of the target,
// which had the later time by its clock.
func TestLateHeartbeatsDoNotEndFlowsOfARunningTarget(t *testing.T) {
	for _, change := range []time.Duration{-time.Minute, time.Minute} {
		is := is.New(t)
		c := newReadyCore()
		openFlow(c, ms(10), 1)
		for n := uint64(0); n < 4; n++ { // the running target's heartbeats come between them
			at := 100 + 1000*int(n)
			v, _ := c.HandleHeartbeat(ms(at), restarted("t0", change, 40+n))
			is.Equal(v, Unconfirmed)
			is.Equal(c.flowStatus(flowOf(1), request(1).Ack), steerwire.Held)
			v, _ = c.HandleHeartbeat(ms(at+800), heartbeat(2+n))
			is.Equal(v, Accepted)
		}
		is.Equal(c.State(), steerwire.TargetReady)
		is.Equal(delivered(forward(c, ms(4200), request(1))), 1)
	}
}

// Guards against new flows at a draining target whose drain is lifted by a late heartbeat of
// an earlier start, or by two that arrive at once.
func TestLateHeartbeatsDoNotLiftADrain(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	drain := heartbeat(2)
	drain.Draining = true
	c.HandleHeartbeat(ms(10), drain)
	for n, at := range []int{700, 710, 720, 1505} {
		v, _ := c.HandleHeartbeat(ms(at), restarted("t0", time.Minute, 40+uint64(n)))
		is.Equal(v, Unconfirmed)
		is.Equal(refusal(forward(c, ms(at), syn(1))), steerwire.ReasonDraining)
	}
}

// Guards against an acknowledged drain without effect while the start that drains is not
// confirmed.
func TestDrainOfAnUnconfirmedStartIsInEffect(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	drain := restarted("t2", -8*time.Second, 1)
	drain.Draining = true
	_, actions := c.HandleHeartbeat(ms(500), drain)
	r, ok := reported(actions)
	is.True(ok)
	is.Equal(r.State, steerwire.TargetDraining)
	is.Equal(refusal(forward(c, ms(501), syn(1))), steerwire.ReasonDraining)
	c.Tick(ms(3600))
	c.FromTarget(ms(3700), response(1), nil) // a silent target that answers again
	is.Equal(refusal(forward(c, ms(3701), syn(1))), steerwire.ReasonDraining)

	c = newReadyCore()
	c.HandleHeartbeat(ms(500), drain) // late: the running target does not drain
	c.HandleHeartbeat(ms(600), heartbeat(2))
	is.Equal(delivered(forward(c, ms(601), syn(1))), 1)
}

// Guards against resets of flows that a restarted target opened before its first heartbeat
// arrived, and against answers of the new start that are taken for those of the former one.
func TestFlowsOfARestartedTargetAreKept(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	forward(c, ms(300), syn(1))
	c.FromTarget(ms(301), synAck(1), nil)
	openFlow(c, ms(500), 2) // at the new start
	forward(c, ms(502), syn(1))
	again := synAck(1)
	again.Seq = 7000 // the new start answers a copy of the opening packet
	c.FromTarget(ms(503), again, nil)
	for seq := uint64(1); seq <= 3; seq++ {
		c.HandleHeartbeat(ms(510+1000*int(seq)), restarted("t1", time.Minute, seq))
	}
	is.Equal(c.flowStatus(flowOf(2), request(2).Ack), steerwire.Held)
	ack := request(1)
	ack.Ack = 7001
	is.Equal(delivered(forward(c, ms(3600), ack)), 1)
}

// Guards against callers that get no reset, and against more than one packet of each ended
// flow at a target that has restarted.
func TestFlowsOfTheFormerStartEndWithOneBounce(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	openFlow(c, start, 1)
	for seq := uint64(1); seq <= 3; seq++ {
		c.HandleHeartbeat(ms(1000*int(seq)), restarted("t1", -time.Minute, seq))
	}
	is.Equal(c.load.requests, 0)
	is.Equal(delivered(forward(c, ms(3001), request(1))), 1)
	is.Equal(refusal(bounce(c, ms(3002), request(1))), steerwire.ReasonLost)
	is.Equal(refusal(forward(c, ms(3003), request(1))), steerwire.ReasonNotHeld)
}

// Guards against a running target that gets no flow because the exit of an earlier start
// under the same identity was announced late.
func TestRunningTargetIsReadyAgainAfterALateExit(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	c.HandleTargetExit(ms(100), Exit{Target: "t1"})
	for seq := uint64(2); seq <= 4; seq++ {
		c.HandleHeartbeat(ms(1000*int(seq)), heartbeat(seq))
	}
	is.Equal(c.State(), steerwire.TargetReady)
	is.Equal(delivered(forward(c, ms(4001), syn(1))), 1)
}

// Guards against resets of open flows by an agent that started after its target, and takes
// the target for the later one because of what the clock showed at both starts.
func TestStartTimesDoNotMakeFlowsCertain(t *testing.T) {
	incarnation := start.UnixMilli()
	for _, started := range []int64{
		incarnation - 100, incarnation, incarnation + 100, incarnation + 8000, incarnation + 86_400_000, 0, math.MinInt64, math.MaxInt64,
	} {
		is := is.New(t)
		c := newCore(false)
		for seq := uint64(2); seq <= 4; seq++ {
			h := heartbeat(seq)
			h.StartMillis = started
			c.HandleHeartbeat(ms(10+1000*int(seq)), h)
		}
		is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
		is.True(!c.Report(ms(4100)).Empty)
	}
}

// Guards against resets of open flows by an agent that takes its target for one that started
// later, because it hears a late heartbeat of an earlier start first.
func TestAnotherStartDoesNotMakeFlowsCertain(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(ms(10), restarted("t0", time.Minute, 40))
	for seq := uint64(7); seq <= 10; seq++ {
		c.HandleHeartbeat(ms(500+1000*int(seq-7)), heartbeat(seq))
	}
	is.Equal(c.Report(ms(3600)).TargetStartMillis, heartbeat(1).StartMillis)
	is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
}

// Guards against resets of open flows by the late exit of an earlier start, which arrives before
// the first heartbeat that a restarted agent hears, or has the identity of the present one.
func TestLateExitOfAnEarlierStartEndsNoFlows(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleTargetExit(ms(5), Exit{Target: "t0", StartMillis: 7})
	is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
	is.Equal(refusal(forward(c, ms(6), syn(2))), steerwire.ReasonDraining)
	c.HandleHeartbeat(ms(10), heartbeat(7))
	is.Equal(c.State(), steerwire.TargetReady)

	c.HandleTargetExit(ms(20), Exit{Target: "t1", StartMillis: heartbeat(7).StartMillis - 9000})
	is.Equal(c.State(), steerwire.TargetReady)
	is.Equal(c.flowStatus(flowOf(1), 0), steerwire.Unsure)
	c.HandleTargetExit(ms(30), Exit{Target: "t1", StartMillis: heartbeat(7).StartMillis})
	is.Equal(c.State(), steerwire.TargetGone)
}

// Guards against an agent that claims a flow of another target, because its own crashed before
// it could bounce a probe and the next one does not know the packet.
func TestProbeAtACrashedTargetIsNotHeldByTheNext(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	is.Equal(delivered(forward(c, ms(2000), request(1))), 1)
	c.Tick(ms(2051))
	c.Tick(ms(3100))
	is.Equal(c.State(), steerwire.TargetSilent)
	v, _ := c.HandleHeartbeat(ms(3200), restarted("t2", 0, 1))
	is.Equal(v, Accepted)
	c.Tick(ms(3260))
	is.True(c.flowStatus(request(1).Flow, request(1).Ack) != steerwire.Held)
}
