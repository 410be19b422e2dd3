package steersim

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Guards against the reset of a flow that a target has opened while the balancer, which missed
// the notice of it, moved the opening packet to a target that refuses it.
func TestFaultRefusedCopyOfAnOpeningAfterALostNotice(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 2, map[model.ServiceName]int{"alpha": 2})
		s.run(2 * time.Second)
		s.drop = func(_, _ netip.AddrPort, m steerwire.Message) bool { return m.Kind == steerwire.KindOpened }
		s.agents[0].kill()
		s.after(150*time.Millisecond, func() { s.agents[0].start(false) }) // it refuses flows until its target's heartbeat
		for i := range 60 {
			s.after(time.Duration(i)*5*time.Millisecond, func() { s.openFlow(0, 3, 300*time.Millisecond) })
		}
		s.run(5 * time.Second) // reset checks that no running target holds the flow
	})
}
