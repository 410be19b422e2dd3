package flows

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
)

var epoch = time.Unix(1_000_000, 0)

// sim simulates several cores, balancers and callers in virtual time.
type sim struct {
	rng          *rand.Rand
	now          time.Time
	queue        timers
	seq          int
	agents       []*simAgent
	balancers    []*simBalancer
	callers      map[model.Flow]*caller
	packets      map[Ref]simPacket // without a final action yet
	history      []record
	counts       map[Reason]int
	controlBytes int
	views        []model.ServiceView // the configuration in force, one for each service
	version      int

	openingsOnly          bool          // callers send only opening packets
	hangTimeout           time.Duration // after which a caller without progress is recorded as hung
	extraCopies           int           // additional copies of each opening packet, within 20 ms
	loss, dup             float64       // probability that a packet or message is lost, or duplicated or late
	agentLag, balancerLag time.Duration // maximum delay of a configuration
	queryOpenings         bool          // on a moved address, balancers look up the holder for opening packets too
}

type simAgent struct {
	core    *Core
	member  model.Member
	down    bool
	version int
	held    []model.ServiceAddr // held addresses known to the balancers
	heldSeq [2]int              // sequence numbers of the list last advertised and of held
}

type simBalancer struct {
	id      model.NodeID
	version int
	tables  []*placement.Table
	owner   map[model.ServiceAddr]int       // index of the service
	moved   map[model.ServiceAddr]time.Time // when the owner last changed
}

type caller struct {
	flow         model.Flow
	established  bool
	ended        bool
	endsAt       time.Time
	sent         int // number of the last packet sent
	lastAccepted int // number of the last packet that a target accepted
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

func addr(n int) model.ServiceAddr {
	return model.ServiceAddr{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(n)}), 80), Proto: model.TCP}
}

// newSim starts one service for each number of targets, with one address each.
func newSim(seed uint64, targets ...int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, callers: map[model.Flow]*caller{},
		packets: map[Ref]simPacket{}, counts: map[Reason]int{}, queryOpenings: true, hangTimeout: 20 * time.Second}
	for i, n := range targets {
		svc := model.ServiceName(fmt.Sprint("s", i))
		s.views = append(s.views, model.ServiceView{Service: svc, Addrs: []model.ServiceAddr{addr(i)}, Policy: model.DefaultPolicy()})
		for range n {
			s.addAgent(i, epoch.Add(-time.Hour))
		}
	}
	for i := range 3 {
		b := &simBalancer{id: model.NodeID(fmt.Sprint("b", i)), moved: map[model.ServiceAddr]time.Time{}}
		for range targets {
			b.tables = append(b.tables, placement.New(b.id, DefaultSettle))
		}
		s.balancers = append(s.balancers, b)
	}
	s.publish()
	s.every(time.Second, func(a *simAgent) { s.step(a, Contact{}) })
	s.every(50*time.Millisecond, func(a *simAgent) { s.step(a, Tick{}) })
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, timer{s.now.Add(d), s.seq, do})
}

func (s *sim) every(d time.Duration, do func(*simAgent)) {
	for _, a := range s.agents {
		do(a)
	}
	s.after(d, func() { s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); len(s.queue) > 0 && !s.queue[0].at.After(end); {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.do()
	}
}

// addAgent adds an agent to a service. The change takes effect with publish.
func (s *sim) addAgent(service int, started time.Time) *simAgent {
	v := &s.views[service]
	id := model.NodeID(fmt.Sprintf("%s-%02d", v.Service, len(s.agents)))
	a := &simAgent{member: model.Member{ID: id, Kind: model.KindAgent, Service: v.Service, Incarnation: 1,
		State: model.StateActive, Weight: 1, Started: started}}
	a.core = s.newCore(a.member)
	s.agents = append(s.agents, a)
	v.Members = append(slices.Clone(v.Members), a.member)
	return a
}

// editMember edits the member record of an agent. The change takes effect with publish.
func (s *sim) editMember(a *simAgent, edit func(*model.Member)) {
	edit(&a.member)
	for i := range s.views {
		s.views[i].Members = slices.Clone(s.views[i].Members)
		for j := range s.views[i].Members {
			if s.views[i].Members[j].ID == a.member.ID {
				s.views[i].Members[j] = a.member
			}
		}
	}
}

// publish sends the configuration to each node after a random delay.
func (s *sim) publish() {
	s.version++
	version, views := s.version, slices.Clone(s.views)
	for i := range views {
		views[i].Rev = uint64(version)
	}
	for _, a := range s.agents {
		s.after(s.random(s.agentLag), func() {
			for _, v := range views {
				if v.Service == a.member.Service && version > a.version {
					a.version = version
					s.step(a, ViewChanged{v})
				}
			}
		})
	}
	for _, b := range s.balancers {
		s.after(s.random(s.balancerLag), func() {
			if version > b.version {
				b.version = version
				b.apply(s.now, views)
			}
		})
	}
}

func (b *simBalancer) apply(now time.Time, views []model.ServiceView) {
	owner := map[model.ServiceAddr]int{}
	for i, v := range views {
		b.tables[i].Apply(now, v)
		for _, a := range v.Addrs {
			owner[a] = i
			if old, ok := b.owner[a]; ok && old != i {
				b.moved[a] = now
			}
		}
	}
	b.owner = owner
}

func (s *sim) agent(id model.NodeID) *simAgent {
	if i := slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.member.ID == id }); i >= 0 {
		return s.agents[i]
	}
	return nil
}

// step passes an event to an agent's core and executes the resulting actions.
func (s *sim) step(a *simAgent, ev Event) {
	if a.down {
		return
	}
	for _, act := range slices.Clone(a.core.Step(s.now, ev)) {
		switch act := act.(type) {
		case Accept:
			p := s.endPacket(act.Ref)
			s.record(recAccept, act.Flow, a)
			if act.Opened {
				s.record(recOpen, act.Flow, a)
			}
			s.onAccepted(act.Flow, p)
		case Pass:
			p := s.endPacket(act.Ref)
			p.Service, p.ViewHash, p.Hops, p.Assigned, p.From = act.Service, act.ViewHash, act.Hops, act.Assigned, a.member.ID
			s.deliver(act.To, p)
		case Drop:
			s.endPacket(act.Ref)
		case Reset:
			s.endPacket(act.Ref)
			s.endFlow(act.Flow, recReset, a)
		case Send:
			s.controlBytes += controlSize(act, s.openingsOnly)
			s.transmit(func() {
				if to := s.agent(act.To); to != nil {
					s.step(to, Message{From: a.member.ID, Incarnation: a.member.Incarnation, Msg: act.Msg})
				}
			})
		case HeldAddrs:
			s.advertise(a, act.Addrs)
		case Count:
			s.counts[act.Reason]++
		}
	}
}

// transmit calls do, which delivers a packet or message, with loss, delay, reordering
// and duplication.
func (s *sim) transmit(do func()) {
	for n := 0; n == 0 || s.rng.Float64() < s.dup; n++ {
		delay := time.Millisecond + s.random(4*time.Millisecond)
		if s.rng.Float64() < s.dup {
			delay += s.random(300 * time.Millisecond)
		}
		if s.rng.Float64() >= s.loss {
			s.after(delay, do)
		}
	}
}

func (s *sim) deliver(to model.NodeID, p Packet) {
	s.transmit(func() {
		if a := s.agent(to); a != nil && !a.down {
			s.seq++
			p.Ref = Ref(s.seq)
			s.packets[p.Ref] = simPacket{p, a}
			s.step(a, p)
		}
	})
}

// endPacket removes a packet on its final action. It panics on a second one.
func (s *sim) endPacket(r Ref) Packet {
	p, ok := s.packets[r]
	if !ok {
		panic(fmt.Sprintf("packet %d got a second final action", r))
	}
	delete(s.packets, r)
	return p.Packet
}

// route sends a caller's packet through a random balancer.
func (s *sim) route(f model.Flow, opening bool) {
	s.transmit(func() {
		b := s.balancers[s.rng.IntN(len(s.balancers))]
		svc, ok := b.owner[f.ServiceAddr()]
		if !ok {
			return
		}
		p := Packet{Flow: f, Opening: opening, Hops: 4, From: b.id, Service: s.views[svc].Service, ViewHash: b.tables[svc].Fingerprint()}
		moved, known := b.moved[f.ServiceAddr()]
		for _, a := range s.agents {
			mayHold := slices.Contains(a.held, f.ServiceAddr()) || known && s.now.Sub(moved) < 30*time.Second
			if mayHold && (!opening || s.queryOpenings) && !a.down && a.core.Holds(f) {
				p.Service = a.member.Service
				s.deliver(a.member.ID, p)
				return
			}
		}
		if home := b.tables[svc].Homes(s.now, f.Hash(), 1); len(home) > 0 {
			s.deliver(home[0], p)
		}
	})
}
