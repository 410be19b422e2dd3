// Package flows is the flow core of an agent. For each packet it decides
// whether this agent accepts it, forwards it to the agent that holds the flow, or
// first queries the candidates, which are the agents that may hold the flow. It
// also distributes new flows over the targets.
//
// At most one agent holds a flow. Three rules ensure this:
//   - An agent opens a flow without a lookup only if it is the settled home of the
//     flow, see placement.Table.HomeSettled.
//   - A queried agent that denies holding a flow records the agent that opens it as
//     tentative holder, so that it does not open the flow itself. Of two agents that
//     query each other, the one with the higher hash of (flow, NodeID) opens it.
//   - A holder registers its flow with the first two homes, so that agents that
//     become homes later learn the holder.
//
// Only an agent's own answer proves that it holds a flow. If an answer names a
// third agent as the holder, that agent is queried too.
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
	DefaultAddressWait   = 3 * time.Second // a configuration takes effect on all nodes within this time
	DefaultMaxLookups    = 4096
	DefaultMaxExceptions = 1 << 17 // three targets with 32,500 flows each register 65,000 flows at each
	DefaultHintRate      = 8       // about 800 B/s of the control traffic budget
)

// maxBuffered is the maximum number of packets buffered by one lookup.
const maxBuffered = 4

// tickInterval is the minimum time between two rounds of periodic work.
const tickInterval = 50 * time.Millisecond

// Options configures a Core. Zero values stand for the defaults.
type Options struct {
	Self    model.NodeID
	Service model.ServiceName
	// Settle must be longer than a view change takes to reach all nodes.
	Settle time.Duration
	// AddressWait is the time for which opening packets are dropped after an address
	// was added to the service. Agents of its previous service may not have received
	// the change yet and could open the same flow. It does not apply to the first
	// view. A negative value disables it.
	AddressWait   time.Duration
	MaxLookups    int // concurrent lookups
	MaxExceptions int // flows held by other agents whose holder is recorded
	HintRate      int // hints to balancers per second
	Seed          uint64
}

// Core holds the state of one agent's flows. It is not safe for concurrent use.
type Core struct {
	opt     Options
	table   *placement.Table
	hasView bool
	leaving bool
	origin  time.Time // of the first Step
	actions []Action  // result of the current Step

	held       flowTable[heldFlow]
	exceptions flowTable[exception]
	evictPos   int // slot of exceptions last visited by evict
	sweepPos   int // slot of exceptions last visited by sweepExceptions

	addrs           map[model.ServiceAddr]addrTimes
	removedAt       map[model.ServiceAddr]time.Time // addresses recently removed from the service
	flowsPerAddr    map[model.ServiceAddr]int       // held flows
	advertisedAddrs []model.ServiceAddr             // last emitted HeldAddrs

	lookups     map[model.Flow]*lookup
	lookupOrder []*lookup // in order of their start; includes ended ones until the next Tick
	nextQueryID uint64

	peers           map[model.NodeID]*peer
	peerOrder       []*peer // by ID
	partners        []*peer // agents to which this agent may hand over flows
	reportReceivers []*peer // agents to which this agent sends load reports
	load            model.Load
	nextReceiver    int // index in reportReceivers
	nextReportAt    time.Time

	rescanPos     int // next slot of held to check, -1 if no rescan is in progress
	rescanStarted time.Time
	nextSeq       uint64
	hintBudget    tokenBucket
	retryBudget   tokenBucket
	lastTick      time.Time
	homesBuf      []model.NodeID
}

// addrTimes holds the times that apply to an address of the service.
type addrTimes struct {
	since   time.Time // when the address was added to the service
	opensAt time.Time // opening packets are dropped until then
}

// New returns a core that has not received a view yet.
func New(opt Options) *Core {
	setDefault(&opt.Settle, DefaultSettle)
	setDefault(&opt.AddressWait, DefaultAddressWait)
	setDefault(&opt.MaxLookups, DefaultMaxLookups)
	setDefault(&opt.MaxExceptions, DefaultMaxExceptions)
	setDefault(&opt.HintRate, DefaultHintRate)
	return &Core{
		opt:          opt,
		table:        placement.New(opt.Self, opt.Settle),
		held:         newFlowTable[heldFlow](),
		exceptions:   newFlowTable[exception](),
		addrs:        map[model.ServiceAddr]addrTimes{},
		removedAt:    map[model.ServiceAddr]time.Time{},
		flowsPerAddr: map[model.ServiceAddr]int{},
		lookups:      map[model.Flow]*lookup{},
		nextQueryID:  model.Mix(opt.Seed),
		peers:        map[model.NodeID]*peer{},
		rescanPos:    -1,
		hintBudget:   tokenBucket{rate: float64(opt.HintRate)},
		retryBudget:  tokenBucket{rate: batchRetryRate},
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Step handles one event and returns the resulting actions, in order. The slice is
// valid until the next call. now must not decrease.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	if c.origin.IsZero() {
		c.origin = now
	}
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
	case IncarnationRaised:
		c.registerAgain(now)
	case Tick:
		if now.Sub(c.lastTick) >= tickInterval {
			c.lastTick = now
			c.tickLookups(now)
			c.rescan(now)
			c.tickBatches(now)
			c.tickLoadReports(now)
			c.sweepExceptions(now)
		}
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Load returns the agent's own load, with the number of held flows.
func (c *Core) Load() model.Load {
	l := c.load
	l.Flows = c.held.size
	return l
}

// Holds reports whether this agent holds the flow.
func (c *Core) Holds(f model.Flow) bool { return c.held.get(f.Hash(), f) != nil }

// Table returns the placement table of the agent's service. Other cores of the
// agent may read it; only this core modifies it.
func (c *Core) Table() *placement.Table { return c.table }

func (c *Core) onMessage(now time.Time, ev Message) {
	switch m := ev.Msg.(type) {
	case message.FlowQuery:
		c.onQuery(now, ev, m)
	case message.FlowAnswer:
		c.onAnswer(now, ev.From, m)
	case message.FlowRegister:
		c.onRegister(now, ev, m)
	case message.FlowRelease:
		c.onRelease(ev.From, m)
	case message.FlowAck:
		c.onAck(ev.From, m.Seq)
	case message.LoadReport:
		c.onLoadReport(now, ev.From, m.Load)
	}
}

// onPacket applies the rules of the package comment to one packet.
func (c *Core) onPacket(now time.Time, p Packet) {
	hash := p.Flow.Hash()
	if c.held.get(hash, p.Flow) != nil {
		c.emit(Accept{Ref: p.Ref, Flow: p.Flow})
		return
	}
	if !c.hasView {
		c.emit(Drop{p.Ref, ReasonNoView})
		return
	}
	var returnedBy model.NodeID // the recorded holder, if it does not hold the flow
	if e := c.exceptionFor(now, hash, p.Flow); e != nil {
		switch {
		case e.holder == p.From, p.Hops == 0 && !e.registered:
			// The recorded holder forwarded the packet here, so it does not hold the
			// flow, or outdated entries of several agents form a loop.
			returnedBy = e.holder
			c.exceptions.remove(hash, p.Flow)
			c.emit(Count{ReasonReturned})
		default:
			c.forward(now, p, e.holder, e.assigned && c.isOpening(p))
			return
		}
	}
	if l := c.lookups[p.Flow]; l != nil {
		c.joinLookup(now, l, p)
		return
	}
	if reason, ok := c.rejectReason(now, p); ok {
		c.emit(Drop{p.Ref, reason})
		return
	}
	if !c.isOpening(p) {
		c.startLookup(now, p, returnedBy)
		return
	}
	c.onOpening(now, p, hash, returnedBy)
}

// onOpening handles an opening packet of a flow without a known holder.
func (c *Core) onOpening(now time.Time, p Packet, hash uint64, returnedBy model.NodeID) {
	switch {
	case !c.acceptsNewFlows(now):
		c.forwardToActive(now, p)
	case p.Assigned && returnedBy == "":
		if c.atLimit() {
			c.forwardToActive(now, p)
			return
		}
		c.openFlow(now, p.Flow, hash, []Packet{p})
	case returnedBy == "" && p.ViewHash == c.table.Fingerprint() && c.table.HomeSettled(now, hash):
		c.openOrHandOver(now, p, hash)
	case returnedBy != "" || !c.forwardToPartner(now, p):
		c.startLookup(now, p, returnedBy)
	}
}

// isOpening reports whether the packet may open a flow. UDP has no opening
// flag; any packet of an unknown flow opens it.
func (c *Core) isOpening(p Packet) bool { return p.Opening || p.Flow.Proto == model.UDP }

// rejectReason returns why a packet of an unknown flow must not be handled here, or
// false if it may be. Non-opening packets on an address that was recently removed
// from the service are handled: another agent of this service may hold the flow.
func (c *Core) rejectReason(now time.Time, p Packet) (Reason, bool) {
	if p.Service != c.opt.Service {
		return ReasonWrongService, true
	}
	addr := p.Flow.ServiceAddr()
	times, ok := c.addrs[addr]
	if !ok {
		removedAt, known := c.removedAt[addr]
		if c.isOpening(p) || !known || now.Sub(removedAt) > learnedTTL {
			return ReasonWrongService, true
		}
		return 0, false
	}
	if c.isOpening(p) && now.Before(times.opensAt) {
		return ReasonAddressWait, true
	}
	return 0, false
}

// acceptsNewFlows reports whether this agent may open flows. A suspect agent may
// open flows if no other target is active: the suspicion may be wrong.
func (c *Core) acceptsNewFlows(now time.Time) bool {
	if c.leaving {
		return false
	}
	m, ok := c.table.Member(c.opt.Self)
	if !ok {
		return true // joining, not in the view yet
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

// forwardToActive forwards an opening packet that this agent does not accept to an
// active agent. A packet from an active agent is returned to it, because that agent
// has recorded this one as the holder and must choose again.
func (c *Core) forwardToActive(now time.Time, p Packet) {
	if m, ok := c.table.Member(p.From); ok && m.State == model.StateActive {
		c.forward(now, p, p.From, false)
		return
	}
	homes := c.registerHomes(now, p.Flow.Hash(), c.opt.Self)
	if len(homes) == 0 {
		c.emit(Drop{p.Ref, ReasonNoTarget})
		return
	}
	c.forward(now, p, homes[0], false)
}

// forward forwards a packet to another agent. For a non-opening packet from a
// balancer it also sends the balancer a hint to the holder, at a limited rate.
func (c *Core) forward(now time.Time, p Packet, to model.NodeID, assigned bool) {
	if p.Hops == 0 {
		c.emit(Drop{p.Ref, ReasonHopLimit})
		return
	}
	c.emit(Pass{Ref: p.Ref, To: to, Service: c.opt.Service, Hops: p.Hops - 1, Assigned: assigned, ViewHash: p.ViewHash})
	if _, agent := c.table.Member(p.From); agent || c.isOpening(p) || p.From == "" {
		return
	}
	if c.hintBudget.take(now) {
		c.emit(Send{p.From, message.FlowHint{Flow: p.Flow, Holder: to}})
	}
}

func (c *Core) onLeave(now time.Time) {
	c.leaving = true
	for _, l := range slices.Clone(c.lookupOrder) {
		if !l.ended && l.opening {
			c.endLookup(l)
			for _, p := range l.buffered {
				c.forwardToActive(now, p)
			}
		}
	}
}

// tokenBucket is a rate limiter whose capacity is the number of tokens of one second.
type tokenBucket struct {
	rate     float64 // tokens per second
	tokens   float64
	refilled time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.rate, b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
