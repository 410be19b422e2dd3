package passthrough

import (
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against messages of a faulty or foreign sender that end the process: any
// datagram that decodes, with any flags of the packet in it, then traffic and timers.
func FuzzMessages(f *testing.F) {
	for _, m := range []steerwire.Message{
		{Kind: steerwire.KindForward, Forward: steerwire.Forward{Service: model.HashString("alpha"), Packet: []byte("p")}},
		{Kind: steerwire.KindHolderQuery, Query: steerwire.Query{Queries: []steerwire.QueryEntry{{Flow: flowOf(1)}}}},
		{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b2", Incarnation: 1}},
	} {
		b, err := steerwire.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, uint8(segment.ACK), uint32(clientSeq+1), uint16(50))
	}
	f.Fuzz(func(t *testing.T, b []byte, flags uint8, seq uint32, length uint16) {
		m, err := steerwire.Decode(b)
		if err != nil {
			return
		}
		c := newReadyCore()
		openFlow(c, ms(1), 1)
		s := segment.Segment{Flow: flowOf(1), Flags: segment.Flags(flags), Seq: seq, Ack: targetSeq + 1, DataLen: int(length)}
		c.Message(ms(2), balancer, m, s)
		c.FromTarget(ms(3), s, []byte("p"))
		s.Flow, s.FromTarget = flowOf(2), true
		c.FromTarget(ms(4), s, []byte("p"))
		for now := 10; now < 6000; now += 200 {
			c.Tick(ms(now))
			forward(c, ms(now), syn(uint16(now)))
		}
		c.Flush(ms(6000))
		c.End(ms(6001))
	})
}
