// Package admission decides for each request at an agent whether it runs now,
// waits, moves to another agent or is refused. The core has no I/O, clock,
// goroutine or global randomness. It counts its own work and never reads the
// target's health or load endpoints.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// defaultMaxRequests bounds the requests held at once, streams included. It
	// is twice the 2,000 connections of a target today.
	defaultMaxRequests = 4096
	// budgetRatio is the share of first sends that may be sent again.
	budgetRatio = 0.1
	// budgetBurst lets a quiet service retry a few requests.
	budgetBurst = 3
	// leaveGrace is how long requests accepted before the leave may still
	// start. It stays under the 2 s after which a leaving target gets no work.
	leaveGrace = 1500 * time.Millisecond
	// maxMoves bounds the moves of one request: one, and a second after the
	// first reached nobody.
	maxMoves = 2
)

// Options are the settings of a core.
type Options struct {
	Self        model.NodeID
	Slots       int           // requests the target runs at once
	Queue       int           // waiting requests; 0 is the default policy's
	Warmup      time.Duration // cold start: time until all slots are used; 0 is no ramp
	MaxRequests int           // requests held at once; 0 is 4,096
	Seed        uint64        // for the two choices
	// LoadReports is the number of load reports a second; 0 is 10.
	LoadReports float64
}

type phase uint8

const (
	waiting phase = iota
	running
	streaming
	moved
)

type request struct {
	Arrive
	phase    phase
	mustMove Reason // set when the request must not run here
	outcome  message.Outcome
	arrived  time.Time
	moves    int
	retried  bool
	began    time.Time
}

// Core is the admission state of one agent.
type Core struct {
	o        Options
	rng      *rand.Rand
	now      time.Time
	out      []Action
	requests map[RequestID]*request
	queue    []*request // in order of arrival
	running  int
	leaving  bool
	drained  bool // leaving by a decision file only

	tokens  float64 // retry budget
	service estimate
	target  limiter
	peers   []*peer   // in order of ID
	asked   []openAsk // reservations asked of peers
	askers  []asker   // peers that wait for a slot here
	granted []grant
	lastID  uint64
	reports reporter
}

// New returns a core for an agent that just started.
func New(o Options) *Core {
	if o.Slots < 1 {
		o.Slots = 1
	}
	if o.Queue <= 0 {
		o.Queue = model.DefaultPolicy().Queue
	}
	if o.MaxRequests <= 0 {
		o.MaxRequests = defaultMaxRequests
	}
	if o.LoadReports <= 0 {
		o.LoadReports = defaultLoadReports
	}
	return &Core{
		o:        o,
		rng:      rand.New(rand.NewPCG(o.Seed, model.HashString(string(o.Self)))),
		requests: make(map[RequestID]*request),
		tokens:   budgetBurst,
		target:   newLimiter(o.Slots, o.Warmup),
	}
}

// Step takes one event and returns what to do. The returned slice is valid
// until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.out = c.out[:0]
	if c.lastID == 0 { // IDs grow across restarts
		c.lastID = uint64(now.UnixMilli()) << 20
	}
	c.target.begin(now)
	switch e := ev.(type) {
	case Arrive:
		c.arrive(e)
	case Started:
		c.started(e)
	case Finished:
		c.finished(e)
	case Cancelled:
		c.cancelled(e.ID)
	case PeerLoad:
		c.peerLoad(e)
	case ViewChanged:
		c.viewChanged(e.View)
	case Leave:
		c.leave()
	case ReserveRequest:
		c.reserveRequest(e)
	case ReserveReply:
		c.reserveReply(e)
	case Tick:
	}
	c.dispatch()
	return c.out
}

// Next returns when a Tick is due, or the zero time if none is.
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
	for _, a := range c.asked {
		due(a.expires)
	}
	for _, a := range c.askers {
		due(a.expires)
	}
	for _, g := range c.granted {
		due(g.expires)
	}
	if len(c.queue)+len(c.askers) > 0 {
		if c.target.holdUntil.After(c.now) {
			due(c.target.holdUntil)
		}
		for _, p := range c.peers {
			if p.avoidUntil.After(c.now) {
				due(p.avoidUntil)
			}
		}
	}
	if len(c.peers) > 0 {
		due(c.reports.next)
	}
	return next
}

// Load returns the agent's own count of its work. Slots that must not be used
// now, because of the cold start or because the target sheds, count as busy.
func (c *Core) Load() model.Load {
	return model.Load{Busy: c.o.Slots - c.free(), Queued: len(c.queue)}
}

// Busy returns the number of slots with a running request.
func (c *Core) Busy() int { return c.running }

// Idle reports whether no request is in progress.
func (c *Core) Idle() bool { return len(c.requests) == 0 }

// free returns the number of slots that may be used now.
func (c *Core) free() int {
	if c.leaving {
		return 0
	}
	return max(0, c.target.limit(c.now)-c.running-c.reserved())
}

func (c *Core) arrive(e Arrive) {
	if _, ok := c.requests[e.ID]; ok {
		return
	}
	if e.FirstSend {
		c.tokens = min(c.tokens+budgetRatio, budgetBurst)
	}
	r := &request{Arrive: e, arrived: c.now, outcome: message.OutcomeNotRun}
	var slot, place bool
	if e.Moved {
		slot, place = c.takeGrant(e.From, e.Reservation)
	}
	switch {
	case !e.Deadline.After(c.now):
		c.refuse(r, ReasonDeadlinePassed)
	case len(c.requests) >= c.o.MaxRequests:
		c.refuse(r, ReasonTooManyRequests)
	case c.leaving && e.Moved && !place:
		c.refuse(r, ReasonLeaving)
	case slot && c.target.limit(c.now) > c.running:
		c.requests[r.ID] = r
		c.run(r)
	case c.leaving && e.Moved: // granted before the leave
		r.Deadline = sooner(r.Deadline, c.now.Add(leaveGrace))
		c.enqueue(r)
	case c.leaving:
		r.mustMove = MoveLeaving
		c.enqueue(r)
	case len(c.queue) == 0 && c.free() > 0:
		c.requests[r.ID] = r
		c.run(r)
	case c.target.shedding():
		r.mustMove = MoveBusy // not a retry: nothing was sent
		c.enqueue(r)
	case !c.canStart(e.Deadline) && !c.peerTakes():
		c.refuse(r, ReasonCannotStart)
	default:
		c.enqueue(r)
	}
}

// canStart estimates whether a request that joins the queue now starts early
// enough for the target to begin its answer by the deadline.
func (c *Core) canStart(deadline time.Time) bool {
	wait := time.Duration(float64(c.service.mean) * float64(len(c.queue)+1) / float64(max(1, c.target.limit(c.now))))
	return !c.now.Add(wait + c.service.median).After(deadline)
}

func (c *Core) enqueue(r *request) {
	if len(c.queue) >= c.o.Queue {
		c.refuse(r, ReasonQueueFull)
		return
	}
	c.requests[r.ID] = r
	r.phase = waiting
	c.queue = append(c.queue, r)
}

func (c *Core) run(r *request) {
	r.phase = running
	r.began = c.now
	c.running++
	c.out = append(c.out, Run{ID: r.ID})
}

func (c *Core) refuse(r *request, why Reason) {
	delete(c.requests, r.ID)
	c.out = append(c.out, Refuse{ID: r.ID, Reason: why, RetryAfter: c.retryAfter(), Outcome: r.outcome})
}

func (c *Core) started(e Started) {
	r, ok := c.requests[e.ID]
	if !ok || r.phase != running || !e.Streaming {
		return
	}
	c.running--
	c.service.add(c.now.Sub(r.began))
	c.target.succeeded()
	r.phase = streaming
}

func (c *Core) finished(e Finished) {
	r, ok := c.requests[e.ID]
	if !ok || r.phase == waiting {
		return
	}
	if r.phase == running {
		c.running--
		switch {
		case e.Shed:
			c.target.shed(c.now)
		case e.Outcome == message.OutcomeRan:
			c.service.add(c.now.Sub(r.began))
			c.target.succeeded()
		case e.SafeToMove && e.Outcome == message.OutcomeNotRun:
			c.target.shed(c.now) // the target took no connection
		}
	}
	if !e.SafeToMove || r.phase == streaming {
		delete(c.requests, e.ID)
		return
	}
	if e.Outcome != message.OutcomeNotRun {
		r.outcome = e.Outcome
	}
	c.again(r, e.Shed)
}

// again decides about a request that came back without a run.
func (c *Core) again(r *request, shed bool) {
	why, refusal := MoveUnreachable, ReasonTargetUnreachable
	if shed {
		why, refusal = MoveShed, ReasonTargetShed
	}
	switch {
	case !r.Deadline.After(c.now):
		c.refuse(r, ReasonDeadlinePassed)
	case r.Moved || r.retried || r.moves >= maxMoves || !c.peerTakes():
		c.refuse(r, refusal)
	case c.tokens < 1:
		c.refuse(r, ReasonRetryBudget)
	case len(c.queue) >= c.o.Queue:
		c.refuse(r, ReasonQueueFull)
	default:
		c.tokens--
		r.retried = true
		r.mustMove = why
		r.phase = waiting
		c.queue = append([]*request{r}, c.queue...)
	}
}

func (c *Core) cancelled(id RequestID) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	if r.phase == waiting {
		c.unqueue(r)
		delete(c.requests, id)
		return
	}
	c.out = append(c.out, Cancel{ID: id})
}

func (c *Core) unqueue(r *request) {
	for i := range c.queue {
		if c.queue[i] == r {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

func (c *Core) leave() {
	c.drained = false // an agent that leaves by itself does not come back
	if c.leaving {
		return
	}
	c.leaving = true
	c.askers = nil
	last := c.now.Add(leaveGrace)
	for _, r := range c.queue {
		if !r.Moved && r.mustMove == 0 {
			r.mustMove = MoveLeaving
		}
		r.Deadline = sooner(r.Deadline, last)
	}
}

// drain follows the agent's own state in the view, which a decision file may
// change to leaving and back.
func (c *Core) drain(on bool) {
	switch {
	case on && !c.leaving:
		c.leave()
		c.drained = true
	case !on && c.drained:
		c.leaving, c.drained = false, false
	}
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dispatch brings the queue in line with the time, the slots and the peers.
func (c *Core) dispatch() {
	c.expire()
	c.runWaiting()
	c.askForWaiting()
	c.refuseStranded()
	c.withdraw()
	c.report()
}

func (c *Core) expire() {
	kept := c.queue[:0]
	for _, r := range c.queue {
		if r.Deadline.After(c.now) {
			kept = append(kept, r)
			continue
		}
		why := ReasonDeadlinePassed
		if c.leaving {
			why = ReasonLeaving
		}
		c.refuse(r, why)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.expireReservations()
}

// runWaiting gives the free slots to the oldest requests that wait here or at
// peers that asked for a slot.
func (c *Core) runWaiting() {
	free := c.free()
	if c.leaving { // requests moved here before the leave still run
		free = max(0, c.target.limit(c.now)-c.running)
	}
	for ; free > 0; free-- {
		i := slices.IndexFunc(c.queue, func(r *request) bool { return r.mustMove == 0 })
		a := c.oldestAsker()
		switch {
		case a >= 0 && (i < 0 || c.askers[a].since.Add(moveMargin).Before(c.queue[i].arrived)):
			c.grantSlot(a)
		case i >= 0:
			c.run(c.queue[i])
			c.queue = slices.Delete(c.queue, i, i+1)
		default:
			return
		}
	}
}

// refuseStranded refuses requests that must move when no peer is left that may
// take them, and all that wait for a target that sheds without a pause.
func (c *Core) refuseStranded() {
	if slices.ContainsFunc(c.asked, func(a openAsk) bool { return !a.noted }) {
		return
	}
	kept := c.queue[:0]
	for _, r := range c.queue {
		why := Reason(0)
		switch {
		case c.leaving && len(c.peers) > 0 && c.now.Sub(r.arrived) < leaveGrace:
			// A reply was lost or late, or the peers are full; they are asked again.
		case r.mustMove == MoveLeaving || r.mustMove != 0 && c.leaving:
			why = ReasonLeaving
		case r.mustMove == MoveUnreachable:
			why = ReasonTargetUnreachable
		case r.mustMove != 0 || c.target.shedding():
			why = ReasonTargetShed
		}
		if why != 0 {
			c.refuse(r, why)
			continue
		}
		kept = append(kept, r)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}
