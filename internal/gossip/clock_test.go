package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
	"github.com/bulrushshelf/bulrushshelf/internal/wire"
)

// vm is one process whose clock may step. Its messages are encoded, as between processes: a time in a
// message loses its steady reading.
type vm struct {
	*clock.Clock
	self    model.Member
	codec   *wire.Codec
	step    func(now time.Time, ev membership.Event) []membership.Action
	members func() []model.Member
	started time.Duration // virtual time
}

type datagram struct {
	src, dst netip.AddrPort
	data     []byte
	at       time.Duration
}

// vms is a network of VMs in virtual time.
type vms struct {
	is    *is.I
	now   time.Duration
	all   []*vm
	queue []datagram
	cut   map[[2]model.DataCentre]bool // per direction
}

const vmDelay = 5 * time.Millisecond

func (n *vms) start(self model.Member, offset time.Duration) *vm {
	v := &vm{Clock: clock.New(epoch.Add(n.now + offset)), started: n.now}
	self.Incarnation, self.Weight = model.Incarnation(v.Now().UnixMilli()), 1
	self.PeerAddr = addrOf(len(n.all))
	var seeds []netip.AddrPort
	for _, other := range n.all {
		if other.self.Kind == model.KindBalancer {
			seeds = append(seeds, other.self.PeerAddr)
		}
	}
	if self.Kind == model.KindAgent {
		self.Service, self.Started = service, v.Now()
		core := membership.NewAnnouncer(membership.Options{Self: self, Seeds: seeds})
		v.step, v.members = core.Step, func() []model.Member { return core.Slice().View.Members }
	} else {
		core := membership.NewObserver(membership.Options{Self: self, Seeds: seeds, Seed: uint64(len(n.all))})
		core.Step(v.Now(), membership.Services{Services: []membership.ServiceConfig{{Service: service}}})
		v.step, v.members = core.Step, core.Members
	}
	v.self = self
	var err error
	v.codec, err = wire.New(wire.Options{Self: self.ID, Incarnation: self.Incarnation, Keys: [][]byte{make([]byte, 32)}})
	n.is.NoErr(err)
	n.all = append(n.all, v)
	return v
}

func (n *vms) byAddr(a netip.AddrPort) *vm {
	for _, v := range n.all {
		if v.self.PeerAddr == a {
			return v
		}
	}
	return nil
}

func (n *vms) send(from *vm, actions []membership.Action) {
	for _, a := range actions {
		s, ok := a.(membership.Send)
		if !ok {
			continue
		}
		to := n.byAddr(s.Addr)
		if to == nil || n.cut[[2]model.DataCentre{from.self.DC, to.self.DC}] {
			continue
		}
		data, err := from.codec.Seal(nil, s.To, s.Msg)
		n.is.NoErr(err)
		n.queue = append(n.queue, datagram{src: from.self.PeerAddr, dst: s.Addr, data: data, at: n.now + vmDelay})
	}
}

// run lets d pass on all clocks and calls check after each tick.
func (n *vms) run(d time.Duration, check func()) {
	for end := n.now + d; n.now < end; {
		n.now += time.Millisecond
		for _, v := range n.all {
			v.Advance(time.Millisecond)
		}
		for len(n.queue) > 0 && n.queue[0].at <= n.now {
			p := n.queue[0]
			n.queue = n.queue[1:]
			to := n.byAddr(p.dst)
			env, err := to.codec.Open(p.data)
			n.is.NoErr(err)
			n.send(to, to.step(to.Now(), membership.Received{From: env.From, FromAddr: p.src, Msg: env.Msg}))
		}
		if n.now%tickInterval == 0 {
			for _, v := range n.all {
				n.send(v, v.step(v.Now(), membership.Tick{}))
			}
			check()
		}
	}
}

func (n *vms) addBalancer(i int, dc model.DataCentre, offset time.Duration) *vm {
	return n.start(model.Member{ID: model.NodeID(fmt.Sprintf("balancer-%d", i)), Kind: model.KindBalancer, DC: dc}, offset)
}

func (n *vms) addAgent(i int, dc model.DataCentre, offset time.Duration) *vm {
	return n.start(model.Member{ID: model.NodeID(fmt.Sprintf("agent-%d", i)), Kind: model.KindAgent, DC: dc}, offset)
}

// Guards against nodes that rank a starting target by different weights, because the clock of its VM
// or their own is wrong or steps during the warm-up: two agents may then both be the home of a flow.
func TestHistoryNodesAgreeOnTheAgeOfATargetWhileClocksStep(t *testing.T) {
	n := &vms{is: is.New(t)}
	for i := range 3 {
		n.addBalancer(i, "dc-a", 0)
	}
	for i := range 3 {
		n.addAgent(i, "dc-a", 0)
	}
	known := 0
	check := func() {
		known = 0
		for _, at := range n.all {
			for _, m := range at.members() {
				about := n.byAddr(m.PeerAddr)
				if m.Kind != model.KindAgent {
					continue
				}
				known++
				age, want := at.Now().Sub(m.Started), n.now-about.started
				if diff := age - want; diff < -500*time.Millisecond || diff > 500*time.Millisecond {
					t.Fatalf("after %v, %s: age of %s is %v, want %v", n.now, at.self.ID, m.ID, age, want)
				}
			}
		}
	}
	n.run(4*time.Second, check)
	n.addAgent(3, "dc-a", 20*time.Second)
	n.run(2*time.Second, check)
	for _, step := range []time.Duration{-30 * time.Second, 40 * time.Second} {
		n.all[0].Step(step)
		n.all[4].Step(-step)
		n.run(time.Second, check)
		n.addAgent(len(n.all), "dc-a", -step)
		n.run(time.Second, check)
		n.addBalancer(len(n.all), "dc-a", step)
		n.run(3*time.Second, check)
	}
	n.is.Equal(known, len(n.all)*6)
}

// Guards against targets of a whole data centre that get no flows, or flows that they can't receive,
// for 15 s, because the clocks of the relays that report about it went back between two reports.
func TestHistoryReachabilityOfADataCentreIsKnownWhileClocksStep(t *testing.T) {
	n := &vms{is: is.New(t), cut: map[[2]model.DataCentre]bool{}}
	var local []*vm
	for i := range 6 {
		b := n.addBalancer(i, dcs[i%2], 0)
		if i%2 == 0 {
			local = append(local, b)
		}
	}
	n.addAgent(0, dcs[1], 0)
	n.run(5*time.Second, func() {})
	stateKnownTo := func(v *vm) model.State {
		for _, m := range v.members() {
			if m.Kind == model.KindAgent {
				return m.State
			}
		}
		return 0
	}
	within := func(limit time.Duration, want model.State) {
		t.Helper()
		n.run(limit, func() {})
		for _, v := range local {
			if got := stateKnownTo(v); got != want {
				t.Fatalf("after %v, %s has the agent as %v, want %v", n.now, v.self.ID, got, want)
			}
		}
	}
	step := func(d time.Duration) {
		for _, v := range local {
			v.Step(d)
		}
	}
	setCut := func(cut bool) {
		n.cut[[2]model.DataCentre{dcs[0], dcs[1]}], n.cut[[2]model.DataCentre{dcs[1], dcs[0]}] = cut, cut
	}
	within(time.Second, model.StateActive)
	for range 3 {
		setCut(true)
		within(10*time.Second, model.StateSuspect)
		step(-20 * time.Second)
		setCut(false)
		within(3*time.Second, model.StateActive)
		step(-20 * time.Second)
		setCut(true)
		within(10*time.Second, model.StateSuspect)
		step(40 * time.Second)
		setCut(false)
		within(3*time.Second, model.StateActive)
	}
}
