package steersim

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against packets that reach all targets but the holder when its probe is lost and the
// balancer started after the route of the flow had moved to another service.
func TestFaultLostProbeAfterTheRouteMoved(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 2, map[model.ServiceName]int{"alpha": 6, "beta": 2})
		s.run(2 * time.Second)
		for range 10 {
			s.openFlow(0, 10, time.Second)
		}
		s.run(time.Second)
		for _, a := range s.agents {
			a.restartPlanned(100 * time.Millisecond)
		}
		s.moveRoute(netip.MustParseAddrPort("198.18.0.1:443"), "beta")
		s.run(500 * time.Millisecond)
		s.restartBalancers()
		lost := map[model.Flow]bool{}
		s.drop = func(_, to netip.AddrPort, m steerwire.Message) bool {
			if m.Kind != steerwire.KindForward {
				return false
			}
			f := s.decode(m.Forward.Packet).Flow
			if h := s.holders[f]; h == nil || h.agent.addr != to || lost[f] {
				return false
			}
			lost[f] = true
			return true
		}
		s.run(5 * time.Second) // recordMisdirected checks that packets reach the holder
	})
}
