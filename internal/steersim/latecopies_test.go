package steersim

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
)

// Guards against resets of open flows after a copy of the opening packet has arrived so late
// that the holder's agent has restarted since.
func TestFaultLateCopyOfAnOpeningAfterTheAgentRestarted(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 2, map[model.ServiceName]int{"alpha": 3})
		s.run(2 * time.Second)
		var copies []segment.Segment
		for range 20 {
			c := s.openFlow(0, 4, 2500*time.Millisecond)
			copies = append(copies, segment.Segment{Flow: c.flow, Flags: segment.SYN, Seq: c.seq, Ack: 1})
		}
		s.run(600 * time.Millisecond)
		for _, a := range s.agents {
			a.stopAndRestart()
		}
		s.run(250*time.Millisecond + processRestartTime + 300*time.Millisecond)
		for _, g := range copies {
			in := s.rotation(g.Flow)
			in[g.Flow.Hash()%uint64(len(in))].receive(g)
		}
		s.run(8 * time.Second) // reset checks that no running target holds the flow
	})
}

// Guards against the same when the copies wait at a paused balancer while routers move the
// flows to others.
func TestFaultPausedBalancerPlacesLateCopiesOfOpenings(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 6, map[model.ServiceName]int{"alpha": 3})
		s.probeBalancers()
		s.run(3 * time.Second)
		s.pause(s.balancers[3].addr, 2700*time.Millisecond, false)
		s.run(450 * time.Millisecond)
		for range 150 {
			s.openFlow(0, 4, 2500*time.Millisecond)
		}
		s.run(900 * time.Millisecond)
		for _, a := range s.agents {
			a.restartPlanned(processRestartTime)
		}
		s.run(10 * time.Second)
	})
}
