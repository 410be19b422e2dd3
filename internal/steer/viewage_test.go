package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// helloWithConfig sends a hello of a balancer that has a version of the configuration,
// which was confirmed some milliseconds ago.
func helloWithConfig(c *Core, now int, from netip.AddrPort, version int64, age int64) []Action {
	h := steerwire.Hello{Node: "b9", Incarnation: 1, DataCentre: "dc-1", Revision: uint64(version), ConfigVersion: version, ConfigAgeMillis: max(age, 1)}
	return c.Message(ms(now), from, steerwire.Message{Kind: steerwire.KindHello, Hello: h}, segment.Segment{})
}

// runTicks runs the core until a time, every 250 ms, and returns how often it requested a
// read of the configuration.
func runTicks(c *Core, from, to int) int {
	n := 0
	for now := from; now <= to; now += 250 {
		if hasAction(c.Tick(ms(now)), ConfirmConfig) {
			n++
		}
	}
	return n
}

func TestConfigAgeIsPassedOnByHellos(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.ConfigCurrent(start, start)
	runTicks(c, 0, 1000)
	is.Equal(c.ConfigAge(ms(1000)), time.Second)
	helloWithConfig(c, 1000, peerP, 1, 300)
	is.Equal(c.ConfigAge(ms(1000)), 300*time.Millisecond)
	helloWithConfig(c, 1010, peerP, 1, 900) // an older confirmation
	is.Equal(c.ConfigAge(ms(1010)), 310*time.Millisecond)
	is.Equal(c.peerHelloMessage(ms(1010), c.peers[peerP], false).Hello.ConfigAgeMillis, int64(311))

	helloWithConfig(c, 1100, peerP, 2, 1) // of a configuration that is not in effect here
	is.Equal(c.ConfigAge(ms(1100)), 400*time.Millisecond)
	c.SetPeerConfig(ms(1120), configOf(2, "alpha"))
	is.Equal(c.ConfigAge(ms(1120)), 21*time.Millisecond)
	helloWithConfig(c, 1200, peerP, 1, 0) // a late one
	is.Equal(c.ConfigAge(ms(1200)), 101*time.Millisecond)
}

func TestFaultAgeAfterTheStoreIsRestored(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.ConfigCurrent(start, start)
	runTicks(c, 0, 1000)
	h := steerwire.Hello{Node: "b9", Incarnation: 1, Revision: 77, ConfigVersion: 1, ConfigAgeMillis: 20} // written again
	c.Message(ms(1000), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: h}, segment.Segment{})
	is.Equal(c.ConfigAge(ms(1000)), 20*time.Millisecond)
}

func TestFaultHelloIsReadAfterAPause(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.ConfigCurrent(start, start)
	runTicks(c, 0, 1000)
	is.True(hasAction(helloWithConfig(c, 6000, peerP, 1, 0), ConfirmConfig)) // may have waited for 5 s
	is.Equal(c.ConfigAge(ms(6000)), 6*time.Second)
}

// newNonReader returns a core with three balancers that rank above it and last confirmed
// the configuration at 0 s, and that repeat their hellos until 6 s.
func newNonReader() (c *Core, reads int) {
	c = newCore(agentA)
	c.storeFailing = true // ranks last
	c.ConfigCurrent(start, start)
	for now := 0; now <= 6000; now += 500 {
		for i := range byte(3) {
			helloWithConfig(c, now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, i}), 7000), 1, int64(now))
		}
		reads += runTicks(c, now, now+250)
	}
	return c, reads
}

func TestFaultNobodyConfirmsTheConfiguration(t *testing.T) {
	is := is.New(t)
	c, reads := newNonReader()
	is.True(!c.ReadsStore(ms(6000)))
	is.True(reads >= 2 && reads <= 6) // one a second after configAgeLimit
	got := c.ConfigCurrent(ms(6300), ms(6290))
	is.Equal(got[len(got)-1].Entry.Event, "configuration_current")
	is.Equal(c.ConfigAge(ms(6300)), 10*time.Millisecond)
}

func TestFaultReadsOfAFleetGrowWithItsSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 100, 3_000, 12_000} {
		c := newCore()
		for i := range n - 1 {
			c.addPeer(start, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000), false)
		}
		is.True(float64(n)/c.confirmInterval().Seconds() <= maxConfirmsPerSecond)
	}
}

func TestDecisionsAgeIsPassedOnByHellos(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	hello := func(now int, revision, digest uint64, age int64) []Action {
		h := steerwire.Hello{Node: "b9", Incarnation: 1, DataCentre: "dc-1", Decisions: revision, DecisionDigest: digest, DecisionsAgeMillis: age}
		return c.Message(ms(now), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: h}, segment.Segment{})
	}
	hello(100, 0, 0, 5) // a balancer that knows no files
	is.Equal(c.DecisionsAge(ms(100)), time.Duration(0))
	c.SetDecisions(ms(200), Decisions{Revision: 5, Digest: 77})
	c.DecisionsCurrent(ms(200), ms(150))
	is.Equal(c.DecisionsAge(ms(200)), 50*time.Millisecond)
	runTicks(c, 250, 1000)
	hello(1000, 9, 77, 20) // the same files, listed later
	is.Equal(c.DecisionsAge(ms(1000)), 20*time.Millisecond)
	hello(1010, 11, 78, 1) // others, which are not in effect here
	is.Equal(c.DecisionsAge(ms(1010)), 30*time.Millisecond)
}

func TestFaultNobodyListsTheDecisions(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.storeFailing = true
	c.SetDecisions(start, Decisions{Revision: 5, Digest: 77})
	c.DecisionsCurrent(start, start)
	lists := 0
	for now := 0; now <= 14_000; now += 250 {
		for i := range byte(3) {
			helloWithConfig(c, now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, i}), 7000), 1, 1)
		}
		if hasAction(c.Tick(ms(now)), ListDecisions) {
			lists++
		}
	}
	is.True(lists >= 2 && lists <= 6)
}
