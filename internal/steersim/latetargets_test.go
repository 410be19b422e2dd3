package steersim

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
)

// simWithRestartedTarget returns a deployment in which the first target has restarted, with
// long flows, and the identity and start of the earlier one.
func simWithRestartedTarget(t *testing.T, seed uint64, sameID bool) (s *sim, a *agent, earlier passthrough.Heartbeat) {
	s = newSim(t, seed, 3, map[model.ServiceName]int{"alpha": 2})
	s.run(2 * time.Second)
	a = s.agents[0]
	old := a.target
	a.crashTarget(500*time.Millisecond, sameID)
	s.run(3 * time.Second)
	for range 40 {
		s.openFlow(0, 20, 400*time.Millisecond)
	}
	s.run(1200 * time.Millisecond)
	return s, a, passthrough.Heartbeat{Target: old.id, Service: old.service, Slots: old.slots, Sequence: old.seq + 1, StartMillis: old.startMillis}
}

// Guards against the loss of the flows of a running target whose agent restarts and then gets
// a delayed heartbeat of the target before.
func TestFaultLateHeartbeatOfAnEarlierTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s, a, earlier := simWithRestartedTarget(t, seed, false)
		a.restart()
		s.after(processRestartTime+time.Millisecond, func() {
			_, actions := a.core.HandleHeartbeat(s.clock(a.addr), earlier)
			a.execute(actions)
		})
		s.run(8 * time.Second)
	})
}

// Guards against the same when the announcement of the earlier target's exit is delayed.
func TestFaultLateExitOfAnEarlierTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s, a, earlier := simWithRestartedTarget(t, seed, false)
		a.restart()
		s.after(processRestartTime+time.Millisecond, func() {
			a.execute(a.core.HandleTargetExit(s.clock(a.addr), passthrough.Exit{Target: earlier.Target, StartMillis: earlier.StartMillis}))
		})
		s.run(8 * time.Second) // reset checks that no running target holds the flow
	})
}

// Guards against a target that gets no flows for ever, because the exit of an earlier one with
// its identity was announced late.
func TestFaultLateExitOfATargetWithTheSameIdentity(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s, a, earlier := simWithRestartedTarget(t, seed, true)
		a.execute(a.core.HandleTargetExit(s.clock(a.addr), passthrough.Exit{Target: earlier.Target, StartMillis: earlier.StartMillis}))
		s.run(5 * time.Second)
		h := &history{sim: s}
		h.checkAllTargetsGetFlows()
	})
}

// Guards against resets of idle flows of a running target whose agent restarts and then gets
// the first heartbeats of the target before, delayed and at the usual interval.
func TestFaultLateFirstHeartbeatsOfAnEarlierTarget(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 3, map[model.ServiceName]int{"alpha": 2})
		s.promptTimers = true
		s.run(2 * time.Second)
		a := s.agents[0]
		earlier := passthrough.Heartbeat{Target: a.target.id, Service: a.target.service, Slots: a.target.slots, StartMillis: a.target.startMillis}
		a.crashTarget(500*time.Millisecond, false)
		s.run(3 * time.Second)
		for range 40 {
			s.openFlow(0, 4, 3*time.Second)
		}
		s.run(1200 * time.Millisecond)
		a.restart()
		for n := range uint64(4) {
			s.after(processRestartTime+time.Millisecond+time.Duration(n)*s.heartbeatInterval, func() {
				earlier.Sequence, earlier.First = n+1, n == 0
				_, actions := a.core.HandleHeartbeat(s.clock(a.addr), earlier)
				a.execute(actions)
			})
		}
		for _, b := range s.balancers {
			b.killFor(processRestartTime)
		}
		s.run(12 * time.Second) // reset checks that no running target holds the flow
	})
}
