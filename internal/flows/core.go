// Package flows is the flow core of an agent. It decides for each packet
// whether this agent accepts it, passes it to the agent that holds the flow, or
// asks the other candidates first, and it spreads new flows over the targets.
//
// At most one agent holds a flow. Three rules keep it so. An agent opens a flow
// without asking only as the settled home of the flow, see
// placement.HomeSettled. An asked agent that says no records the asker as
// tentative holder, so that it does not open the flow itself; of two agents
// that ask each other, the one with the higher hash of (flow, NodeID) goes on.
// A holder registers its flow with the first two homes, so that later homes
// know it. Only an agent's own answer counts as proof that it holds a flow;
// what a third agent believes only adds one more agent to ask.
package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
)

// The defaults of Options.
const (
	DefaultSettle        = 5 * time.Second
	DefaultAddressWait   = 3 * time.Second // the time within which a configuration is in effect everywhere
	DefaultMaxAsks       = 4096
	DefaultMaxExceptions = 1 << 17 // three targets with 32,500 flows each register 65,000 flows at each
	DefaultHintRate      = 8       // about 800 B/s of the control budget
)

// maxPackets is the number of packets that wait for the end of one ask.
const maxPackets = 4

// tickInterval is the shortest time between two rounds of periodic work.
const tickInterval = 50 * time.Millisecond

// Options configures a Core. Zero values get the defaults.
type Options struct {
	Self    model.NodeID
	Service model.ServiceName
	// Settle must be longer than a view change takes to reach all nodes.
	Settle time.Duration
	// AddressWait is how long opening packets are dropped on an address that was
	// added to the service: agents of its previous service may not know yet that
	// they have lost it, and would open a second copy of the flow. It does not
	// apply to the first view. A negative value turns it off.
	AddressWait   time.Duration
	MaxAsks       int // asks open at once
	MaxExceptions int
	HintRate      int // hints to balancers per second
	Seed          uint64
}

// Core is the state of one agent's flows. It is not safe for concurrent use.
type Core struct {
	opt     Options
	table   *placement.Table
	viewed  bool
	leaving bool
	out     []Action

	held       flowTable[holding]
	exceptions flowTable[exception]
	evictAt    int
	sweepAt    int

	addrs     map[model.ServiceAddr]addrTimes
	lost      map[model.ServiceAddr]time.Time // addresses that left the service lately
	heldCount map[model.ServiceAddr]int
	heldAddrs []model.ServiceAddr // as announced

	asks   map[model.Flow]*ask
	asking []*ask // in order of their start, with ended ones until the next Tick
	nextID uint64

	peers      map[model.NodeID]*peer
	peerOrder  []*peer // by ID
	partners   []*peer // may get flows from this agent
	audience   []*peer // get load reports from this agent
	load       model.Load
	nextReport int
	reportDue  time.Time

	rescanAt   int // next slot of held to check, -1 when no rescan runs
	rescanFrom time.Time
	nextSeq    uint64
	hints      bucket
	retries    bucket
	lastTick   time.Time
	homesBuf   []model.NodeID
}

// addrTimes tells since when an address belongs to the service.
type addrTimes struct {
	since  time.Time
	openAt time.Time // opening packets are dropped before
}

// New returns a core without a view.
func New(opt Options) *Core {
	defaultTo(&opt.Settle, DefaultSettle)
	defaultTo(&opt.AddressWait, DefaultAddressWait)
	defaultTo(&opt.MaxAsks, DefaultMaxAsks)
	defaultTo(&opt.MaxExceptions, DefaultMaxExceptions)
	defaultTo(&opt.HintRate, DefaultHintRate)
	return &Core{
		opt:        opt,
		table:      placement.New(opt.Self, opt.Settle),
		held:       newFlowTable[holding](),
		exceptions: newFlowTable[exception](),
		addrs:      map[model.ServiceAddr]addrTimes{},
		lost:       map[model.ServiceAddr]time.Time{},
		heldCount:  map[model.ServiceAddr]int{},
		asks:       map[model.Flow]*ask{},
		nextID:     model.Mix(opt.Seed),
		peers:      map[model.NodeID]*peer{},
		rescanAt:   -1,
		hints:      bucket{rate: float64(opt.HintRate)},
		retries:    bucket{rate: batchRetryRate},
	}
}

func defaultTo[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Step handles one event and returns what to do, in order. The slice is valid
// until the next call. now must not decrease.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Packet:
		c.onPacket(now, ev)
	case Message:
		c.onMessage(now, ev)
	case ViewChanged:
		c.onView(now, ev.View)
	case Contact:
		c.table.Contact(now)
	case Closed:
		c.onClosed(ev.Flow)
	case Leave:
		c.onLeave(now)
	case LoadChanged:
		c.load.Busy, c.load.Queued = ev.Load.Busy, ev.Load.Queued
	case Tick:
		if now.Sub(c.lastTick) >= tickInterval {
			c.lastTick = now
			c.tickAsks(now)
			c.rescan(now)
			c.tickRegistrations(now)
			c.tickReports(now)
			c.sweep(now)
		}
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// Load returns the agent's own counts.
func (c *Core) Load() model.Load {
	l := c.load
	l.Flows = c.held.size
	return l
}

// Holds reports whether this agent holds the flow.
func (c *Core) Holds(f model.Flow) bool { return c.held.get(f.Hash(), f) != nil }

// Table returns the placement table of the agent's service, which other cores
// of the agent may read. Only the core changes it.
func (c *Core) Table() *placement.Table { return c.table }

func (c *Core) onMessage(now time.Time, ev Message) {
	switch m := ev.Msg.(type) {
	case message.FlowAsk:
		c.onAsk(now, ev, m)
	case message.FlowAnswer:
		c.onAnswer(now, ev.From, m)
	case message.FlowRegister:
		c.onRegister(now, ev, m)
	case message.FlowRelease:
		c.onRelease(ev.From, m)
	case message.FlowAck:
		c.onAck(ev.From, m.Seq)
	case message.LoadReport:
		c.onReport(now, ev.From, m.Load)
	}
}

// onPacket applies the rules of the package comment to one packet.
func (c *Core) onPacket(now time.Time, p Packet) {
	hash := p.Flow.Hash()
	if c.held.get(hash, p.Flow) != nil {
		c.emit(Accept{Ref: p.Ref, Flow: p.Flow})
		return
	}
	if !c.viewed {
		c.emit(Drop{p.Ref, ReasonNoView})
		return
	}
	var returned model.NodeID // a believed holder that does not hold the flow
	if e := c.lookup(now, hash, p.Flow); e != nil {
		switch {
		case e.holder == p.From, p.Hops == 0 && !e.registered:
			// The believed holder passed the packet here, so it does not hold the
			// flow, or outdated entries of several agents form a loop.
			returned = e.holder
			c.exceptions.remove(hash, p.Flow)
			c.emit(Count{ReasonReturned})
		default:
			c.pass(now, p, e.holder, e.assigned && c.isOpening(p))
			return
		}
	}
	if a := c.asks[p.Flow]; a != nil {
		c.join(now, a, p)
		return
	}
	if reason, ok := c.refused(now, p); ok {
		c.emit(Drop{p.Ref, reason})
		return
	}
	if !c.isOpening(p) {
		c.startAsk(now, p, returned)
		return
	}
	c.onOpening(now, p, hash, returned)
}

// onOpening handles an opening packet of a flow that nobody is known to hold.
func (c *Core) onOpening(now time.Time, p Packet, hash uint64, returned model.NodeID) {
	switch {
	case !c.takesFlows(now):
		c.decline(now, p)
	case p.Assigned && returned == "":
		if c.atLimit() {
			c.decline(now, p)
			return
		}
		c.open(now, p.Flow, hash, []Packet{p})
	case returned == "" && p.ViewHash == c.table.Fingerprint() && c.table.HomeSettled(now, hash):
		c.openOrHandOver(now, p, hash)
	case returned != "" || !c.redirect(now, p):
		c.startAsk(now, p, returned)
	}
}

// isOpening reports whether the packet may open a flow. UDP has no opening
// flag; any packet of an unknown flow opens it.
func (c *Core) isOpening(p Packet) bool { return p.Opening || p.Flow.Proto == model.UDP }

// refused tells why a packet of an unknown flow must not be handled here.
// Non-opening packets on an address that left the service lately may belong to
// a flow of another agent of this service.
func (c *Core) refused(now time.Time, p Packet) (Reason, bool) {
	if p.Service != c.opt.Service {
		return ReasonWrongService, true
	}
	addr := p.Flow.ServiceAddr()
	times, ok := c.addrs[addr]
	if !ok {
		lost, recently := c.lost[addr]
		if c.isOpening(p) || !recently || now.Sub(lost) > learnedTime {
			return ReasonWrongService, true
		}
		return 0, false
	}
	if c.isOpening(p) && now.Before(times.openAt) {
		return ReasonAddressWait, true
	}
	return 0, false
}

// takesFlows reports whether this agent may open flows. An agent that is
// suspected by mistake may, when no other target is active.
func (c *Core) takesFlows(now time.Time) bool {
	if c.leaving {
		return false
	}
	m, ok := c.table.Member(c.opt.Self)
	if !ok {
		return true // not in the view yet: joining
	}
	if m.State == model.StateSuspect {
		return len(c.registerHomes(now, 0, c.opt.Self)) == 0
	}
	return m.State == model.StateActive && m.Weight > 0
}

func (c *Core) atLimit() bool {
	m, ok := c.table.Member(c.opt.Self)
	return ok && m.MaxFlows > 0 && c.held.size >= m.MaxFlows
}

// decline sends an opening packet that this agent does not take to an active
// agent. One that an active agent passed here goes back to it, because that
// agent believes that this one is the holder and has to choose again.
func (c *Core) decline(now time.Time, p Packet) {
	if m, ok := c.table.Member(p.From); ok && m.State == model.StateActive {
		c.pass(now, p, p.From, false)
		return
	}
	homes := c.registerHomes(now, p.Flow.Hash(), c.opt.Self)
	if len(homes) == 0 {
		c.emit(Drop{p.Ref, ReasonNoTarget})
		return
	}
	c.pass(now, p, homes[0], false)
}

// pass forwards a packet to another agent and tells the balancer that sent it.
func (c *Core) pass(now time.Time, p Packet, to model.NodeID, assigned bool) {
	if p.Hops == 0 {
		c.emit(Drop{p.Ref, ReasonHopLimit})
		return
	}
	c.emit(Pass{Ref: p.Ref, To: to, Service: c.opt.Service, Hops: p.Hops - 1, Assigned: assigned, ViewHash: p.ViewHash})
	if _, agent := c.table.Member(p.From); agent || c.isOpening(p) || p.From == "" {
		return
	}
	if c.hints.take(now) {
		c.emit(Send{p.From, message.FlowHint{Flow: p.Flow, Holder: to}})
	}
}

func (c *Core) onLeave(now time.Time) {
	c.leaving = true
	for _, a := range slices.Clone(c.asking) {
		if !a.ended && a.opening {
			c.end(a)
			for _, p := range a.packets {
				c.decline(now, p)
			}
		}
	}
}

// bucket is a token bucket that holds one second's worth of tokens.
type bucket struct {
	rate   float64 // tokens per second
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
