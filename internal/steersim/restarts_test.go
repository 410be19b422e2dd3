package steersim

import (
	"testing"
	"time"
)

// stopAndRestart stops an agent as planned; it starts again beside its running target.
func (a *agent) stopAndRestart() {
	if a.core == nil {
		return
	}
	core := a.core
	a.execute(core.Leave(a.s.now))
	a.s.after(250*time.Millisecond, func() {
		if a.core == core {
			a.execute(core.Flush(a.s.now))
			a.restart()
		}
	})
}

// stopAndRestart stops a balancer as planned; it starts again.
func (b *balancer) stopAndRestart() {
	if b.core == nil {
		return
	}
	core := b.core
	b.inRotation = false
	core.Leave()
	b.s.after(2500*time.Millisecond, func() {
		if b.core == core {
			b.kill()
			b.s.after(processRestartTime, b.start)
		}
	})
}

// Guards against packets of open flows that go from one target to the next for seconds and
// not to their own, when agents and balancers restart in series.
func TestFaultAgentsAndBalancersRestartInSeries(t *testing.T) {
	forEachSeed(t, func(t *testing.T, s *sim) {
		for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
			s.after(at, func() { s.openFlow(0, 8, 2500*time.Millisecond) })
		}
		for at := 5 * time.Second; at < 23*time.Second; at += 2200 * time.Millisecond {
			for i, a := range s.agents {
				s.after(at+time.Duration(i/3)*300*time.Millisecond, a.stopAndRestart)
			}
		}
		for at := 6 * time.Second; at < 25*time.Second; at += 3600 * time.Millisecond {
			for i, b := range s.balancers {
				s.after(at+time.Duration(i/3)*300*time.Millisecond, b.stopAndRestart)
			}
		}
		s.run(35 * time.Second) // targets check for misdirected packets
	})
}
