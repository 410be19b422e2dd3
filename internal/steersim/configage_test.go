package steersim

import (
	"net/netip"
	"testing"
	"time"
)

// confirmConfig plays a read of the configuration beside the watches.
func (b *balancer) confirmConfig() {
	s, core, asOf := b.s, b.core, b.s.clock(b.addr)
	s.confirms++
	if s.storeCut(b.addr) {
		return
	}
	s.after(s.storeTime(), func() {
		s.whenAwake(b.addr, func() {
			if b.core == core {
				b.execute(core.SetConfig(s.clock(b.addr), s.config))
				b.execute(core.ConfigCurrent(s.clock(b.addr), asOf))
				b.execute(core.ConfigConfirmed(s.clock(b.addr)))
			}
		})
	})
}

// fetchConfig plays the transfer of a configuration from another balancer.
func (b *balancer) fetchConfig(from netip.AddrPort) {
	s, core := b.s, b.core
	s.after(3*linkDelay(b.addr, from), func() {
		for _, p := range s.balancers {
			if p.addr == from && p.core != nil && p.core.Config() != nil && b.core == core && !s.cut(from, b.addr) && !s.cut(b.addr, from) {
				b.execute(core.SetPeerConfig(s.clock(b.addr), p.core.Config()))
			}
		}
	})
}

// maxConfigAge returns the highest age of the configuration at the balancers that run.
func (s *sim) maxConfigAge() time.Duration {
	out := time.Duration(0)
	for _, b := range s.balancers {
		if b.core != nil {
			out = max(out, b.core.ConfigAge(s.clock(b.addr)))
		}
	}
	return out
}

// Guards against balancers that do not know how old their configuration is, and against
// calls to the store that are made for it while readers confirm it.
func TestHistoryAgeOfTheConfigurationIsKnown(t *testing.T) {
	for _, n := range []int{2, 12, 30} {
		s := newSim(t, 1, n, services)
		s.run(5 * time.Second)
		s.confirms = 0
		for range 20 {
			s.run(500 * time.Millisecond)
			if a := s.maxConfigAge(); a > propagationBound {
				s.fail("a configuration is %s old, with %d balancers", a, n)
			}
		}
		if s.confirms > 0 {
			s.fail("%d reads of the configuration beside the watches, with %d balancers", s.confirms, n)
		}
	}
}

// Guards against an old configuration at all balancers that are not readers while the
// readers wait for answers of a store that has gone silent for them.
func TestFaultAllReadersWaitInVain(t *testing.T) {
	runConfigHistory(t, propagationBound, func(s *sim, readers []*balancer) {
		cut := addrsOf(readers)
		s.storeCut = func(a netip.AddrPort) bool { return cut[a] }
	})
}

// Guards against reads of a store that is away whose number grows with the fleet, and
// against balancers that are late after its return.
func TestFaultStoreIsAwayForALargeFleet(t *testing.T) {
	const away = 10 * time.Second
	for _, n := range []int{2, 12, 60} {
		s := newSim(t, 1, n, services)
		s.run(6 * time.Second)
		s.storeCut = func(netip.AddrPort) bool { return true }
		s.confirms = 0
		s.run(away)
		if a := s.maxConfigAge(); a < away-propagationBound {
			s.fail("a configuration counts as %s old, the store is away for %s", a, away)
		}
		if limit := 5 * int(away/time.Second); s.confirms > limit {
			s.fail("%d reads of the configuration by %d balancers, at most %d expected", s.confirms, n, limit)
		}
		s.storeCut = func(netip.AddrPort) bool { return false }
		s.changeConfig()
		s.run(propagationBound)
		s.checkConfigInForce()
		if a := s.maxConfigAge(); a > propagationBound {
			s.fail("a configuration is %s old, the store is back for %s", a, propagationBound)
		}
	}
}
