// Package admission decides whether each request that reaches an agent runs now, waits, moves to
// another agent or is refused. The core has no I/O, clock, goroutine or global randomness. It counts
// the agent's own requests and does not read the health or load endpoints of the target.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// defaultMaxRequests bounds the requests in progress, streams included. It is twice the
	// connection limit of a target (2,000).
	defaultMaxRequests = 4096
	// retryBudgetRatio is the number of retries that each first send adds to the retry budget.
	retryBudgetRatio = 0.1
	// retryBudgetBurst is the largest retry budget. It lets a service with few requests retry some.
	retryBudgetBurst = 3
	// leaveGrace is how long after the leave requests accepted before it may still start. It is
	// below the 2 s after which a leaving target must get no new work.
	leaveGrace = 1500 * time.Millisecond
	// maxMoves bounds the moves of one request. A second move follows only a first one that reached
	// no agent.
	maxMoves = 2
)

// Options configures a Core.
type Options struct {
	Self        model.NodeID
	Slots       int           // requests the target runs at once
	Queue       int           // waiting requests; 0 means that of the default policy
	Warmup      time.Duration // time after a cold start until all slots are used; 0 means no ramp
	MaxRequests int           // requests in progress; 0 means 4,096
	Seed        uint64        // for the random choice of peers
	// LoadReportsPerSecond bounds the load reports sent; 0 means 10.
	LoadReportsPerSecond float64
}

// phase is the state of a request at this agent.
type phase uint8

const (
	waiting phase = iota
	running
	streaming // the answer has started; the request no longer uses a slot
	moved     // sent to another agent
)

type request struct {
	Arrive
	phase      phase
	moveReason Reason // why the request must not run at this agent, 0 if it may
	outcome    message.Outcome
	arrivedAt  time.Time
	moves      int
	retried    bool
	startedAt  time.Time
}

// Core is the state of admission control at one agent.
type Core struct {
	opts          Options
	rng           *rand.Rand
	now           time.Time
	actions       []Action
	requests      map[RequestID]*request
	queue         []*request // in order of arrival
	running       int
	leaving       bool
	drainedByFile bool // leaving because of a decision file, which may be undone

	retryTokens         float64 // retry budget
	serviceTime         serviceTimeEstimate
	targetLimiter       limiter
	peers               []*peer // in order of ID
	pendingReservations []pendingReservation
	waitingPeers        []waitingPeer // peers that wait for a slot of this agent
	grants              []grant
	lastReservationID   uint64
	reporter            loadReporter
}

// New returns a core for an agent that has just started.
func New(opts Options) *Core {
	if opts.Slots < 1 {
		opts.Slots = 1
	}
	if opts.Queue <= 0 {
		opts.Queue = model.DefaultPolicy().Queue
	}
	if opts.MaxRequests <= 0 {
		opts.MaxRequests = defaultMaxRequests
	}
	if opts.LoadReportsPerSecond <= 0 {
		opts.LoadReportsPerSecond = defaultLoadReports
	}
	return &Core{
		opts:          opts,
		rng:           rand.New(rand.NewPCG(opts.Seed, model.HashString(string(opts.Self)))),
		requests:      make(map[RequestID]*request),
		retryTokens:   retryBudgetBurst,
		targetLimiter: newLimiter(opts.Slots, opts.Warmup),
	}
}

// Step handles one event and returns the resulting actions. The slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	if c.lastReservationID == 0 { // keeps IDs increasing across restarts
		c.lastReservationID = uint64(now.UnixMilli()) << 20
	}
	c.targetLimiter.startRamp(now)
	switch e := ev.(type) {
	case Arrive:
		c.handleArrive(e)
	case Started:
		c.handleStarted(e)
	case Finished:
		c.handleFinished(e)
	case Cancelled:
		c.handleCancelled(e.ID)
	case PeerLoad:
		c.handlePeerLoad(e)
	case ViewChanged:
		c.handleViewChanged(e.View)
	case Leave:
		c.leave()
	case ReserveRequest:
		c.handleReserveRequest(e)
	case ReserveReply:
		c.handleReserveReply(e)
	case Tick:
	}
	c.advance()
	return c.actions
}

// Next returns when the next Tick is due, or the zero time if none is.
func (c *Core) Next() time.Time {
	var next time.Time
	due := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range c.queue {
		due(r.Deadline)
	}
	for _, a := range c.pendingReservations {
		due(a.expires)
	}
	for _, a := range c.waitingPeers {
		due(a.expires)
	}
	for _, g := range c.grants {
		due(g.expires)
	}
	if len(c.queue)+len(c.waitingPeers) > 0 {
		if c.targetLimiter.pausedUntil.After(c.now) {
			due(c.targetLimiter.pausedUntil)
		}
		for _, p := range c.peers {
			if p.avoidUntil.After(c.now) {
				due(p.avoidUntil)
			}
		}
	}
	if len(c.peers) > 0 {
		due(c.reporter.next)
	}
	return next
}

// Load returns the load of this agent by its own count. It includes slots that can't be used now,
// because of the cold start or because the target sheds, in Busy.
func (c *Core) Load() model.Load {
	return model.Load{Busy: c.opts.Slots - c.freeSlots(), Queued: len(c.queue)}
}

// Busy returns the number of slots with a running request.
func (c *Core) Busy() int { return c.running }

// Idle reports whether the agent has no request in progress.
func (c *Core) Idle() bool { return len(c.requests) == 0 }

// freeSlots returns the number of slots that may be used now.
func (c *Core) freeSlots() int {
	if c.leaving {
		return 0
	}
	return max(0, c.targetLimiter.limit(c.now)-c.running-c.reservedSlots())
}

func (c *Core) handleArrive(e Arrive) {
	if _, ok := c.requests[e.ID]; ok {
		return
	}
	if e.FirstSend {
		c.retryTokens = min(c.retryTokens+retryBudgetRatio, retryBudgetBurst)
	}
	r := &request{Arrive: e, arrivedAt: c.now, outcome: message.OutcomeNotRun}
	var slotGranted, placeGranted bool
	if e.Moved {
		slotGranted, placeGranted = c.useGrant(e.From, e.Reservation)
	}
	switch {
	case !e.Deadline.After(c.now):
		c.refuse(r, ReasonDeadlinePassed)
	case len(c.requests) >= c.opts.MaxRequests:
		c.refuse(r, ReasonTooManyRequests)
	case c.leaving && e.Moved && !placeGranted:
		c.refuse(r, ReasonLeaving)
	case slotGranted && c.targetLimiter.limit(c.now) > c.running:
		c.requests[r.ID] = r
		c.run(r)
	case c.leaving && e.Moved: // the peer got a place in the queue before the leave
		r.Deadline = minTime(r.Deadline, c.now.Add(leaveGrace))
		c.enqueue(r)
	case c.leaving:
		r.moveReason = MoveLeaving
		c.enqueue(r)
	case len(c.queue) == 0 && c.freeSlots() > 0:
		c.requests[r.ID] = r
		c.run(r)
	case c.targetLimiter.shedding():
		r.moveReason = MoveBusy // not a retry: nothing was sent
		c.enqueue(r)
	case !c.canStart(e.Deadline) && !c.peerAvailable():
		c.refuse(r, ReasonCannotStart)
	default:
		c.enqueue(r)
	}
}

// canStart estimates whether a request that joins the queue now starts early enough for the target
// to begin its answer by the deadline.
func (c *Core) canStart(deadline time.Time) bool {
	wait := time.Duration(float64(c.serviceTime.mean) * float64(len(c.queue)+1) / float64(max(1, c.targetLimiter.limit(c.now))))
	return !c.now.Add(wait + c.serviceTime.median).After(deadline)
}

func (c *Core) enqueue(r *request) {
	if len(c.queue) >= c.opts.Queue {
		c.refuse(r, ReasonQueueFull)
		return
	}
	c.requests[r.ID] = r
	r.phase = waiting
	c.queue = append(c.queue, r)
}

func (c *Core) run(r *request) {
	r.phase = running
	r.startedAt = c.now
	c.running++
	c.actions = append(c.actions, Run{ID: r.ID})
}

func (c *Core) refuse(r *request, reason Reason) {
	delete(c.requests, r.ID)
	c.actions = append(c.actions, Refuse{ID: r.ID, Reason: reason, RetryAfter: c.retryAfter(), Outcome: r.outcome})
}

func (c *Core) handleStarted(e Started) {
	r, ok := c.requests[e.ID]
	if !ok || r.phase != running || !e.Streaming {
		return
	}
	c.running--
	c.serviceTime.observe(c.now.Sub(r.startedAt))
	c.targetLimiter.recordSuccess()
	r.phase = streaming
}

func (c *Core) handleFinished(e Finished) {
	r, ok := c.requests[e.ID]
	if !ok || r.phase == waiting {
		return
	}
	if r.phase == running {
		c.running--
		switch {
		case e.Shed:
			c.targetLimiter.recordShed(c.now)
		case e.Outcome == message.OutcomeRan:
			c.serviceTime.observe(c.now.Sub(r.startedAt))
			c.targetLimiter.recordSuccess()
		case e.SafeToMove && e.Outcome == message.OutcomeNotRun:
			c.targetLimiter.recordShed(c.now) // the target accepted no connection
		}
	}
	if !e.SafeToMove || r.phase == streaming {
		delete(c.requests, e.ID)
		return
	}
	if e.Outcome != message.OutcomeNotRun {
		r.outcome = e.Outcome
	}
	c.retryOrRefuse(r, e.Shed)
}

// retryOrRefuse queues a request whose last send failed for a move to another agent, or refuses it.
func (c *Core) retryOrRefuse(r *request, shed bool) {
	reason, refuseReason := MoveUnreachable, ReasonTargetUnreachable
	if shed {
		reason, refuseReason = MoveShed, ReasonTargetShed
	}
	switch {
	case !r.Deadline.After(c.now):
		c.refuse(r, ReasonDeadlinePassed)
	case r.Moved || r.retried || r.moves >= maxMoves || !c.peerAvailable():
		c.refuse(r, refuseReason)
	case c.retryTokens < 1:
		c.refuse(r, ReasonRetryBudget)
	case len(c.queue) >= c.opts.Queue:
		c.refuse(r, ReasonQueueFull)
	default:
		c.retryTokens--
		r.retried = true
		r.moveReason = reason
		r.phase = waiting
		c.queue = append([]*request{r}, c.queue...)
	}
}

func (c *Core) handleCancelled(id RequestID) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	if r.phase == waiting {
		c.removeFromQueue(r)
		delete(c.requests, id)
		return
	}
	c.actions = append(c.actions, Cancel{ID: id})
}

func (c *Core) removeFromQueue(r *request) {
	for i := range c.queue {
		if c.queue[i] == r {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

func (c *Core) leave() {
	c.drainedByFile = false // a decision file does not end a leave that the agent started itself
	if c.leaving {
		return
	}
	c.leaving = true
	c.waitingPeers = nil
	latestStart := c.now.Add(leaveGrace)
	for _, r := range c.queue {
		if !r.Moved && r.moveReason == 0 {
			r.moveReason = MoveLeaving
		}
		r.Deadline = minTime(r.Deadline, latestStart)
	}
}

// setDrained starts or ends a drain as the view shows this agent as leaving or not. A decision file
// can set and clear that state.
func (c *Core) setDrained(drained bool) {
	switch {
	case drained && !c.leaving:
		c.leave()
		c.drainedByFile = true
	case !drained && c.drainedByFile:
		c.leaving, c.drainedByFile = false, false
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// advance expires, runs, moves and refuses queued requests and sends the messages that are due.
func (c *Core) advance() {
	c.expireRequests()
	c.assignFreeSlots()
	c.requestReservations()
	c.refuseUnplaceable()
	c.releaseUnneeded()
	c.sendLoadReports()
}

func (c *Core) expireRequests() {
	kept := c.queue[:0]
	for _, r := range c.queue {
		if r.Deadline.After(c.now) {
			kept = append(kept, r)
			continue
		}
		reason := ReasonDeadlinePassed
		if c.leaving {
			reason = ReasonLeaving
		}
		c.refuse(r, reason)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.expireReservations()
}

// assignFreeSlots assigns free slots to the oldest requests, local ones and those of peers that
// wait for a slot.
func (c *Core) assignFreeSlots() {
	freeSlots := c.freeSlots()
	if c.leaving { // requests moved here before the leave still run
		freeSlots = max(0, c.targetLimiter.limit(c.now)-c.running)
	}
	for ; freeSlots > 0; freeSlots-- {
		local := slices.IndexFunc(c.queue, func(r *request) bool { return r.moveReason == 0 })
		remote := c.oldestWaitingPeer()
		switch {
		case remote >= 0 && (local < 0 || c.waitingPeers[remote].oldestArrival.Add(moveMargin).Before(c.queue[local].arrivedAt)):
			c.grantSlot(remote)
		case local >= 0:
			c.run(c.queue[local])
			c.queue = slices.Delete(c.queue, local, local+1)
		default:
			return
		}
	}
}

// refuseUnplaceable refuses requests that must move when no peer can accept them, and all queued
// requests when the target sheds persistently. It does nothing while the reply to a reservation is
// pending.
func (c *Core) refuseUnplaceable() {
	if slices.ContainsFunc(c.pendingReservations, func(a pendingReservation) bool { return !a.queuedAtPeer }) {
		return
	}
	kept := c.queue[:0]
	for _, r := range c.queue {
		reason := Reason(0)
		switch {
		case c.leaving && len(c.peers) > 0 && c.now.Sub(r.arrivedAt) < leaveGrace:
			// A reply was lost or late, or the peers are full; reservations are requested again.
		case r.moveReason == MoveLeaving || r.moveReason != 0 && c.leaving:
			reason = ReasonLeaving
		case r.moveReason == MoveUnreachable:
			reason = ReasonTargetUnreachable
		case r.moveReason != 0 || c.targetLimiter.shedding():
			reason = ReasonTargetShed
		}
		if reason != 0 {
			c.refuse(r, reason)
			continue
		}
		kept = append(kept, r)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}
