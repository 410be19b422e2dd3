package gossip_test

import (
	"fmt"
	"net/netip"
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

// newFleet starts balancers and agents spread over the data centres.
func newFleet(seed uint64, balancers, agents int) *fleet {
	f := &fleet{sim: newSim(seed)}
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
		return b.handle(b.core.Step(now, event(in)))
	}}
	f.add(b.host)
	b.host = f.byAddr[b.addr]
}

func (f *fleet) startAgent(a *agent, i int, boot time.Time) {
	self := model.Member{
		ID: model.NodeID(fmt.Sprintf("agent-%03d", i)), Kind: model.KindAgent, DC: dcs[i%len(dcs)], Service: service,
		Incarnation: model.Incarnation(boot.UnixMilli()), PeerAddr: addrOf(10000 + i), Weight: 1,
	}
	a.core = membership.NewAnnouncer(membership.Options{Self: self, Seeds: f.seeds})
	a.host = &host{id: self.ID, dc: self.DC, addr: self.PeerAddr, step: func(now time.Time, in *packet) []packet {
		return a.handle(a.core.Step(now, event(in)))
	}}
	f.add(a.host)
	a.host = f.byAddr[a.addr]
}

func event(in *packet) membership.Event {
	if in == nil {
		return membership.Tick{}
	}
	return membership.Received{From: in.from, FromAddr: in.src, Msg: in.msg}
}

func (b *balancer) handle(actions []membership.Action) []packet {
	for _, a := range actions {
		if _, ok := a.(membership.Joined); ok {
			b.joined = true
		}
	}
	return sends(actions)
}

func (a *agent) handle(actions []membership.Action) []packet {
	for _, act := range actions {
		if s, ok := act.(membership.SliceChanged); ok {
			a.slice = s.Slice
		}
	}
	return sends(actions)
}

func sends(actions []membership.Action) []packet {
	var out []packet
	for _, a := range actions {
		if s, ok := a.(membership.Send); ok {
			out = append(out, packet{dst: s.Addr, msg: s.Msg})
		}
	}
	return out
}

// settle runs until all balancers joined and know all, and all agents their service.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	if took, err := f.until(20*time.Second, func() bool { return f.complete() }); err != nil {
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

// everywhere reports whether all live balancers outside skip hold a member in a state.
func (f *fleet) everywhere(id model.NodeID, want model.State, skip model.DataCentre) bool {
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

// Guards against balancers or agents that still use a leaving target after 2 s.
func TestHistoryLeaveKnownEverywhere(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFleet(seed, 64, 21)
		f.settle(t)
		a := f.agents[int(seed)]
		f.send(a.host, a.handle(a.core.Step(f.now, membership.Leave{})))
		took, err := f.until(2*time.Second, func() bool { return f.everywhere(a.id, model.StateLeaving, "") })
		is.NoErr(err)
		t.Logf("seed %d: leaving known everywhere after %v", seed, took)
	}
}

// Guards against agents removed while their data centre is cut off.
func TestHistoryCutBetweenDataCentres(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, 9)
	f.settle(t)
	f.setCut("dc-c", dcs, true)
	is.NoErr(f.run(3*time.Minute, f.noneGone))
	for _, b := range f.balancers {
		for _, a := range f.agents {
			m, _ := b.core.Member(a.id)
			is.Equal(m.State == model.StateSuspect, (a.dc == "dc-c") != (b.dc == "dc-c")) // marked across the cut only
		}
	}
	f.setCut("dc-c", dcs, false)
	took, err := f.until(10*time.Second, f.allActive)
	is.NoErr(err)
	t.Logf("all active %v after the cut ended", took)
}

// noneGone reports members that a live balancer does not hold although they run.
func (f *fleet) noneGone() error {
	for _, b := range f.balancers {
		for _, a := range f.agents {
			if _, ok := b.core.Member(a.id); !ok && !a.down && !b.down {
				return fmt.Errorf("%s removed %s, which runs", b.id, a.id)
			}
		}
	}
	return nil
}

func (f *fleet) allActive() bool {
	for _, a := range f.agents {
		if !f.everywhere(a.id, model.StateActive, "") {
			return false
		}
	}
	return true
}
