package passthrough

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against a restarted agent that breaks its target's flows or delivers packets
// of flows the target does not hold: at most one probe is delivered per unknown flow.
func TestRestartedAgentProbesOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	query := func() steerwire.FlowStatus {
		got := c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHolderQuery, Query: steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}}, segment.Segment{})
		return got[0].Message.Answer.Answers[0].FlowStatus
	}
	is.Equal(query(), steerwire.Unsure)
	is.Equal(delivered(forward(c, start, request(1))), 1)
	is.Equal(delivered(forward(c, start, request(1))), 0)
	bounced := request(1)
	bounced.Flags |= segment.Bounced
	is.Equal(refusal(c.FromTarget(ms(1), bounced, []byte{1})), steerwire.ReasonNotHeld)
	is.Equal(query(), steerwire.NotHeld)
	is.Equal(delivered(forward(c, ms(2), request(1))), 0)

	is.Equal(delivered(forward(c, ms(3), request(2))), 1)
	c.FromTarget(ms(4), response(2), nil) // a packet of the target confirms the flow
	is.Equal(delivered(forward(c, ms(5), request(2))), 1)

	is.Equal(delivered(forward(c, ms(6), request(3))), 1)
	c.FromTarget(ms(30), response(2), nil)
	c.Tick(ms(60)) // not bounced by a target that has sent something since
	is.Equal(delivered(forward(c, ms(61), request(3))), 1)
}

// Guards against a balancer that is not told that a target has kept a probe, and goes on
// searching for the holder.
func TestKeptProbeIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name string
		keep func(c *Core) []Action
	}{
		{"the target answers", func(c *Core) []Action { return c.FromTarget(ms(20), response(1), nil) }},
		{"the target runs and does not bounce it", func(c *Core) []Action {
			c.HandleHeartbeat(ms(20), heartbeat(8))
			return c.Tick(ms(60))
		}},
		{"the target was silent for a time", func(c *Core) []Action {
			c.Tick(ms(60))
			c.HandleHeartbeat(ms(700), heartbeat(8))
			c.Tick(ms(740))
			return c.Tick(ms(751))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(false)
			c.HandleHeartbeat(start, heartbeat(7))
			forward(c, start, request(1))
			confirmed := 0
			for _, a := range test.keep(c) {
				if a.Kind == SendMessage && a.Message.Kind == steerwire.KindOpened {
					is.Equal(a.To, balancer)
					is.Equal(a.Message.Opened.Flow, flowOf(1))
					confirmed++
				}
			}
			is.Equal(confirmed, 1)
		})
	}
}

// Guards against flows that count as held by a target that has crashed, or is paused and
// bounces their probes when it continues.
func TestProbeAtASilentTargetIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	for port := uint16(1); port <= 3; port++ {
		is.Equal(delivered(forward(c, ms(10), request(port))), 1)
	}
	c.Tick(ms(70))
	for port := uint16(1); port <= 3; port++ {
		is.Equal(c.flowStatus(flowOf(port), 0), steerwire.Unsure)
	}
	for port := uint16(1); port <= 3; port++ {
		is.Equal(refusal(bounce(c, ms(900+int(port)), request(port))), steerwire.ReasonNotHeld)
		is.Equal(c.flowStatus(flowOf(port), 0), steerwire.NotHeld)
	}
}

// Guards against a reset of a flow that was only assumed to be held. A target that
// bounces a probe after probeTimeout has not lost the flow.
func TestLateBounceIsNotReportedLost(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	forward(c, start, request(1))
	c.Tick(ms(60))
	bounced := request(1)
	bounced.Flags |= segment.Bounced
	is.Equal(refusal(c.FromTarget(ms(90), bounced, []byte{1})), steerwire.ReasonNotHeld)
}

// Guards against an agent that denies a flow of its target because a late copy of the flow's
// opening packet has arrived since the agent started.
func TestLateCopyOfAnOpeningDeniesNoFlow(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	c.Registered(start, 1)
	later := request(1)
	later.Ack += 9000 // data has been exchanged before the agent started
	for _, answered := range []bool{false, true} {
		is.Equal(delivered(forward(c, ms(1), syn(1))), 1)
		if answered {
			c.FromTarget(ms(2), synAck(1), nil)
		}
		is.Equal(c.flowStatus(flowOf(1), later.Ack), steerwire.Unsure)
	}
	is.Equal(delivered(forward(c, ms(3), later)), 1) // as a probe
	c.FromTarget(ms(4), response(1), nil)
	is.Equal(c.flowStatus(flowOf(1), later.Ack), steerwire.Held)

	is.Equal(delivered(forward(c, ms(5), syn(2))), 1)
	c.FromTarget(ms(6), response(2), nil) // of the flow that was open before
	is.Equal(c.flowStatus(flowOf(2), later.Ack), steerwire.Held)
}

// Guards against an open flow's packets that stay at a target that has answered a copy of its
// opening packet and neither takes nor bounces them.
func TestUnbouncedProbeAfterACopyIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(ms(2), heartbeat(1))
	c.Registered(ms(2), 1)
	forward(c, ms(10), syn(1))
	c.FromTarget(ms(11), synAck(1), nil)
	r := request(1)
	r.Ack += 777777777 // of another target's answer
	is.Equal(refusal(forward(c, ms(20), r)), steerwire.ReasonNotHeld)
	c.FromTarget(ms(25), response(9), nil) // of another flow
	c.Tick(ms(75))
	is.Equal(c.flowStatus(flowOf(1), r.Ack), steerwire.NotHeld)
}

// Guards against the reset of an open flow because a target has repeated its answer to a copy
// of the opening packet, which does not prove that the target holds the flow.
func TestRepeatedAnswerDoesNotMakeABounceALoss(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(ms(2), heartbeat(1))
	c.Registered(ms(2), 1)
	r := request(1)
	r.Ack += 777777777
	forward(c, ms(20), r)
	c.FromTarget(ms(25), response(9), nil)
	c.Tick(ms(75)) // confirms the probe
	c.FromTarget(ms(211), synAck(1), nil)
	is.Equal(refusal(bounce(c, ms(212), r)), steerwire.ReasonNotHeld)
}

// Guards against a slot that stays taken because a copy of a probe counts as a second request,
// which the target has answered already.
func TestCopyOfAProbeStartsNoRequest(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	c.HandleHeartbeat(start, heartbeat(7))
	is.Equal(delivered(forward(c, ms(1), request(1))), 1) // as a probe
	c.FromTarget(ms(20), response(1), nil)
	is.Equal(delivered(forward(c, ms(21), request(1))), 1)
	is.Equal(c.load.requests, 0)
}

// Guards against a probe that counts as accepted by a target which was not running, at an agent
// that has just started and hears of the target's next start first.
func TestProbeBeforeTheFirstHeartbeatIsRepeated(t *testing.T) {
	is := is.New(t)
	c := newCore(false)
	is.Equal(delivered(forward(c, ms(10), request(1))), 1)
	c.Tick(ms(61)) // nobody has bounced it
	c.HandleHeartbeat(ms(600), heartbeat(1))
	c.Tick(ms(651))
	is.Equal(c.flowStatus(flowOf(1), request(1).Ack), steerwire.Unsure)
	is.Equal(delivered(forward(c, ms(652), request(1))), 1) // the running target decides
}
