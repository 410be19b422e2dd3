package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// newProbingCore returns a core that has sent the packet of a flow to agentA as a probe.
// agentB and agentC may hold the flow too.
func newProbingCore(is *is.I) *Core {
	c := newCore(agentA, agentB, agentC)
	ready(c, start, 1, agentA, agentB, agentC)
	c.Packet(ms(20), data(1), raw)
	var got []Action
	for _, a := range []netip.AddrPort{agentA, agentB, agentC} {
		got = answer(c, ms(21), a, flowOf(1), steerwire.Unsure)
	}
	is.Equal(forwardedTo(got), []netip.AddrPort{agentA})
	return c
}

func confirmProbe(c *Core, now int, from netip.AddrPort) []Action {
	m := steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}
	return c.Message(ms(now), from, m, segment.Segment{})
}

// returnProbes answers queries with Unsure, returns all probes, and returns the probed agents.
func returnProbes(c *Core, now int, agents ...netip.AddrPort) []netip.AddrPort {
	actions := c.Tick(ms(now))
	to := forwardedTo(actions)
	if queryCount(actions) > 0 {
		for _, a := range agents {
			to = append(to, forwardedTo(answer(c, ms(now+1), a, flowOf(1), steerwire.Unsure))...)
		}
	}
	var probed []netip.AddrPort
	for len(to) > 0 {
		probed = append(probed, to...)
		to = forwardedTo(refuse(c, ms(now+2), to[0], data(1), steerwire.ReasonNotHeld))
	}
	return probed
}

// Guards against a lookup that stops at an agent that ends while it probes its target, and
// goes on only when the caller sends another packet.
func TestProbesGoOnAfterAnAgentHasStopped(t *testing.T) {
	is := is.New(t)
	c := newProbingCore(is)
	running := []netip.AddrPort{agentB, agentC}
	var probed []netip.AddrPort
	for now := 40; now <= 2000; now += 20 {
		if now == 800 {
			is.Equal(probed, []netip.AddrPort{agentB, agentC})
			running = append(running, agentA) // has restarted
		}
		if now%200 == 0 {
			ready(c, ms(now), uint64(now), running...)
		}
		probed = append(probed, returnProbes(c, now, running...)...)
	}
	is.Equal(probed, []netip.AddrPort{agentB, agentC, agentA})
}

// Guards against packets of a flow that wait although the holder has confirmed the probe, and
// against probes at further targets.
func TestConfirmedProbeEndsTheLookup(t *testing.T) {
	is := is.New(t)
	c := newProbingCore(is)
	is.Equal(len(forwardedTo(c.Packet(ms(22), data(1), raw))), 0)
	is.Equal(len(forwardedTo(confirmProbe(c, 23, agentB))), 0) // not probed
	is.Equal(forwardedTo(confirmProbe(c, 24, agentA)), []netip.AddrPort{agentA})
	is.Equal(forwardedTo(c.Packet(ms(25), data(1), raw)), []netip.AddrPort{agentA})
}

// Guards against a wrong hint for another balancer about a flow that is being probed.
func TestProbedAgentIsNoHint(t *testing.T) {
	is := is.New(t)
	c := newProbingCore(is)
	query := steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}
	got := c.Message(ms(22), peerP, steerwire.Message{Kind: steerwire.KindHintQuery, Query: query}, segment.Segment{})
	is.Equal(len(got), 1)
	is.True(!got[0].Message.Hints.Hints[0].Target.IsValid())
}

// Guards against lookups that stay with an agent whose target is silent: it neither returns
// the probe nor confirms it.
func TestAgentOfASilentTargetIsProbedAgainLast(t *testing.T) {
	is := is.New(t)
	c := newProbingCore(is)
	var probed []netip.AddrPort
	for now := 40; now <= 400 && len(probed) < 3; now += 20 {
		probed = append(probed, returnProbes(c, now, agentA, agentB, agentC)...)
	}
	is.Equal(probed, []netip.AddrPort{agentB, agentC, agentA})
}

// Guards against a holder whose turn to be probed comes after seconds because many agents of its
// service have restarted.
func TestManyAgentsAreProbedWithinABoundedTime(t *testing.T) {
	is := is.New(t)
	const roundTrip = 10 // ms
	agents := fleetOf(250)
	holder := agents[len(agents)-1]
	c := newCore(agents...)
	ready(c, start, 1, agents...)
	c.Packet(ms(20), data(1), raw)
	var outstanding []netip.AddrPort
	for _, a := range agents {
		outstanding = append(outstanding, forwardedTo(answer(c, ms(21), a, flowOf(1), steerwire.Unsure))...)
	}
	for now := 21 + roundTrip; now < 150; now += roundTrip {
		returned := outstanding
		outstanding = nil
		for _, a := range returned {
			if a == holder {
				return
			}
			outstanding = append(outstanding, forwardedTo(refuse(c, ms(now), a, data(1), steerwire.ReasonNotHeld))...)
		}
		is.True(len(outstanding) <= 32)
	}
	t.Fatal("the holder was not probed")
}

// Guards against packets at other targets of a flow whose lookup ends with the balancer before
// the holder's turn.
func TestStoppingBalancerStartsNoProbesShortlyBeforeItsEnd(t *testing.T) {
	for _, test := range []struct{ after, probes int }{{500, 1}, {1500, 0}} {
		is := is.New(t)
		c := newCore(agentA, agentB)
		ready(c, ms(20), 1, agentA, agentB)
		c.Tick(ms(20))
		c.Leave()
		now := 20 + test.after
		ready(c, ms(now), 2, agentA, agentB)
		c.Packet(ms(now), data(1), raw)
		c.Tick(ms(now + 10))
		answer(c, ms(now+11), agentA, flowOf(1), steerwire.Unsure)
		is.Equal(len(forwardedTo(answer(c, ms(now+12), agentB, flowOf(1), steerwire.Unsure))), test.probes)
	}
}

// Guards against lookups that are held up by each agent that has stopped, and against a
// holder that is probed last because its agent restarted with the probe.
func TestProbesGoOnPastStoppedAgents(t *testing.T) {
	is := is.New(t)
	agents := fleetOf(8)
	c := newCore(agents...)
	ready(c, start, 1, agents...)
	c.Packet(ms(20), data(1), raw)
	var got []Action
	for _, a := range agents {
		got = answer(c, ms(21), a, flowOf(1), steerwire.Unsure)
	}
	is.Equal(forwardedTo(got), agents[:1])
	for i := range 3 { // these stop before they return the probe
		is.Equal(forwardedTo(c.Tick(ms(101+80*i))), agents[i+1:i+2])
	}
	holder := agents[0]
	report(c, ms(430), holder, steerwire.Report{Incarnation: 2, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1"})
	for now := 431; now < 900; now++ {
		to := forwardedTo(c.Tick(ms(now)))
		for _, a := range append(agents[4:], holder) {
			to = append(to, forwardedTo(answer(c, ms(now), a, flowOf(1), steerwire.Unsure))...)
		}
		for ; len(to) > 0; to = to[1:] {
			if to[0] == holder {
				return
			}
			to = append(to, forwardedTo(refuse(c, ms(now), to[0], data(1), steerwire.ReasonNotHeld))...)
		}
	}
	t.Fatal("the restarted agent was not probed")
}

// Guards against lookups that go on long after their callers, because an agent of a silent
// target neither returns nor confirms a probe.
func TestLookupAtASilentTargetEnds(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	const packetAt = 2000
	for now := packetAt; now < 10000; now++ {
		if now%250 == 0 {
			report(c, ms(now), agentA, steerwire.Report{Incarnation: 1, Sequence: uint64(now), State: steerwire.TargetSilent, DataCentre: "dc-1"})
		}
		actions := c.Tick(ms(now))
		if now == packetAt {
			actions = c.Packet(ms(now), data(1), raw)
		}
		for queryCount(actions) > 0 {
			actions = answer(c, ms(now), agentA, flowOf(1), steerwire.Unsure)
			is.True(len(forwardedTo(actions)) == 0 || ms(now).Sub(ms(packetAt)) < probedLookupPeriod+time.Second)
		}
	}
	is.Equal(len(c.lookups), 0)
}
