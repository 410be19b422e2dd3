package steersim

import (
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// propagationBound is the time within which an acknowledged configuration must be in
	// force at every balancer.
	propagationBound = 3 * time.Second
	// unstableStoreBound is the same while the store turns processes away.
	unstableStoreBound = propagationBound + 12*time.Second
	readersOfFleet     = 9 // three in each of the three data centres
)

// changeConfig puts a new revision of the configuration into the store.
func (s *sim) changeConfig() {
	next := *s.config
	next.Revision++
	next.Version++
	next.Routes = maps.Clone(s.config.Routes)
	s.config = &next
}

// readers returns the balancers that read the store.
func (s *sim) readers() []*balancer {
	var out []*balancer
	for _, b := range s.balancers {
		if b.core != nil && b.core.ReadsStore(s.now) {
			out = append(out, b)
		}
	}
	return out
}

func addrsOf(bs []*balancer) map[netip.AddrPort]bool {
	out := make(map[netip.AddrPort]bool)
	for _, b := range bs {
		out[b.addr] = true
	}
	return out
}

// checkConfigInForce fails the test unless all balancers that run have the configuration.
func (s *sim) checkConfigInForce() {
	s.t.Helper()
	for _, b := range s.balancers {
		if b.core != nil && b.core.Config().Version != s.config.Version {
			s.fail("balancer %s has version %d, the store has %d", b.addr, b.core.Config().Version, s.config.Version)
		}
	}
}

// runConfigHistory plays a fleet of 30 balancers in which break changes what the readers
// can do. A configuration changed at that moment must be in force within bound, and one
// changed after it within propagationBound.
func runConfigHistory(t *testing.T, bound time.Duration, breakReaders func(s *sim, readers []*balancer)) {
	for _, seed := range seeds {
		s := newSim(t, seed, 30, services)
		s.loss = 0.001
		s.run(5 * time.Second)
		if n := len(s.readers()); n != readersOfFleet {
			s.fail("%d balancers read the store, want %d", n, readersOfFleet)
		}
		breakReaders(s, s.readers())
		s.changeConfig()
		s.run(bound)
		s.checkConfigInForce()
		s.changeConfig()
		s.run(propagationBound)
		s.checkConfigInForce()
	}
}

// Guards against a watch of every balancer: the calls to the store must not grow with the
// number of balancers.
func TestHistoryFewBalancersReadTheStore(t *testing.T) {
	runConfigHistory(t, propagationBound, func(*sim, []*balancer) {})
	is := is.New(t)
	watches := make(map[int]int)
	for _, n := range []int{12, 60} {
		s := newSim(t, 1, n, services)
		s.run(5 * time.Second)
		for range 10 {
			s.changeConfig()
			s.run(time.Second)
		}
		s.checkConfigInForce()
		watches[n] = s.watches
	}
	is.Equal(watches[12], watches[60])
}

// Guards against balancers that keep an old configuration because the readers died.
func TestHistoryAllReadersAreKilled(t *testing.T) {
	runConfigHistory(t, propagationBound, func(s *sim, readers []*balancer) {
		for _, b := range readers {
			b.kill()
		}
	})
}

// Guards against the same when the readers stop as planned.
func TestHistoryAllReadersStop(t *testing.T) {
	runConfigHistory(t, propagationBound, func(s *sim, readers []*balancer) {
		for _, b := range readers {
			b.inRotation = false
			b.core.Leave()
			s.after(2500*time.Millisecond, b.kill)
		}
	})
}

// Guards against the same when the store turns away the readers of a data centre.
func TestHistoryReadersOfADataCentreAreCutFromTheStore(t *testing.T) {
	runConfigHistory(t, propagationBound, func(s *sim, readers []*balancer) {
		cut := addrsOf(readers)
		s.storeCut = func(a netip.AddrPort) bool { return cut[a] && a.Addr().As4()[2] == 0 }
	})
}

// Guards against calls of balancers that the store turns away, while others can read it.
func TestHistoryReadersThatCannotReadStop(t *testing.T) {
	s := newSim(t, 1, 30, services)
	s.run(5 * time.Second)
	cut := addrsOf(s.readers())
	s.storeCut = func(a netip.AddrPort) bool { return cut[a] }
	s.run(unstableStoreBound)
	for _, b := range s.readers() {
		if cut[b.addr] {
			s.fail("%s cannot read the store and is a reader", b.addr)
		}
	}
	if n := len(s.readers()); n != readersOfFleet {
		s.fail("%d balancers read the store, want %d", n, readersOfFleet)
	}
}

// Guards against balancers that keep an old configuration because the store turns away all
// readers. Each data centre goes through its balancers by rank until it finds three that
// reach the store.
func TestHistoryAllReadersAreCutFromTheStore(t *testing.T) {
	runConfigHistory(t, unstableStoreBound, func(s *sim, readers []*balancer) {
		cut := addrsOf(readers)
		s.storeCut = func(a netip.AddrPort) bool { return cut[a] }
	})
}

// Guards against a balancer that keeps an old configuration because it is cut off from all
// others, but not from the store.
func TestHistoryBalancerIsCutOffFromAllOthers(t *testing.T) {
	runConfigHistory(t, propagationBound, func(s *sim, readers []*balancer) {
		alone := s.balancers[len(s.balancers)-1].addr
		s.cut = func(a, b netip.AddrPort) bool { return a == alone || b == alone }
	})
}

// Guards against one listing of the agents for each balancer when callers of ended flows
// return after all processes and targets were lost.
func TestHistoryListingsAreShared(t *testing.T) {
	for _, seed := range seeds {
		s := newSim(t, seed, 30, services)
		s.run(3 * time.Second)
		s.generateTraffic(6*time.Second, 300, 0.5)
		s.run(4 * time.Second)
		for _, b := range s.balancers {
			b.kill()
			s.after(time.Duration(s.rand.IntN(300))*time.Millisecond, b.start)
		}
		for _, a := range s.agents {
			a.kill()
			a.target.exited = true
			s.after(time.Duration(s.rand.IntN(300))*time.Millisecond, func() {
				a.newTarget(a.target.service)
				a.start(false)
				a.confirmNotRunning(a.core, s.now)
			})
		}
		clear(s.holders)
		s.listings = 0
		const recovery = 2 * time.Second
		s.run(recovery)
		if s.resets == 0 {
			s.fail("no flow was reset within %s of the restart", recovery)
		}
		// A listing at the start of each balancer, then ten a second in each data centre.
		if limit := len(s.balancers) + 3*int(recovery/(100*time.Millisecond)); s.listings > limit {
			s.fail("%d listings in %s, limit %d", s.listings, recovery, limit)
		}
		t.Logf("%d listings, %d resets", s.listings, s.resets)
	}
}
