// Package steer is the core of a balancer whose targets end flows themselves. It
// places each new flow on a target, and finds the target of a flow that another
// balancer placed by asking the agents. It has no clock, socket or goroutine:
// the caller passes the time and carries out the actions.
package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/shaping"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Times of the balancer.
const (
	// helloInterval is the least pause between hellos to agents. It keeps load
	// reports fresh and the loss of an agent visible within a second.
	helloInterval = 250 * time.Millisecond
	// helloSlack is kept for late answers: an agent becomes unreachable when three
	// hellos or answers are lost in a row.
	helloSlack = 50 * time.Millisecond
	// peerInterval is the pause between hellos to balancers when nothing changes. A
	// new configuration or agent is told at once, with tellPause between two hellos.
	peerInterval = time.Second
	tellPause    = 50 * time.Millisecond
	// peerTimeout is when a silent balancer no longer counts: three hellos lost.
	peerTimeout = 3*peerInterval + 200*time.Millisecond
	// openTimeout is when an opening packet moves on to another target. A target
	// answers within a millisecond, the longest way there and back takes 10 ms,
	// and an agent that used up its share of the processor waits up to 100 ms.
	openTimeout = 60 * time.Millisecond
	// askTimeout is when unanswered agents are asked again: two round trips
	// between data centres and the time that a busy agent needs.
	askTimeout = 40 * time.Millisecond
	// askRounds is how often agents are asked before the packets are dropped.
	askRounds = 3
	// suspectFor is how long a target that let an opening packet time out gets no
	// new flows unless it reports again.
	suspectFor = 500 * time.Millisecond
	// newAgentFor is how long hellos to other balancers name an agent after it
	// was first heard: several hellos, so that the loss of some does not hide it.
	newAgentFor = 2 * time.Second
	// forgetAfter is when an unreachable agent that the store does not list is
	// dropped, and a balancer that is silent.
	forgetAfter = 5 * time.Second
	// removeAfter is when the object of an agent without reports is removed from the
	// store: the longest life of a flow, so that no flow of it is left.
	removeAfter = time.Minute
	// startTimeout is when a balancer that still has no agent becomes ready.
	startTimeout = 2 * time.Second
	// holdTimeout is how long an opening packet waits for a target when the
	// balancer or the agents have just started: agents report within a few
	// milliseconds of a hello and know their target's state within half a second.
	holdTimeout = 700 * time.Millisecond
	// earlyFor is how long packets wait for the first configuration; after it the
	// caller has sent a copy.
	earlyFor = 200 * time.Millisecond
	// lostAfter is when an agent without reports no longer counts as a possible
	// holder of flows: longer than any planned restart takes. Whether its target
	// lives or not, packets do not reach it from here.
	lostAfter = 2500 * time.Millisecond
	// unheardAfter is the same for a listed agent that has not reported since it became
	// known: its VM may be gone. An agent that restarts is away for 0.7 s.
	unheardAfter = 1200 * time.Millisecond
	// startSpread is how far apart the processes of a deployment start that lost power or
	// were killed together.
	startSpread = 300 * time.Millisecond
	// listPause bounds the listings of the store that decide on resets.
	listPause = 100 * time.Millisecond
)

// Bounds of the state.
const (
	maxFlows      = 262_144
	maxAsks       = 4096
	maxHeld       = 8 // packets that wait for the answers to one ask
	maxTried      = 6 // targets tried for one opening packet
	maxCandidates = 128
	maxHellos     = 120 // a second to agents; at 30 us each, 4% of the smallest VM's share
	maxEarly      = 512
	maxWaiting    = 1024 // opening packets that wait for a target
)

// Options configure a core.
type Options struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Seed        uint64
	Peer        netip.AddrPort   // own peer address
	Seeds       []netip.AddrPort // peer addresses of balancers
	FlowTTL     time.Duration    // after which a flow may be forgotten
	// LinkBits is the rate of the VM's link in bits a second, 0 if it is not known.
	LinkBits float64
	// FullSegment is the most data that a packet carries; a flow with such packets is a
	// transfer. 0 treats none so.
	FullSegment int
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of action.
const (
	// SendForward sends Packet to the agent at To.
	SendForward ActionKind = iota + 1
	// SendMessage sends Message to the peer at To.
	SendMessage
	// ResetCaller sends a reset for Flow, with Ack as the caller's last one.
	ResetCaller
	// ListAgents asks for a listing of the agents that is not older than the request.
	ListAgents
	// RemoveAgent asks to remove the object of the agent at To, which is gone.
	RemoveAgent
	// FetchConfig asks the balancer at To for its configuration.
	FetchConfig
	// Log records a decision.
	Log
	// Count raises a counter.
	Count
	// Observe adds Latency to the histogram that Counter names.
	Observe
)

// Action is what the runtime does. Slices alias the packet given to the core or
// the core's own buffers and are valid until the next call.
type Action struct {
	Kind    ActionKind
	To      netip.AddrPort
	Service uint64
	Terms   steerwire.Terms
	Packet  []byte
	Message steerwire.Message
	Flow    model.Flow
	Ack     uint32
	Entry   Entry
	Counter Counter
	Latency time.Duration
}

// Entry is one decision for the log.
type Entry struct {
	Event   string
	Flow    model.Flow
	Service model.ServiceName
	Target  netip.AddrPort
	Reason  string
	Version int64         // configuration version that decided
	Age     time.Duration // of the load report that decided, or of the belief that changed
	Detail  int           // number of tries, agents or requests, by event
}

// Counter names a count and its reason.
type Counter struct{ Name, Reason string }

// The counters of the core.
const (
	CounterDropped = "steer_packets_dropped"
	CounterReset   = "steer_flows_reset"
	CounterMoved   = "steer_openings_moved"
	CounterAsked   = "steer_asks"
)

// The latency histograms of the core.
const (
	// LatencyOpen is from the last opening packet sent to the target's answer.
	LatencyOpen = "steer_open_seconds"
	// LatencySearch is from the first packet of a flow without a known target to the
	// end of the search.
	LatencySearch = "steer_search_seconds"
)

// Config is a configuration as the core uses it.
type Config struct {
	Revision uint64 // of the store
	Version  int64  // given by the operator
	Routes   map[netip.AddrPort]Route
	// IdleTimeout is after how long without packets a flow may be forgotten.
	IdleTimeout time.Duration
}

// Route tells which services take the new flows of an address.
type Route struct {
	Name   string
	Shares []Share
	Terms  steerwire.Terms // of its requests
}

// Share is a service's part of a route's flows.
type Share struct {
	Service model.ServiceName
	Weight  int
}

func (c *Config) routeCount() int {
	if c == nil {
		return 0
	}
	return len(c.Routes)
}

// flow is what the balancer knows of one flow.
type flow struct {
	target   netip.AddrPort
	tried    [maxTried]netip.AddrPort // targets that got the opening packet, or were probed
	ntried   uint8
	transfer bool // a full packet passed
	opened   bool // the target answered the opening packet, or says that it holds the flow
	// pending is set while the opening packet waits for the target's answer.
	pending  bool
	at       time.Time // of the last opening packet sent
	lastSeen time.Time
	service  model.ServiceName
	syn      []byte
	ack      uint32 // last acknowledgement number of the caller
}

func (f *flow) wasTried(a netip.AddrPort) bool { return slices.Contains(f.tried[:f.ntried], a) }

func (f *flow) try(a netip.AddrPort) {
	f.target = a
	if !f.wasTried(a) && f.ntried < maxTried {
		f.tried[f.ntried] = a
		f.ntried++
	}
}

// untry takes a target that does not hold the flow off the list.
func (f *flow) untry(a netip.AddrPort) {
	if i := slices.Index(f.tried[:f.ntried], a); i >= 0 {
		copy(f.tried[i:], f.tried[i+1:f.ntried])
		f.ntried--
	}
}

// pendingOpen is an opening packet whose target has not answered yet.
type pendingOpen struct {
	flow model.Flow
	at   time.Time
}

// Core is the state of one balancer.
type Core struct {
	o         Options
	base      *Config // the operator's configuration
	config    *Config // base with the decision files above it
	decisions Decisions
	former    map[netip.AddrPort][]Share // services that addresses led to earlier
	started   time.Time
	random    uint64

	flows      map[model.Flow]*flow
	opens      []pendingOpen // in order of time
	waiting    []pendingOpen // opening packets without a target, in order of time
	listing    time.Time     // of the last ListAgents
	listWanted bool          // a search waits for a listing
	asks       map[model.Flow]*ask
	targets    map[netip.AddrPort]*target
	peers      map[netip.AddrPort]*peer
	byService  map[model.ServiceName][]*target           // targets of each service, in order of address
	hello      time.Time                                 // of the last hellos to agents
	peerHello  time.Time                                 // of the last hellos to balancers
	tellPeers  bool                                      // an agent is new
	questions  map[netip.AddrPort][]steerwire.QueryEntry // noted for each agent
	finds      []steerwire.QueryEntry                    // noted for the balancers of the data centre
	questioned time.Time                                 // of the last questions sent
	sweep      time.Time                                 // of the last search for idle flows
	tick       time.Time
	leaving    bool

	transfers *shaping.Queue[transferPacket, heldPacket]
	released  time.Time // last release of transfers
	early     []earlyPacket
	returns   map[model.ServiceName]*pacing.Queue[model.Flow]
	returning map[model.Flow]returning
	actions   []Action
	cands     []candidate
	fetching  time.Time // of the last FetchConfig
}

// New returns a core that starts now.
func New(now time.Time, o Options) *Core {
	c := &Core{
		o: o, started: now, tick: now, random: model.Mix(o.Seed),
		former: make(map[netip.AddrPort][]Share), flows: make(map[model.Flow]*flow), asks: make(map[model.Flow]*ask),
		targets: make(map[netip.AddrPort]*target), questions: make(map[netip.AddrPort][]steerwire.QueryEntry), peers: make(map[netip.AddrPort]*peer),
		byService: make(map[model.ServiceName][]*target),
		transfers: shaping.New[transferPacket, heldPacket](o.LinkBits),
		returns:   make(map[model.ServiceName]*pacing.Queue[model.Flow]), returning: make(map[model.Flow]returning),
	}
	return c
}

// Config returns the configuration in effect, nil before the first.
func (c *Core) Config() *Config { return c.config }

// SetConfig puts a configuration into effect unless it is older than the present one.
func (c *Core) SetConfig(now time.Time, next *Config) []Action {
	c.actions = c.actions[:0]
	if c.base != nil && next.Revision <= c.base.Revision {
		return nil
	}
	c.replaceConfig(now, next)
	return c.actions
}

// replaceConfig puts the operator's configuration into effect with the decision
// files above it.
func (c *Core) replaceConfig(now time.Time, base *Config) {
	next := c.decisions.apply(base)
	c.log(Entry{Event: "configuration", Version: next.Version, Detail: next.routeCount()})
	c.keepFormer(next)
	c.base, c.config = base, next
	c.replayEarly(now)
	// Peers that the store refuses learn the revision from hellos; sending them
	// at once keeps the spread within the propagation bound.
	c.peerHello = now
	c.helloBalancers(now)
}

// earlyPacket came before the first configuration.
type earlyPacket struct {
	at      time.Time
	segment segment.Segment
	raw     []byte
}

// keepEarly keeps a packet for the first configuration, which is a few
// milliseconds away when the store answers.
func (c *Core) keepEarly(now time.Time, s segment.Segment, raw []byte) {
	if len(c.early) >= maxEarly {
		c.count(CounterDropped, "no_configuration")
		return
	}
	c.early = append(c.early, earlyPacket{now, s, slices.Clone(raw)})
	for now.Sub(c.early[0].at) > earlyFor {
		c.early = c.early[1:]
		c.count(CounterDropped, "no_configuration")
	}
}

// replayEarly handles the packets that waited for the first configuration.
func (c *Core) replayEarly(now time.Time) {
	early := c.early
	c.early = nil
	for _, p := range early {
		switch {
		case now.Sub(p.at) > earlyFor:
			c.count(CounterDropped, "no_configuration")
		case p.segment.Opens():
			c.opening(now, p.segment, p.raw)
		default:
			c.following(now, p.segment, p.raw)
		}
	}
}

// keepFormer remembers the services of routes that next changes: flows opened
// before stay there.
func (c *Core) keepFormer(next *Config) {
	if c.config == nil {
		return
	}
	for addr, r := range c.config.Routes {
		if slices.Equal(r.Shares, next.Routes[addr].Shares) {
			continue
		}
		for _, s := range r.Shares {
			if !slices.Contains(c.former[addr], s) {
				c.former[addr] = append(c.former[addr], s)
			}
		}
	}
}

// Leave marks that the balancer is about to stop. It keeps forwarding.
func (c *Core) Leave() { c.leaving = true }

// Ready reports whether the balancer may get packets from callers, and why not.
func (c *Core) Ready(now time.Time) (bool, string) {
	switch {
	case c.leaving:
		return false, "stopping"
	case c.config == nil:
		return false, "no_configuration"
	}
	known, reachable := 0, 0
	for _, t := range c.targets {
		if t.ever {
			known++
		}
		if c.reachable(now, t) {
			reachable++
		}
	}
	switch {
	case reachable > 0:
		return true, ""
	case now.Sub(c.started) < startTimeout || known > 0:
		return false, "no_agent"
	}
	return true, ""
}

// Flows returns the number of flows known.
func (c *Core) Flows() int { return len(c.flows) }

func (c *Core) log(e Entry) {
	if e.Version == 0 {
		e.Version = c.version()
	}
	c.actions = append(c.actions, Action{Kind: Log, Entry: e})
}

func (c *Core) count(name, reason string) {
	c.actions = append(c.actions, Action{Kind: Count, Counter: Counter{name, reason}})
}

func (c *Core) observe(name, reason string, d time.Duration) {
	c.actions = append(c.actions, Action{Kind: Observe, Counter: Counter{name, reason}, Latency: d})
}

func (c *Core) send(to netip.AddrPort, m steerwire.Message) {
	c.actions = append(c.actions, Action{Kind: SendMessage, To: to, Message: m})
}

func (c *Core) forward(key model.Flow, to netip.AddrPort, service model.ServiceName, packet []byte) {
	c.actions = append(c.actions, Action{
		Kind: SendForward, To: to, Service: model.HashString(string(service)),
		Terms: c.config.Routes[key.Dst].Terms, Packet: packet,
	})
}

func (c *Core) reset(f model.Flow, ack uint32, reason string) {
	c.actions = append(c.actions, Action{Kind: ResetCaller, Flow: f, Ack: ack})
	c.count(CounterReset, reason)
}

func (c *Core) version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

func (c *Core) next() uint64 {
	c.random = model.Mix(c.random)
	return c.random
}

// Packet handles a packet from a caller.
func (c *Core) Packet(now time.Time, s segment.Segment, raw []byte) []Action {
	c.actions = c.actions[:0]
	switch {
	case s.FromTarget || s.Flags.Has(segment.Bounced) || s.Accepts():
		// Only targets accept or bounce; from a caller such a packet is forged.
		c.count(CounterDropped, "forged")
	case c.config == nil:
		c.keepEarly(now, s, raw)
	case s.Opens():
		c.opening(now, s, raw)
	default:
		c.following(now, s, raw)
	}
	return c.actions
}
