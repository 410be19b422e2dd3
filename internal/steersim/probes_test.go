package steersim

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// simWithUnsureAgents returns a deployment with long flows whose agents have restarted since,
// so that they do not know all flows of their targets.
func simWithUnsureAgents(t *testing.T, seed uint64) (s *sim, callers []*caller) {
	s = newSim(t, seed, 2, map[model.ServiceName]int{"alpha": 6})
	s.run(2 * time.Second)
	for range 60 {
		callers = append(callers, s.openFlow(0, 10, time.Second))
	}
	s.run(time.Second)
	for _, a := range s.agents {
		a.restartPlanned(100 * time.Millisecond)
	}
	s.run(500 * time.Millisecond)
	return s, callers
}

// restartBalancers starts all balancers again, which lose their hints.
func (s *sim) restartBalancers() {
	for _, b := range s.balancers {
		b.kill()
		b.start()
	}
}

// Guards against probes of a flow at several targets while the agent of the one that holds it
// restarts: callers that give up before it is back reach other targets only.
func TestFaultProbesWhileTheAgentOfTheHolderRestarts(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s, _ := simWithUnsureAgents(t, seed)
		s.agents[0].restartPlanned(1900 * time.Millisecond)
		s.restartBalancers()
		s.run(5 * time.Second) // recordMisdirected checks that packets reach the holder
	})
}

// Guards against flows that fail because they were probed at a crashed target, which bounces
// nothing, and then count as held by it.
func TestFaultProbesAtACrashedTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s, callers := simWithUnsureAgents(t, seed)
		crashed := s.agents[0].target
		crashed.exited = true
		s.restartBalancers()
		s.run(5 * time.Second)
		failed, all := 0, 0
		var last *caller
		for _, c := range callers {
			if h := s.holders[c.flow]; h != nil && h != crashed {
				all++
				if c.ended && c.awaitingReply {
					failed, last = failed+1, c
				}
			}
		}
		if failed > 0 {
			s.failFlow(last.flow, "%d of %d flows of running targets failed", failed, all)
		}
	})
}
