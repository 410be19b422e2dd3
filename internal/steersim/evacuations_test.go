package steersim

import (
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/evacuation"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// evacuationBound is the time from an evacuation until no balancer in touch may open a flow
// in the data centre, and from its end until flows are opened there again.
const evacuationBound = 5 * time.Second

// evacuationStore holds the operator's evacuations in the store.
type evacuationStore struct {
	revision uint64
	entries  map[model.DataCentre]uint64 // with the version of each
	since    map[model.DataCentre]time.Time
}

func newEvacuationStore() evacuationStore {
	return evacuationStore{revision: 1, entries: map[model.DataCentre]uint64{}, since: map[model.DataCentre]time.Time{}}
}

func (s *sim) evacuate(dc model.DataCentre) {
	s.logf("fault: %s is evacuated", dc)
	s.evacuations.revision++
	s.evacuations.entries[dc], s.evacuations.since[dc] = s.evacuations.revision, s.now
}

func (s *sim) takeBack(dc model.DataCentre) {
	s.logf("fault: %s is taken back", dc)
	s.evacuations.revision++
	delete(s.evacuations.entries, dc)
	delete(s.evacuations.since, dc)
}

func (s *sim) evacuationListing(asOf time.Time) evacuation.Listing {
	return evacuation.Listing{
		Position: storeapi.Position{Epoch: s.epoch, Revision: s.evacuations.revision},
		Entries:  maps.Clone(s.evacuations.entries), AsOf: asOf,
	}
}

// readEvacuations plays a listing of the evacuations.
func (b *balancer) readEvacuations(core *steer.Core) {
	s := b.s
	asOf := s.clock(b.addr)
	s.after(s.storeTime(), func() {
		if b.core == core && !s.storeCut(b.addr) {
			b.execute(core.SetEvacuations(s.clock(b.addr), s.evacuationListing(asOf)))
		}
	})
}

// watchEvacuations plays the watch of the evacuations.
func (b *balancer) watchEvacuations(core *steer.Core) {
	s, now := b.s, b.s.clock(b.addr)
	if !core.WatchesEvacuations(now) || s.storeCut(b.addr) {
		return
	}
	if l := s.evacuationListing(now); l.Position != b.evacuationsRead || s.now.Sub(b.lastEvacuationsRead) >= watchWait {
		b.evacuationsRead, b.lastEvacuationsRead = l.Position, s.now
		b.execute(core.SetEvacuations(now, l))
	}
}

// checkEvacuation fails the test if a flow is opened in a data centre later than
// evacuationBound after its evacuation.
func (s *sim) checkEvacuation(a *agent, g segment.Segment) {
	since, evacuated := s.evacuations.since[dataCentreOf(a.addr)]
	if !evacuated || s.now.Sub(since) <= evacuationBound || s.rule != nil && !s.counts(s.lastTaker[g.Flow], a.target, g.Flow) {
		return
	}
	s.failFlow(g.Flow, "flow %s was opened at %s, whose data centre was evacuated %s before", g.Flow.Src, a.addr, s.now.Sub(since))
}

// placedIn returns the number of targets in a data centre that balancers placed flows at
// since the last call.
func (s *sim) placedIn(dc model.DataCentre) int {
	targets := map[netip.AddrPort]bool{}
	for _, p := range s.placed {
		for t := range p {
			if dataCentreOf(t) == dc {
				targets[t] = true
			}
		}
	}
	s.placed = map[netip.AddrPort]map[netip.AddrPort]bool{}
	return len(targets)
}

// runEvacuation evacuates a data centre, calls disturb, and takes the data centre back when
// restore has been called. Flows are opened all the while.
func runEvacuation(t *testing.T, disturb, restore func(s *sim)) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 12, services)
		s.loss, s.placed = 0.001, map[netip.AddrPort]map[netip.AddrPort]bool{}
		s.run(3 * time.Second)
		s.generateTraffic(30*time.Second, 100, 0.3)
		s.run(2 * time.Second)
		if s.placedIn("dc-1") == 0 {
			s.fail("no flow in dc-1 before its evacuation")
		}
		s.evacuate("dc-1")
		s.run(1500 * time.Millisecond)
		disturb(s)
		s.run(10 * time.Second)
		restore(s)
		s.run(2 * time.Second)
		s.placedIn("dc-1")
		s.takeBack("dc-1")
		s.run(evacuationBound)
		if s.placedIn("dc-1") == 0 {
			s.fail("no flow in dc-1 after it was taken back")
		}
		if s.served == 0 || s.failed > s.served/20 {
			s.fail("%d of %d requests failed", s.failed, s.served+s.failed)
		}
	})
}

func nothing(*sim) {}

// Guards against flows that are opened in a data centre that the operator has evacuated, and
// against one that stays empty after it was taken back.
func TestHistoryEvacuation(t *testing.T) { runEvacuation(t, nothing, nothing) }

// Guards against evacuations that end while no process can read the store.
func TestHistoryEvacuationWhileTheStoreIsSilent(t *testing.T) {
	runEvacuation(t, func(s *sim) {
		s.storeCut = func(netip.AddrPort) bool { return true }
	}, func(s *sim) { s.storeCut = func(netip.AddrPort) bool { return false } })
}

// Guards against processes that start without the evacuations, while the store is silent.
func TestHistoryProcessesRestartInAnEvacuation(t *testing.T) {
	runEvacuation(t, func(s *sim) {
		s.storeCut = func(netip.AddrPort) bool { return true }
		for i, b := range s.balancers {
			s.after(time.Duration(i)*600*time.Millisecond, func() { b.killFor(400 * time.Millisecond) })
		}
		for i, a := range s.agents {
			s.after(time.Duration(i)*300*time.Millisecond, func() { a.killFor(200 * time.Millisecond) })
		}
	}, func(s *sim) { s.storeCut = func(netip.AddrPort) bool { return false } })
}

// Guards against a balancer that hears neither the store nor other balancers and goes on to
// open flows in an evacuated data centre.
func TestHistoryEvacuationDuringWhichABalancerIsCutOff(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 12, services)
		s.run(3 * time.Second)
		s.generateTraffic(15*time.Second, 100, 0.3)
		alone, others := s.balancers[0].addr, addrsOf(s.balancers[1:])
		s.cut = func(a, b netip.AddrPort) bool { return a == alone && others[b] || b == alone && others[a] }
		s.storeCut = func(a netip.AddrPort) bool { return a == alone }
		s.evacuate("dc-1")
		s.run(15 * time.Second)
		if s.served == 0 || s.failed > s.served/20 {
			s.fail("%d of %d requests failed", s.failed, s.served+s.failed)
		}
	})
}

// Guards against evacuations that are lost, or back, after the store returns from a copy.
func TestHistoryEvacuationsAfterTheStoreIsRestored(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 12, services)
		s.placed = map[netip.AddrPort]map[netip.AddrPort]bool{}
		s.evacuate("dc-2")
		s.run(4 * time.Second)
		backup := newEvacuationStore()
		backup.revision, backup.entries = s.evacuations.revision, maps.Clone(s.evacuations.entries)
		s.takeBack("dc-2")
		s.evacuate("dc-1")
		since := s.evacuations.since
		s.run(4 * time.Second)

		s.epoch++
		s.evacuations, s.evacuations.since = backup, since
		s.generateTraffic(20*time.Second, 100, 0.3)
		s.run(10 * time.Second) // dc-1 stays evacuated
		if s.placedIn("dc-2") == 0 {
			s.fail("no flow in dc-2: its evacuation is back")
		}
		s.evacuate("dc-1")
		s.run(time.Second)
		s.takeBack("dc-1")
		s.run(evacuationBound)
		if s.placedIn("dc-1") == 0 {
			s.fail("no flow in dc-1 after it was taken back in the restored store")
		}
	})
}

// Guards against balancers and agents that do not work with those of an earlier release,
// which know nothing of evacuations.
func TestHistoryEvacuationAmongEarlierReleases(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		s := newSim(t, seed, 12, services)
		old := addrsOf(s.balancers[:4])
		for _, a := range s.agents[:3] {
			old[a.addr] = true
		}
		s.edit = func(from, to netip.AddrPort, m *steerwire.Message) {
			if old[from] || old[to] {
				m.Hello.Evacuations, m.Report.Evacuated = nil, false
			}
		}
		s.storeCut = func(a netip.AddrPort) bool { return old[a] && s.now.Sub(s.started) > 2*time.Second }
		s.run(3 * time.Second)
		s.generateTraffic(15*time.Second, 100, 0.3)
		s.run(time.Second)
		s.evacuate("dc-0") // of some of the earlier processes
		s.evacuations.since = map[model.DataCentre]time.Time{}
		s.run(evacuationBound)
		s.placed = map[netip.AddrPort]map[netip.AddrPort]bool{}
		s.run(3 * time.Second)
		for b, placed := range s.placed {
			for target := range placed {
				if dataCentreOf(target) == "dc-0" && !old[b] && !old[target] {
					s.fail("balancer %s placed a flow at %s", b, target)
				}
			}
		}
		s.takeBack("dc-0")
		s.run(evacuationBound)
		if s.placedIn("dc-0") == 0 || s.failed > s.served/20 {
			s.fail("no flow in dc-0, or %d of %d requests failed", s.failed, s.served+s.failed)
		}
	})
}

// Guards against flows in evacuated data centres beside all other events.
func TestHistoryOfEvacuations(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		newHistoryWith(t, seed, historyExtras{services: services, events: 5, evacuations: true}).play()
	})
}
