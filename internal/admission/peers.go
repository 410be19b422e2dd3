package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// maxPeers bounds the peers that an agent considers in a large service.
	maxPeers = 64
	// reservationsPerRequest is the number of peers at which a slot is requested for each waiting
	// request. The request moves to the first that grants one.
	reservationsPerRequest = 3
	// maxPendingReservations bounds the pending reservations.
	maxPendingReservations = 8
	// replyTimeout bounds the wait for the reply to a Reserve. Data centres are several
	// milliseconds apart.
	replyTimeout = 100 * time.Millisecond
	// queuedTimeout is how long a reservation stays queued at a peer without free slots.
	queuedTimeout = time.Second
	// noReplyBackoff is how long no reservation is requested of a peer that did not reply.
	noReplyBackoff = 500 * time.Millisecond
	// denialBackoff is how long no reservation is requested of a peer that denied one.
	denialBackoff = 100 * time.Millisecond
	// grantLifetime is how long a slot is reserved for a request that a peer moves here.
	grantLifetime = 250 * time.Millisecond
	// moveMargin is how much longer a peer's request must have waited than the oldest local one to
	// get a slot first. The slot is idle while the request moves.
	moveMargin = 25 * time.Millisecond
	// defaultLoadReports is the number of load reports per second. At about 100 B each, they use a
	// third of the budget of 3 KB a second for control messages.
	defaultLoadReports = 10
	// loadReportBurst is the largest number of load reports sent at once.
	loadReportBurst = 10
	// loadReportInterval is the time between two rounds of load reports.
	loadReportInterval = 500 * time.Millisecond
)

// peer is another agent of the service. load is what that agent last reported, plus one busy slot
// for each reservation requested of it since.
type peer struct {
	id         model.NodeID
	slots      int
	load       model.Load
	loadKnown  bool
	avoidUntil time.Time // no reservation is requested until then
}

// freeSlots returns the number of free slots by the last report, less the requests queued there. It
// is 0 if the load is unknown, and negative if the queue is longer than the free slots.
func (p *peer) freeSlots() int {
	if !p.loadKnown {
		return 0
	}
	return p.slots - p.load.Busy - p.load.Queued
}

// pendingReservation is a reservation requested of a peer and not granted yet.
type pendingReservation struct {
	id           uint64
	to           model.NodeID
	expires      time.Time
	queuedAtPeer bool // the peer has no free slot and grants the reservation when it has one
}

// waitingPeer is a peer that waits for a slot of this agent.
type waitingPeer struct {
	from          model.NodeID
	id            uint64
	oldestArrival time.Time // arrival of the oldest request that waits at the peer
	expires       time.Time
}

// grant is a reservation granted to a peer.
type grant struct {
	from       model.NodeID
	id         uint64
	expires    time.Time
	queuePlace bool // grants a place in the queue instead of a slot
	used       bool // kept until it expires, so that a duplicate request gets no second slot
}

// loadReporter is the state of sending load reports.
type loadReporter struct {
	tokens   float64
	last     time.Time // last refill of tokens
	next     time.Time // time of the next round
	lastPeer int       // index, modulo the number of peers, of the peer that got the last report
}

func (c *Core) peer(id model.NodeID) *peer {
	i, ok := slices.BinarySearchFunc(c.peers, id, func(p *peer, id model.NodeID) int { return cmp.Compare(p.id, id) })
	if !ok {
		return nil
	}
	return c.peers[i]
}

func (c *Core) handleViewChanged(v model.ServiceView) {
	if v.Policy.Queue > 0 {
		c.opts.Queue = v.Policy.Queue
	}
	var peers []*peer
	for _, m := range v.Members {
		if m.ID == c.opts.Self {
			c.setDrained(m.State == model.StateLeaving)
		}
		if m.ID == c.opts.Self || m.State != model.StateActive || m.Kind == model.KindBalancer {
			continue
		}
		p := c.peer(m.ID)
		if p == nil {
			p = &peer{id: m.ID}
		}
		p.slots = m.Slots
		peers = append(peers, p)
	}
	if len(peers) > maxPeers { // a different subset for each agent
		self := model.HashString(string(c.opts.Self))
		rank := func(p *peer) uint64 { return model.Mix(self ^ model.HashString(string(p.id))) }
		slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(rank(a), rank(b)) })
		peers = peers[:maxPeers]
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	c.peers = peers
}

func (c *Core) handlePeerLoad(e PeerLoad) {
	p := c.peer(e.Node)
	if p == nil {
		return
	}
	p.load, p.loadKnown = e.Load, true
	if e.Slots > 0 {
		p.slots = e.Slots
	}
}

// canReserve reports whether a reservation may be requested of the peer now.
func (c *Core) canReserve(p *peer) bool {
	return !p.avoidUntil.After(c.now) && !slices.ContainsFunc(c.pendingReservations, func(a pendingReservation) bool { return a.to == p.id })
}

// choosePeer returns the less loaded of two random peers among those with a free slot, or among all
// that a reservation may be requested of if none is known to have one.
func (c *Core) choosePeer() *peer {
	var candidates, withFreeSlot []*peer
	for _, p := range c.peers {
		if !c.canReserve(p) {
			continue
		}
		candidates = append(candidates, p)
		if p.freeSlots() > 0 {
			withFreeSlot = append(withFreeSlot, p)
		}
	}
	if len(withFreeSlot) > 0 {
		candidates = withFreeSlot
	}
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	i := c.rng.IntN(len(candidates))
	j := c.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].freeSlots() > candidates[i].freeSlots() {
		i = j
	}
	return candidates[i]
}

// peerAvailable reports whether a peer can accept a request now: one with a free slot or, when this
// agent is leaving, any.
func (c *Core) peerAvailable() bool {
	return slices.ContainsFunc(c.peers, func(p *peer) bool {
		return (p.freeSlots() > 0 || c.leaving) && c.canReserve(p)
	})
}

// requestReservations requests slots of peers for the waiting requests that may move. A grant is not
// tied to a request: the next one to move uses it.
func (c *Core) requestReservations() {
	want, oldest := 0, c.now
	for _, r := range c.queue {
		if !r.Moved {
			want += reservationsPerRequest
			oldest = minTime(oldest, r.arrivedAt)
		}
	}
	for want = min(want, maxPendingReservations); len(c.pendingReservations) < want; {
		p := c.choosePeer()
		if p == nil {
			return
		}
		p.load.Busy++
		c.lastReservationID++
		c.pendingReservations = append(c.pendingReservations, pendingReservation{id: c.lastReservationID, to: p.id, expires: c.now.Add(replyTimeout)})
		c.actions = append(c.actions, SendReserve{To: p.id, Msg: message.Reserve{
			ID: c.lastReservationID, Waited: c.now.Sub(oldest), Queue: c.leaving,
		}})
	}
}

// releaseUnneeded releases pending reservations once no queued request can use them.
func (c *Core) releaseUnneeded() {
	if len(c.pendingReservations) == 0 || slices.ContainsFunc(c.queue, func(r *request) bool { return !r.Moved }) {
		return
	}
	for _, a := range c.pendingReservations {
		c.sendRelease(a.to, a.id)
	}
	c.pendingReservations = c.pendingReservations[:0]
}

func (c *Core) handleReserveReply(e ReserveReply) {
	p := c.peer(e.From)
	if p != nil {
		p.load, p.loadKnown = e.Load, true
	}
	i := slices.IndexFunc(c.pendingReservations, func(a pendingReservation) bool { return a.id == e.ID && a.to == e.From })
	switch {
	case i < 0 && e.Granted:
		c.sendRelease(e.From, e.ID)
	case i < 0:
	case e.Granted:
		c.pendingReservations = slices.Delete(c.pendingReservations, i, i+1)
		c.moveNext(e)
	case e.Waiting && !c.pendingReservations[i].queuedAtPeer:
		c.pendingReservations[i].queuedAtPeer = true
		c.pendingReservations[i].expires = c.now.Add(queuedTimeout)
	case !e.Waiting:
		c.pendingReservations = slices.Delete(c.pendingReservations, i, i+1)
		if p != nil {
			p.avoidUntil = c.now.Add(denialBackoff)
		}
	}
}

// moveNext moves the next request to the peer that granted a reservation.
func (c *Core) moveNext(e ReserveReply) {
	r := c.nextToMove()
	if r == nil {
		c.sendRelease(e.From, e.ID)
		return
	}
	c.removeFromQueue(r)
	reason := r.moveReason
	if reason == 0 {
		reason = MoveBusy
	}
	r.phase = moved
	r.moves++
	c.actions = append(c.actions, MoveTo{ID: r.ID, Node: e.From, Reservation: e.ID, Reason: reason})
}

func (c *Core) sendRelease(to model.NodeID, id uint64) {
	c.actions = append(c.actions, SendReserve{To: to, Msg: message.Reserve{ID: id, Release: true}})
}

// nextToMove returns the first request that must move, or else the first that may.
func (c *Core) nextToMove() *request {
	var optional *request
	for _, r := range c.queue {
		if r.Moved || !r.Deadline.After(c.now) {
			continue
		}
		if r.moveReason != 0 {
			return r
		}
		if optional == nil {
			optional = r
		}
	}
	return optional
}

func (c *Core) expireReservations() {
	c.pendingReservations = slices.DeleteFunc(c.pendingReservations, func(a pendingReservation) bool {
		if a.expires.After(c.now) {
			return false
		}
		if p := c.peer(a.to); p != nil && !a.queuedAtPeer {
			p.avoidUntil = c.now.Add(noReplyBackoff)
		}
		return true
	})
	c.waitingPeers = slices.DeleteFunc(c.waitingPeers, func(a waitingPeer) bool { return !a.expires.After(c.now) })
	c.grants = slices.DeleteFunc(c.grants, func(g grant) bool { return !g.expires.After(c.now) })
}

// reservedSlots returns the number of slots granted to peers and not used yet.
func (c *Core) reservedSlots() int {
	n := 0
	for _, g := range c.grants {
		if !g.used && !g.queuePlace {
			n++
		}
	}
	return n
}

func (c *Core) handleReserveRequest(e ReserveRequest) {
	i := slices.IndexFunc(c.grants, func(g grant) bool { return g.from == e.From && g.id == e.ID })
	j := slices.IndexFunc(c.waitingPeers, func(a waitingPeer) bool { return a.from == e.From })
	if e.Release {
		if i >= 0 {
			c.grants[i].used = true
		}
		if j >= 0 && c.waitingPeers[j].id <= e.ID {
			c.waitingPeers = slices.Delete(c.waitingPeers, j, j+1)
		}
		return
	}
	switch {
	case i >= 0: // a duplicate; a used grant is not renewed
		c.sendReserveReply(e.From, e.ID, !c.grants[i].used, false)
	case c.leaving || c.targetLimiter.shedding() || len(c.grants) >= c.maxGrants():
		c.sendReserveReply(e.From, e.ID, false, false)
	case e.Queue && (c.freeSlots() == 0 || len(c.queue) > 0):
		place := len(c.queue) < c.opts.Queue
		if place {
			c.grants = append(c.grants, grant{from: e.From, id: e.ID, expires: c.now.Add(grantLifetime), queuePlace: true})
		}
		c.sendReserveReply(e.From, e.ID, place, false)
	case j >= 0 && c.waitingPeers[j].id >= e.ID: // a late duplicate
	default:
		if j < 0 {
			c.waitingPeers = append(c.waitingPeers, waitingPeer{from: e.From})
			j = len(c.waitingPeers) - 1
		}
		c.waitingPeers[j] = waitingPeer{from: e.From, id: e.ID,
			oldestArrival: c.now.Add(-e.Waited), expires: c.now.Add(queuedTimeout + replyTimeout)}
		c.assignFreeSlots() // grants a free slot at once
		if slices.ContainsFunc(c.waitingPeers, func(a waitingPeer) bool { return a.from == e.From && a.id == e.ID }) {
			c.sendReserveReply(e.From, e.ID, false, true)
		}
	}
}

// maxGrants returns the largest number of grants, used ones included, which bounds their memory.
func (c *Core) maxGrants() int { return 8*c.opts.Slots + c.opts.Queue }

func (c *Core) sendReserveReply(to model.NodeID, id uint64, granted, waiting bool) {
	c.actions = append(c.actions, SendReserveReply{To: to, Msg: message.ReserveReply{
		ID: id, Granted: granted, Waiting: waiting, Load: c.Load(),
	}})
}

// oldestWaitingPeer returns the index of the peer whose request has waited longest, or -1.
func (c *Core) oldestWaitingPeer() int {
	best := -1
	if c.leaving || len(c.grants) >= c.maxGrants() {
		return best
	}
	for i, a := range c.waitingPeers {
		if best < 0 || a.oldestArrival.Before(c.waitingPeers[best].oldestArrival) {
			best = i
		}
	}
	return best
}

// grantSlot grants a slot to the waiting peer at index i.
func (c *Core) grantSlot(i int) {
	a := c.waitingPeers[i]
	c.waitingPeers = slices.Delete(c.waitingPeers, i, i+1)
	c.grants = append(c.grants, grant{from: a.from, id: a.id, expires: c.now.Add(grantLifetime)})
	c.sendReserveReply(a.from, a.id, true, false)
}

// useGrant marks the grant for a moved request as used. It reports whether the grant is for a slot,
// and whether the request has at least a place in the queue.
func (c *Core) useGrant(from model.NodeID, id uint64) (slot, place bool) {
	for i := range c.grants {
		g := &c.grants[i]
		if g.from == from && g.id == id && !g.used {
			g.used = true
			return !g.queuePlace, true
		}
	}
	return false, false
}

// sendLoadReports sends load reports to the peers in turn, bounded by a token bucket.
func (c *Core) sendLoadReports() {
	rp := &c.reporter
	if len(c.peers) == 0 || rp.next.After(c.now) {
		return
	}
	if rp.last.IsZero() {
		rp.tokens = loadReportBurst
	} else {
		rp.tokens = min(rp.tokens+c.opts.LoadReportsPerSecond*c.now.Sub(rp.last).Seconds(), loadReportBurst)
	}
	rp.last = c.now
	rp.next = c.now.Add(loadReportInterval)
	for range c.peers {
		if rp.tokens < 1 {
			return
		}
		rp.tokens--
		rp.lastPeer++
		c.actions = append(c.actions, SendLoad{To: c.peers[rp.lastPeer%len(c.peers)].id, Load: c.Load()})
	}
}
