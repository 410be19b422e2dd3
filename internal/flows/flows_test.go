package flows

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// started returns services in steady state on the network of the histories: 5%
// loss, 3% duplication and late packets, and views that differ for up to 4 s
// between agents and 5 s between balancers.
func started(seed uint64, targets ...int) *sim {
	s := newSim(seed, targets...)
	s.loss, s.dup = 0.05, 0.03
	s.agentLag, s.balancLag = 4*time.Second, 5*time.Second
	for i := range s.views {
		s.move(addr(i), i)
	}
	s.run(8 * time.Second)
	return s
}

func (s *sim) broken(kind recordKind) int {
	n := 0
	for _, r := range s.history {
		if r.kind == kind {
			n++
		}
	}
	return n
}

// churn keeps opening flows on all addresses until the given time.
func (s *sim) churn(perSecond int, life, until time.Duration) {
	if s.now.Sub(epoch) < until {
		s.call(addr(s.rng.IntN(len(s.views))), s.random(2*life))
		s.after(time.Second/time.Duration(perSecond), func() { s.churn(perSecond, life, until) })
	}
}

func (s *sim) check(t *testing.T) {
	t.Helper()
	bad := check(s.history, s.agentLag, func(node string) string { return strings.Split(node, "-")[0] })
	for i, b := range bad {
		if i < 5 {
			t.Error(b)
		}
	}
	if len(bad) > 5 {
		t.Errorf("and %d more", len(bad)-5)
	}
	if len(s.packets) > 0 {
		t.Errorf("%d packets never ended", len(s.packets))
	}
	if len(s.history) < 1000 {
		t.Errorf("only %d records", len(s.history))
	}
}

// Guards against two holders, a packet at another service's agent and a broken
// flow while targets join, drain and change weight and an address moves.
func TestHistoryPlannedChanges(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := started(seed, 7, 3)
			s.churn(60, 20*time.Second, 80*time.Second)
			s.run(5 * time.Second)
			s.start(0, s.now)
			s.publish()
			s.run(3 * time.Second)
			s.leave(s.agents[2])
			s.run(4 * time.Second)
			s.change(s.agents[3], func(m *model.Member) { m.Weight = 2 })
			s.publish()
			s.run(2 * time.Second)
			s.move(addr(0), 1)
			s.run(10 * time.Second)
			s.leave(s.agents[8])
			s.start(1, s.now)
			s.publish()
			s.run(15 * time.Second)
			s.move(addr(0), 0)
			s.run(120 * time.Second)
			s.check(t)
		})
	}
}

// Guards against two holders and broken flows when an operator reverses a
// decision ten times, faster than it reaches all nodes.
func TestHistoryTenReversals(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := started(seed, 7, 3)
			s.churn(60, 20*time.Second, 70*time.Second)
			s.run(10 * time.Second)
			for i := range 10 {
				s.change(s.agents[1], func(m *model.Member) { m.Weight = float64(i % 2) })
				s.move(addr(1), (i+1)%2)
				s.run(s.random(3 * time.Second))
			}
			s.run(120 * time.Second)
			s.check(t)
		})
	}
}

// Guards against two agents that open one flow because copies of its opening
// packet reach them at once, while the views of balancers and agents differ.
func TestHistoryConcurrentOpenings(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := started(seed, 7, 3)
			s.copies = 3
			s.churn(60, 5*time.Second, 60*time.Second)
			for i := range 6 {
				s.change(s.agents[i], func(m *model.Member) { m.Weight = 0.25 })
				s.change(s.agents[(i+3)%7], func(m *model.Member) { m.Weight = 3 })
				s.publish()
				s.run(9 * time.Second)
			}
			s.run(60 * time.Second)
			s.check(t)
		})
	}
}

// Guards against losing flows of other targets when one crashes, and against
// callers that hang instead of reconnecting.
func TestFaultCrashBreaksOnlyOwnFlows(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			s := started(seed, 7, 3)
			s.churn(60, 20*time.Second, 60*time.Second)
			s.run(20 * time.Second)
			s.patience = 60 * time.Second // resets start when the crashed agent is gone and views have settled
			s.crash(s.agents[4])
			s.run(2 * time.Second)
			s.crash(s.agents[9])
			s.run(120 * time.Second)
			s.check(t)
			if n := s.broken(recReset); n < 50 {
				t.Errorf("%d resets, of more than 100 flows whose target crashed", n)
			}
		})
	}
}

// Guards against entries that still point at the life of an agent before its
// restart: its new life knows none of the flows.
func TestFaultRestartUnderTheSameID(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			// With 20 targets, a restarted home finds most holders only by their registrations.
			s := started(seed, 7+13*int(seed), 3)
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
