package steer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// nextFlow returns a packet of the next flow from the same port.
func nextFlow(s segment.Segment) segment.Segment {
	s.Seq += 1 << 30
	s.Ack += 1 << 30
	return s
}

// Guards against openings that are lost because the target of the port's last flow drains.
func TestPortOpenedAgainIsPlacedAnew(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, syn(1), raw))
	c.Message(ms(1), first[0], steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	is.Equal(forwardedTo(c.Packet(ms(2), syn(1), raw)), first) // a copy
	report(c, ms(900), first[0], steerwire.Report{Incarnation: 1, Sequence: 2, State: steerwire.TargetDraining})
	is.Equal(forwardedTo(c.Packet(ms(1000), nextFlow(syn(1)), raw)), first) // which refuses it
	got := forwardedTo(refuse(c, ms(1001), first[0], nextFlow(syn(1)), steerwire.ReasonDraining))
	is.Equal(len(got), 1)
	is.True(got[0] != first[0])
}

// Guards against an open flow whose entry, or caller, is lost to a late copy of the opening
// packet of an earlier flow.
func TestLateOpeningOfAnEarlierFlow(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	c.Packet(start, nextFlow(syn(1)), raw)
	c.Message(ms(1), agentA, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	c.Packet(ms(3), nextFlow(data(1)), raw)
	report(c, ms(900), agentA, steerwire.Report{Incarnation: 1, Sequence: 2, State: steerwire.TargetDraining})
	is.True(!hasAction(c.Packet(ms(1000), syn(1), raw), ResetCaller))
	is.True(!hasAction(refuse(c, ms(1001), agentA, syn(1), steerwire.ReasonDraining), ResetCaller))
	is.Equal(forwardedTo(c.Packet(ms(1010), nextFlow(data(1)), raw)), []netip.AddrPort{agentA})
}

// Guards against a copy of an open flow's opening packet that goes to a second target, because
// a late packet of an earlier flow came before it.
func TestLatePacketBeforeACopyOfTheOpening(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, nextFlow(syn(1)), raw))
	c.Message(ms(1), first[0], steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	c.Packet(ms(100), data(1), raw)
	report(c, ms(150), first[0], steerwire.Report{Incarnation: 1, Sequence: 2, State: steerwire.TargetDraining})
	is.Equal(forwardedTo(c.Packet(ms(200), nextFlow(syn(1)), raw)), first)
	is.Equal(len(forwardedTo(refuse(c, ms(201), first[0], nextFlow(syn(1)), steerwire.ReasonDraining))), 0)
}

// Guards against a reset of a held flow by answers to queries about the port's last one.
func TestAnswersOfAnEarlierLookup(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Tick(ms(4000))
	ready(c, ms(4000), 2, agentA, agentB)
	c.Packet(ms(4001), data(1), raw)
	c.Tick(ms(4011))
	c.Packet(ms(4012), nextFlow(data(1)), raw) // held by agentB
	answer(c, ms(4013), agentA, flowOf(1), steerwire.NotHeld)
	answer(c, ms(4013), agentB, flowOf(1), steerwire.NotHeld)
	c.Packet(ms(4212), nextFlow(data(1)), raw) // sent again
	c.Tick(ms(4222))
	answer(c, ms(4225), agentA, flowOf(1), steerwire.NotHeld)
	is.Equal(forwardedTo(answer(c, ms(4225), agentB, flowOf(1), steerwire.Held)), []netip.AddrPort{agentB})
}

// Guards against a reset of an open flow because another target has lost an earlier one.
func TestLossOfAnEarlierFlow(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Packet(start, nextFlow(data(1)), raw)
	answer(c, ms(1), agentB, flowOf(1), steerwire.Held)
	is.True(!hasAction(refuse(c, ms(10), agentA, data(1), steerwire.ReasonLost), ResetCaller))
	is.Equal(forwardedTo(c.Packet(ms(20), nextFlow(data(1)), raw)), []netip.AddrPort{agentB})
}

// Guards against a lookup beside an entry that takes a returned probe for a packet of the entry.
func TestProbeReturnedBesideAnEntry(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB, agentC)
	ready(c, start, 1, agentA, agentB, agentC)
	c.Packet(start, data(1), raw)
	answer(c, ms(1), agentA, flowOf(1), steerwire.Held)
	refuse(c, ms(20), agentA, nextFlow(data(1)), steerwire.ReasonOtherFlow)
	c.Tick(ms(30))
	answer(c, ms(31), agentA, flowOf(1), steerwire.NotHeld)
	answer(c, ms(31), agentB, flowOf(1), steerwire.Unsure)
	probed := forwardedTo(answer(c, ms(31), agentC, flowOf(1), steerwire.Unsure))
	got := forwardedTo(refuse(c, ms(33), probed[0], nextFlow(data(1)), steerwire.ReasonNotHeld))
	is.Equal(len(got), 1)
	is.True(got[0] != agentA && got[0] != probed[0])
}

// Guards against resets of an open flow by what a lookup of the port's last flow found.
func TestLookupOfAnEarlierFlowDoesNotResetThePortsNextOne(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Packet(start, data(1), raw)
	answer(c, ms(1), agentA, flowOf(1), steerwire.NotHeld)
	answer(c, ms(2), agentB, flowOf(1), steerwire.NotHeld)
	got := c.Packet(ms(5), nextFlow(data(1)), raw)
	is.Equal(queryCountWithBatch(c, ms(15), got), 2) // both are queried again
	answer(c, ms(16), agentB, flowOf(1), steerwire.NotHeld)
	is.Equal(forwardedTo(answer(c, ms(17), agentA, flowOf(1), steerwire.Held)), []netip.AddrPort{agentA})
}

// Guards against pending resets that reach the port's next flow.
func TestPendingResetEndsWithTheNextOpening(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	q := new(pacing.Queue[model.Flow])
	q.Add(ms(1), flowOf(1))
	c.resetQueues["alpha"], c.pendingReset[flowOf(1)] = q, pendingReset{since: start}
	c.Packet(ms(5), syn(1), raw)
	is.True(!hasAction(c.Tick(ms(600)), ResetCaller))
}

// Guards against an entry that a late packet of an earlier flow removes, and against packets
// that stay at the target of a flow that its caller has abandoned.
func TestPacketsOfOtherFlowsOfAPort(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Packet(start, data(1), raw)
	answer(c, ms(1), agentA, flowOf(1), steerwire.Held)
	got := refuse(c, ms(10), agentA, nextFlow(data(1)), steerwire.ReasonOtherFlow)
	is.Equal(queryCount(got)+queryCount(c.Tick(ms(20))), 2)
	is.Equal(forwardedTo(c.Packet(ms(21), data(1), raw)), []netip.AddrPort{agentA}) // the entry stays
	answer(c, ms(25), agentA, flowOf(1), steerwire.Unsure)
	is.Equal(forwardedTo(answer(c, ms(26), agentB, flowOf(1), steerwire.Held)), []netip.AddrPort{agentB})
	is.Equal(forwardedTo(c.Packet(ms(30), nextFlow(data(1)), raw)), []netip.AddrPort{agentB})
}
