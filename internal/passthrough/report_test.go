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

func balancerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

func reportTo(c *Core, now time.Time, b netip.AddrPort) steerwire.Report {
	hello := steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b"}}
	r, _ := reported(c.Message(now, b, hello, segment.Segment{}))
	return r
}

// Guards against reports that are mostly lists of balancers: with 59 balancers these were
// half of the bytes that agents sent.
func TestFewReportsListBalancers(t *testing.T) {
	is := is.New(t)
	c := newReadyCore()
	const balancers, rounds = 59, 40
	lists := 0
	for round := range rounds {
		for i := range balancers {
			r := reportTo(c, ms(round*1000+i), balancerAt(i+1))
			if round == 0 {
				is.True(len(r.Balancers) > 0) // a balancer that is new finds the earlier ones
			} else if len(r.Balancers) > 0 {
				lists++
			}
		}
	}
	is.True(lists > 0)
	is.True(lists <= balancers*rounds/30)
}

// Guards against balancers that stay unknown to others because lists hold no more than 64:
// each balancer of a fleet of 150 hears of all others from 20 agents.
func TestListsOfBalancersCoverLargeFleets(t *testing.T) {
	is := is.New(t)
	const balancers, agents = 150, 20
	known := make(map[netip.AddrPort]bool)
	for a := range agents {
		c := New(start, Options{Node: model.NodeID("agent-" + balancerAt(a).String()), Service: "alpha", HeartbeatInterval: time.Second, FlowIdleTimeout: time.Minute})
		for i := range balancers {
			r := reportTo(c, start, balancerAt(i))
			is.True(len(r.Balancers) <= steerwire.MaxPeers)
			if i == balancers-1 {
				for _, b := range r.Balancers {
					known[b] = true
				}
			}
		}
	}
	is.Equal(len(known), balancers)
}

// Guards against an agent that balancers which have all restarted never find, because the
// store has lost its object.
func TestAgentAdvertisesWithoutBalancers(t *testing.T) {
	is := is.New(t)
	c := New(start, Options{Node: "a", Incarnation: 1, Service: "alpha"})
	is.True(c.AdvertisesToSeeds(start))
	c.Message(ms(100), balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b"}}, segment.Segment{})
	is.True(!c.AdvertisesToSeeds(ms(1000)))
	is.True(c.AdvertisesToSeeds(ms(1100)))
	c.Message(ms(1200), balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b"}}, segment.Segment{})
	is.True(!c.AdvertisesToSeeds(ms(1300)))
	c.End(ms(3000))
	is.True(!c.AdvertisesToSeeds(ms(3000))) // its last report says that it ends
}

// Guards against an older report that replaces a later one of the same process, because hellos
// arrived out of order.
func TestReportsNameTheLatestHello(t *testing.T) {
	is := is.New(t)
	c := newCore(true)
	var named []uint64
	for _, h := range []steerwire.Hello{{Incarnation: 1, ID: 7}, {Incarnation: 1, ID: 6}, {Incarnation: 1, ID: 8}, {Incarnation: 2, ID: 3}} {
		for _, a := range c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: h}, segment.Segment{}) {
			if a.Kind == SendMessage {
				named = append(named, *a.Message.Report.HelloID)
			}
		}
	}
	is.Equal(named, []uint64{7, 7, 8, 3})
}
