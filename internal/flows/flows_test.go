package flows

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// lossy is the network of the histories: 5% loss, 3% duplication and late
// packets, and views that differ for up to 4 s between agents and 5 s between
// balancers.
func lossy(s *sim) {
	s.loss, s.dup = 0.05, 0.03
	s.agentLag, s.balancLag = 4*time.Second, 5*time.Second
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
	if s.callers == nil || len(s.history) < 1000 {
		t.Errorf("only %d records", len(s.history))
	}
}

// Guards against two holders, a packet at another service's agent and a broken
// flow while targets join, drain and change weight and an address moves.
func TestHistoryPlannedChanges(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := newSim(seed, 7, 3)
			lossy(s)
			for i := range s.views {
				s.move(addr(i), i)
			}
			s.run(8 * time.Second)
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

func (s *sim) leave(a *simAgent) {
	s.step(a, Leave{})
	s.change(a, func(m *model.Member) { m.State = model.StateLeaving })
	s.publish()
}
