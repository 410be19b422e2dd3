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

// Guards against decision files that a balancer has read in a restored store, which lost
// some, and that replace those of balancers that knew the lost ones.
func TestUnconfirmedDecisionsAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	drain := map[string]string{"50-b.yaml": "target: b\ndrain: true\n"}
	at := func(epoch, revision uint64, files map[string]string, confirmed bool) Decisions {
		d := decisions(t, revision, files)
		d.Epoch, d.Confirmed = epoch, confirmed
		return d
	}
	c := newCore(agentA)
	c.SetStoreEpoch(start, 1)
	c.SetDecisions(start, at(1, 40, drain, false))
	c.SetStoreEpoch(ms(100), 2)
	is.Equal(c.helloMessage(ms(101), false).Hello.Decisions, uint64(40)) // from before the restoration
	is.True(logged(c.SetPeerDecisions(ms(102), at(2, 25, nil, false)), "decisions_ignored"))
	is.Equal(c.Decisions().Revision, uint64(40))
	c.SetPeerDecisions(ms(103), at(2, 26, drain, true)) // of a lower revision in the later epoch
	is.Equal(c.Decisions().Revision, uint64(26))
	is.Equal(c.Decisions().Epoch, uint64(2))

	late := New(ms(200), Options{Node: "b3", FlowTTL: time.Minute})
	is.True(!late.AwaitsPeerDecisions(ms(200)))
	late.SetStoreEpoch(ms(210), 2)
	is.True(late.AwaitsPeerDecisions(ms(210)))
	late.SetDecisions(ms(220), at(2, 25, nil, false))
	is.Equal(late.helloMessage(ms(221), false).Hello.Decisions, uint64(0))
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Epoch: 2, DecisionsEpoch: 2, Decisions: 26, DecisionDigest: 9}
	is.True(hasAction(late.Message(ms(500), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{}), FetchConfig))
	is.Equal(late.helloMessage(ms(30_210), false).Hello.Decisions, uint64(25)) // nobody had others
}

// Guards against decision files that were removed and are written again by a balancer that
// was paused or cut off when that happened.
func TestOutdatedDecisionsAreNotRestored(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.SetStoreEpoch(start, 1)
	d := decisions(t, 40, map[string]string{"50-b.yaml": "target: b\ndrain: true\n"})
	d.Epoch = 1
	c.SetDecisions(start, d)
	c.SetStoreEpoch(ms(60_000), 2)
	is.True(!c.MayRestoreDecisions(ms(60_001)))
	is.True(c.MayRestoreDecisions(ms(61_200))) // alone
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Epoch: 2, DecisionsEpoch: 1, Decisions: 45}
	c.Message(ms(60_900), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{})
	is.True(!c.MayRestoreDecisions(ms(61_200)))
	is.True(c.MayRestoreDecisions(ms(66_000))) // the other balancer is gone
}
