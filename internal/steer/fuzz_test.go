package steer

import (
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// addMessages adds one datagram of each kind to the corpus.
func addMessages(f *testing.F) {
	for _, m := range []steerwire.Message{
		{Kind: steerwire.KindRefuse, Refuse: steerwire.Refuse{Reason: steerwire.ReasonNotHeld, Packet: raw}},
		{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}},
		{Kind: steerwire.KindHolderAnswer, Answer: steerwire.Answer{Answers: []steerwire.AnswerEntry{{Flow: flowOf(2), FlowStatus: steerwire.Unsure}}}},
		{Kind: steerwire.KindHintQuery, Query: steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}},
		{Kind: steerwire.KindHints, Hints: steerwire.Hints{Hints: []steerwire.Hint{{Flow: flowOf(2), Target: agentB}}}},
		{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b2", Incarnation: 1, Revision: 9, Agents: fleetOf(2), Lost: fleetOf(2), WantAgents: true}},
		{Kind: steerwire.KindReport, Report: steerwire.Report{Incarnation: 2, Sequence: 1, Service: "alpha", State: steerwire.TargetReady, Slots: -1, BusyCenti: -5, Ended: true}},
		{Kind: steerwire.KindListingQuery, ListingQuery: steerwire.ListingQuery{ID: 1}},
		{Kind: steerwire.KindListing, Listing: steerwire.Listing{ID: 1, Part: 3, Parts: 2, Agents: fleetOf(2)}},
	} {
		b, err := steerwire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
}

// Guards against messages of a faulty or foreign sender that end the process: any two
// datagrams that decode, then traffic and timers.
func FuzzMessages(f *testing.F) {
	addMessages(f)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := newCore(agentA, agentB)
		ready(c, start, 1, agentA, agentB)
		c.Packet(ms(1), syn(1), raw)
		c.Packet(ms(1), data(2), raw)
		for i, b := range [][]byte{first, second} {
			m, err := steerwire.Decode(b)
			if err != nil {
				continue
			}
			c.Message(ms(2+i), agentA, m, segment.Segment{Flow: flowOf(1), Flags: segment.SYN})
			c.Message(ms(2+i), peerP, m, data(2))
		}
		for now := 10; now < 6000; now += 200 {
			c.Tick(ms(now))
			c.Packet(ms(now), syn(uint16(now)), raw)
			c.Packet(ms(now), data(uint16(now+1)), raw)
			c.SetAgents(ms(now), AgentListing{Agents: fleetOf(3), AsOf: ms(now - 1)})
		}
	})
}
