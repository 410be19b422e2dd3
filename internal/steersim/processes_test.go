package steersim

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

const (
	agentShutdownDelay    = 250 * time.Millisecond
	balancerShutdownDelay = 2500 * time.Millisecond
	drainTime             = 3 * time.Second // from an acknowledged drain to the exit of a target
)

// startAgain starts a process of the agent beside its target, which may have exited.
func (a *agent) startAgain() {
	if a.core != nil || a.removed {
		return
	}
	a.start(false)
	core := a.core
	a.s.after(2*time.Millisecond, func() {
		if a.core != core {
			return
		}
		health := passthrough.Healthy
		switch {
		case a.target.exited:
			a.confirmNotRunning(core, a.s.clock(a.addr))
			return
		case a.target.draining:
			health = passthrough.Unhealthy
		}
		a.execute(core.HandleHealthCheck(a.s.clock(a.addr), health))
	})
}

// confirmNotRunning repeats a health check that was refused, as passnode does.
func (a *agent) confirmNotRunning(core *passthrough.Core, refused time.Time) {
	at, _ := core.NotRunningAt(refused)
	a.s.after(at.Sub(refused), func() {
		if a.core != core {
			return
		}
		health := passthrough.Unhealthy
		if _, silent := core.NotRunningAt(refused); silent && a.target.exited {
			health = passthrough.NotRunning
		}
		a.execute(core.HandleHealthCheck(a.s.clock(a.addr), health))
	})
}

// killFor kills the agent, which starts again after a time.
func (a *agent) killFor(d time.Duration) {
	if a.core == nil {
		return
	}
	a.s.logf("fault: agent %s killed for %s", a.addr, d)
	a.s.disrupt(a.addr, d)
	a.kill()
	a.s.after(d, a.startAgain)
}

// stop stops the agent as planned and then calls next.
func (a *agent) stop(next func()) {
	s, core := a.s, a.core
	if core == nil {
		next()
		return
	}
	s.logf("fault: agent %s stops", a.addr)
	a.execute(core.Leave(s.clock(a.addr)))
	end := func() {
		if a.core == core {
			a.kill()
		}
		next()
	}
	if core.State() == steerwire.TargetGone || a.target.exited {
		a.execute(core.End(s.clock(a.addr)))
		if a.listed && !s.storeCut(a.addr) {
			s.removeObjectOf(a, a.objectIncarnation)
		}
		s.after(localDelay, end)
		return
	}
	s.after(agentShutdownDelay, func() {
		if a.core == core {
			a.execute(core.Flush(s.clock(a.addr)))
		}
		end()
	})
}

// restartPlanned stops the agent as planned and starts it again.
func (a *agent) restartPlanned(d time.Duration) {
	a.stop(func() { a.s.after(d, a.startAgain) })
}

// crashTarget ends the target, and starts one after a time, with the same identity if sameID
// is set.
func (a *agent) crashTarget(d time.Duration, sameID bool) {
	s, old := a.s, a.target
	if old.exited {
		return
	}
	s.logf("fault: target of %s crashed for %s, same id %t", a.addr, d, sameID)
	s.disrupt(a.addr, d)
	old.exited = true
	s.after(d, func() {
		if a.target != old || a.removed {
			return
		}
		a.newTarget(old.service)
		if sameID {
			a.target.id = old.id
		}
	})
}

// release drains the target, ends it and its agent, and then calls next.
func (a *agent) release(extra time.Duration, next func()) {
	s, t := a.s, a.target
	if t.exited || t.draining || a.removed {
		return
	}
	s.logf("fault: target of %s is released", a.addr)
	t.draining = true
	s.after(heartbeatInterval+drainTime+extra, func() {
		if a.target != t || t.exited || a.removed {
			return
		}
		t.exited = true
		s.whenAwake(a.addr, func() {
			if a.core != nil {
				a.execute(a.core.HandleTargetExit(s.clock(a.addr), passthrough.Exit{Target: t.id, StartMillis: t.startMillis}))
			}
		})
		a.stop(func() {
			a.removed = true
			a.kill()
			next()
		})
	})
}

// lose ends the VM of an agent and its target for good.
func (a *agent) lose() {
	a.s.logf("fault: the VM of agent %s is lost", a.addr)
	a.target.exited, a.removed = true, true
	a.kill()
}

// addAgentAt adds an agent that registers itself, at a new address or one used before.
func (s *sim) addAgentAt(service model.ServiceName, former *agent) *agent {
	i := len(s.agents)
	a := &agent{s: s, registers: true, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i % 3), byte(i + 1)}), 7000)}
	if former != nil {
		a.addr, a.listed, a.objectIncarnation = former.addr, former.listed, former.objectIncarnation
		former.listed = false
		s.formerTargets = append(s.formerTargets, former.target)
	}
	s.logf("fault: agent %s of %s added", a.addr, service)
	s.agents = append(s.agents, a)
	a.newTarget(service)
	a.startAgain()
	return a
}

func (b *balancer) startAgain() {
	if b.core == nil && !b.removed {
		b.s.logf("fault: balancer %s starts", b.addr)
		b.start()
	}
}

// killFor kills the balancer, which starts again after a time.
func (b *balancer) killFor(d time.Duration) {
	if b.core == nil {
		return
	}
	b.s.logf("fault: balancer %s killed for %s", b.addr, d)
	b.s.disrupt(b.addr, d)
	b.kill()
	b.s.after(d, b.startAgain)
}

// stop stops the balancer as planned and then calls next.
func (b *balancer) stop(next func()) {
	s, core := b.s, b.core
	if core == nil {
		return
	}
	s.logf("fault: balancer %s stops", b.addr)
	core.Leave()
	s.after(balancerShutdownDelay, func() {
		if b.core == core {
			b.kill()
			next()
		}
	})
}

func (b *balancer) restartPlanned(d time.Duration) {
	b.stop(func() { b.s.after(d, b.startAgain) })
}

func (b *balancer) removeForGood() {
	b.removed = true
	b.kill()
}

// addBalancerAt adds a balancer at a new address or one used before.
func (s *sim) addBalancerAt(former *balancer) {
	if former != nil && former.removed {
		b := &balancer{s: s, addr: former.addr}
		s.balancers = append(s.balancers, b)
		b.startAgain()
	} else {
		s.addBalancer()
	}
	b := s.balancers[len(s.balancers)-1]
	s.logf("fault: balancer %s added", b.addr)
	s.after(s.randomUpTo(probeInterval), func() { s.probe(b) })
}

// eachSeed runs f as a subtest for each seed.
func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { f(t, seed) })
	}
}
