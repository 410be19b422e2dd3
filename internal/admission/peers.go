package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// maxPeers bounds the peers of a large service that an agent considers.
	maxPeers = 64
	// askFanOut is the number of peers asked for each waiting request; the
	// first free slot takes it.
	askFanOut = 3
	// maxAsked bounds the reservations asked at once.
	maxAsked = 8
	// replyTimeout is how long a reply to a Reserve is awaited. Data centres
	// are several milliseconds apart.
	replyTimeout = 100 * time.Millisecond
	// askTime is how long a peer that was told to wait is remembered.
	askTime = time.Second
	// avoidTime keeps reservations off a peer that did not reply.
	avoidTime = 500 * time.Millisecond
	// denyTime keeps reservations off a peer that denied one.
	denyTime = 100 * time.Millisecond
	// grantTime is how long a slot is kept for a request on its way here.
	grantTime = 250 * time.Millisecond
	// moveMargin is how much longer a peer's request must have waited than the
	// own oldest one to get a slot first. The slot idles while a request moves.
	moveMargin = 25 * time.Millisecond
	// defaultLoadReports keeps reports of about 100 B to a third of the control
	// budget of 3 KB a second.
	defaultLoadReports = 10
	reportBurst        = 10
	reportInterval     = 500 * time.Millisecond
)

// peer is what the agent knows about another agent of the service, by that
// agent's own counts, corrected by the reservations asked since.
type peer struct {
	id         model.NodeID
	slots      int
	load       model.Load
	known      bool
	avoidUntil time.Time
}

func (p *peer) free() int {
	if !p.known {
		return 0
	}
	return p.slots - p.load.Busy - p.load.Queued
}

// openAsk is a reservation asked of a peer and not granted yet.
type openAsk struct {
	id      uint64
	to      model.NodeID
	expires time.Time
	noted   bool // the peer grants it when a slot is free
}

// asker is a peer that waits for a slot here.
type asker struct {
	from    model.NodeID
	id      uint64
	since   time.Time // arrival of its oldest request
	expires time.Time
}

type grant struct {
	from    model.NodeID
	id      uint64
	expires time.Time
	queue   bool // a place in the queue; keeps no slot
	used    bool // kept until it expires, so that a late copy gets no second slot
}

type reporter struct {
	tokens float64
	last   time.Time
	next   time.Time
	turn   int // position of the next report in the list of peers
}

func (c *Core) peer(id model.NodeID) *peer {
	i, ok := slices.BinarySearchFunc(c.peers, id, func(p *peer, id model.NodeID) int { return cmp.Compare(p.id, id) })
	if !ok {
		return nil
	}
	return c.peers[i]
}

func (c *Core) viewChanged(v model.ServiceView) {
	if v.Policy.Queue > 0 {
		c.o.Queue = v.Policy.Queue
	}
	var peers []*peer
	for _, m := range v.Members {
		if m.ID == c.o.Self {
			c.drain(m.State == model.StateLeaving)
		}
		if m.ID == c.o.Self || m.State != model.StateActive || m.Kind == model.KindBalancer {
			continue
		}
		p := c.peer(m.ID)
		if p == nil {
			p = &peer{id: m.ID}
		}
		p.slots = m.Slots
		peers = append(peers, p)
	}
	if len(peers) > maxPeers { // each agent considers a different part
		self := model.HashString(string(c.o.Self))
		rank := func(p *peer) uint64 { return model.Mix(self ^ model.HashString(string(p.id))) }
		slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(rank(a), rank(b)) })
		peers = peers[:maxPeers]
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	c.peers = peers
}

func (c *Core) peerLoad(e PeerLoad) {
	p := c.peer(e.Node)
	if p == nil {
		return
	}
	p.load, p.known = e.Load, true
	if e.Slots > 0 {
		p.slots = e.Slots
	}
}

// available reports whether a reservation may be asked of the peer now.
func (c *Core) available(p *peer) bool {
	return !p.avoidUntil.After(c.now) && !slices.ContainsFunc(c.asked, func(a openAsk) bool { return a.to == p.id })
}

// choose returns the less loaded of two random peers with a free slot, or of
// any two if none is known to have one.
func (c *Core) choose() *peer {
	var able, free []*peer
	for _, p := range c.peers {
		if !c.available(p) {
			continue
		}
		able = append(able, p)
		if p.free() > 0 {
			free = append(free, p)
		}
	}
	if len(free) > 0 {
		able = free
	}
	switch len(able) {
	case 0:
		return nil
	case 1:
		return able[0]
	}
	i := c.rng.IntN(len(able))
	j := c.rng.IntN(len(able) - 1)
	if j >= i {
		j++
	}
	if able[j].free() > able[i].free() {
		i = j
	}
	return able[i]
}

// peerTakes reports whether a peer may take a request now: one with a free slot
// or, for a leaving agent, any.
func (c *Core) peerTakes() bool {
	return slices.ContainsFunc(c.peers, func(p *peer) bool {
		return (p.free() > 0 || c.leaving) && c.available(p)
	})
}

// askForWaiting asks peers for slots for the waiting requests that may move.
// Grants are not tied to a request: the oldest takes one.
func (c *Core) askForWaiting() {
	want, oldest := 0, c.now
	for _, r := range c.queue {
		if !r.Moved {
			want += askFanOut
			oldest = sooner(oldest, r.arrived)
		}
	}
	for want = min(want, maxAsked); len(c.asked) < want; {
		p := c.choose()
		if p == nil {
			return
		}
		p.load.Busy++
		c.lastID++
		c.asked = append(c.asked, openAsk{id: c.lastID, to: p.id, expires: c.now.Add(replyTimeout)})
		c.out = append(c.out, SendReserve{To: p.id, Msg: message.Reserve{
			ID: c.lastID, Waited: c.now.Sub(oldest), Queue: c.leaving,
		}})
	}
}

// withdraw gives asked reservations back once nothing waits for them.
func (c *Core) withdraw() {
	if len(c.asked) == 0 || slices.ContainsFunc(c.queue, func(r *request) bool { return !r.Moved }) {
		return
	}
	for _, a := range c.asked {
		c.release(a.to, a.id)
	}
	c.asked = c.asked[:0]
}

func (c *Core) reserveReply(e ReserveReply) {
	p := c.peer(e.From)
	if p != nil {
		p.load, p.known = e.Load, true
	}
	i := slices.IndexFunc(c.asked, func(a openAsk) bool { return a.id == e.ID && a.to == e.From })
	switch {
	case i < 0 && e.Granted:
		c.release(e.From, e.ID)
	case i < 0:
	case e.Granted:
		c.asked = slices.Delete(c.asked, i, i+1)
		c.move(e)
	case e.Waiting && !c.asked[i].noted:
		c.asked[i].noted = true
		c.asked[i].expires = c.now.Add(askTime)
	case !e.Waiting:
		c.asked = slices.Delete(c.asked, i, i+1)
		if p != nil {
			p.avoidUntil = c.now.Add(denyTime)
		}
	}
}

// move sends the next request to a peer that granted a reservation.
func (c *Core) move(e ReserveReply) {
	r := c.nextToMove()
	if r == nil {
		c.release(e.From, e.ID)
		return
	}
	c.unqueue(r)
	why := r.mustMove
	if why == 0 {
		why = MoveBusy
	}
	r.phase = moved
	r.moves++
	c.out = append(c.out, MoveTo{ID: r.ID, Node: e.From, Reservation: e.ID, Reason: why})
}

func (c *Core) release(to model.NodeID, id uint64) {
	c.out = append(c.out, SendReserve{To: to, Msg: message.Reserve{ID: id, Release: true}})
}

// nextToMove returns the first request that must move, else the first that may.
func (c *Core) nextToMove() *request {
	var may *request
	for _, r := range c.queue {
		if r.Moved || !r.Deadline.After(c.now) {
			continue
		}
		if r.mustMove != 0 {
			return r
		}
		if may == nil {
			may = r
		}
	}
	return may
}

func (c *Core) expireReservations() {
	c.asked = slices.DeleteFunc(c.asked, func(a openAsk) bool {
		if a.expires.After(c.now) {
			return false
		}
		if p := c.peer(a.to); p != nil && !a.noted {
			p.avoidUntil = c.now.Add(avoidTime)
		}
		return true
	})
	c.askers = slices.DeleteFunc(c.askers, func(a asker) bool { return !a.expires.After(c.now) })
	c.granted = slices.DeleteFunc(c.granted, func(g grant) bool { return !g.expires.After(c.now) })
}

func (c *Core) reserved() int {
	n := 0
	for _, g := range c.granted {
		if !g.used && !g.queue {
			n++
		}
	}
	return n
}

func (c *Core) reserveRequest(e ReserveRequest) {
	i := slices.IndexFunc(c.granted, func(g grant) bool { return g.from == e.From && g.id == e.ID })
	j := slices.IndexFunc(c.askers, func(a asker) bool { return a.from == e.From })
	if e.Release {
		if i >= 0 {
			c.granted[i].used = true
		}
		if j >= 0 && c.askers[j].id <= e.ID {
			c.askers = slices.Delete(c.askers, j, j+1)
		}
		return
	}
	switch {
	case i >= 0: // a copy; a used grant is not renewed
		c.reply(e.From, e.ID, !c.granted[i].used, false)
	case c.leaving || c.target.shedding() || len(c.granted) >= c.maxGrants():
		c.reply(e.From, e.ID, false, false)
	case e.Queue && (c.free() == 0 || len(c.queue) > 0):
		place := len(c.queue) < c.o.Queue
		if place {
			c.granted = append(c.granted, grant{from: e.From, id: e.ID, expires: c.now.Add(grantTime), queue: true})
		}
		c.reply(e.From, e.ID, place, false)
	case j >= 0 && c.askers[j].id >= e.ID: // a late copy
	default:
		if j < 0 {
			c.askers = append(c.askers, asker{from: e.From})
			j = len(c.askers) - 1
		}
		c.askers[j] = asker{from: e.From, id: e.ID, since: c.now.Add(-e.Waited), expires: c.now.Add(askTime + replyTimeout)}
		c.runWaiting() // grants a free slot at once
		if slices.ContainsFunc(c.askers, func(a asker) bool { return a.from == e.From && a.id == e.ID }) {
			c.reply(e.From, e.ID, false, true)
		}
	}
}

// maxGrants bounds the memory for grants; used ones are kept until they expire.
func (c *Core) maxGrants() int { return 8*c.o.Slots + c.o.Queue }

func (c *Core) reply(to model.NodeID, id uint64, granted, waiting bool) {
	c.out = append(c.out, SendReserveReply{To: to, Msg: message.ReserveReply{
		ID: id, Granted: granted, Waiting: waiting, Load: c.Load(),
	}})
}

// oldestAsker returns the index of the peer whose request waits longest, or -1.
func (c *Core) oldestAsker() int {
	best := -1
	if c.leaving || len(c.granted) >= c.maxGrants() {
		return best
	}
	for i, a := range c.askers {
		if best < 0 || a.since.Before(c.askers[best].since) {
			best = i
		}
	}
	return best
}

func (c *Core) grantSlot(i int) {
	a := c.askers[i]
	c.askers = slices.Delete(c.askers, i, i+1)
	c.granted = append(c.granted, grant{from: a.from, id: a.id, expires: c.now.Add(grantTime)})
	c.reply(a.from, a.id, true, false)
}

// takeGrant uses the slot or the place in the queue kept for a moved request.
func (c *Core) takeGrant(from model.NodeID, id uint64) (slot, place bool) {
	for i := range c.granted {
		g := &c.granted[i]
		if g.from == from && g.id == id && !g.used {
			g.used = true
			return !g.queue, true
		}
	}
	return false, false
}

// report sends a load report to each peer in turn. A token bucket bounds them.
func (c *Core) report() {
	rp := &c.reports
	if len(c.peers) == 0 || rp.next.After(c.now) {
		return
	}
	if rp.last.IsZero() {
		rp.tokens = reportBurst
	} else {
		rp.tokens = min(rp.tokens+c.o.LoadReports*c.now.Sub(rp.last).Seconds(), reportBurst)
	}
	rp.last = c.now
	rp.next = c.now.Add(reportInterval)
	for range c.peers {
		if rp.tokens < 1 {
			return
		}
		rp.tokens--
		rp.turn++
		c.out = append(c.out, SendLoad{To: c.peers[rp.turn%len(c.peers)].id, Load: c.Load()})
	}
}
