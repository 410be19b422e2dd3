// Package steersim simulates balancers and agents in pass-through mode, with callers,
// targets and links, on a virtual clock, and checks what callers and targets observe.
package steersim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

const (
	misdirectedWindow = 2 * time.Second // see recordMisdirected
	misdirectedLimit  = 3               // packets in misdirectedWindow
	drainGrace        = 3 * time.Second // from an accepted drain until no new flow may arrive
	heartbeatInterval = time.Second
	remoteDelay       = 3 * time.Millisecond    // one way, between data centres
	localDelay        = 100 * time.Microsecond  // one way, within a data centre or a VM
	callerDelay       = time.Millisecond        // one way, between a caller and the deployment
	storeDelay        = 8 * time.Millisecond    // of a call to the store
	storePoll         = 50 * time.Millisecond   // until a watch of the store delivers a change
	watchWait         = 1500 * time.Millisecond // after which a call of a watch without a change ends
	// readerListInterval is the interval of a reader's listings of the agents.
	readerListInterval = 2 * time.Second
	advertiseInterval  = 200 * time.Millisecond // of an agent's reports to the seeds
	// storeFailureTime is the time after which a process notices that the store does not
	// answer it: the interval of listings and five attempts of a silent call.
	storeFailureTime = 6500 * time.Millisecond
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

// sim is a simulated deployment.
type sim struct {
	t             *testing.T
	now           time.Time
	events        queue
	seq           int
	rand          *rand.Rand
	loss          float64 // fraction of the packets and messages that are lost
	balancers     []*balancer
	agents        []*agent
	callers       map[model.Flow]*caller
	packets       []segment.Segment
	config        *steer.Config
	epoch         uint64                         // of the store
	cut           func(a, b netip.AddrPort) bool // reports whether the link between two processes is cut
	storeCut      func(a netip.AddrPort) bool    // reports whether a process cannot reach the store
	clockOffset   map[netip.Addr]time.Duration   // of the time of day on a VM
	listings      int                            // listings of the agents that the store served
	confirms      int                            // reads of the configuration beside the watches
	watches       int                            // configurations that the store sent to balancers
	evacuations   evacuationStore
	registrations int // objects that agents have written again
	port          uint16
	started       time.Time

	served, failed, resets, late int                        // late: served after more than 150 ms
	holders                      map[model.Flow]*target     // target that holds each open flow
	misdirected                  map[model.Flow][]time.Time // arrivals at other targets, cleared by one at the holder
	requestRuns                  map[string]int             // by caller and sequence number
	log                          []string
	faults
}

func newSim(t *testing.T, seed uint64, balancers int, services map[model.ServiceName]int) *sim {
	s := &sim{
		faults: newFaults(), t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		callers: map[model.Flow]*caller{}, holders: map[model.Flow]*target{},
		misdirected: map[model.Flow][]time.Time{}, requestRuns: map[string]int{}, port: 1024,
		cut:      func(netip.AddrPort, netip.AddrPort) bool { return false },
		storeCut: func(netip.AddrPort) bool { return false }, clockOffset: map[netip.Addr]time.Duration{},
	}
	s.started, s.epoch, s.evacuations = s.now, storeapi.FirstEpoch, newEvacuationStore()
	s.config = &steer.Config{Revision: 1, Version: 1, IdleTimeout: 15 * time.Second, Routes: map[netip.AddrPort]steer.Route{}}
	var names []string
	for n := range services {
		names = append(names, string(n))
	}
	sort.Strings(names)
	for _, n := range names {
		s.addService(model.ServiceName(n), services[model.ServiceName(n)])
	}
	for range balancers {
		s.addBalancer()
	}
	return s
}

// addService adds a service with its agents, and routes the next address to it.
func (s *sim) addService(name model.ServiceName, agents int) {
	i := len(s.config.Routes)
	s.config.Routes[netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)] = steer.Route{
		Name: string(name), Shares: []steer.Share{{Service: name, Weight: 1}},
		Terms: steerwire.Terms{Priority: 1, Objective: 150 * time.Millisecond, Deadline: 1200 * time.Millisecond},
	}
	for range agents {
		s.addAgent(name, true)
	}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: f})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.now.Sub(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// failFlow fails the test and logs only the faults and the entries of one flow.
func (s *sim) failFlow(f model.Flow, format string, args ...any) {
	s.t.Helper()
	var entries []string
	for _, l := range s.log {
		if strings.Contains(l, f.Src.String()) || strings.Contains(l, " fault: ") {
			entries = append(entries, l)
		}
	}
	s.log = entries
	s.fail(format, args...)
}

func (s *sim) fail(format string, args ...any) {
	s.t.Helper()
	for _, l := range s.log[max(0, len(s.log)-60):] {
		s.t.Log(l)
	}
	s.t.Fatalf("%.3f s: "+format, append([]any{s.now.Sub(s.started).Seconds()}, args...)...)
}

// timeOfDay returns the time of day on the VM of a process in Unix milliseconds.
func (s *sim) timeOfDay(a netip.AddrPort) int64 {
	return s.now.Add(s.clockOffset[a.Addr()]).UnixMilli()
}

// encode and decode stand in for a codec: the bytes of a packet are the index of a stored segment.
func (s *sim) encode(g segment.Segment) []byte {
	s.packets = append(s.packets, g)
	return binary.BigEndian.AppendUint32(nil, uint32(len(s.packets)-1))
}

func (s *sim) decode(raw []byte) segment.Segment { return s.packets[binary.BigEndian.Uint32(raw)] }

func linkDelay(a, b netip.AddrPort) time.Duration {
	if a.Addr().As4()[2] == b.Addr().As4()[2] {
		return localDelay
	}
	return remoteDelay
}

// send transmits a message between processes.
func (s *sim) send(from, to netip.AddrPort, m steerwire.Message) {
	if s.rand.Float64() < s.loss || s.cut(from, to) || s.drop != nil && s.drop(from, to, m) {
		return
	}
	if s.edit != nil {
		s.edit(from, to, &m)
	}
	b, err := steerwire.Append(nil, m)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, extra := range s.copies() {
		s.after(linkDelay(from, to)+extra, func() { s.whenAwake(to, func() { s.deliver(from, to, b) }) })
	}
}

// deliver hands a message to the process that now has the address.
func (s *sim) deliver(from, to netip.AddrPort, b []byte) {
	m, err := steerwire.Decode(b)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, x := range s.balancers {
		if x.addr == to && x.core != nil {
			var g segment.Segment
			if m.Kind == steerwire.KindRefuse {
				g = s.decode(m.Refuse.Packet)
			}
			x.execute(x.core.Message(s.clock(to), from, m, g))
		}
	}
	for _, x := range s.agents {
		if x.addr == to && x.core != nil {
			var g segment.Segment
			if m.Kind == steerwire.KindForward {
				g = s.decode(m.Forward.Packet)
			}
			x.execute(x.core.Message(s.clock(to), from, m, g))
		}
	}
}

type balancer struct {
	s          *sim
	addr       netip.AddrPort
	core       *steer.Core
	inRotation bool

	lastStoreAnswer time.Time
	lastRead        *steer.Config // last configuration read from the store
	lastListing     time.Time     // of the agents, as a reader
	lastWatchEnd    time.Time     // when a call of the watch last ended

	evacuationsRead     storeapi.Position // position of the last evacuations read as the watcher
	lastEvacuationsRead time.Time
	removed             bool // for good
	timer               timer
}

func (s *sim) addBalancer() *balancer {
	i := len(s.balancers)
	b := &balancer{s: s, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 3), byte(i + 1)}), 7000)}
	s.balancers = append(s.balancers, b)
	b.start()
	return b
}

func (b *balancer) start() {
	s := b.s
	b.core = steer.New(s.clock(b.addr), steer.Options{
		Node: model.NodeID("b" + b.addr.String()), Incarnation: model.Incarnation(s.timeOfDay(b.addr)),
		DataCentre: dataCentreOf(b.addr), Seed: s.rand.Uint64(), FlowTTL: time.Minute, Peer: b.addr, Evacuations: true,
	})
	b.core.AddSeeds(s.clock(b.addr), s.seeds())
	if !s.storeCut(b.addr) {
		b.readStore(b.core)
		b.readEvacuations(b.core)
	}
	b.evacuationsRead = storeapi.Position{}
	b.lastStoreAnswer = s.now
	b.tick(b.core)
	b.watch(b.core)
}

// watch plays the watch of a reader, and its listings, which show whether it reaches the store.
func (b *balancer) watch(core *steer.Core) {
	s := b.s
	if b.core != core {
		return
	}
	if core.ReadsStore(s.clock(b.addr)) {
		if !s.storeCut(b.addr) {
			b.lastStoreAnswer = s.now
			b.execute(core.SetStoreEpoch(s.clock(b.addr), s.epoch))
			if s.now.Sub(b.lastListing) >= readerListInterval {
				b.lastListing = s.now
				b.execute(core.SetAgents(s.clock(b.addr), steer.AgentListing{Agents: s.staleListing(), Epoch: s.epoch}))
			}
			if b.lastRead != s.config {
				s.watches++
				b.lastRead = s.config
				b.execute(core.SetConfig(s.clock(b.addr), s.config))
			}
			if s.now.Sub(b.lastWatchEnd) >= watchWait {
				b.lastWatchEnd = s.now
				b.execute(core.ConfigCurrent(s.clock(b.addr), s.clock(b.addr)))
			}
		}
		core.SetStoreReachable(s.now.Sub(b.lastStoreAnswer) < storeFailureTime)
	}
	b.watchEvacuations(core)
	s.after(storePoll, func() { s.whenAwake(b.addr, func() { b.watch(core) }) })
}

func (b *balancer) kill() {
	b.core, b.inRotation = nil, b.inRotation && b.s.probes != nil
	b.timer = timer{}
	b.s.wake(b.addr, false)
}

func (b *balancer) tick(core *steer.Core) {
	if b.core != core {
		return
	}
	now := b.s.clock(b.addr)
	b.execute(core.Tick(now))
	if b.s.probes == nil {
		b.inRotation, _ = core.Ready(now)
	}
	b.timer.schedule(b.s, b.addr, core.Next(), func() { b.tick(core) })
}

func (b *balancer) execute(actions []steer.Action) {
	s := b.s
	defer b.timer.advance(b.s, b.addr, func() time.Time { return b.core.Next() })
	for _, a := range actions {
		switch a.Kind {
		case steer.SendForward:
			s.send(b.addr, a.To, steerwire.Message{Kind: steerwire.KindForward, Forward: steerwire.Forward{
				Service: a.Service, Terms: a.Terms, Packet: append([]byte(nil), a.Packet...),
			}})
		case steer.SendMessage:
			s.send(b.addr, a.To, a.Message)
		case steer.ResetCaller:
			s.reset(b, a.Flow)
		case steer.ListAgents:
			core, began := b.core, s.clock(b.addr)
			if s.storeCut(b.addr) {
				continue
			}
			s.listings++
			s.after(s.storeTime(), func() {
				if b.core == core {
					b.execute(core.SetAgents(s.clock(b.addr), steer.AgentListing{Agents: s.listed(), AsOf: began, Epoch: s.epoch}))
				}
			})
		case steer.RemoveAgent:
			s.removeObject(b, a)
		case steer.FetchConfig:
			b.fetchConfig(a.To)
		case steer.ConfirmConfig:
			b.confirmConfig()
		case steer.ListEvacuations:
			b.readEvacuations(b.core)
		case steer.ListDecisions: // there are no decision files
		case steer.Log:
			if a.Entry.Event == "probed" {
				for _, x := range s.agents {
					if x.addr == a.Entry.Target {
						x.lookupProbes[a.Entry.Flow]++
					}
				}
			}
			s.recordPlaced(b.addr, a.Entry)
			s.logf("balancer %s %s flow=%s target=%s reason=%s n=%d", b.addr, a.Entry.Event, a.Entry.Flow.Src, a.Entry.Target, a.Entry.Reason, a.Entry.Detail)
		}
	}
}

func dataCentreOf(a netip.AddrPort) model.DataCentre {
	return model.DataCentre(fmt.Sprintf("dc-%d", a.Addr().As4()[2]))
}

type agent struct {
	s      *sim
	addr   netip.AddrPort
	core   *passthrough.Core
	target *target
	listed bool
	// registers is set if the agent writes its object at each start, with retries.
	registers         bool
	incarnation       model.Incarnation
	objectIncarnation model.Incarnation  // of the process that wrote the object
	removed           bool               // for good
	probes            map[model.Flow]int // at this target, by this process
	lookupProbes      map[model.Flow]int // sent by lookups of balancers
	timer             timer
}

func (s *sim) addAgent(service model.ServiceName, firstStart bool) *agent {
	return s.addAgentListed(service, firstStart, true)
}

// addAgentListed adds an agent. With listed unset it has no access to the store.
func (s *sim) addAgentListed(service model.ServiceName, firstStart, listed bool) *agent {
	i := len(s.agents)
	a := &agent{s: s, listed: listed, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i % 3), byte(i + 1)}), 7000)}
	s.agents = append(s.agents, a)
	a.newTarget(service)
	a.start(firstStart)
	return a
}

func (a *agent) start(firstStart bool) {
	s := a.s
	a.incarnation, a.probes = model.Incarnation(s.timeOfDay(a.addr)), map[model.Flow]int{}
	if a.lookupProbes == nil {
		a.lookupProbes = map[model.Flow]int{}
	}
	a.core = passthrough.New(s.clock(a.addr), passthrough.Options{
		Node: model.NodeID("a" + a.addr.String()), Incarnation: a.incarnation, DataCentre: dataCentreOf(a.addr),
		Service: a.target.service, HeartbeatInterval: s.heartbeatInterval, FlowIdleTimeout: s.flowIdleTimeout, FirstStart: firstStart, FullSegment: 1200,
	})
	a.tick(a.core)
	if core := a.core; a.listed || a.registers {
		s.after(storeDelay, func() {
			if a.core == core && a.registers {
				a.register(core)
			} else if a.core == core {
				a.execute(core.Registered(s.clock(a.addr), s.epoch))
			}
		})
	}
	a.advertise(a.core)
}

// advertise sends reports to the seed while the agent hears no balancer.
func (a *agent) advertise(core *passthrough.Core) {
	s := a.s
	if a.core != core {
		return
	}
	if core.AdvertisesToSeeds(s.clock(a.addr)) && len(s.balancers) > 0 {
		for _, seed := range s.seeds() {
			s.send(a.addr, seed, steerwire.Message{Kind: steerwire.KindReport, Report: core.Report(s.clock(a.addr))})
		}
	}
	s.after(advertiseInterval, func() { s.whenAwake(a.addr, func() { a.advertise(core) }) })
}

// register writes the agent's object again.
func (a *agent) register(core *passthrough.Core) {
	s := a.s
	s.after(s.storeTime(), func() {
		if a.core == core && a.registers && s.storeCut(a.addr) {
			s.after(registerRetryInterval, func() { a.register(core) })
		} else if a.core == core && !s.storeCut(a.addr) {
			a.listed, a.objectIncarnation = true, a.incarnation
			s.registrations++
			a.execute(core.Registered(s.clock(a.addr), s.epoch))
		}
	})
}

func (a *agent) kill() {
	a.core, a.timer = nil, timer{}
	a.s.wake(a.addr, false)
}

func (a *agent) tick(core *passthrough.Core) {
	if a.core != core {
		return
	}
	a.execute(core.Tick(a.s.clock(a.addr)))
	a.timer.schedule(a.s, a.addr, core.Next(), func() { a.tick(core) })
}

func (a *agent) execute(actions []passthrough.Action) {
	s := a.s
	defer a.timer.advance(a.s, a.addr, func() time.Time { return a.core.Next() })
	for _, x := range actions {
		switch x.Kind {
		case passthrough.Deliver:
			g := s.decode(x.Packet)
			s.after(localDelay, func() { a.deliverToTarget(g) })
		case passthrough.ToCaller:
			g := s.decode(x.Packet)
			if s.rand.Float64() >= s.loss {
				s.after(callerDelay, func() { s.deliverToCaller(g) })
			}
		case passthrough.SendMessage:
			m := x.Message
			if m.Kind == steerwire.KindRefuse {
				m.Refuse.Packet = append([]byte(nil), m.Refuse.Packet...)
			}
			s.send(a.addr, x.To, m)
		case passthrough.Register:
			a.register(a.core)
		case passthrough.ClearBounced:
			s.packets[binary.BigEndian.Uint32(x.Packet)].Flags &^= segment.Bounced
		case passthrough.Log:
			if x.Entry.Event == "probed" {
				a.probes[x.Entry.Flow]++
			}
			s.logf("agent %s %s flow=%s reason=%s", a.addr, x.Entry.Event, x.Entry.Flow.Src, x.Entry.Reason)
		}
	}
}
