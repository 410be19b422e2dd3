package steersim

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against a configuration that is ignored, or reverted, after the store returns
// from a copy that lacks the last changes and assigns their revisions again.
func TestHistoryConfigurationAfterTheStoreIsRestored(t *testing.T) {
	for _, seed := range seeds {
		s := newSim(t, seed, 30, services)
		s.loss = 0.001
		s.run(5 * time.Second)
		backup := s.config
		for range 3 {
			s.changeConfig()
			s.run(propagationBound)
		}
		s.checkConfigInForce()
		last := s.config

		s.config = backup
		s.run(time.Second)
		for _, b := range s.balancers {
			if v := b.core.Config().Version; v != last.Version {
				s.fail("balancer %s went from version %d to %d", b.addr, last.Version, v)
			}
		}
		rewritten := *last
		rewritten.Revision = backup.Revision + 1
		s.config = &rewritten
		s.run(time.Second)
		s.changeConfig() // takes the revision after the backup a second time
		s.run(propagationBound)
		s.checkConfigInForce()
	}
}

// reregisterBound is the time from the return of the store within which the entry of a
// running agent must be back.
const reregisterBound = 2 * time.Second

// restoreStore replaces the list of agents in the store by a copy of it.
func (s *sim) restoreStore(listed []netip.AddrPort) {
	s.epoch++
	for _, a := range s.agents {
		a.listed = slices.Contains(listed, a.addr)
	}
}

// Guards against agents whose objects were written after the copy and that stay missing.
func TestHistoryLostAgentsRegisterAgain(t *testing.T) {
	for _, seed := range seeds {
		s := newSim(t, seed, 9, services)
		s.loss = 0.001
		s.run(5 * time.Second)
		backup := s.listed()
		for range 3 {
			s.addAgent("alpha", false)
		}
		s.generateTraffic(12*time.Second, 100, 0.3)
		s.run(6 * time.Second)
		s.restoreStore(backup)
		s.run(reregisterBound)
		if n := len(s.listed()); n != len(s.agents) {
			s.fail("the store lists %d agents, want %d", n, len(s.agents))
		}
		s.restoreStore(backup) // once more
		s.run(reregisterBound)
		if n := len(s.listed()); n != len(s.agents) {
			s.fail("the store lists %d agents after the second restoration, want %d", n, len(s.agents))
		}
		s.run(6 * time.Second)
		if s.resets > 0 || s.failed > s.served/300 {
			s.fail("%d flows reset, %d of %d requests failed", s.resets, s.failed, s.served+s.failed)
		}
	}
}

// Guards against agents that write their objects although the store lists them: the calls
// at a restoration must grow with the agents that it lost only.
func TestHistoryListedAgentsDoNotWrite(t *testing.T) {
	s := newSim(t, 1, 9, services)
	s.run(5 * time.Second)
	backup := s.listed()
	s.addAgent("alpha", false)
	s.run(6 * time.Second)
	s.registrations = 0
	s.restoreStore(backup)
	s.run(20 * time.Second)
	if s.registrations != 1 {
		s.fail("%d objects written, want 1", s.registrations)
	}
}

// simWithNewAgents returns a deployment with three agents that a copy of the store lacks,
// and the agents in that copy.
func simWithNewAgents(t *testing.T, seed uint64) (s *sim, backup []netip.AddrPort) {
	s = newSim(t, seed, 6, services)
	s.run(5 * time.Second)
	backup = s.listed()
	for range 3 {
		s.addAgent("alpha", false)
	}
	return s, backup
}

// restoreAndRestartBalancers restores the store and kills all balancers, which start again.
func (s *sim) restoreAndRestartBalancers(backup []netip.AddrPort) {
	s.restoreStore(backup)
	for _, b := range s.balancers {
		b.kill()
		s.after(450*time.Millisecond+time.Duration(s.rand.IntN(300))*time.Millisecond, b.start)
	}
}

// Guards against agents that are never found again when the store loses them and all
// balancers restart before they have registered again.
func TestHistoryLostAgentsAreFoundByRestartedBalancers(t *testing.T) {
	for _, seed := range seeds {
		s, backup := simWithNewAgents(t, seed)
		s.run(10 * time.Second)
		s.restoreAndRestartBalancers(backup)
		s.run(4 * time.Second)
		if n := len(s.listed()); n != len(s.agents) {
			s.fail("the store lists %d agents, want %d", n, len(s.agents))
		}
	}
}

// Guards against resets of open flows when the store loses agents and all balancers restart
// before these have registered again.
func TestHistoryNoOpenFlowIsResetInARestoredStore(t *testing.T) {
	for _, seed := range seeds {
		s, backup := simWithNewAgents(t, seed)
		s.run(6 * time.Second)
		s.generateTraffic(12*time.Second, 100, 0.5)
		s.run(4 * time.Second)
		s.restoreAndRestartBalancers(backup)
		s.run(10 * time.Second) // reset checks that no running target holds the flow
	}
}
