package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	balancer = netip.MustParseAddrPort("10.0.0.1:7000")
	route    = netip.MustParseAddrPort("198.18.0.1:443")
)

const (
	clientSeq   = 100
	fullSegment = 1200
	targetSeq   = 500
)

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func flowOf(port uint16) model.Flow {
	return model.Flow{Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Dst: route, Proto: model.TCP}
}

func newCore(first bool) *Core {
	c := New(start, Options{
		Node: "a1", Incarnation: model.Incarnation(start.UnixMilli()), Service: "alpha",
		Heartbeat: time.Second, FlowIdle: time.Minute, FirstStart: first, FullSegment: fullSegment,
	})
	c.Listed(start)
	return c
}

func beat(seq uint64) Heartbeat {
	return Heartbeat{Target: "t1", Service: "alpha", Slots: 3, Sequence: seq, Born: start.Add(-time.Hour).UnixMilli()}
}

// ready returns the core of an agent whose target is ready and older than it.
func ready() *Core {
	c := newCore(true)
	c.Heard(start, beat(1))
	c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b1"}}, segment.Segment{})
	return c
}

func forward(c *Core, now time.Time, s segment.Segment) []Action {
	return c.Message(now, balancer, steerwire.Message{Kind: steerwire.KindForward, Forward: steerwire.Forward{
		Service: model.HashString("alpha"), Packet: []byte{byte(s.Flow.Src.Port()), byte(s.Seq)},
		Terms: steerwire.Terms{Priority: 1, Objective: 150 * time.Millisecond, Deadline: time.Second},
	}}, s)
}

func syn(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), Flags: segment.SYN, Seq: clientSeq}
}

func synAck(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), FromTarget: true, Flags: segment.SYN | segment.ACK, Seq: targetSeq, Ack: clientSeq + 1}
}

func request(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), Flags: segment.ACK, Seq: clientSeq + 1, Ack: targetSeq + 1, DataLen: 50}
}

func response(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), FromTarget: true, Flags: segment.ACK, Seq: targetSeq + 1, Ack: clientSeq + 51, DataLen: 100}
}

// open opens a flow and sends a request on it.
func open(c *Core, now time.Time, port uint16) []Action {
	forward(c, now, syn(port))
	c.FromTarget(now, synAck(port), nil)
	return forward(c, now, request(port))
}

func delivered(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == Deliver {
			n++
		}
	}
	return n
}

func refusal(actions []Action) steerwire.Reason {
	for _, a := range actions {
		if a.Kind == SendMessage && a.Message.Kind == steerwire.KindRefuse {
			return a.Message.Refuse.Reason
		}
	}
	return 0
}

func reported(actions []Action) (steerwire.Report, bool) {
	for _, a := range actions {
		if a.Kind == SendMessage && a.Message.Kind == steerwire.KindReport {
			return a.Message.Report, true
		}
	}
	return steerwire.Report{}, false
}

// Guards against packets at a target that may not have them.
func TestGate(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *Core)
		packet segment.Segment
		want   steerwire.Reason // 0 for delivered
	}{
		{"ready", func(*Core) {}, syn(1), 0},
		{"draining", func(c *Core) { h := beat(2); h.Draining = true; c.Heard(start, h) }, syn(1), steerwire.ReasonDraining},
		{"gone", func(c *Core) { c.Left(start, "t1") }, syn(1), steerwire.ReasonDraining},
		{"leaving", func(c *Core) { c.Leave(start) }, syn(1), steerwire.ReasonDraining},
		{"silent", func(c *Core) { c.Tick(ms(3500)) }, syn(1), steerwire.ReasonSilent},
		{"full", func(c *Core) {
			forward(c, start, syn(9))
			s := syn(9)
			s.Flags |= segment.Bounced
			c.FromTarget(start, s, []byte{9})
		}, syn(1), steerwire.ReasonFull},
		{"unknown flow", func(*Core) {}, request(1), steerwire.ReasonNotHeld},
		{"answer of another target chosen", func(c *Core) {
			forward(c, start, syn(1))
			c.FromTarget(start, synAck(1), nil)
		}, segment.Segment{Flow: flowOf(1), Flags: segment.ACK, Seq: clientSeq + 1, Ack: 999}, steerwire.ReasonNotHeld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := ready()
			tt.before(c)
			got := forward(c, start, tt.packet)
			is.Equal(refusal(got), tt.want)
			is.Equal(delivered(got) == 1, tt.want == 0)
		})
	}
}

// Guards against packets that no caller sends, and those meant for another service.
func TestForeignPacketsAreNotDelivered(t *testing.T) {
	is := is.New(t)
	c := ready()
	is.Equal(delivered(forward(c, start, segment.Segment{Flow: flowOf(1), Flags: segment.SYN | segment.ACK})), 0)
	is.Equal(delivered(forward(c, start, segment.Segment{Flow: flowOf(1), Flags: segment.SYN | segment.Bounced})), 0)
	got := c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindForward, Forward: steerwire.Forward{
		Service: model.HashString("beta"), Packet: []byte{1},
	}}, syn(1))
	is.Equal(delivered(got), 0)
	is.Equal(refusal(got), steerwire.ReasonWrongService)
}

// Guards against heartbeats that come late, twice, or from another target.
func TestHeartbeats(t *testing.T) {
	is := is.New(t)
	c := ready()
	verdict := func(h Heartbeat) Verdict { v, _ := c.Heard(start, h); return v }
	is.Equal(verdict(beat(1)), Outdated)
	drain := beat(5)
	drain.Draining = true
	is.Equal(verdict(drain), Accepted)
	is.Equal(verdict(beat(4)), Outdated)
	is.Equal(c.State(), steerwire.TargetDraining)
	older := beat(9)
	older.Target, older.Born = "t0", older.Born-1000
	is.Equal(verdict(older), Outdated) // delayed by a partition, its sender is dead
	foreign := beat(9)
	foreign.Service = "beta"
	is.Equal(verdict(foreign), Foreign)
	again := beat(1) // the same identity starts again and counts anew
	again.Born = start.UnixMilli()
	is.Equal(verdict(again), Accepted)
	is.Equal(c.State(), steerwire.TargetReady)
	c.Left(start, "t0")
	is.Equal(c.State(), steerwire.TargetReady)
	c.Left(start, "t1")
	late := again
	late.Sequence = 2
	is.Equal(verdict(late), Outdated) // sent before the target left
}

// Guards against a drain that is acknowledged before balancers and the gate know.
func TestDrainIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	c := ready()
	h := beat(2)
	h.Draining = true
	_, actions := c.Heard(start, h)
	r, ok := reported(actions)
	is.True(ok)
	is.Equal(r.State, steerwire.TargetDraining)
}

// Guards against a restarted agent that cuts its target's flows or strays packets:
// at most one packet of each unknown flow is delivered on trial.
func TestRestartedAgentProbesOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.Heard(start, beat(7))
	ask := func() steerwire.FlowStatus {
		got := c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHolderQuery, Query: steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}}, segment.Segment{})
		return got[0].Message.Answer.Answers[0].FlowStatus
	}
	is.Equal(ask(), steerwire.Unsure)
	is.Equal(delivered(forward(c, start, request(1))), 1)
	is.Equal(delivered(forward(c, start, request(1))), 0)
	bounced := request(1)
	bounced.Flags |= segment.Bounced
	is.Equal(refusal(c.FromTarget(ms(1), bounced, []byte{1})), steerwire.ReasonNotHeld)
	is.Equal(ask(), steerwire.NotHeld)
	is.Equal(delivered(forward(c, ms(2), request(1))), 0)

	is.Equal(delivered(forward(c, ms(3), request(2))), 1)
	c.FromTarget(ms(4), response(2), nil) // the target's own packet is the proof
	is.Equal(delivered(forward(c, ms(5), request(2))), 1)

	is.Equal(delivered(forward(c, ms(6), request(3))), 1)
	c.Tick(ms(60)) // not bounced
	is.Equal(delivered(forward(c, ms(61), request(3))), 1)
}

// Guards against a reset of a flow that was only assumed to be held: a target that
// bounces late has not lost the flow.
func TestLateBounceIsNoLoss(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.Heard(start, beat(7))
	forward(c, start, request(1))
	c.Tick(ms(60))
	bounced := request(1)
	bounced.Flags |= segment.Bounced
	is.Equal(refusal(c.FromTarget(ms(90), bounced, []byte{1})), steerwire.ReasonNotHeld)
}

// Guards against flows that the target lost unseen and whose callers are not told.
func TestBounceOfAHeldFlowIsALoss(t *testing.T) {
	is := is.New(t)
	c := ready()
	open(c, start, 1)
	bounced := request(1)
	bounced.Flags |= segment.Bounced
	is.Equal(refusal(c.FromTarget(ms(1), bounced, []byte{1})), steerwire.ReasonLost)
}

// Guards against doubt that never ends: a target that starts with its agent, or
// does not run, holds no earlier flows.
func TestCertainty(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	h := beat(1)
	h.Born = start.Add(-100 * time.Millisecond).UnixMilli()
	c.Heard(start, h)
	is.Equal(c.holding(flowOf(1), 0), steerwire.NotHeld)
	c = newCore(false)
	c.Checked(start, NotRunning)
	is.Equal(c.holding(flowOf(1), 0), steerwire.NotHeld)
	c = newCore(false)
	c.Heard(start, beat(1))
	c.Tick(start.Add(61 * time.Second))
	is.Equal(c.holding(flowOf(1), 0), steerwire.NotHeld)
}

// Guards against flows of an earlier start of the target.
func TestRestartedTargetHoldsNoFlows(t *testing.T) {
	is := is.New(t)
	c := ready()
	open(c, start, 1)
	h := beat(1)
	h.Born = start.UnixMilli()
	c.Heard(ms(1), h)
	is.Equal(refusal(forward(c, ms(2), request(1))), steerwire.ReasonNotHeld)
}

// Guards against callers that wait at a target that stopped answering.
func TestSilentTargetIsReported(t *testing.T) {
	is := is.New(t)
	c := ready()
	forward(c, ms(10), syn(1))
	forward(c, ms(20), syn(2))
	r, ok := reported(c.Tick(ms(105)))
	is.True(ok)
	is.Equal(r.State, steerwire.TargetSilent)
	c.FromTarget(ms(200), synAck(1), nil)
	is.Equal(c.State(), steerwire.TargetReady)
}

// Guards against flows at an agent that balancers may not know of.
func TestUnlistedAgentWaits(t *testing.T) {
	is := is.New(t)
	c := New(start, Options{Node: "a1", Service: "alpha", Heartbeat: time.Second, FlowIdle: time.Minute, FirstStart: true})
	c.Heard(start, beat(1))
	c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHello}, segment.Segment{})
	is.Equal(refusal(forward(c, ms(100), syn(1))), steerwire.ReasonUnready)
	r, ok := reported(c.Tick(ms(500)))
	is.True(ok)
	is.Equal(r.State, steerwire.TargetReady)
	is.Equal(delivered(forward(c, ms(501), syn(1))), 1)
}

// Guards against a queue at the target that is served in order of arrival: beyond
// the slots and one, requests wait at the agent.
func TestRequestsBeyondTheSlotsWait(t *testing.T) {
	is := is.New(t)
	c := ready()
	for port := uint16(1); port <= 4; port++ {
		is.Equal(delivered(open(c, start, port)), 1)
	}
	is.Equal(delivered(open(c, ms(1), 5)), 0)
	is.Equal(delivered(open(c, ms(2), 6)), 0)
	is.Equal(delivered(forward(c, ms(3), request(6))), 0) // the caller's copy adds nothing
	got := c.FromTarget(ms(10), response(1), nil)
	is.Equal(delivered(got), 1)
	for _, a := range got {
		if a.Kind == Deliver {
			is.Equal(a.Flow, flowOf(6)) // the newest
		}
	}
	// A caller that ends the flow does not wait any more.
	fin := request(5)
	fin.Flags |= segment.FIN
	fin.DataLen = 0
	forward(c, ms(11), fin)
	is.Equal(delivered(c.FromTarget(ms(12), response(2), nil)), 0)
	is.Equal(c.queue.Len(), 0)
}

// Guards against slots that stay taken by requests whose callers are gone.
func TestForgottenRequestsFreeTheirSlots(t *testing.T) {
	is := is.New(t)
	c := ready()
	for port := uint16(1); port <= 4; port++ {
		open(c, start, port)
	}
	is.Equal(c.load.busy, 4)
	is.Equal(delivered(open(c, ms(1900), 5)), 0)
	is.Equal(delivered(c.Tick(ms(2100))), 1)
	is.Equal(c.load.busy, 1)
}

// Guards against a load report that shows one moment or an old one.
func TestLoadIsAveraged(t *testing.T) {
	is := is.New(t)
	l := load{at: start}
	l.add(start, 2)
	is.True(l.average(ms(40)) < 0.3)
	is.True(l.average(ms(4000)) > 1.99)
	l.add(ms(4000), -2)
	is.True(l.average(ms(8000)) < 0.01)
}

// Guards against a crashed target that hands back every opening packet and looks
// idle, so that each new flow goes there first.
func TestBouncingTargetIsReported(t *testing.T) {
	is := is.New(t)
	c := ready()
	for port := uint16(1); port <= 2; port++ {
		now := ms(int(port) * 150)
		forward(c, now, syn(port))
		s := syn(port)
		s.Flags |= segment.Bounced
		c.FromTarget(now, s, []byte{1})
	}
	is.Equal(c.State(), steerwire.TargetSilent)
	is.Equal(refusal(forward(c, ms(600), syn(3))), steerwire.ReasonSilent)
	c.Heard(ms(700), beat(2))
	is.Equal(delivered(forward(c, ms(701), syn(4))), 1)
}

// Guards against an agent that was cut off for long and whose object is gone: it
// must be in the store again before its target takes flows.
func TestAgentRegistersAgainAfterALoss(t *testing.T) {
	is := is.New(t)
	c := ready()
	c.Heard(ms(40_001), beat(2))
	again := false
	for _, a := range c.Message(ms(40_002), balancer, steerwire.Message{Kind: steerwire.KindHello}, segment.Segment{}) {
		again = again || a.Kind == Register
	}
	is.True(again)
	is.Equal(refusal(forward(c, ms(40_003), syn(1))), steerwire.ReasonUnready)
	c.Listed(ms(40_010))
	is.Equal(delivered(forward(c, ms(40_011), syn(1))), 1)
}

// Guards against uploads that fill the slots while they are on their way: at three
// slow uploads a target of two slots took no other request.
func TestTransfersTakeNoSlot(t *testing.T) {
	is := is.New(t)
	c := ready()
	for port := uint16(1); port <= 9; port++ {
		forward(c, start, syn(port))
		c.FromTarget(start, synAck(port), nil)
		part := request(port)
		part.DataLen = fullSegment
		is.Equal(delivered(forward(c, start, part)), 1)
	}
	is.Equal(c.load.busy, 0)
	last := request(1)
	last.Seq += fullSegment
	is.Equal(delivered(forward(c, start, last)), 1) // the last packet is never kept
	is.Equal(c.load.busy, 1)
}

// Guards against an agent that says its target holds no flow when it may.
func TestEmptyIsCertain(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	is.True(!c.Report(start).Empty) // the target may have been running before
	c.Checked(start, NotRunning)
	is.True(c.Report(start).Empty)
	c.Heard(start, beat(1))
	is.True(!c.Report(start).Empty) // it may take a flow at any moment

	c = ready()
	open(c, ms(1), 1)
	drain := beat(2)
	drain.Draining = true
	c.Heard(ms(2), drain)
	is.True(!c.Report(ms(2)).Empty)
	rst := request(1)
	rst.Flags |= segment.RST
	forward(c, ms(3), rst)
	c.Tick(ms(5000))
	is.True(c.Report(ms(5000)).Empty)
}

// Guards against a target that resets or leaves requests while it says that it is
// healthy, and that looks idle to the balancers: at varmevej-hq-grown three such
// targets of 40 lost 540 requests in seven seconds.
func TestFailuresAreReported(t *testing.T) {
	is := is.New(t)
	c := ready()
	for port := uint16(1); port <= 7; port++ {
		open(c, ms(1), port)
		forward(c, ms(2), request(port))
		rst := response(port)
		rst.Flags, rst.DataLen = segment.RST, 0
		c.FromTarget(ms(3), rst, nil)
	}
	is.True(c.Report(ms(3)).FailingCenti >= 50)
	is.True(c.Report(ms(10_000)).FailingCenti <= 5)

	c = ready()
	open(c, ms(1), 1)
	forward(c, ms(2), request(1))
	c.Tick(ms(900))
	is.Equal(c.Report(ms(900)).FailingCenti, 0)
	c.Tick(ms(1300)) // no answer for more than a second
	is.Equal(c.Report(ms(1300)).FailingCenti, 10)
	c.Tick(ms(1600))
	is.True(c.Report(ms(1600)).FailingCenti < 10) // it counts once

	c = ready()
	open(c, ms(1), 1)
	forward(c, ms(2), request(1))
	c.FromTarget(ms(25), response(1), nil)
	rst := response(1)
	rst.Flags, rst.DataLen = segment.RST, 0
	c.FromTarget(ms(30), rst, nil) // ends a flow without a request in progress
	is.Equal(c.Report(ms(30)).FailingCenti, 0)
}
