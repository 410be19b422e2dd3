// Package passthrough is the core of an agent whose target ends flows itself. It
// decides which packets reach the target, learns the target's flows from the
// packets that pass in both directions, and tells balancers the target's state
// and load. It has no clock, socket or goroutine: the caller passes the time and
// carries out the actions.
package passthrough

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/outcome"
	"github.com/bulrushshelf/bulrushshelf/internal/schedule"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// Times of the agent.
const (
	// acceptTimeout is how long a target may take to answer an opening packet. It
	// answers in under a millisecond; one that is stopped or gone does not answer.
	acceptTimeout = 80 * time.Millisecond
	// probeTimeout is when a packet that was delivered on trial and not bounced
	// counts as accepted. Targets bounce at once.
	probeTimeout = 50 * time.Millisecond
	// heartbeatsMissed is after how many heartbeat intervals without any sign of
	// the target it counts as silent.
	heartbeatsMissed = 3
	// balancerTimeout is after how long without a hello a balancer gets no reports.
	balancerTimeout = 3 * time.Second
	// balancersEvery is how many reports pass between two that name all balancers.
	balancersEvery = 4
	// fullFor is how long a target that bounced an opening packet counts as full.
	fullFor = 100 * time.Millisecond
	// startSlack is how much earlier than its agent a target may have started and
	// still hold no flow: for one, an earlier agent would have had to hear it, report
	// it, deliver an opening packet, end and start again within that time. Where a
	// VM lost power both start within 200 ms.
	startSlack = 300 * time.Millisecond
	// unlistedDelay is how long an agent that is not in the store waits after the
	// first hello before it takes flows: balancers tell each other of it with their
	// next hellos, one of which may be lost.
	unlistedDelay = 2 * 250 * time.Millisecond
	// registerAfter is how long all balancers must have been silent for the agent to
	// write its object again: half of the time after which they remove it.
	registerAfter = 30 * time.Second
	// sweepInterval is the pause between searches for idle flows.
	sweepInterval = time.Second
	// endedTTL is how long a flow with a reset or an end in both directions is
	// kept, for copies of its last packets.
	endedTTL = 3 * time.Second
)

// maxFlows bounds the flow table; a target holds a few thousand flows.
const maxFlows = 65_536

// unansweredOpens is how many opening packets in a row a target may leave
// unanswered, or hand back, before it counts as silent: one may be lost.
const unansweredOpens = 2

// Options configure a core.
type Options struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Service     model.ServiceName
	Heartbeat   time.Duration // interval of the target's heartbeats
	FlowIdle    time.Duration // after which a flow without packets is forgotten
	// FullSegment is the most data that a packet carries. A request goes on after a
	// full packet and is whole with one that is not; until then it takes no slot.
	FullSegment int
	FirstStart  bool // the deployment starts for the first time, so the target holds no flows
}

// ActionKind tells actions apart.
type ActionKind uint8

// The kinds of action.
const (
	// Deliver gives Packet to the target.
	Deliver ActionKind = iota + 1
	// ToCaller sends Packet to the flow's caller.
	ToCaller
	// SendMessage sends Message to the peer at To.
	SendMessage
	// Register writes the agent's object to the store again.
	Register
	// ClearBounced makes Packet deliverable before the actions that follow.
	ClearBounced
	// Log records a decision.
	Log
	// Count raises a counter.
	Count
	// Observe adds Latency to the histogram that Counter names.
	Observe
)

// Action is what the runtime does, in order. Slices alias the packet given to
// the core and are valid until the next call.
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

// Entry is one decision for the log.
type Entry struct {
	Event    string
	Flow     model.Flow
	Target   string // identity that the target gave itself
	Reason   string
	Sequence uint64        // of the heartbeat that decided
	Age      time.Duration // of the last sign of the target
}

// Counter names a count and its reason.
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
	// LatencyRequest is from the delivery of a request's first packet to the first
	// packet of the answer.
	LatencyRequest = "passthrough_request_seconds"
	// LatencyWaiting is how long a request waited for a slot.
	LatencyWaiting = "passthrough_waiting_seconds"
)

// phase is how far a flow is.
type phase uint8

const (
	opening  phase = iota + 1 // the opening packet was delivered
	accepted                  // the target answered it
	held                      // the caller acknowledged the target's answer, or data passed
	probing                   // a packet was delivered on trial
)

// flow is what the agent knows of one flow at its target.
type flow struct {
	phase    phase
	initial  uint32 // sequence number of the target's answer to the opening packet
	via      netip.AddrPort
	opened   time.Time
	lastSeen time.Time
	nextSeq  uint32 // end of the caller's data seen so far
	busy     bool   // a request was sent and its answer has not begun
	stuck    bool   // the request in progress counted as failed
	transfer bool   // a request of several packets is on its way and takes no slot yet
	finIn    bool
	finOut   bool
	ended    bool
	// confirmed is set by a sign that the target holds the flow: the caller chose
	// its answer, or it sent a packet of the flow.
	confirmed bool
	since     time.Time // start of the request in progress
	// kept are the packets of a request that waits for a slot, with what they say.
	kept         [][]byte
	keptSegments []segment.Segment
}

// Core is the state of one agent.
type Core struct {
	o       Options
	started time.Time

	target     Heartbeat
	known      bool // a heartbeat came
	state      steerwire.TargetState
	sign       time.Time // last sign of life of the target
	coldUntil  time.Time
	fullUntil  time.Time
	unanswered int // opening packets in a row without an answer
	// bouncedOpens counts opening packets in a row that the target handed back. A
	// target that takes none must not look idle to the balancers.
	bouncedOpens int
	uncertain    bool
	leaving      bool
	listed       bool      // the agent's object is in the store
	hello        time.Time // first hello of a balancer
	contact      time.Time // last hello of any balancer
	admitted     bool      // balancers were told that the agent takes flows

	flows     map[model.Flow]*flow
	notHeld   map[model.Flow]time.Time // flows that the target bounced when probed
	opens     []pendingOpen
	probes    []pendingOpen
	balancers map[netip.AddrPort]time.Time // last hello of each
	sequence  uint64
	sweep     time.Time
	load      load
	queue     schedule.Queue
	swept     time.Time     // last search for requests that ended unseen
	work      time.Duration // average time of a request at the target
	outcomes  outcome.Tracker
	actions   []Action
}

// pendingOpen is a delivered packet that waits for the target's reaction.
type pendingOpen struct {
	flow model.Flow
	at   time.Time
}

// New returns the core of an agent that starts now. The target may have been
// running before: its flows are unknown until they are seen.
func New(now time.Time, o Options) *Core {
	return &Core{
		o: o, started: now, sign: now, uncertain: !o.FirstStart,
		flows: make(map[model.Flow]*flow), notHeld: make(map[model.Flow]time.Time), balancers: make(map[netip.AddrPort]time.Time),
		load: load{at: now},
	}
}

// State returns the state of the target.
func (c *Core) State() steerwire.TargetState { return c.state }

// Flows returns the number of flows known.
func (c *Core) Flows() int { return len(c.flows) }

func (c *Core) log(e Entry) {
	e.Target = c.target.Target
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

// Message handles a message of a peer. s is the segment of a Forward's packet.
func (c *Core) Message(now time.Time, from netip.AddrPort, m steerwire.Message, s segment.Segment) []Action {
	c.actions = c.actions[:0]
	switch m.Kind {
	case steerwire.KindForward:
		c.forwarded(now, from, m.Forward, s)
	case steerwire.KindHolderQuery:
		var a steerwire.Answer
		for _, q := range m.Query.Queries {
			a.Answers = append(a.Answers, steerwire.AnswerEntry{Flow: q.Flow, FlowStatus: c.holding(q.Flow, q.Ack)})
		}
		c.send(from, steerwire.Message{Kind: steerwire.KindHolderAnswer, Answer: a})
	case steerwire.KindHello:
		if _, ok := c.balancers[from]; !ok {
			c.log(Entry{Event: "balancer_heard", Reason: from.String()})
		}
		c.contacted(now)
		c.balancers[from] = now
		c.sequence++
		c.send(from, steerwire.Message{Kind: steerwire.KindReport, Report: c.report(now)})
	default:
		c.count(CounterDropped, "unexpected_message")
	}
	return c.actions
}

// holding tells whether the target holds the flow of a packet with this
// acknowledgement number.
func (c *Core) holding(key model.Flow, ack uint32) steerwire.FlowStatus {
	if f := c.flows[key]; f != nil {
		switch {
		case f.phase == held, f.phase == accepted && ack == f.initial+1:
			return steerwire.Held
		case f.phase == probing:
			return steerwire.Unsure
		}
		return steerwire.NotHeld
	}
	if _, bounced := c.notHeld[key]; c.uncertain && !bounced && c.state != steerwire.TargetGone {
		return steerwire.Unsure
	}
	return steerwire.NotHeld
}

// Tick does what is due. The runtime calls it at Next or earlier.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	c.overdueOpens(now)
	c.overdueProbes(now)
	c.overdueRequests(now)
	if !c.admitted && c.admits(now) {
		c.reportAll(now)
	}
	if c.state == steerwire.TargetReady || c.state == steerwire.TargetDraining {
		if now.Sub(c.sign) > heartbeatsMissed*c.o.Heartbeat {
			c.setState(now, steerwire.TargetSilent, "no_heartbeat")
		}
	}
	if now.Sub(c.sweep) >= sweepInterval {
		c.sweep = now
		c.forgetIdle(now)
		for a, heard := range c.balancers {
			if now.Sub(heard) > balancerTimeout {
				delete(c.balancers, a)
				c.log(Entry{Event: "balancer_lost", Reason: a.String(), Age: now.Sub(heard)})
			}
		}
	}
	return c.actions
}

// Next returns when Tick has something to do.
func (c *Core) Next() time.Time {
	next := c.sweep.Add(sweepInterval)
	if len(c.opens) > 0 {
		next = earlier(next, c.opens[0].at.Add(acceptTimeout))
	}
	if !c.admitted && !c.hello.IsZero() {
		next = earlier(next, c.hello.Add(unlistedDelay))
	}
	if c.load.busy > 0 {
		next = earlier(next, c.swept.Add(requestSweep))
	}
	if len(c.probes) > 0 {
		next = earlier(next, c.probes[0].at.Add(probeTimeout))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
