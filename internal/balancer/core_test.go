package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
)

// Guards against a drain of a target or data centre that does not reach the router, or that cannot
// be reversed by a later file or by removing the file. Also guards against an outdated file version
// that arrives late and takes effect.
func TestFaultReversalsOfADrainReachTheRouting(t *testing.T) {
	is := is.New(t)
	c, now := newServingCore(t, 3)
	flow := model.Flow{
		Src: netip.MustParseAddrPort("10.9.0.1:5000"), Dst: netip.MustParseAddrPort("10.80.0.1:80"), Proto: model.TCP,
	}
	verdict := func(name string, version uint64, content string) route.Verdict {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, Pushed{File: message.File{Name: name, Version: version, Removed: content == "", Content: []byte(content)}})
		return c.Route(now, &packet.Info{Flow: flow, SYN: true}).Verdict
	}
	drain, undo := "target: dc2-s00001-1\ndrain: true\n", "target: dc2-s00001-1\ndrain: false\n"
	is.Equal(verdict("40-other.yaml", 100, "service: s00000\nqueue: 3\n"), route.Forward)
	is.Equal(verdict("50-drain.yaml", 101, drain), route.Reset)
	is.Equal(verdict("60-undo.yaml", 102, undo), route.Forward)
	is.Equal(verdict("60-undo.yaml", 103, ""), route.Reset)
	is.Equal(verdict("60-undo.yaml", 102, undo), route.Reset) // late delta
	is.Equal(verdict("50-drain.yaml", 104, ""), route.Forward)
	is.Equal(verdict("50-drain.yaml", 101, drain), route.Forward) // late delta
	is.Equal(verdict("70-dc.yaml", 105, "datacentre: dc2\ndrain: true\n"), route.Reset)
	is.Equal(verdict("70-dc.yaml", 106, ""), route.Forward)

	// A target that may hold the flow is queried before the packet is dropped.
	is.Equal(verdict("80-none.yaml", 107, "service: s00001\naddresses: []\n"), route.LookupHolder)
	var query message.FlowQuery
	var to model.NodeID
	for _, a := range c.Step(now, Buffered{Ref: 1, Flow: flow, Opening: true}) {
		if s, ok := a.(Send); ok {
			to, query = s.To, s.Msg.(message.FlowQuery)
		}
	}
	is.Equal(to, model.NodeID("dc2-s00001-1"))
	answer := message.FlowAnswer{ID: query.ID, Flow: flow, Verdict: message.VerdictNone}
	is.Equal(c.Step(now, Received{From: to, Incarnation: 1, Msg: answer})[0].(Release).Decision.Verdict, route.Drop)
}

// Guards against a balancer that forwards packets before it knows members and files.
func TestNothingIsForwardedBeforeServing(t *testing.T) {
	is := is.New(t)
	c := New(Options{Self: model.Member{ID: "b1", DC: "dc1", Incarnation: 1, PeerAddr: netip.MustParseAddrPort("10.0.0.1:7000")},
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000")}, Seed: 1})
	c.Step(benchStart, Tick{})
	c.Step(benchStart, Pushed{File: message.File{Name: "a.yaml", Version: 1, Content: []byte("service: s\naddresses: [10.80.0.1:80]\n")}})
	flow := model.Flow{Src: netip.MustParseAddrPort("10.9.0.1:5000"), Dst: netip.MustParseAddrPort("10.80.0.1:80"), Proto: model.TCP}
	is.True(!c.Serving())
	is.Equal(c.Route(benchStart, &packet.Info{Flow: flow, SYN: true}).Verdict, route.Drop)
}
