package steersim

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
)

// processRestartTime is the time from the end of a process to its next start.
const processRestartTime = 500 * time.Millisecond

// restart kills an agent, which starts again beside its running target.
func (a *agent) restart() {
	s := a.s
	a.kill()
	s.after(processRestartTime, func() {
		a.start(false)
		a.execute(a.core.HandleHealthCheck(s.clock(a.addr), passthrough.Healthy))
	})
}

// stepClocks sets the offset of the time of day on the VMs of processes.
func (s *sim) stepClocks(offset time.Duration, processes ...netip.AddrPort) {
	for _, p := range processes {
		s.clockOffset[p.Addr()] = offset
	}
}

// agentsOf returns the agents of a data centre.
func (s *sim) agentsOf(dc int) []*agent {
	var out []*agent
	for _, a := range s.agents {
		if int(a.addr.Addr().As4()[2]) == dc {
			out = append(out, a)
		}
	}
	return out
}

// Guards against resets of open flows whose agents started while the time of day was ahead,
// and started again after it was corrected.
func TestFaultClockGoesBackBetweenStartsOfAnAgent(t *testing.T) {
	forEachSeed(t, func(t *testing.T, s *sim) {
		s.generateTraffic(20*time.Second, 120, 0.3)
		for _, a := range s.agentsOf(0) {
			s.after(time.Second, func() { s.stepClocks(20*time.Second, a.addr) })
			s.after(2*time.Second, a.restart)
			s.after(5*time.Second, func() { s.stepClocks(0, a.addr) })
			s.after(7*time.Second, a.restart)
		}
		s.run(30 * time.Second) // reset checks that no running target holds the flow
		if s.failed > s.served/50 {
			s.fail("%d of %d requests failed", s.failed, s.served+s.failed)
		}
	})
}

// Guards against resets of open flows whose agents start after their targets, but under a
// clock that was set back by more than the age of the targets.
func TestFaultClockGoesBackBetweenStartsOfATargetAndItsAgent(t *testing.T) {
	forEachSeed(t, func(t *testing.T, s *sim) {
		s.generateTraffic(20*time.Second, 120, 0.3)
		for i, a := range s.agents {
			s.after(time.Second, func() { s.stepClocks(-20*time.Second, a.addr) })
			s.after(2*time.Second+time.Duration(i)*700*time.Millisecond, a.restart)
		}
		for i, b := range s.balancers {
			s.after(5*time.Second+time.Duration(i)*time.Second, func() {
				b.kill()
				s.after(processRestartTime, b.start)
			})
		}
		s.run(30 * time.Second) // reset checks that no running target holds the flow
		if s.failed > s.served/20 {
			s.fail("%d of %d requests failed", s.failed, s.served+s.failed)
		}
	})
}
