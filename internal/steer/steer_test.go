package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	route  = netip.MustParseAddrPort("198.18.0.1:443")
	agentA = netip.MustParseAddrPort("10.1.0.1:7000")
	agentB = netip.MustParseAddrPort("10.1.0.2:7000")
	agentC = netip.MustParseAddrPort("10.1.0.3:7000")
	peerP  = netip.MustParseAddrPort("10.0.0.9:7000")
	raw    = []byte("packet")
)

func at(d time.Duration) time.Time { return start.Add(d) }

func ms(n int) time.Time { return at(time.Duration(n) * time.Millisecond) }

func flowOf(port uint16) model.Flow {
	return model.Flow{Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Dst: route, Proto: model.TCP}
}

func syn(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), Flags: segment.SYN, Seq: 100}
}

func data(port uint16) segment.Segment {
	return segment.Segment{Flow: flowOf(port), Flags: segment.ACK, Seq: 101, Ack: 501, DataLen: 50}
}

func configOf(revision uint64, services ...model.ServiceName) *Config {
	c := &Config{Revision: revision, Version: int64(revision), IdleTimeout: 15 * time.Second, Routes: map[netip.AddrPort]Route{}}
	if len(services) > 0 {
		r := Route{Name: "r"}
		for _, s := range services {
			r.Shares = append(r.Shares, Share{Service: s, Weight: 1})
		}
		c.Routes[route] = r
	}
	return c
}

func newCore(agents ...netip.AddrPort) *Core {
	c := New(start, Options{Node: "b1", Incarnation: 1, DataCentre: "dc-1", FlowTTL: time.Minute})
	c.SetConfig(start, configOf(1, "alpha"))
	c.SetAgents(start, AgentListing{Agents: agents})
	return c
}

func report(c *Core, now time.Time, from netip.AddrPort, r steerwire.Report) []Action {
	if r.Service == "" {
		r.Service = "alpha"
	}
	if r.Slots == 0 {
		r.Slots = 3
	}
	return c.Message(now, from, steerwire.Message{Kind: steerwire.KindReport, Report: r}, segment.Segment{})
}

func ready(c *Core, now time.Time, seq uint64, agents ...netip.AddrPort) {
	for _, a := range agents {
		report(c, now, a, steerwire.Report{Incarnation: 1, Sequence: seq, State: steerwire.TargetReady, DataCentre: "dc-1"})
	}
}

func answer(c *Core, now time.Time, from netip.AddrPort, f model.Flow, status steerwire.FlowStatus) []Action {
	return c.Message(now, from, steerwire.Message{Kind: steerwire.KindHolderAnswer, Answer: steerwire.Answer{Answers: []steerwire.AnswerEntry{{Flow: f, FlowStatus: status}}}}, segment.Segment{})
}

func refuse(c *Core, now time.Time, from netip.AddrPort, s segment.Segment, reason steerwire.Reason) []Action {
	return c.Message(now, from, steerwire.Message{Kind: steerwire.KindRefuse, Refuse: steerwire.Refuse{Reason: reason, Packet: raw}}, s)
}

// forwardedTo returns the targets of the forwarded packets.
func forwardedTo(actions []Action) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range actions {
		if a.Kind == SendForward {
			out = append(out, a.To)
		}
	}
	return out
}

func hasAction(actions []Action, k ActionKind) bool {
	for _, a := range actions {
		if a.Kind == k {
			return true
		}
	}
	return false
}

// logged reports whether actions log an event.
func logged(actions []Action, event string) bool {
	for _, a := range actions {
		if a.Kind == Log && a.Entry.Event == event {
			return true
		}
	}
	return false
}

func queryCount(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == SendMessage && a.Message.Kind == steerwire.KindHolderQuery {
			n++
		}
	}
	return n
}

// queryCountWithBatch counts the query messages in actions and those that are sent within
// queryBatchDelay.
func queryCountWithBatch(c *Core, now time.Time, actions []Action) int {
	n := queryCount(actions)
	return n + queryCount(c.Tick(now.Add(queryBatchDelay)))
}

// Guards against forwarding packets from callers that only a target may send.
func TestForgedPacketsAreDropped(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	for _, f := range []segment.Flags{segment.SYN | segment.ACK, segment.SYN | segment.Bounced, segment.ACK | segment.Bounced} {
		is.Equal(len(forwardedTo(c.Packet(start, segment.Segment{Flow: flowOf(1), Flags: f}, raw))), 0)
	}
}

// Guards against a caller that waits until its deadline if its address has no route.
func TestUnknownRouteIsReset(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	c.SetConfig(start, configOf(2))
	is.True(hasAction(c.Packet(start, syn(1), raw), ResetCaller))
}

// Guards against the return to an older configuration, for example from an outdated peer.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.SetConfig(start, configOf(5, "beta"))
	is.True(logged(c.SetConfig(start, configOf(4, "alpha")), "configuration_ignored"))
	is.True(!logged(c.SetConfig(start, configOf(5, "alpha")), "configuration_ignored")) // the same one again
	is.Equal(c.Config().Routes[route].Shares[0].Service, model.ServiceName("beta"))
}

// Guards against a peer's newer configuration that is not fetched because the store, restored
// from a copy, gave it a revision below the one in effect.
func TestNewerVersionAtALowerRevisionIsFetched(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	c.SetConfig(start, configOf(9, "alpha"))
	hello := steerwire.Hello{Node: "b2", Incarnation: 1, Revision: 4, ConfigVersion: 10}
	is.True(hasAction(c.Message(ms(1), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{}), FetchConfig))
	next := configOf(10, "beta")
	next.Revision = 4
	c.SetPeerConfig(ms(2), next)
	is.Equal(c.Config().Routes[route].Shares[0].Service, model.ServiceName("beta"))
	hello.Revision, hello.ConfigVersion = 12, 3 // a balancer that has read the copy
	is.True(!hasAction(c.Message(at(time.Second), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{}), FetchConfig))
}

// Guards against opening packets that are lost with a target or its link.
func TestUnansweredOpeningIsRetriedAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, syn(1), raw))
	is.Equal(len(first), 1)
	is.Equal(len(forwardedTo(c.Tick(ms(30)))), 0)
	second := forwardedTo(c.Tick(ms(61)))
	is.Equal(len(second), 1)
	is.True(first[0] != second[0])
}

// Guards against opening a flow at a second target after the first one answered.
func TestAnsweredOpeningStaysAtItsTarget(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, syn(1), raw))[0]
	c.Message(ms(5), first, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	is.Equal(len(forwardedTo(c.Tick(ms(61)))), 0)
	is.Equal(forwardedTo(c.Packet(ms(200), syn(1), raw)), []netip.AddrPort{first})
	is.Equal(forwardedTo(c.Packet(ms(201), data(1), raw)), []netip.AddrPort{first})
}

// Guards against resets while another target may accept the flow, and against callers
// that get no reset when no target does.
func TestRefusedOpening(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, syn(1), raw))[0]
	next := refuse(c, ms(1), first, syn(1), steerwire.ReasonFull)
	is.Equal(len(forwardedTo(next)), 1)
	second := forwardedTo(next)[0]
	is.True(second != first)
	is.True(hasAction(refuse(c, ms(2), second, syn(1), steerwire.ReasonFull), ResetCaller))
}

// Guards against refusals right after a start, before the first report: they used up the
// caller's retries within milliseconds.
func TestOpeningsWaitForTargetAfterStart(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	is.True(!hasAction(c.Packet(ms(1), syn(1), raw), ResetCaller))
	got := report(c, ms(5), agentA, steerwire.Report{Incarnation: 1, Sequence: 1, State: steerwire.TargetUnknown})
	is.Equal(len(forwardedTo(got)), 0)
	got = report(c, ms(9), agentA, steerwire.Report{Incarnation: 1, Sequence: 2, State: steerwire.TargetReady})
	is.Equal(forwardedTo(got), []netip.AddrPort{agentA})

	c = newCore(agentA)
	c.Packet(ms(1), syn(1), raw)
	is.True(hasAction(c.Tick(ms(1000)), ResetCaller)) // the wait is bounded
}

// Guards against the loss of packets received before the first configuration.
func TestPacketsWaitForFirstConfiguration(t *testing.T) {
	is := is.New(t)
	c := New(start, Options{Node: "b1", FlowTTL: time.Minute})
	ready(c, start, 1, agentA)
	is.Equal(len(forwardedTo(c.Packet(ms(1), syn(1), raw))), 0)
	is.Equal(len(forwardedTo(c.Packet(ms(210), syn(2), raw))), 0)
	got := forwardedTo(c.SetConfig(ms(220), configOf(1, "alpha")))
	is.Equal(got, []netip.AddrPort{agentA}) // the first has expired: its caller retransmits
}

// Guards against a flow that its target lost and whose caller gets no reset.
func TestLostFlowIsReset(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	c.Packet(start, syn(1), raw)
	got := refuse(c, ms(3), agentA, data(1), steerwire.ReasonLost)
	is.True(hasAction(got, ResetCaller))
}

// Guards against an outdated configuration on a balancer without access to the store.
func TestNewerConfigurationOfAPeerIsFetched(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	hello := func(now time.Time, revision uint64) []Action {
		return c.Message(now, peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b2", Incarnation: 1, Revision: revision}}, segment.Segment{})
	}
	is.True(!hasAction(hello(ms(1), 1), FetchConfig))
	is.True(hasAction(hello(ms(2), 2), FetchConfig))
	c.SetConfig(ms(3), configOf(2, "alpha"))
	is.True(!hasAction(hello(ms(400), 2), FetchConfig))
}

// Guards against agents that stay unknown when the store refuses them and only peers know them.
func TestAgentsOfPeersBecomeKnown(t *testing.T) {
	is := is.New(t)
	c := newCore()
	got := c.Message(ms(1), peerP, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b2", Agents: []netip.AddrPort{agentA}}}, segment.Segment{})
	found := false
	for _, a := range got {
		found = found || a.Kind == SendMessage && a.To == agentA && a.Message.Kind == steerwire.KindHello
	}
	is.True(found)
}

// Guards against late reports that restore an outdated state.
func TestOldReportIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	report(c, ms(1), agentA, steerwire.Report{Incarnation: 2, Sequence: 5, State: steerwire.TargetDraining})
	report(c, ms(2), agentA, steerwire.Report{Incarnation: 2, Sequence: 4, State: steerwire.TargetReady})
	report(c, ms(3), agentA, steerwire.Report{Incarnation: 1, Sequence: 9, State: steerwire.TargetReady})
	is.True(hasAction(c.Packet(ms(4), syn(1), raw), ResetCaller)) // no target accepts flows
}

// Guards against routers that use a balancer without a reachable agent.
func TestReady(t *testing.T) {
	is := is.New(t)
	c := New(start, Options{Node: "b1"})
	_, why := c.Ready(start)
	is.Equal(why, "no_configuration")
	c.SetConfig(start, configOf(1, "alpha"))
	_, why = c.Ready(start)
	is.Equal(why, "no_agent")
	ready(c, start, 1, agentA)
	ok, _ := c.Ready(start)
	is.True(ok)
	_, why = c.Ready(at(time.Second))
	is.Equal(why, "no_agent")
	ready(c, at(time.Second), 2, agentA)
	c.Leave()
	_, why = c.Ready(at(time.Second))
	is.Equal(why, "stopping")
}

// Guards against shares of flows that deviate from their weights or differ between balancers.
func TestShares(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{"alpha", 90}, {"beta", 10}}}
	n := 0
	for i := range 10_000 {
		if r.service(uint64(i)) == "beta" {
			n++
		}
	}
	is.True(n > 900 && n < 1100)
	is.Equal(Route{}.service(1), model.ServiceName(""))
}

// Guards against a list of agents that grows with every failed VM, against the removal of
// a restarting agent, and against removals by more than one balancer.
func TestObjectsOfLostAgentsAreRemoved(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB, agentC)
	ready(c, start, 1, agentA, agentB, agentC)
	seq := uint64(1)
	removed := func(until time.Duration) (out []netip.AddrPort) {
		for now := start.Add(time.Duration(seq) * time.Second); !now.After(start.Add(until)); now = now.Add(time.Second) {
			seq++
			ready(c, now, seq, agentA, agentC)
			for _, a := range c.Tick(now) {
				if a.Kind == RemoveAgent {
					out = append(out, a.To)
				}
			}
		}
		return out
	}
	is.Equal(len(removed(59*time.Second)), 0)
	is.Equal(removed(62*time.Second), []netip.AddrPort{agentB})

	c, seq = newCore(agentA, agentB, agentC), 1
	c.options.Peer = peerP
	ready(c, start, 1, agentA, agentB, agentC)
	is.Equal(len(removed(55*time.Second)), 0)
	c.Message(at(61*time.Second), netip.MustParseAddrPort("10.0.0.1:7000"), steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b0", Incarnation: 1}}, segment.Segment{})
	is.Equal(len(removed(63*time.Second)), 0) // another balancer has a lower address
}

// Guards against uploads that fill a small link: packets beyond the share of transfers are
// queued and sent in order, and packets of short requests are not delayed by them.
func TestTransfersWaitForTheLink(t *testing.T) {
	is := is.New(t)
	c := New(start, Options{Node: "b1", Incarnation: 1, DataCentre: "dc-1", FlowTTL: time.Minute, LinkBitsPerSecond: 10_000_000, FullSegment: 1200})
	c.SetConfig(start, configOf(1, "alpha"))
	c.SetAgents(start, AgentListing{Agents: []netip.AddrPort{agentA}})
	ready(c, start, 1, agentA)
	for port := uint16(1); port <= 2; port++ {
		c.Packet(start, syn(port), raw)
		c.Message(start, agentA, steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(port)}}, segment.Segment{})
	}
	full := make([]byte, 1231)
	passed := 0
	for i := range 40 {
		s := data(1)
		s.Seq, s.DataLen = uint32(101+1200*i), 1200
		passed += len(forwardedTo(c.Packet(ms(1), s, full)))
	}
	is.Equal(passed, 16)
	is.Equal(len(forwardedTo(c.Packet(ms(1), data(2), raw))), 1) // a short request
	ack := data(1)
	ack.DataLen = 0
	is.Equal(len(forwardedTo(c.Packet(ms(1), ack, raw))), 1)
	is.True(!c.Next().After(ms(6)))
	is.Equal(len(forwardedTo(c.Tick(ms(11)))), 7) // 70% of 12.5 kB
	is.True(c.transfers.Len() == 17)
}
