// Package passthrough is the core of an agent whose target terminates flows itself.
// It decides which packets are delivered to the target, tracks the target's flows
// from the packets in both directions, and reports the target's state and load to
// the balancers. It has no clock, socket or goroutine: the caller passes in the time
// and carries out the returned actions.
package passthrough

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/outcome"
	"github.com/bulrushshelf/bulrushshelf/internal/pace"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/schedule"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Timeouts and intervals of the agent.
const (
	// openTimeout is the time within which a target must answer an opening packet. A
	// running target answers in under a millisecond; a stopped or exited one does not answer.
	openTimeout = 80 * time.Millisecond
	// probeTimeout is the time after which a probe that was not bounced is taken as
	// accepted by the target. Targets bounce immediately.
	probeTimeout = 50 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a packet or
	// heartbeat of the target after which it is silent.
	maxMissedHeartbeats = 3
	// notRunningIntervals is the number of heartbeat intervals without a packet or heartbeat
	// after which a target that refuses connections counts as not running. A running one
	// sends a heartbeat in that time, even if it is late.
	notRunningIntervals = 2
	// balancerTimeout is the time without a hello after which a balancer is removed
	// and gets no more reports.
	balancerTimeout = 3 * time.Second
	// reportsPerBalancerList is the number of reports of which one lists known balancers.
	// A balancer that is new to the agent gets a list at once and sends hellos to those on
	// it, so that of any two balancers the later one finds the earlier. The other lists
	// repair what lost packets hide.
	reportsPerBalancerList = 32
	// fullDuration is the time for which a target is full after it bounced an opening packet.
	fullDuration = 100 * time.Millisecond
	// unregisteredDelay is how long an agent without an object in the store waits after
	// the first hello before it accepts flows. Balancers pass on its address with their
	// next hello (every 250 ms), one of which may be lost.
	unregisteredDelay = 2 * 250 * time.Millisecond
	// reregisterAfter is the time without a hello of any balancer after which the agent
	// writes its object again: half of the time after which balancers remove it.
	reregisterAfter = 30 * time.Second
	// listedDelay is the time after a registration in which a listing of the store may still
	// lack the agent: the interval of listings and the age of one that may be outdated.
	listedDelay = 5 * time.Second
	// advertiseAfter is the time without a hello of any balancer after which the agent sends
	// reports to the seeds. Balancers that have all restarted may not find it otherwise. It
	// is longer than the interval of hellos to 100 agents.
	advertiseAfter = time.Second
	// idleSweepInterval is the interval of the search for idle flows.
	idleSweepInterval = time.Second
	// closedFlowTTL is how long a flow is kept after a reset or a FIN in both directions,
	// for retransmissions of its last packets.
	closedFlowTTL = 3 * time.Second
)

// maxFlows is the maximum number of flows in the flow table; a target holds a few thousand.
const maxFlows = 65_536

// maxUnansweredOpenings is the number of consecutive opening packets without an answer,
// or bounced, at which the target is marked silent. A single packet may have been lost.
const maxUnansweredOpenings = 2

// Options configures a Core.
type Options struct {
	Node              model.NodeID
	Incarnation       model.Incarnation
	DataCentre        model.DataCentre
	Service           model.ServiceName
	HeartbeatInterval time.Duration
	FlowIdleTimeout   time.Duration // time without packets after which a flow is dropped
	// FullSegment is the maximum data length of a packet. A request continues after a
	// full packet and is complete with a shorter one; until then it takes no slot.
	FullSegment int
	Cold        ColdLimit
	FirstStart  bool // first start of the deployment, so the target holds no flows
	// Pace makes the agent measure the service times of its target and report them.
	Pace bool
}

// ActionKind is the type of an action.
type ActionKind uint8

// The kinds of action.
const (
	// Deliver sends Packet to the target.
	Deliver ActionKind = iota + 1
	// ToCaller sends Packet to the flow's caller.
	ToCaller
	// SendMessage sends Message to the peer at To.
	SendMessage
	// Register rewrites the agent's object in the store.
	Register
	// ClearBounced clears the Bounced flag of Packet before the following actions use it.
	ClearBounced
	// Log writes Entry to the log.
	Log
	// Count increments Counter.
	Count
	// Observe adds Latency to the histogram named by Counter.
	Observe
)

// Action is an instruction to the runtime, which executes actions in order. Slices
// alias the packet passed to the core and are valid until the next call.
type Action struct {
	Kind    ActionKind
	To      netip.AddrPort
	Packet  []byte
	Flow    model.Flow
	Message steerwire.Message
	Entry   Entry
	Counter Counter
	Latency time.Duration
}

// Entry is a log entry about one decision.
type Entry struct {
	Event    string
	Flow     model.Flow
	Target   string // identity given by the target, by default of the start in effect
	Reason   string
	Sequence uint64        // of the heartbeat, or the number of flows in flows_forgotten
	Age      time.Duration // of the information behind the decision
	// StartMillis is the start that a heartbeat names, 0 in entries about other decisions.
	StartMillis int64
}

// Counter is the name of a metric and its reason label.
type Counter struct{ Name, Reason string }

// The counters of the core.
const (
	CounterDropped    = "passthrough_packets_dropped"
	CounterRefused    = "passthrough_packets_refused"
	CounterHeartbeats = "passthrough_heartbeats"
	CounterFailures   = "passthrough_requests_failed"
)

// The latency histograms of the core.
const (
	// LatencyRequest is the time from the delivery of a request to the first packet of
	// the answer.
	LatencyRequest = "passthrough_request_seconds"
	// LatencyWaiting is the time for which a request waited for a slot.
	LatencyWaiting = "passthrough_waiting_seconds"
)

// phase is the state of a flow.
type phase uint8

const (
	phaseOpening     phase = iota + 1 // the opening packet was delivered
	phaseAccepted                     // the target answered it
	phaseEstablished                  // the caller acknowledged the answer, or later packets passed
	phaseProbing                      // a probe was delivered to a target that may hold the flow
)

// flow is the tracked state of one flow of the target.
type flow struct {
	phase         phase
	targetISN     uint32         // sequence number of the target's answer to the opening packet
	sent          ackRange       // what the target has sent, as acknowledgement numbers of its caller
	balancer      netip.AddrPort // that forwarded the last packet
	createdAt     time.Time      // delivery of the opening packet or probe, or the target's first packet
	lastSeen      time.Time
	callerNextSeq uint32 // sequence number after the caller's data seen so far
	requestActive bool   // a request was delivered and its answer has not begun
	countedFailed bool   // the active request has been counted as failed
	inTransfer    bool   // a request of several packets is incomplete and takes no slot yet
	callerFIN     bool
	targetFIN     bool
	closed        bool
	openedHere    bool // this process has delivered the opening packet
	// mayPredate is set if the agent did not know all flows of its target when the entry was
	// created, so that the opening packet may have been a late copy of an open flow's.
	mayPredate bool
	// confirmedHeld is set once it is certain that the target holds the flow: the caller
	// acknowledged its answer, or the target sent a packet of the flow.
	confirmedHeld bool
	requestStart  time.Time // delivery of the active request
	class         pace.Class
	work          uint64 // ID of the active request in the pace tracker
	// buffered holds the packets of a request that waits for a slot, bufferedSegments
	// their parsed headers.
	buffered         [][]byte
	bufferedSegments []segment.Segment
}

// Core is the state of one agent.
type Core struct {
	opts    Options
	started time.Time

	target             Heartbeat
	heartbeatReceived  bool
	state              steerwire.TargetState
	targetLastSeen     time.Time // last packet, heartbeat or successful health check
	lastHeartbeat      time.Time // last accepted heartbeat
	otherStart         otherStart
	firstHeartbeat     firstHeartbeat
	coldUntil          time.Time
	cold               coldGate
	fullUntil          time.Time
	unansweredOpenings int // consecutive opening packets without an answer
	// bouncedOpenings counts consecutive bounced opening packets. A target that accepts no
	// flows must not look idle to the balancers.
	bouncedOpenings int
	// mayHoldUnseen is set while the target may hold flows from before the agent's start.
	// Only what the agent has seen itself ends it, see firstHeartbeat: the time of day cannot
	// tell which of the two started first.
	mayHoldUnseen        bool
	leaving              bool
	ended                bool      // the target has exited and the agent is about to
	registered           bool      // the agent's object is in the store
	registeredAt         time.Time // when it was last written, or was last found to be missing
	registeredEpoch      uint64    // epoch of the store at that time
	firstHello           time.Time // first hello of a balancer
	lastHello            time.Time // last hello of any balancer
	evacuation           evacuation
	reportedDiscoverable bool // value of discoverable in the last reports

	flows             map[model.Flow]*flow
	notHeld           map[model.Flow]time.Time // flows whose probe the target bounced
	deliveredOpenings []deliveredPacket
	deliveredProbes   []deliveredProbe                 // by checkAt
	silentProbes      []deliveredProbe                 // past checkAt; the target has sent nothing since
	balancers         map[netip.AddrPort]receivedHello // last hello of each
	reportSequence    uint64
	lastIdleSweep     time.Time
	load              load
	queue             schedule.Queue
	lastRequestSweep  time.Time
	meanRequestTime   time.Duration // moving average of the request durations
	outcomes          outcome.Tracker
	pace              targetPace
	actions           []Action
}

// receivedHello is the last hello that was received from a balancer.
type receivedHello struct {
	at          time.Time
	id          uint64 // the highest of this incarnation
	incarnation model.Incarnation
}

// next returns the state after the receipt of a hello, which a later one may have overtaken.
func (r receivedHello) next(now time.Time, h steerwire.Hello) receivedHello {
	out := receivedHello{at: now, id: h.ID, incarnation: h.Incarnation}
	if r.incarnation == h.Incarnation {
		out.id = max(out.id, r.id)
	}
	return out
}

// deliveredPacket is a delivered packet to which the target may still react.
type deliveredPacket struct {
	flow        model.Flow
	deliveredAt time.Time
}

// deliveredProbe is a probe that the target has not bounced.
type deliveredProbe struct {
	deliveredPacket
	checkAt    time.Time
	targetSeen bool // the target has sent something since
}

// New returns the core of an agent that starts now. Unless opts.FirstStart is set, the
// target may have been running before and hold flows that the agent has not seen.
func New(now time.Time, opts Options) *Core {
	return &Core{
		opts: opts, started: now, targetLastSeen: now, mayHoldUnseen: !opts.FirstStart,
		flows: make(map[model.Flow]*flow), notHeld: make(map[model.Flow]time.Time), balancers: make(map[netip.AddrPort]receivedHello),
		load: load{updated: now}, cold: coldGate{recent: pacing.NewWindow(coldWindow)},
	}
}

// State returns the state of the target.
func (c *Core) State() steerwire.TargetState { return c.state }

// Flows returns the number of tracked flows.
func (c *Core) Flows() int { return len(c.flows) }

func (c *Core) log(e Entry) {
	e.Target = cmp.Or(e.Target, c.target.Target)
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

// Message handles a message from a peer. s is the parsed packet of a Forward message.
func (c *Core) Message(now time.Time, from netip.AddrPort, m steerwire.Message, s segment.Segment) []Action {
	c.actions = c.actions[:0]
	switch m.Kind {
	case steerwire.KindForward:
		c.handleForward(now, from, m.Forward, s)
	case steerwire.KindHolderQuery:
		var a steerwire.Answer
		for _, q := range m.Query.Queries {
			a.Answers = append(a.Answers, steerwire.AnswerEntry{Flow: q.Flow, FlowStatus: c.flowStatus(q.Flow, q.Ack)})
		}
		c.send(from, steerwire.Message{Kind: steerwire.KindHolderAnswer, Answer: a})
	case steerwire.KindHello:
		last, known := c.balancers[from]
		if !known {
			c.log(Entry{Event: "balancer_heard", Reason: from.String()})
		}
		c.recordHello(now, m.Hello)
		c.balancers[from] = last.next(now, m.Hello)
		c.reportSequence++
		r := c.reportTo(now, from)
		if !known {
			r.Balancers = c.listBalancers()
		}
		c.send(from, steerwire.Message{Kind: steerwire.KindReport, Report: r})
	default:
		c.count(CounterDropped, "unexpected_message")
	}
	return c.actions
}

// flowStatus returns whether the target holds the flow of a packet with this
// acknowledgement number.
func (c *Core) flowStatus(key model.Flow, ack uint32) steerwire.FlowStatus {
	if f := c.flows[key]; f != nil {
		switch {
		case f.phase == phaseEstablished && !f.sent.contains(ack):
			return f.statusOfAnother(c.mayHoldUnseen)
		case f.phase == phaseEstablished, f.phase == phaseAccepted && ack == f.targetISN+1:
			return steerwire.Held
		case f.phase == phaseProbing, f.mayPredate && (f.phase == phaseOpening || ack-f.targetISN-1 < maxAckAdvance):
			return steerwire.Unsure
		}
		return steerwire.NotHeld
	}
	if _, bounced := c.notHeld[key]; c.mayHoldUnseen && !bounced && c.state != steerwire.TargetGone {
		return steerwire.Unsure
	}
	return steerwire.NotHeld
}

// Tick handles all timeouts that are due. The runtime calls it no later than Next.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.checkDeliveredOpenings(now)
	c.checkDeliveredProbes(now)
	c.expireRequests(now)
	if !c.reportedDiscoverable && c.discoverable(now) {
		c.sendReports(now)
	}
	c.checkHeartbeatAge(now)
	c.checkFirstHeartbeat(now)
	if now.Sub(c.lastIdleSweep) >= idleSweepInterval {
		c.lastIdleSweep = now
		c.removeIdleFlows(now)
		for a, last := range c.balancers {
			if now.Sub(last.at) > balancerTimeout {
				delete(c.balancers, a)
				c.log(Entry{Event: "balancer_lost", Reason: a.String(), Age: now.Sub(last.at)})
			}
		}
	}
	return c.actions
}

// Next returns the time at which Tick is due.
func (c *Core) Next() time.Time {
	next := c.lastIdleSweep.Add(idleSweepInterval)
	if len(c.deliveredOpenings) > 0 {
		next = minTime(next, c.deliveredOpenings[0].deliveredAt.Add(openTimeout))
	}
	if !c.reportedDiscoverable && !c.firstHello.IsZero() {
		next = minTime(next, c.firstHello.Add(unregisteredDelay))
	}
	if c.firstHeartbeat.state == firstHeartbeatHeard {
		next = minTime(next, c.firstHeartbeat.checked.Add(firstHeartbeatCheckInterval))
		if at := c.firstHeartbeat.settles(c.opts.HeartbeatInterval); at.After(c.firstHeartbeat.checked) {
			next = minTime(next, at)
		}
	}
	if c.load.requests > 0 {
		next = minTime(next, c.lastRequestSweep.Add(requestSweepInterval))
	}
	if len(c.deliveredProbes) > 0 {
		next = minTime(next, c.deliveredProbes[0].checkAt)
	}
	return next
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
