package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

func decisions(t *testing.T, revision uint64, files map[string]string) Decisions {
	t.Helper()
	in := make(map[string][]byte)
	for name, text := range files {
		in[name] = []byte(text)
	}
	s, found := config.Merge(in)
	is.New(t).Equal(len(found), 0)
	d := Decisions{Revision: revision, Files: s}
	if len(files) > 0 {
		d.Digest = model.HashString(fmt.Sprint(files))
	}
	return d
}

// placed returns the number of opening packets of n flows that each agent gets.
func placed(c *Core, now time.Time, n int) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int)
	for i := range n {
		for _, to := range forwardedTo(c.Packet(now, syn(uint16(1000+i)), raw)) {
			out[to]++
		}
	}
	return out
}

// Guards against decision files that do not override the operator's configuration, or
// stay in effect after their removal.
func TestDecisionsOverrideTheConfiguration(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA)
	report(c, start, agentB, steerwire.Report{Incarnation: 1, Sequence: 1, Service: "beta", State: steerwire.TargetReady})
	is.Equal(placed(c, start, 4)[agentA], 4)

	claim := map[string]string{"20-beta.yaml": "service: beta\naddresses: [" + route.String() + "]\n"}
	c.SetDecisions(start, decisions(t, 5, claim))
	is.Equal(placed(c, ms(1), 4)[agentA], 4) // open flows stay at their targets
	is.Equal(len(forwardedTo(c.Packet(ms(1), syn(1), raw))), 1)
	is.Equal(c.flows[flowOf(1)].service, model.ServiceName("beta"))

	c.SetConfig(ms(2), nextConfig(c))
	c.Packet(ms(3), syn(2), raw)
	is.Equal(c.flows[flowOf(2)].service, model.ServiceName("beta")) // a later configuration does not override decisions

	c.SetDecisions(ms(4), decisions(t, 4, nil)) // older
	c.Packet(ms(5), syn(3), raw)
	is.Equal(c.flows[flowOf(3)].service, model.ServiceName("beta"))
	c.SetDecisions(ms(6), decisions(t, 6, nil))
	c.Packet(ms(7), syn(4), raw)
	is.Equal(c.flows[flowOf(4)].service, model.ServiceName("alpha"))
}

// nextConfig returns the operator's next configuration with the same routes.
func nextConfig(c *Core) *Config {
	next := *c.base
	next.Revision++
	next.Version++
	return &next
}

// Guards against new flows at a drained target and weights without effect.
func TestDecisionsDrainAndWeigh(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	for node, a := range map[model.NodeID]netip.AddrPort{"a": agentA, "b": agentB} {
		report(c, start, a, steerwire.Report{Node: node, Incarnation: 1, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1"})
	}
	c.SetDecisions(start, decisions(t, 2, map[string]string{"50-a.yaml": "target: a\nweight: 4\n"}))
	got := placed(c, start, 30)
	is.True(got[agentA] > 2*got[agentB])

	c = newCore(agentA, agentB)
	c.SetDecisions(start, decisions(t, 2, map[string]string{"50-b.yaml": "target: b\ndrain: true\n"}))
	for node, a := range map[model.NodeID]netip.AddrPort{"a": agentA, "b": agentB} { // reports after the decision
		report(c, start, a, steerwire.Report{Node: node, Incarnation: 1, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1"})
	}
	is.Equal(placed(c, start, 10), map[netip.AddrPort]int{agentA: 10})
	c.SetDecisions(start, decisions(t, 3, map[string]string{"50-dc.yaml": "datacentre: dc-1\ndrain: true\n"}))
	is.True(hasAction(c.Packet(ms(1), syn(1), raw), ResetCaller)) // no target accepts flows: the caller gets a reset at once
}

// Guards against outdated decisions on a balancer without access to the store.
func TestNewerDecisionsOfAPeerAreFetched(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Revision: 1, Decisions: 3, DecisionDigest: 9}
	is.True(hasAction(c.Message(ms(300), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{}), FetchConfig))
	c.SetDecisions(ms(310), decisions(t, 3, map[string]string{"50-b.yaml": "target: b\ndrain: true\n"}))
	is.True(!hasAction(c.Message(ms(900), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{}), FetchConfig))
}
