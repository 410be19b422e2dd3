package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Guards against an agent that reports a drain by decision file after Leave, and against a drain by
// decision file that is not reported.
func TestOnlyDecisionFilesAreReportedAsDrain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	self := model.Member{ID: "t1", DC: "dk-east-a", Service: "dispatch", Incarnation: 1, Slots: 3, MaxFlows: 10, Weight: 1}
	b := model.Member{ID: "b1", Kind: model.KindBalancer, DC: "dk-east-a", Incarnation: 1, State: model.StateActive,
		PeerAddr: netip.MustParseAddrPort("127.0.0.1:7100")}
	c := New(Options{Self: self, Seeds: []netip.AddrPort{b.PeerAddr}, Seed: 1})
	digest := uint64(0)
	// drainsAfterSlice returns the drains reported after a slice that lists the agent in state s.
	drainsAfterSlice := func(s model.State) (out []bool) {
		m := c.Self()
		m.State, digest = s, digest+1
		view := model.ServiceView{Service: "dispatch", Members: []model.Member{m},
			Addrs: []model.ServiceAddr{{Addr: netip.MustParseAddrPort("10.80.0.1:80"), Proto: model.TCP}}}
		for _, a := range c.Step(now, Received{From: "b1", Incarnation: 1, Addr: b.PeerAddr,
			Msg: message.Slice{View: view, Balancers: []model.Member{b}, AllBalancers: true, Digest: digest}}) {
			if d, ok := a.(Draining); ok {
				out = append(out, d.On)
			}
		}
		return out
	}
	is.Equal(drainsAfterSlice(model.StateActive), nil)
	is.Equal(drainsAfterSlice(model.StateLeaving), []bool{true})
	is.Equal(drainsAfterSlice(model.StateActive), []bool{false})
	c.Step(now, Leave{})
	is.Equal(drainsAfterSlice(model.StateLeaving), nil)
}
