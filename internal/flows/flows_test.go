package flows

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// newSteadySim returns a simulation in steady state with 5% loss, 3% duplicated and
// late packets, and views that differ for up to 4 s between agents and 5 s between
// balancers.
func newSteadySim(seed uint64, targets ...int) *sim {
	s := newSim(seed, targets...)
	s.loss, s.dup = 0.05, 0.03
	s.agentLag, s.balancerLag = 4*time.Second, 5*time.Second
	for i := range s.views {
		s.moveAddr(addr(i), i)
	}
	s.run(8 * time.Second)
	return s
}

func (s *sim) countRecords(kind recordKind) int {
	n := 0
	for _, r := range s.history {
		if r.kind == kind {
			n++
		}
	}
	return n
}

// churn opens flows on random addresses until the given time. A flow lasts for lifetime
// on average.
func (s *sim) churn(perSecond int, lifetime, until time.Duration) {
	if s.now.Sub(epoch) < until {
		s.openFlow(addr(s.rng.IntN(len(s.views))), s.random(2*lifetime))
		s.after(time.Second/time.Duration(perSecond), func() { s.churn(perSecond, lifetime, until) })
	}
}

func (s *sim) check(t *testing.T) {
	t.Helper()
	bad := findViolations(s.history, s.agentLag, func(node string) string { return strings.Split(node, "-")[0] })
	for i, b := range bad {
		if i < 5 {
			t.Error(b)
		}
	}
	if len(bad) > 5 {
		t.Errorf("and %d more", len(bad)-5)
	}
	if len(s.packets) > 0 {
		t.Errorf("%d packets without a final action", len(s.packets))
	}
	if len(s.history) < 1000 {
		t.Errorf("got %d records, want at least 1000", len(s.history))
	}
}

// Guards against two holders, packets accepted by another service's agent and broken
// flows while targets join, drain and change weight and an address moves.
func TestHistoryPlannedChanges(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSteadySim(seed, 7, 3)
			s.churn(60, 20*time.Second, 80*time.Second)
			s.run(5 * time.Second)
			s.addAgent(0, s.now)
			s.publish()
			s.run(3 * time.Second)
			s.leave(s.agents[2])
			s.run(4 * time.Second)
			s.editMember(s.agents[3], func(m *model.Member) { m.Weight = 2 })
			s.publish()
			s.run(2 * time.Second)
			s.moveAddr(addr(0), 1)
			s.run(10 * time.Second)
			s.leave(s.agents[8])
			s.addAgent(1, s.now)
			s.publish()
			s.run(15 * time.Second)
			s.moveAddr(addr(0), 0)
			s.run(120 * time.Second)
			s.check(t)
		})
	}
}

// Guards against two holders and broken flows when an operator reverses a decision
// ten times, faster than the changes reach all nodes.
func TestHistoryTenReversals(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSteadySim(seed, 7, 3)
			s.churn(60, 20*time.Second, 70*time.Second)
			s.run(10 * time.Second)
			for i := range 10 {
				s.editMember(s.agents[1], func(m *model.Member) { m.Weight = float64(i % 2) })
				s.moveAddr(addr(1), (i+1)%2)
				s.run(s.random(3 * time.Second))
			}
			s.run(120 * time.Second)
			s.check(t)
		})
	}
}

// Guards against two agents that open the same flow because they receive copies of
// its opening packet at the same time while the views of balancers and agents differ.
func TestHistoryConcurrentOpenings(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSteadySim(seed, 7, 3)
			s.extraCopies = 3
			s.churn(60, 5*time.Second, 60*time.Second)
			for i := range 6 {
				s.editMember(s.agents[i], func(m *model.Member) { m.Weight = 0.25 })
				s.editMember(s.agents[(i+3)%7], func(m *model.Member) { m.Weight = 3 })
				s.publish()
				s.run(9 * time.Second)
			}
			s.run(60 * time.Second)
			s.check(t)
		})
	}
}

// Guards against the loss of other targets' flows when a target crashes, and against
// callers that hang instead of reconnecting.
func TestFaultCrashBreaksOnlyOwnFlows(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := newSteadySim(seed, 7, 3)
			s.churn(60, 20*time.Second, 60*time.Second)
			s.run(20 * time.Second)
			s.hangTimeout = 60 * time.Second // resets need the crashed agent removed and the views settled
			s.crash(s.agents[4])
			s.run(2 * time.Second)
			s.crash(s.agents[9])
			s.run(120 * time.Second)
			s.check(t)
			if n := s.countRecords(recReset); n < 50 {
				t.Errorf("got %d resets for more than 100 flows of crashed targets, want at least 50", n)
			}
		})
	}
}

// Guards against exceptions for an agent's previous incarnation: after its restart the
// agent holds none of those flows.
func TestFaultRestartUnderTheSameID(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			// With 20 targets, a restarted home learns most holders only from registrations.
			s := newSteadySim(seed, 7+13*int(seed), 3)
			s.churn(60, 30*time.Second, 60*time.Second)
			s.run(15 * time.Second)
			for _, a := range s.agents[4 : 6+6*seed] { // both homes of many flows
				s.crash(a)
				s.run(s.random(2 * time.Second))
				s.restart(a)
				s.run(4 * time.Second)
			}
			s.run(120 * time.Second)
			s.check(t)
			for _, a := range s.agents {
				for i := range a.core.exceptions.slots {
					sl := &a.core.exceptions.slots[i]
					if m, ok := a.core.table.Member(sl.value.holder); sl.used && ok && sl.value.inc < m.Incarnation {
						t.Errorf("%s keeps an entry for incarnation %d of %s", a.member.ID, sl.value.inc, m.ID)
					}
				}
			}
		})
	}
}
