package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// newRestartedCore returns the core of a balancer that has the configuration, but no
// decision files because the store is slow. A peer has some.
func newRestartedCore() *Core {
	c := newUnconfiguredCore()
	c.SetConfig(ms(2), configOf(1, "alpha"))
	return c
}

// newUnconfiguredCore returns the same core before it has the configuration.
func newUnconfiguredCore() *Core {
	c := New(start, Options{Node: "b1", Incarnation: 1, DataCentre: "dc-1", FlowTTL: time.Minute})
	c.SetAgents(start, AgentListing{Agents: []netip.AddrPort{agentA, agentB}})
	for i, a := range []netip.AddrPort{agentA, agentB} {
		report(c, ms(1), a, steerwire.Report{Node: []model.NodeID{"a1", "a2"}[i], Incarnation: 1, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1"})
	}
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Revision: 1, Decisions: 5, DecisionDigest: 77, DataCentre: "dc-1"}
	c.Message(ms(2), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{})
	return c
}

// Guards against new flows at a target that a decision file drains, because a restarted
// balancer places them before it has the files.
func TestRestartedBalancerWaitsForDecisions(t *testing.T) {
	is := is.New(t)
	c := newRestartedCore()
	for port := uint16(1); port <= 20; port++ {
		is.Equal(len(forwardedTo(c.Packet(ms(3), syn(port), raw))), 0)
	}
	got := forwardedTo(c.SetDecisions(ms(8), decisions(t, 5, map[string]string{"90-drain.yaml": "target: a1\ndrain: true\n"})))
	is.Equal(len(got), 20)
	for _, to := range got {
		is.Equal(to, agentB)
	}
}

// Guards against the same for opening packets that arrived before the configuration.
func TestOpeningsBeforeTheConfigurationWaitForDecisions(t *testing.T) {
	is := is.New(t)
	c := newUnconfiguredCore()
	for port := uint16(1); port <= 20; port++ {
		c.Packet(ms(3), syn(port), raw)
	}
	is.Equal(len(forwardedTo(c.SetConfig(ms(4), configOf(1, "alpha")))), 0)
	got := forwardedTo(c.SetDecisions(ms(8), decisions(t, 5, map[string]string{"90-drain.yaml": "target: a1\ndrain: true\n"})))
	is.Equal(len(got), 20)
	for _, to := range got {
		is.Equal(to, agentB)
	}
}

// Guards against new flows that wait although the store has no decision files any more.
func TestRestartedBalancerContinuesWithoutDecisions(t *testing.T) {
	is := is.New(t)
	c := newRestartedCore()
	is.Equal(len(forwardedTo(c.Packet(ms(3), syn(1), raw))), 0)
	is.Equal(len(forwardedTo(c.SetDecisions(ms(8), Decisions{Revision: 6}))), 1)
}

// Guards against a restarted balancer that never places flows because no decision files
// arrive.
func TestRestartedBalancerDoesNotWaitForever(t *testing.T) {
	is := is.New(t)
	c := newRestartedCore()
	is.Equal(len(forwardedTo(c.Packet(ms(3), syn(1), raw))), 0)
	for now := 100; now <= 2100; now += 100 {
		c.Tick(ms(now))
	}
	ready(c, ms(2100), 2, agentA, agentB)
	is.Equal(len(forwardedTo(c.Packet(ms(2100), syn(2), raw))), 1)
}

// peerFiles puts the files and the configuration of the peer into effect, as fetched
// from it. They drain both targets.
func peerFiles(t *testing.T, c *Core, now time.Time) []Action {
	actions := slices.Clone(c.SetPeerDecisions(now, decisions(t, 5, map[string]string{"90-drain.yaml": "datacentre: dc-1\ndrain: true\n"})))
	return append(actions, c.SetPeerConfig(now, configOf(1, "alpha"))...)
}

// Guards against new flows that a balancer that starts refuses, or places at a drained
// target, by a peer's decision files that are older than those in the store.
func TestOpeningsWaitForTheFirstListingOfDecisions(t *testing.T) {
	is := is.New(t)
	c := newUnconfiguredCore()
	c.Packet(ms(3), syn(1), raw)
	is.True(!hasAction(peerFiles(t, c, ms(4)), ResetCaller))
	is.True(!hasAction(c.Packet(ms(5), syn(2), raw), ResetCaller))
	is.True(!hasAction(c.Tick(ms(6)), ResetCaller))
	is.Equal(len(forwardedTo(c.SetDecisions(ms(8), decisions(t, 6, nil)))), 2)
	is.Equal(len(forwardedTo(c.Packet(ms(9), syn(3), raw))), 1)
}

// Guards against new flows that still wait after a listing that is the one of the peer.
func TestOpeningsContinueOnceTheListingIsThatOfThePeer(t *testing.T) {
	is := is.New(t)
	c := newUnconfiguredCore()
	c.Packet(ms(3), syn(1), raw)
	peerFiles(t, c, ms(4))
	is.True(hasAction(c.SetDecisions(ms(8), c.Decisions()), ResetCaller)) // both targets are drained
	is.True(hasAction(c.Packet(ms(9), syn(2), raw), ResetCaller))
}

// Guards against new flows that wait for a store that does not answer, and against packets
// of open flows that wait for decision files.
func TestOpeningsWaitForTheStoreForAShortTime(t *testing.T) {
	is := is.New(t)
	c := newUnconfiguredCore()
	peerFiles(t, c, ms(4))
	c.Tick(ms(5))
	is.True(!hasAction(c.Packet(ms(6), syn(1), raw), ResetCaller))
	c.Packet(ms(6), data(2), raw)
	is.Equal(len(c.lookups), 1)
	end := start.Add(FirstDecisionsTimeout)
	is.True(!c.Next().After(end))
	is.True(hasAction(c.Tick(end), ResetCaller))
	is.True(c.Next().After(end))
}
