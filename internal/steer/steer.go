// Package steer is the core of a balancer in pass-through mode, where targets
// terminate flows. It places each new flow on a target, and looks up the holder of a
// flow that another balancer placed by querying the agents. It has no clock, socket or
// goroutine: the runtime passes the time in and carries out the returned actions.
package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/evacuation"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/shaping"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Intervals and timeouts.
const (
	// helloInterval is the minimum interval between hellos to agents. It keeps load
	// reports recent and lets the loss of an agent be detected within a second.
	helloInterval = 250 * time.Millisecond
	// helloSlack is the allowance for late reports: an agent becomes unreachable when
	// three hellos or reports in a row are lost.
	helloSlack = 50 * time.Millisecond
	// firstHelloInterval is the interval between hellos to an agent that has not reported
	// yet. Such an agent delays lookups and resets, and a hello that is lost or arrives
	// before the agent is up must not delay them for a whole hello interval.
	firstHelloInterval = 150 * time.Millisecond
	// lossCheckInterval is the interval of the check for lost agents.
	lossCheckInterval = 250 * time.Millisecond
	// peerHelloInterval is the interval between hellos to balancers when nothing changes.
	// A new or lost agent is advertised early, in hellos at least minPeerHelloInterval
	// apart; a new configuration is advertised at once.
	peerHelloInterval    = time.Second
	minPeerHelloInterval = 50 * time.Millisecond
	// peerTimeout is the time after its last hello at which a balancer becomes unreachable:
	// three lost hellos.
	peerTimeout = 3*peerHelloInterval + 200*time.Millisecond
	// openTimeout is the time after which an opening packet is retried at another target.
	// A target answers within a millisecond, the longest round trip takes 10 ms, and an
	// agent that has used up its CPU share is delayed by up to 100 ms.
	openTimeout = 60 * time.Millisecond
	// queryTimeout is the time after which a query without an answer is repeated: two
	// round trips between data centres and the delay of a busy agent.
	queryTimeout = 40 * time.Millisecond
	// maxQueryAttempts is how many times a round queries an agent that does not answer.
	// Without a holder, the buffered packets are then dropped.
	maxQueryAttempts = 3
	// suspectDuration is how long a target that did not answer or refused an opening
	// packet gets no new flows, unless its agent reports earlier.
	suspectDuration = 500 * time.Millisecond
	// newAgentAdvertisePeriod is how long hellos to other balancers list an agent after its
	// first report. It spans several hellos, so that the loss of some does not hide it.
	newAgentAdvertisePeriod = 2 * time.Second
	// entryExpiry is the time after which the entry of a silent balancer, or of a silent
	// agent that the store does not list, is removed.
	entryExpiry = 5 * time.Second
	// objectRemovalDelay is the time without reports after which an agent's object is
	// removed from the store. It is the maximum lifetime of a flow, so that no flow of the
	// agent is left.
	objectRemovalDelay = time.Minute
	// startupPeriod is the time after its start at which a balancer without agents becomes
	// ready.
	startupPeriod = 2 * time.Second
	// pendingOpeningTimeout is how long an opening packet waits for a target when the
	// balancer or the agents have just started: agents report within a few milliseconds
	// of a hello and know the state of their target within half a second.
	pendingOpeningTimeout = 700 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process has been paused:
	// ticks are lossCheckInterval apart at most.
	pauseThreshold = 1500 * time.Millisecond
	// confirmTimeout is how long new flows wait after a pause for the store to confirm the
	// configuration. Without an answer, the known configuration stays in effect.
	confirmTimeout = 150 * time.Millisecond
	// preConfigTimeout is how long packets are buffered for the first configuration. After
	// that time the caller retransmits.
	preConfigTimeout = 200 * time.Millisecond
	// FirstDecisionsTimeout is how long the first configuration from the store, and new
	// flows if a peer's decision files are in effect, wait for the first listing of the
	// decision files. It is requested at the start, and the store answers in 5 ms.
	FirstDecisionsTimeout = 100 * time.Millisecond
	// agentLossTimeout is the time without reports after which an agent is lost and no
	// longer regarded as a possible holder of flows: packets do not reach it from here,
	// whether its target is running or not. It is longer than any planned restart.
	agentLossTimeout = 2500 * time.Millisecond
	// unreportedAgentTimeout is the same for an agent that has not reported since its
	// address became known, whose VM may have failed. A restarting agent is away for 0.7 s.
	unreportedAgentTimeout = 1200 * time.Millisecond
	// endedObjectTimeout is the time after an agent's last report within which its object
	// disappears from fresh listings.
	endedObjectTimeout = 2 * time.Second
	// endedRemovalDelay is the time after an agent's last report at which its object is
	// removed if it is still listed: the agent has tried to remove it for 3 s.
	endedRemovalDelay = 3500 * time.Millisecond
	// maxStartSpread is the maximum time between the starts of a deployment's processes
	// after all of them were killed or lost power.
	maxStartSpread = 300 * time.Millisecond
	// minListInterval is the minimum interval between the store listings that confirm resets.
	minListInterval = 100 * time.Millisecond
)

// Size and rate limits.
const (
	maxFlows             = 262_144
	maxLookups           = 4096
	maxBufferedPerLookup = 8 // packets of one lookup
	maxTried             = 6 // targets per opening packet
	maxCandidates        = 128
	maxHellosPerSecond   = 120 // to agents; at 30 us each, 4% of the CPU share of the smallest VM
	maxPreConfigPackets  = 512
	maxPendingOpenings   = 1024 // opening packets without a target
)

// Options configure a core.
type Options struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Seed        uint64
	Peer        netip.AddrPort   // own peer address
	Seeds       []netip.AddrPort // peer addresses of balancers
	FlowTTL     time.Duration    // idle timeout of flows if the configuration sets none
	// LinkBitsPerSecond is the rate of the VM's link, 0 if it is not known.
	LinkBitsPerSecond float64
	// FullSegment is the maximum payload of a packet in bytes. A flow with such a packet
	// is treated as a transfer; 0 disables this.
	FullSegment int
	// Evacuations is set if the operator may evacuate data centres.
	Evacuations bool
	// Pace makes the balancer place flows by the measured speed of targets.
	Pace bool
}

// ActionKind is the type of an action.
type ActionKind uint8

// The kinds of action.
const (
	// SendForward sends Packet to the agent at To.
	SendForward ActionKind = iota + 1
	// SendMessage sends Message to the peer at To.
	SendMessage
	// ResetCaller sends a reset of Flow to its caller. Ack is the last acknowledgement
	// number received from the caller.
	ResetCaller
	// ListAgents requests a listing of the agents in the store, started after this action.
	ListAgents
	// RemoveAgent removes the store object of the agent at To, which is lost, unless a later
	// incarnation than Incarnation has written it. An incarnation of 0 is not known.
	RemoveAgent
	// FetchConfig fetches the configuration and decision files from the balancer at To.
	FetchConfig
	// ConfirmConfig reads the configuration from the store and then calls ConfigConfirmed.
	ConfirmConfig
	// ListEvacuations lists the operator's evacuations in the store.
	ListEvacuations
	// ListDecisions lists the decision files in the store.
	ListDecisions
	// Log writes Entry to the log.
	Log
	// Count increments Counter.
	Count
	// Observe adds Latency to the histogram that Counter names.
	Observe
)

// Action is an instruction to the runtime. Slices alias the packet passed to the core
// or the core's own buffers, and are valid until the next call.
type Action struct {
	Kind    ActionKind
	To      netip.AddrPort
	Service uint64 // hash of the service's name
	Terms   steerwire.Terms
	Packet  []byte
	Message steerwire.Message
	Flow    model.Flow
	Ack     uint32
	Entry   Entry
	// Incarnation is the last known one of the agent whose object is removed.
	Incarnation model.Incarnation
	Counter     Counter
	Latency     time.Duration
}

// Entry is a log entry about a decision.
type Entry struct {
	Event      string
	Flow       model.Flow
	Service    model.ServiceName
	Target     netip.AddrPort
	Reason     string
	Version    int64            // configuration version in effect
	Age        time.Duration    // of the report used for the decision, or of the state that changed
	Detail     int              // number of targets, agents, query attempts, routes or slots, depending on Event
	DataCentre model.DataCentre // of an evacuation
	// Incarnation is the one of the agent that the entry is about, 0 if it does not matter.
	Incarnation model.Incarnation
}

// Counter is the name of a metric and its reason label.
type Counter struct{ Name, Reason string }

// The counters of the core.
const (
	CounterDropped = "steer_packets_dropped"
	CounterReset   = "steer_flows_reset"
	CounterMoved   = "steer_openings_moved"
	CounterLookups = "steer_asks"
	// CounterIgnoredConfigs counts configurations that were received and not put into effect.
	CounterIgnoredConfigs = "steer_configurations_ignored"
)

// The latency histograms of the core.
const (
	// LatencyOpen is the time from the last opening packet sent to the target's answer.
	LatencyOpen = "steer_open_seconds"
	// LatencyLookup is the time from the first packet of a flow without a known target to
	// the end of the lookup.
	LatencyLookup = "steer_search_seconds"
)

// Config is the configuration of a core.
type Config struct {
	Revision uint64 // revision in the store, which a restored store assigns again
	// Version is set by the operator and increases with each change. It orders
	// configurations, also across a restoration of the store.
	Version int64
	Routes  map[netip.AddrPort]Route
	// ColdFlowsPerSecond are the rates of new flows that cold targets of services bear, 0 for any.
	ColdFlowsPerSecond map[model.ServiceName]float64
	// IdleTimeout is the time without packets after which a flow's entry expires.
	IdleTimeout time.Duration
}

// Route assigns the new flows of an address to services.
type Route struct {
	Name   string
	Shares []Share
	Terms  steerwire.Terms // terms of its requests
}

// Share is a service and its weight in a route.
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

// Core is the state of a balancer.
type Core struct {
	options      Options
	base         *Config // the operator's configuration
	config       *Config // base with the addresses claimed by decision files
	decisions    Decisions
	formerShares map[netip.AddrPort][]Share // shares of routes in earlier configurations
	started      time.Time
	random       uint64
	// decisionsListed is set once the store has listed the decision files.
	decisionsListed bool

	flows             map[model.Flow]*flow
	sentOpenings      []flowOpening // awaiting an answer, by openingAt
	pendingOpenings   []flowOpening // without a target, by openingAt
	lastListing       time.Time     // when ListAgents was last issued
	listingWanted     bool          // a lookup waits for a listing
	lookups           map[model.Flow]*lookup
	targets           map[netip.AddrPort]*target
	peers             map[netip.AddrPort]*peer
	byService         map[model.ServiceName][]*target // by address
	lastAgentHello    time.Time                       // when hellos to agents were last sent
	lastFirstHello    time.Time                       // when hellos to agents without a report were last sent
	unreportedAgents  int                             // agents that these went to
	firstHelloID      uint64                          // of a hello to an agent
	nextHelloID       uint64
	lastLossCheck     time.Time
	lastPeerHello     time.Time                                 // when hellos to balancers were last sent
	advertiseSoon     bool                                      // an agent is new or lost; not sent to balancers yet
	queuedQueries     map[netip.AddrPort][]steerwire.QueryEntry // by agent
	queuedHintQueries []steerwire.QueryEntry                    // for the balancers of the data centre
	lastQueryFlush    time.Time                                 // when queries were last sent
	lastIdleSweep     time.Time                                 // when idle flows were last expired
	lastTick          time.Time
	leaving           bool
	leavingSince      time.Time

	transfers           *shaping.Queue[transferPacket, delayedPacket]
	lastTransferRelease time.Time // when packets of transfers were last released
	preConfig           []preConfigPacket
	resetQueues         map[model.ServiceName]*pacing.Queue[model.Flow]
	pendingReset        map[model.Flow]pendingReset
	references          map[model.ServiceName]serviceReference
	actions             []Action
	candidates          []candidate
	lastConfigFetch     time.Time // when FetchConfig was last issued
	configAge           viewAge
	decisionsAge        viewAge
	evacuations         evacuation.View
	evacuationsAge      viewAge
	unconfirmedSince    time.Time // end of a pause after which the configuration is not confirmed yet
	storeFailing        bool      // the last call to the store failed
	store               storeHistory
	listingQuery        listingQuery
	listingAskers       []listingAsker // balancers that wait for a listing from this one
}

// New returns the core of a balancer that starts at now.
func New(now time.Time, options Options) *Core {
	c := &Core{
		options: options, started: now, lastTick: now, random: model.Mix(options.Seed),
		formerShares: make(map[netip.AddrPort][]Share), flows: make(map[model.Flow]*flow), lookups: make(map[model.Flow]*lookup),
		targets: make(map[netip.AddrPort]*target), queuedQueries: make(map[netip.AddrPort][]steerwire.QueryEntry), peers: make(map[netip.AddrPort]*peer),
		byService:   make(map[model.ServiceName][]*target),
		transfers:   shaping.New[transferPacket, delayedPacket](options.LinkBitsPerSecond),
		resetQueues: make(map[model.ServiceName]*pacing.Queue[model.Flow]), pendingReset: make(map[model.Flow]pendingReset),
		references: make(map[model.ServiceName]serviceReference),
	}
	c.firstHelloID = c.nextRandom()>>1 + 1
	c.nextHelloID = c.firstHelloID
	return c
}

// Config returns the configuration in effect, or nil if there is none yet.
func (c *Core) Config() *Config { return c.config }

// SetConfig puts a configuration that was read from the store into effect if it is newer
// than the current one. It is advertised at once, because most balancers learn of it from
// hellos only and all must be within the propagation bound.
func (c *Core) SetConfig(now time.Time, next *Config) []Action {
	return c.setConfig(now, next, true)
}

// SetPeerConfig does the same with a configuration that was fetched from a peer, which
// has advertised it to all.
func (c *Core) SetPeerConfig(now time.Time, next *Config) []Action {
	return c.setConfig(now, next, false)
}

func (c *Core) setConfig(now time.Time, next *Config, advertise bool) []Action {
	c.actions = c.actions[:0]
	if c.base != nil && next.Version <= c.base.Version {
		if next.Version != c.base.Version {
			c.log(Entry{Event: "configuration_ignored", Reason: "older_version", Version: next.Version})
			c.count(CounterIgnoredConfigs, "older_version")
		}
		return c.actions
	}
	c.replaceConfig(now, next, advertise)
	c.adoptPeerAges(now)
	return c.actions
}

// replaceConfig puts the operator's configuration into effect, with the decision files
// applied to it.
func (c *Core) replaceConfig(now time.Time, base *Config, advertise bool) {
	next := c.decisions.apply(base)
	c.log(Entry{Event: "configuration", Version: next.Version, Detail: next.routeCount()})
	c.saveFormerShares(next)
	c.configAge.learn(now)
	c.base, c.config = base, next
	c.unconfirmedSince = time.Time{}
	c.replayPreConfig(now)
	if advertise {
		c.lastPeerHello = now
		c.sendPeerHellos(now)
	}
}

// saveFormerShares saves the shares of routes that next changes, because open flows
// stay with their services.
func (c *Core) saveFormerShares(next *Config) {
	if c.config == nil {
		return
	}
	for addr, r := range c.config.Routes {
		if slices.Equal(r.Shares, next.Routes[addr].Shares) {
			continue
		}
		for _, s := range r.Shares {
			if !slices.Contains(c.formerShares[addr], s) {
				c.formerShares[addr] = append(c.formerShares[addr], s)
			}
		}
	}
}

// Leave marks the balancer as stopping. It continues to forward packets, and another
// balancer reads the store in its place.
func (c *Core) Leave() { c.leaving, c.leavingSince, c.advertiseSoon = true, c.lastTick, true }

// Ready reports whether the balancer may receive packets from callers, and if not, why.
func (c *Core) Ready(now time.Time) (bool, string) {
	switch {
	case c.leaving:
		return false, "stopping"
	case c.config == nil:
		return false, "no_configuration"
	}
	known, reachable := 0, 0
	for _, t := range c.targets {
		if t.reported {
			known++
		}
		if c.reachable(now, t) {
			reachable++
		}
	}
	switch {
	case reachable > 0:
		return true, ""
	case now.Sub(c.started) < startupPeriod || known > 0:
		return false, "no_agent"
	}
	return true, ""
}

// Peers returns the number of known balancers other than this one.
func (c *Core) Peers() int { return len(c.peers) }

// Flows returns the number of flows in the flow table.
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

func (c *Core) nextRandom() uint64 {
	c.random = model.Mix(c.random)
	return c.random
}

// Packet handles a packet from a caller.
func (c *Core) Packet(now time.Time, s segment.Segment, raw []byte) []Action {
	c.actions = c.actions[:0]
	c.detectPause(now)
	switch {
	case s.FromTarget || s.Flags.Has(segment.Bounced) || s.Accepts():
		// Only targets send accepting or bounced packets; from a caller they are forged.
		c.count(CounterDropped, "forged")
	case c.config == nil, s.Opens() && c.openingsWait(now):
		c.bufferPreConfig(now, s, raw)
	case s.Opens():
		c.handleOpening(now, s, raw)
	default:
		c.handleSubsequent(now, s, raw)
	}
	return c.actions
}
