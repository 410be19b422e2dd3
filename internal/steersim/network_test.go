package steersim

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

const (
	registerRetryInterval = 250 * time.Millisecond // of writes of an agent's object
	probeInterval         = 500 * time.Millisecond // of the routers' readiness checks
	missedProbes          = 2                      // checks after which a balancer is out of rotation
	maxQueued             = 1024                   // messages of a paused process; later ones are dropped
)

// faults holds the switches of the simulated network, processes and store.
type faults struct {
	probes            map[*balancer]int                                       // missed readiness checks; nil if rotation follows readiness at once
	drop              func(from, to netip.AddrPort, m steerwire.Message) bool // loses messages; nil for none
	delayShare        float64                                                 // fraction of the messages that are delayed
	maxDelay          time.Duration                                           // of a delayed message
	duplicateShare    float64                                                 // fraction of the messages that are delivered twice
	openingDelay      time.Duration                                           // maximum of a delayed copy of an opening packet
	packetJitter      time.Duration                                           // maximum extra delay of a caller's packet
	lateOpenings      float64                                                 // fraction of the opening packets of which a copy arrives seconds late
	patience          time.Duration                                           // for which callers retransmit a request, if longer than usual
	reopenShare       float64                                                 // fraction of the closed flows whose addresses and ports are opened again
	storeSlowness     time.Duration                                           // maximum extra time of a call to the store
	staleness         time.Duration                                           // maximum age of listings that may be outdated
	snapshots         []listingSnapshot                                       // of the agents in the store, oldest first
	flowIdleTimeout   time.Duration                                           // of agents
	heartbeatInterval time.Duration                                           // of targets
	sentAt            map[model.Flow]time.Time                                // first packet of each flow to a balancer; nil if not recorded
	resetAt           map[model.Flow]time.Time                                // first reset of each flow; nil if not recorded
	promptTimers      bool                                                    // timers follow each change of a core, and not only its ticks
	seedCount         int                                                     // balancers in the settings of all processes
	paused            map[netip.AddrPort]bool                                 // processes that do not run
	inbox             map[netip.AddrPort][]func()                             // what a paused process will handle
	suspended         map[netip.Addr]time.Duration                            // time that VMs were suspended
	lastTaker         map[model.Flow]*balancer                                // balancer that was sent the last packet of a flow
	resetBy           map[model.Flow]*balancer                                // balancer that reset a flow
	placed            map[netip.AddrPort]map[netip.AddrPort]bool              // targets that each balancer has placed flows at; nil if not recorded
	rule              *flowRule                                               // which resets of open flows count; nil for all
	formerRoutes      map[netip.AddrPort][]model.ServiceName                  // services to which an address led earlier
	routesMovedAt     time.Time                                               // last change of the routes
	formerTargets     []*target                                               // targets that others followed at their addresses
	stalled           int                                                     // requests on open flows of running targets that got no answer in time
	uncounted         int                                                     // resets and misdirections of open flows that the rule does not count
	edit              func(from, to netip.AddrPort, m *steerwire.Message)     // changes messages; nil for none
}

type listingSnapshot struct {
	at     time.Time
	epoch  uint64
	agents []netip.AddrPort
}

func newFaults() faults {
	return faults{
		seedCount: 1, flowIdleTimeout: time.Minute, heartbeatInterval: heartbeatInterval, paused: map[netip.AddrPort]bool{}, inbox: map[netip.AddrPort][]func(){},
		formerRoutes: map[netip.AddrPort][]model.ServiceName{}, suspended: map[netip.Addr]time.Duration{}, lastTaker: map[model.Flow]*balancer{}, resetBy: map[model.Flow]*balancer{},
	}
}

// clock returns the steady clock of a process, which stands still while its VM is suspended.
func (s *sim) clock(a netip.AddrPort) time.Time { return s.now.Add(-s.suspended[a.Addr()]) }

func (s *sim) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range s.balancers[:min(s.seedCount, len(s.balancers))] {
		out = append(out, b.addr)
	}
	return out
}

// copies returns the extra delays with which the copies of a message arrive.
func (s *sim) copies() []time.Duration {
	out := []time.Duration{0}
	if s.duplicateShare > 0 && s.rand.Float64() < s.duplicateShare {
		out = append(out, 0)
	}
	for i := range out {
		if s.delayShare > 0 && s.rand.Float64() < s.delayShare {
			out[i] = s.randomUpTo(s.maxDelay)
		}
	}
	return out
}

func (s *sim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(d))
}

// callerDelay returns the extra delay of a caller's packet.
func (s *sim) callerDelay(g segment.Segment) time.Duration {
	if s.packetJitter > 0 && s.rand.Float64() < 0.1 {
		return s.randomUpTo(s.packetJitter)
	}
	if s.openingDelay == 0 || !g.Opens() || s.rand.Float64() > 0.1 {
		return 0
	}
	return s.randomUpTo(s.openingDelay)
}

func (s *sim) storeTime() time.Duration {
	if s.storeSlowness == 0 {
		return storeDelay
	}
	return storeDelay + s.randomUpTo(s.storeSlowness)
}

// whenAwake runs f at once, or when the process at a is no longer paused.
func (s *sim) whenAwake(a netip.AddrPort, f func()) {
	switch {
	case !s.paused[a]:
		f()
	case len(s.inbox[a]) < maxQueued:
		s.inbox[a] = append(s.inbox[a], f)
	}
}

// pause stops a process for a time. If suspended is set, its steady clock stops too.
func (s *sim) pause(a netip.AddrPort, d time.Duration, suspended bool) {
	if s.paused[a] {
		return
	}
	s.paused[a] = true
	s.logf("fault: process %s paused for %s, suspended %t", a, d, suspended)
	var resume func()
	end := s.now.Add(d)
	resume = func() {
		if s.paused[a] && !s.now.Before(end) {
			if suspended {
				s.suspended[a.Addr()] += d
			}
			s.wake(a, true)
		}
	}
	s.after(d, resume)
}

// wake ends the pause of a process, which handles what was queued unless it was killed.
func (s *sim) wake(a netip.AddrPort, handleQueued bool) {
	if !s.paused[a] {
		return
	}
	jobs := s.inbox[a]
	delete(s.paused, a)
	delete(s.inbox, a)
	s.logf("fault: process %s runs again, %d jobs", a, len(jobs))
	if handleQueued {
		if len(jobs) > 1 && s.rand.IntN(2) == 0 { // timers and messages have no order
			s.rand.Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
		}
		for _, j := range jobs {
			j()
		}
	}
}

// receive handles a packet of a caller.
func (b *balancer) receive(g segment.Segment) {
	s := b.s
	s.whenAwake(b.addr, func() {
		if b.core != nil {
			b.execute(b.core.Packet(s.clock(b.addr), g, s.encode(g)))
		}
	})
}

// probeBalancers plays the readiness checks of the routers.
func (s *sim) probeBalancers() {
	if s.probes == nil {
		s.probes = map[*balancer]int{}
	}
	for _, b := range s.balancers {
		s.after(s.randomUpTo(probeInterval), func() { s.probe(b) })
	}
}

func (s *sim) probe(b *balancer) {
	if b.removed {
		b.inRotation = false
		return
	}
	ready := false
	if b.core != nil && !s.paused[b.addr] {
		ready, _ = b.core.Ready(s.clock(b.addr))
	}
	if ready {
		s.probes[b], b.inRotation = 0, true
	} else if s.probes[b]++; s.probes[b] >= missedProbes {
		b.inRotation = false
	}
	s.after(probeInterval, func() { s.probe(b) })
}

// rotation returns the balancers over which the routers spread a caller's flows.
func (s *sim) rotation(f model.Flow) []*balancer {
	var all, in, others []*balancer
	for _, b := range s.balancers {
		switch local := b.addr.Addr().As4()[2] == f.Src.Addr().As4()[2]%3; {
		case s.probes == nil && b.inRotation:
			in = append(in, b)
		case s.probes == nil, b.removed:
		case local:
			all = append(all, b)
			if b.inRotation {
				in = append(in, b)
			}
		case b.inRotation:
			others = append(others, b)
		}
	}
	switch {
	case s.probes == nil:
		return in
	case len(in) == 0:
		return others
	case 2*len(in) < len(all):
		return all
	}
	return in
}

// readStore plays the reads of a balancer at its start.
func (b *balancer) readStore(core *steer.Core) {
	s := b.s
	b.lastRead = s.config
	b.execute(core.SetConfig(s.clock(b.addr), s.config))
	b.execute(core.SetAgents(s.clock(b.addr), steer.AgentListing{Agents: s.staleListing(), Epoch: s.epoch}))
}

// listed returns the agents that the store lists.
func (s *sim) listed() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range s.agents {
		if a.listed {
			out = append(out, a.addr)
		}
	}
	return out
}

// staleListing returns the agents that a listing names which may be outdated.
func (s *sim) staleListing() []netip.AddrPort {
	if s.staleness == 0 || len(s.snapshots) == 0 {
		return s.listed()
	}
	oldest := s.now.Add(-s.randomUpTo(s.staleness))
	for _, l := range s.snapshots {
		if !l.at.Before(oldest) && l.epoch == s.epoch {
			return l.agents
		}
	}
	return s.listed()
}

// snapshotListings records the listings of the store for staleListing.
func (s *sim) snapshotListings() {
	s.snapshots = append(s.snapshots, listingSnapshot{s.now, s.epoch, s.listed()})
	s.after(200*time.Millisecond, s.snapshotListings)
}

// removeObject plays the removal of an agent's object by a balancer. Objects that are left
// unchanged for a minute do not occur.
func (s *sim) removeObject(b *balancer, x steer.Action) {
	for _, a := range s.agents {
		if a.addr != x.To || !a.listed || !a.registers || s.storeCut(b.addr) || a.objectIncarnation != x.Incarnation {
			continue
		}
		s.removeObjectOf(a, a.objectIncarnation)
	}
}

// removeObjectOf removes the object of an agent unless another incarnation writes it before.
func (s *sim) removeObjectOf(a *agent, i model.Incarnation) {
	s.after(s.storeTime(), func() {
		for _, x := range s.agents {
			if x.addr == a.addr && x.listed && x.objectIncarnation == i {
				s.logf("store: object of %s removed", a.addr)
				x.listed = false
			}
		}
	})
}

// recordPlaced records a flow that a balancer places.
func (s *sim) recordPlaced(b netip.AddrPort, e steer.Entry) {
	if s.placed == nil || e.Event != "placed" {
		return
	}
	if s.placed[b] == nil {
		s.placed[b] = map[netip.AddrPort]bool{}
	}
	s.placed[b][e.Target] = true
}

// timer runs the ticks of a process.
type timer struct {
	at  time.Time
	run func()
}

// schedule sets the next tick to at by the process's clock.
func (t *timer) schedule(s *sim, a netip.AddrPort, at time.Time, run func()) {
	wait := max(at.Sub(s.clock(a)), time.Millisecond)
	due := s.now.Add(wait)
	t.at, t.run = due, run
	s.after(wait, func() {
		s.whenAwake(a, func() {
			if t.at.Equal(due) {
				run()
			}
		})
	})
}

// advance moves the next tick forward after a change of the core.
func (t *timer) advance(s *sim, a netip.AddrPort, next func() time.Time) {
	if !s.promptTimers || t.run == nil || !t.at.After(s.now) {
		return
	}
	if at := next(); s.now.Add(max(at.Sub(s.clock(a)), time.Millisecond)).Before(t.at) {
		t.schedule(s, a, at, t.run)
	}
}
