package agent

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/flows"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

// BenchmarkControl reports the processing time of one second of an agent's work on flows, without
// requests and packet copies: 12 opening packets, the end of as many flows as they open, 20 ticks
// and 3 heartbeat acknowledgements, with 1,000 and 6,600 flows held.
func BenchmarkControl(b *testing.B) {
	for _, held := range []int{1000, 6600} {
		b.Run(fmt.Sprintf("flows=%d", held), func(b *testing.B) {
			s := newDriver(b, held)
			var spent time.Duration
			seconds := 0
			for b.Loop() {
				start := time.Now()
				s.runSecond()
				spent += time.Since(start)
				seconds++
			}
			if s.core.HeldFlows() < held {
				b.Fatalf("%d flows held, want %d", s.core.HeldFlows(), held)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(spent.Seconds()*1e3/float64(seconds), "ms/s")
		})
	}
}

// driver runs one agent in steps of one second of virtual time.
type driver struct {
	core      *Core
	now       time.Time
	flowCount uint32
	openFlows []model.Flow
	view      model.ServiceView
}

func newDriver(b testing.TB, held int) *driver {
	b.Helper()
	member := func(id model.NodeID, kind model.Kind, host byte) model.Member {
		return model.Member{ID: id, Kind: kind, DC: "dc1", Incarnation: 1, Seq: 1, State: model.StateActive, Weight: 1, Slots: 3, MaxFlows: 100000,
			PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)}
	}
	self, peer := member("a1", model.KindAgent, 1), member("a2", model.KindAgent, 2)
	self.Service, peer.Service = "s", "s"
	s := &driver{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)}
	s.core = New(Options{Self: self, Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:7000")}, Seed: 1})
	s.view = model.ServiceView{Service: "s", Rev: 1, Policy: model.DefaultPolicy(), Members: []model.Member{self, peer},
		Addrs: []model.ServiceAddr{{Addr: netip.MustParseAddrPort("10.80.0.1:80"), Proto: model.TCP}}}
	s.core.Step(s.now, Received{From: "b1", Incarnation: 1, Msg: message.Slice{
		View: s.view, Balancers: []model.Member{member("b1", model.KindBalancer, 9)}, AllBalancers: true, Digest: 1, FileRev: 1}})
	for range 10 {
		s.runSecond() // the view settles
	}
	for tries := 0; s.core.HeldFlows() < held+200 && tries < 40*held; tries++ {
		s.openFlow()
	}
	return s
}

// openFlow sends the opening packet of a new flow and records the flow if this agent opens it.
func (s *driver) openFlow() {
	s.flowCount++
	flow := model.Flow{Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(s.flowCount >> 16), byte(s.flowCount >> 8), byte(s.flowCount)}), 5000),
		Dst: netip.MustParseAddrPort("10.80.0.1:80"), Proto: model.TCP}
	header := message.Forward{Service: "s", ViewHash: s.view.Fingerprint(), Hops: 4}
	ev := Forwarded{Ref: flows.Ref(s.flowCount), Info: packet.Info{Flow: flow, SYN: true}, Header: header, From: "b1", SenderIncarnation: 1}
	for _, a := range s.core.Step(s.now, ev) {
		if accept, ok := a.(Accept); ok && accept.Opened {
			s.openFlows = append(s.openFlows, flow)
		}
	}
}

// runSecond runs 20 ticks, 3 heartbeat acknowledgements, 12 opening packets and up to 6 flow ends.
func (s *driver) runSecond() {
	for i := range 20 {
		s.now = s.now.Add(50 * time.Millisecond)
		s.core.Step(s.now, Tick{})
		if i%7 == 0 {
			s.core.Step(s.now, Received{From: "b1", Incarnation: 1, Addr: netip.MustParseAddrPort("10.0.0.9:7000"),
				Msg: message.HeartbeatAck{Seq: 1, State: model.StateActive}})
		}
	}
	for range 12 {
		s.openFlow()
	}
	for n := min(len(s.openFlows), 6); n > 0; n-- { // this agent opens about half of 12
		s.core.Step(s.now, Closed{Flow: s.openFlows[0]})
		s.openFlows = s.openFlows[1:]
	}
}
