package steer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// addHintPeer adds a balancer of the same data centre.
func addHintPeer(c *Core, addr netip.AddrPort) {
	c.Message(start, addr, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: model.NodeID(addr.String()), Incarnation: 1, DataCentre: "dc-1"}}, segment.Segment{})
}

// recipients returns the receivers of the messages of kind k.
func recipients(actions []Action, k steerwire.Kind) (out []netip.AddrPort) {
	for _, a := range actions {
		if a.Kind == SendMessage && a.Message.Kind == k {
			out = append(out, a.To)
		}
	}
	return out
}

func hint(port uint16, target netip.AddrPort) steerwire.Message {
	return steerwire.Message{Kind: steerwire.KindHints, Hints: steerwire.Hints{Hints: []steerwire.Hint{{Flow: flowOf(port), Target: target}}}}
}

// Guards against querying all agents for each flow that a change of rotation moves when a
// balancer of the same data centre knows its target, and against relying on a wrong hint.
func TestLocalBalancersAreQueriedFirst(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	addHintPeer(c, peerP)
	got := c.Packet(ms(20), data(1), raw)
	is.Equal(recipients(got, steerwire.KindHintQuery), []netip.AddrPort{peerP})
	is.Equal(queryCount(got), 0)
	is.Equal(forwardedTo(c.Message(ms(21), peerP, hint(1, agentB), segment.Segment{})), []netip.AddrPort{agentB})
	is.Equal(forwardedTo(c.Packet(ms(22), data(1), raw)), []netip.AddrPort{agentB})

	got = refuse(c, ms(23), agentB, data(1), steerwire.ReasonNotHeld)
	is.Equal(queryCountWithBatch(c, ms(23), got), 2) // the balancer is not queried again
	answer(c, ms(35), agentB, flowOf(1), steerwire.NotHeld)
	is.Equal(forwardedTo(answer(c, ms(36), agentA, flowOf(1), steerwire.Held)), []netip.AddrPort{agentA})

	c.Packet(ms(60), data(2), raw)
	is.Equal(queryCountWithBatch(c, ms(61), c.Message(ms(61), peerP, hint(2, netip.AddrPort{}), segment.Segment{})), 2) // the hint has no target
}

// Guards against every lookup waiting for the hint of a balancer that has exited.
func TestSilentBalancerIsNotQueriedForHints(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	addHintPeer(c, peerP)
	c.Packet(ms(20), data(1), raw)
	is.Equal(queryCount(c.Tick(ms(40))), 0)
	got := c.Tick(ms(51))
	is.Equal(queryCountWithBatch(c, ms(51), got), 1)
	is.Equal(queryCountWithBatch(c, ms(70), c.Packet(ms(70), data(2), raw)), 1) // agents are queried at once
	addHintPeer(c, peerP)
	is.Equal(len(recipients(c.Packet(ms(90), data(3), raw), steerwire.KindHintQuery)), 1)
}

// Guards against hints about flows whose opening packet is not answered yet, because
// another target may answer it first.
func TestHintsOnOpenFlowsOnly(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	hintFor := func() netip.AddrPort {
		got := c.Message(ms(2), peerP, steerwire.Message{Kind: steerwire.KindHintQuery, Query: steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}}, segment.Segment{})
		return got[len(got)-1].Message.Hints.Hints[0].Target
	}
	c.Packet(start, syn(1), raw)
	is.True(!hintFor().IsValid())
	c.Message(ms(3), agentA, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	is.Equal(hintFor(), agentA)
}

// Simulates a change of rotation in a data centre with 54 agents and five balancers, one
// of which has a link of 10 Mbit/s, as in podas-edge-grown: 100 flows per second move to it.
// Guards against lookups that use more than a tenth of its link.
func TestLookupsUseSmallShareOfLink(t *testing.T) {
	is := is.New(t)
	const flows, linkShare = 100, 10_000_000 / 8 / 10 // linkShare in bytes per second
	var agents []netip.AddrPort
	for i := range 54 {
		agents = append(agents, netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:7000", i+1)))
	}
	c := newCore(agents...)
	ready(c, start, 1, agents...)
	for i := range 4 {
		addHintPeer(c, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+2)))
	}
	sentBytes := 0
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind != SendMessage || a.Message.Kind == steerwire.KindHello {
				continue
			}
			b, err := steerwire.Append(nil, a.Message)
			is.NoErr(err)
			sentBytes += len(b)
		}
	}
	for i := range flows {
		now := ms(20 + 10*i)
		count(c.Packet(now, data(uint16(i+1)), raw))
		count(c.Message(now.Add(1e6), netip.MustParseAddrPort("10.0.0.2:7000"), hint(uint16(i+1), agents[i%len(agents)]), segment.Segment{}))
	}
	is.True(sentBytes > 0)
	is.True(sentBytes <= linkShare)
}

// Guards against packets at a target of another service that has the address of an ended one:
// hints and flow entries lead only to the service that they were made for.
func TestHintsAndEntriesStayInTheService(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	addHintPeer(c, peerP)
	c.Packet(ms(20), data(1), raw)
	is.Equal(forwardedTo(c.Message(ms(21), peerP, hint(1, agentB), segment.Segment{})), []netip.AddrPort{agentB})

	beta := steerwire.Report{Incarnation: 2, Sequence: 1, Service: "beta", State: steerwire.TargetReady, DataCentre: "dc-1"}
	report(c, ms(30), agentB, beta)
	query := steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}
	got := c.Message(ms(31), peerP, steerwire.Message{Kind: steerwire.KindHintQuery, Query: query}, segment.Segment{})
	is.True(!got[0].Message.Hints.Hints[0].Target.IsValid())
	is.Equal(len(forwardedTo(c.Packet(ms(32), data(1), raw))), 0)                               // looked up again
	is.Equal(len(forwardedTo(c.Message(ms(33), peerP, hint(1, agentB), segment.Segment{}))), 0) // a hint of a peer that does not know
}
