package gossip_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

var dcs = []model.DataCentre{"dc-a", "dc-b", "dc-c"}

// fleet is a simulated deployment of balancers and agents.
type fleet struct {
	*sim
	seeds     []netip.AddrPort
	balancers []*balancer
	agents    []*agent
	service   func(agent int) model.ServiceName
	onChange  func(at *balancer, m model.Member) // called for each member of MembersChanged
}

type balancer struct {
	*host
	core   *membership.Observer
	joined bool
}

type agent struct {
	*host
	core  *membership.Announcer
	slice message.Slice
}

const service = model.ServiceName("dispatch")

// newFleet starts balancers and agents, distributed over the data centres.
func newFleet(seed uint64, balancers, agents int) *fleet {
	return newFleetWithServices(seed, balancers, agents, func(int) model.ServiceName { return service })
}

func newFleetWithServices(seed uint64, balancers, agents int, service func(agent int) model.ServiceName) *fleet {
	f := &fleet{sim: newSim(seed), service: service}
	for i := range min(3, balancers) {
		f.seeds = append(f.seeds, addrOf(i))
	}
	for i := range balancers {
		b := &balancer{}
		f.balancers = append(f.balancers, b)
		f.startBalancer(b, i, epoch)
	}
	for i := range agents {
		a := &agent{}
		f.agents = append(f.agents, a)
		f.startAgent(a, i, epoch)
	}
	return f
}

func (f *fleet) startBalancer(b *balancer, i int, boot time.Time) {
	self := model.Member{
		ID: model.NodeID(fmt.Sprintf("balancer-%03d", i)), Kind: model.KindBalancer, DC: dcs[i%len(dcs)],
		Incarnation: model.Incarnation(boot.UnixMilli()), PeerAddr: addrOf(i),
	}
	b.core = membership.NewObserver(membership.Options{Self: self, Seeds: f.seeds, Seed: f.rng.Uint64()})
	b.joined = false
	b.core.Step(f.now, membership.Services{Services: []membership.ServiceConfig{{Service: service}}})
	b.host = &host{id: self.ID, dc: self.DC, addr: self.PeerAddr, step: func(now time.Time, in *packet) []packet {
		return f.handle(b, b.core.Step(now, event(in)))
	}}
	f.addHost(b.host)
	b.host = f.byAddr[b.addr]
}

func (f *fleet) startAgent(a *agent, i int, boot time.Time) {
	self := model.Member{
		ID: model.NodeID(fmt.Sprintf("agent-%03d", i)), Kind: model.KindAgent, DC: dcs[i%len(dcs)], Service: f.service(i),
		Incarnation: model.Incarnation(boot.UnixMilli()), PeerAddr: addrOf(10000 + i), Weight: 1,
	}
	a.core = membership.NewAnnouncer(membership.Options{Self: self, Seeds: f.seeds})
	a.host = &host{id: self.ID, dc: self.DC, addr: self.PeerAddr, step: func(now time.Time, in *packet) []packet {
		return a.handle(a.core.Step(now, event(in)))
	}}
	f.addHost(a.host)
	a.host = f.byAddr[a.addr]
}

func event(in *packet) membership.Event {
	if in == nil {
		return membership.Tick{}
	}
	return membership.Received{From: in.from, FromAddr: in.src, Msg: in.msg}
}

func (f *fleet) handle(b *balancer, actions []membership.Action) []packet {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Joined:
			b.joined = true
		case membership.MembersChanged:
			for _, m := range a.Members {
				if f.onChange != nil {
					f.onChange(b, m)
				}
			}
		}
	}
	return packetsOf(actions)
}

func (a *agent) handle(actions []membership.Action) []packet {
	for _, act := range actions {
		if s, ok := act.(membership.SliceChanged); ok {
			a.slice = s.Slice
		}
	}
	return packetsOf(actions)
}

func packetsOf(actions []membership.Action) []packet {
	var out []packet
	for _, a := range actions {
		if s, ok := a.(membership.Send); ok {
			out = append(out, packet{dst: s.Addr, msg: s.Msg})
		}
	}
	return out
}

// runUntilComplete runs until all balancers joined and know all members, and all
// agents know the members of their service.
func (f *fleet) runUntilComplete(t *testing.T) {
	t.Helper()
	if took, err := f.runUntil(20*time.Second, func() bool { return f.complete() }); err != nil {
		t.Fatal(err)
	} else {
		t.Logf("complete after %v", took)
	}
}

func (f *fleet) complete() bool {
	for _, b := range f.balancers {
		if !b.down && (!b.joined || len(b.core.Members()) != len(f.balancers)+len(f.agents)) {
			return false
		}
	}
	for _, a := range f.agents {
		if !a.down && len(a.slice.View.Members) != len(f.agents) {
			return false
		}
	}
	return true
}

// allBalancersSee reports whether all live balancers outside the data centre skip
// have the member in state want.
func (f *fleet) allBalancersSee(id model.NodeID, want model.State, skip model.DataCentre) bool {
	for _, b := range f.balancers {
		if b.down || b.dc == skip {
			continue
		}
		m, ok := b.core.Member(id)
		if !ok {
			m.State = model.StateGone
		}
		if m.State != want {
			return false
		}
	}
	return true
}

// Guards against balancers that do not know within 2 s that an agent is leaving.
func TestHistoryLeaveKnownEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFleet(seed, 64, 21)
		f.runUntilComplete(t)
		a := f.agents[int(seed)]
		f.send(a.host, a.handle(a.core.Step(f.now, membership.Leave{})))
		took, err := f.runUntil(2*time.Second, func() bool { return f.allBalancersSee(a.id, model.StateLeaving, "") })
		is.NoErr(err)
		t.Logf("seed %d: leaving known everywhere after %v", seed, took)
	}
}

// Guards against the removal of agents while their data centre is partitioned from
// the others.
func TestHistoryCutBetweenDataCentres(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, 9)
	f.runUntilComplete(t)
	f.setCut("dc-c", dcs, true)
	wrongRemoval := f.detectWrongRemovals()
	is.NoErr(f.run(3*time.Minute, wrongRemoval))
	for _, b := range f.balancers {
		for _, a := range f.agents {
			m, _ := b.core.Member(a.id)
			// Agents are suspect only on the other side of the partition.
			is.Equal(m.State == model.StateSuspect, (a.dc == "dc-c") != (b.dc == "dc-c"))
		}
	}
	f.setCut("dc-c", dcs, false)
	took, err := f.runUntil(10*time.Second, f.allActive)
	is.NoErr(err)
	t.Logf("all active %v after the partition ended", took)
}

// detectWrongRemovals returns a function that returns an error once a balancer
// removed a member that still runs.
func (f *fleet) detectWrongRemovals() func() error {
	var fault error
	f.onChange = func(at *balancer, m model.Member) {
		if m.State == model.StateGone && !f.byAddr[m.PeerAddr].down {
			fault = fmt.Errorf("%s removed %s, which runs", at.id, m.ID)
		}
	}
	return func() error { return fault }
}

func (f *fleet) allActive() bool {
	for _, a := range f.agents {
		if !f.allBalancersSee(a.id, model.StateActive, "") {
			return false
		}
	}
	return true
}

// Guards against the suspicion or removal of members that run, and against
// undetected crashes.
func TestHistoryOnlyCrashesAreRemoved(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 12, 21)
	f.runUntilComplete(t)
	suspected, crashed := 0, f.agents[4]
	wrongRemoval := f.detectWrongRemovals()
	checkRemoval := f.onChange
	f.onChange = func(at *balancer, m model.Member) {
		checkRemoval(at, m)
		if m.State == model.StateSuspect && !crashed.down {
			suspected++
		}
	}
	is.NoErr(f.run(10*time.Minute, wrongRemoval))
	is.Equal(suspected, 0) // a suspect member gets no new work
	crashed.down = true
	took, err := f.runUntil(6*time.Second, func() bool { return f.allBalancersSee(crashed.id, model.StateSuspect, "") })
	is.NoErr(err)
	gone, err := f.runUntil(12*time.Second, func() bool { return f.allBalancersSee(crashed.id, model.StateGone, "") })
	is.NoErr(err)
	is.NoErr(wrongRemoval())
	t.Logf("crash: suspect after %v, gone %v later", took, gone)
}

// Guards against a restarted member whose record does not replace that of its previous
// incarnation, also if its clock went back and its new incarnation starts lower.
func TestHistoryRestartReplacesTheRecord(t *testing.T) {
	for _, boot := range []time.Duration{30 * time.Second, -time.Hour} {
		t.Run(boot.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 12, 6)
			f.runUntilComplete(t)
			before, _ := f.balancers[0].core.Member(f.agents[2].id)
			f.startAgent(f.agents[2], 2, epoch.Add(boot))
			f.startBalancer(f.balancers[4], 4, epoch.Add(boot))
			took, err := f.runUntil(4*time.Second, func() bool {
				for _, b := range f.balancers {
					a, _ := b.core.Member(f.agents[2].id)
					o, _ := b.core.Member(f.balancers[4].id)
					if a.Incarnation <= before.Incarnation || a.State != model.StateActive || o.Incarnation <= before.Incarnation {
						return false
					}
				}
				return f.complete()
			})
			is.NoErr(err)
			t.Logf("balancer joined and all know the new incarnations after %v", took)
		})
	}
}

// Guards against agents that are suspected because their observers crash or
// restart, and against agents whose slice becomes outdated because their observers
// have exited.
func TestFaultObserversFailTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 24, 6)
	f.runUntilComplete(t)
	f.onChange = func(at *balancer, m model.Member) {
		if m.ID == f.agents[0].id && m.State != model.StateActive {
			t.Errorf("%v: %s has %s as %v", f.now.Sub(epoch), at.id, m.ID, m.State)
		}
	}
	is.NoErr(f.run(5*time.Second, nil)) // until the agent has the whole list of balancers
	observers := map[netip.AddrPort]bool{}
	f.onSend = func(p packet) {
		if _, ok := p.msg.(message.Heartbeat); ok && p.from == f.agents[0].id {
			observers[p.dst] = true
		}
	}
	is.NoErr(f.run(2*time.Second, nil))
	is.Equal(len(observers), 3)
	// The seeds crash too, so that only the slice lists other balancers.
	for _, b := range f.balancers {
		b.down = observers[b.addr] || slices.Contains(f.seeds, b.addr)
	}
	is.NoErr(f.run(30*time.Second, nil))
	leaving := f.agents[3]
	f.send(leaving.host, leaving.handle(leaving.core.Step(f.now, membership.Leave{})))
	_, err := f.runUntil(2*time.Second, func() bool {
		for _, a := range f.agents {
			if a.slice.View.Members[3].State != model.StateLeaving {
				return false
			}
		}
		return true
	})
	is.NoErr(err)
	for i, b := range f.balancers { // all restart together; the agent must stay active
		if b.down {
			f.startBalancer(b, i, f.now)
		}
	}
	is.NoErr(f.run(20*time.Second, nil))
	is.True(f.complete())
}

// Guards against new work for the members of a data centre that failed as a whole,
// where no observer is left to suspect them, and against their removal.
func TestFaultWholeDataCentreFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 24, 9)
	f.runUntilComplete(t)
	down := func(v bool) {
		for _, h := range f.hosts {
			h.down = v && h.dc == "dc-b"
		}
	}
	down(true)
	allInState := func(want model.State) bool {
		for _, a := range f.agents {
			if a.dc == "dc-b" && !f.allBalancersSee(a.id, want, "dc-b") {
				return false
			}
		}
		return true
	}
	took, err := f.runUntil(15*time.Second, func() bool { return allInState(model.StateSuspect) })
	is.NoErr(err)
	is.NoErr(f.run(time.Minute, nil))
	is.True(allInState(model.StateSuspect))
	down(false)
	back, err := f.runUntil(10*time.Second, f.allActive)
	is.NoErr(err)
	t.Logf("suspect after %v, active %v after the restart", took, back)
}

// Guards against agents without observers, or suspected permanently, after their
// data centre lost its only balancer.
func TestFaultDataCentreWithoutBalancer(t *testing.T) {
	is := is.New(t)
	f := newFleet(11, 3, 9)
	f.runUntilComplete(t)
	is.Equal(f.balancers[2].dc, model.DataCentre("dc-c"))
	f.balancers[2].down = true
	took, err := f.runUntil(30*time.Second, func() bool { return f.allBalancersSee(f.balancers[2].id, model.StateGone, "dc-c") })
	is.NoErr(err)
	is.NoErr(f.run(30*time.Second, nil))
	for _, a := range f.agents {
		is.True(f.allBalancersSee(a.id, model.StateActive, "dc-c"))
	}
	crashed := f.agents[2]
	is.Equal(crashed.dc, model.DataCentre("dc-c"))
	crashed.down = true
	removed, err := f.runUntil(30*time.Second, func() bool { return f.allBalancersSee(crashed.id, model.StateGone, "dc-c") })
	is.NoErr(err)
	t.Logf("balancer gone after %v, crashed agent after %v", took, removed)
}

// Guards against the suspicion of members because one of their observers receives
// nothing.
func TestFaultObserverReceivesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 12, 21)
	f.runUntilComplete(t)
	is.NoErr(f.run(10*time.Second, nil))
	f.onChange = func(at *balancer, m model.Member) {
		if m.State != model.StateActive {
			t.Errorf("%v: %s has %s as %v", f.now.Sub(epoch), at.id, m.ID, m.State)
		}
	}
	f.noInbound[f.balancers[5].addr] = true
	is.NoErr(f.run(time.Minute, nil))
}

// Guards against a core whose output depends on map order or on global randomness.
func TestGoldenSameSeedSameMessages(t *testing.T) {
	is := is.New(t)
	run := func() (trace uint64) {
		f := newFleet(7, 12, 12)
		f.onSend = func(p packet) {
			trace = model.Mix(trace ^ model.HashString(fmt.Sprintf("%v %s %v %+v", f.now, p.from, p.dst, p.msg)))
		}
		is.NoErr(f.run(10*time.Second, nil))
		f.balancers[4].down = true
		is.NoErr(f.run(20*time.Second, nil))
		return trace
	}
	is.Equal(run(), run())
}
