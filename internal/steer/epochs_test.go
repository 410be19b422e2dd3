package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against the removal of an object by a version from before the store was restored,
// which may now be the version of a running agent's object.
func TestNoRemovalByAListingOfAnEarlierEpoch(t *testing.T) {
	is := is.New(t)
	all := []netip.AddrPort{agentA, agentB}
	removes := func(lateEpoch, lateListing uint64) bool {
		c := newCore()
		c.SetAgents(start, AgentListing{Agents: all, Epoch: 1})
		report(c, ms(1), agentA, steerwire.Report{Incarnation: 1, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1"})
		report(c, ms(2), agentB, steerwire.Report{Incarnation: 1, Sequence: 1, State: steerwire.TargetGone, DataCentre: "dc-1", Ended: true})
		for now := 250; now <= 3750; now += 250 {
			c.Tick(ms(now))
		}
		c.SetAgents(ms(3760), AgentListing{Agents: all, Epoch: 1})
		c.SetStoreEpoch(ms(3770), lateEpoch)
		if lateListing > 0 {
			c.SetAgents(ms(3780), AgentListing{Agents: all, Epoch: lateListing})
		}
		return hasAction(c.Tick(ms(4100)), RemoveAgent)
	}
	is.True(removes(1, 0))
	is.True(!removes(2, 0))
	is.True(!removes(2, 1)) // a late response of the earlier epoch
	is.True(removes(2, 2))
}

// Guards against listings that count as proof at a balancer that has not heard of the
// restoration from the store itself, and against a wait that starts anew at each balancer.
func TestRestorationIsPassedOnByHellos(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.SetStoreEpoch(start, 1)
	is.True(c.listingsComplete(start))
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Epoch: 2, EpochAgeMillis: 1200}
	c.Message(ms(10_000), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{})
	is.True(!c.listingsComplete(ms(11_799)))
	is.True(c.listingsComplete(ms(11_800)))
	is.Equal(c.helloMessage(ms(11_000), false).Hello.EpochAgeMillis, int64(2200))

	late := New(ms(12_000), Options{Node: "b3", FlowTTL: time.Minute})
	late.SetStoreEpoch(ms(12_010), 2) // it may have been restored just now
	is.True(!late.listingsComplete(ms(12_010)))
	hello.EpochAgeMillis = 3210
	late.Message(ms(12_011), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{})
	is.True(late.listingsComplete(ms(12_011)))
}
