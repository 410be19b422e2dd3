package steersim

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// reopen opens a flow with the addresses and ports of a closed one.
func (c *caller) reopen(n int, pause time.Duration) {
	again := c.s.newCaller(n, pause)
	again.flow = c.flow
	again.open()
}

// closedFlows returns the callers of flows that have just closed.
func closedFlows(s *sim, n int) []*caller {
	var out []*caller
	for range n {
		out = append(out, s.openFlow(0, 1, 0))
	}
	s.run(800 * time.Millisecond)
	return out
}

// Guards against resets of open flows whose addresses and ports belonged to a flow that the
// same target closed shortly before.
func TestFaultPortsOpenedAgainAtTheSameTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 1, map[model.ServiceName]int{"alpha": 1})
		s.run(2 * time.Second)
		for _, c := range closedFlows(s, 5) {
			c.reopen(3, 5*time.Second)
		}
		s.run(15 * time.Second) // reset checks that no running target holds the flow
	})
}

// Guards against packets that go to the target of a closed flow and not to the one that has
// since opened a flow of the same addresses and ports, when a balancer restarts.
func TestFaultPortsOpenedAgainAtAnotherTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 3, map[model.ServiceName]int{"alpha": 4})
		s.run(2 * time.Second)
		s.balancers[0].stopAndRestart()
		s.run(2500*time.Millisecond + processRestartTime - 800*time.Millisecond)
		closed := closedFlows(s, 40) // by the other balancers
		s.run(200 * time.Millisecond)
		for _, c := range closed {
			c.reopen(8, 500*time.Millisecond)
		}
		s.run(200 * time.Millisecond)
		s.balancers[0].stopAndRestart()
		s.run(10 * time.Second) // targets check for misdirected packets
	})
}
