package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// flushDelay is how long flows wait for a fuller batch. Most of the cost of a
	// small batch is its envelope and its acknowledgement. It must stay well under
	// tentativeTime. Flows that a rescan queued do not wait. A late release only
	// costs a hop, so releases wait longer.
	flushDelay        = 2 * time.Second
	releaseFlushDelay = 6 * time.Second
	// batchBytes leaves room for the envelope in a datagram of 1,400 bytes.
	// flowBytes4 and flowBytes6 estimate an encoded flow.
	batchBytes = 1100
	flowBytes4 = 48
	flowBytes6 = 96
	// maxInflight bounds the unacknowledged batches of one home.
	maxInflight = 8
	// The first retry follows after batchRetry; the time doubles up to
	// maxBatchRetry. Over batchRetryRate retries a second wait.
	batchRetry     = 300 * time.Millisecond
	maxBatchRetry  = 2400 * time.Millisecond
	batchRetryRate = 32
	// releaseTries bounds the sends of a release. An entry that was not released
	// is removed when its holder passes a packet back.
	releaseTries = 8
	// maxReleases bounds the releases that wait for one home.
	maxReleases = 8192
	// rescanChunk is the number of slots of held flows compared with the current
	// homes at each Tick: 32,500 flows take 1.7 s, within the settle time.
	rescanChunk = 1000
	// warmupRescan is the time between rescans while a target warms up.
	warmupRescan = time.Second
)

// peer is another agent of the service.
type peer struct {
	id  model.NodeID
	inc model.Incarnation

	register      []model.Flow
	release       []model.Flow
	registerSince time.Time
	releaseSince  time.Time
	inflight      []batch

	reported   bool // whether load is known
	load       model.Load
	loadAt     time.Time
	handedOver float64 // expected new flows since the report

	told   model.Load // last report sent to the peer
	toldAt time.Time
}

// batch is a FlowRegister or FlowRelease that is not acknowledged.
type batch struct {
	seq     uint64
	release bool
	flows   []model.Flow
	tries   int
	due     time.Time
}

// updatePeers follows the view. A peer with a new incarnation starts afresh.
func (c *Core) updatePeers() {
	old := c.peers
	c.peers = map[model.NodeID]*peer{}
	c.peerOrder = nil
	for _, m := range c.table.View().Members {
		if m.ID == c.opt.Self {
			continue
		}
		p := old[m.ID]
		if p == nil || p.inc != m.Incarnation {
			p = &peer{id: m.ID, inc: m.Incarnation}
		}
		c.peers[m.ID] = p
		c.peerOrder = append(c.peerOrder, p)
	}
	c.updatePartners()
}

// registerHomes returns the homes at which holder registers a flow: the first
// two other than itself. The slice is valid until the next call.
func (c *Core) registerHomes(now time.Time, hash uint64, holder model.NodeID) []model.NodeID {
	c.homesBuf = c.table.AppendHomes(c.homesBuf[:0], now, hash, 3)
	c.homesBuf = slices.DeleteFunc(c.homesBuf, func(id model.NodeID) bool { return id == holder })
	return c.homesBuf[:min(2, len(c.homesBuf))]
}

// register queues a held flow for those of its homes that do not know it. A
// former home gets no release: it drops the entry itself some time later.
func (c *Core) register(now time.Time, f model.Flow, hash uint64) {
	h := c.held.get(hash, f)
	var next [2]registration
	for i, id := range c.registerHomes(now, hash, c.opt.Self) {
		p := c.peers[id]
		next[i] = registration{id: id, inc: p.inc}
		if j := slices.IndexFunc(h.homes[:], func(r registration) bool { return r.id == id && r.inc == p.inc }); j >= 0 {
			next[i] = h.homes[j]
			continue
		}
		if len(p.register) == 0 {
			p.registerSince = now
		}
		p.register = append(p.register, f)
	}
	h.homes = next
}

// rescan registers held flows with homes that are new since the last view
// change, warm-up step or restart of a home.
func (c *Core) rescan(now time.Time) {
	if c.rescanAt < 0 {
		if now.Sub(c.rescanFrom) < warmupRescan || !c.table.WarmingUp(now) {
			return
		}
		c.rescanAt, c.rescanFrom = 0, now
	}
	for range rescanChunk {
		if c.rescanAt >= len(c.held.slots) {
			c.rescanAt = -1
			for _, p := range c.peerOrder {
				p.registerSince = time.Time{}
			}
			return
		}
		if s := &c.held.slots[c.rescanAt]; s.used {
			c.register(now, s.flow, s.flow.Hash())
		}
		c.rescanAt++
	}
}

func (c *Core) queueRelease(r registration, f model.Flow) {
	p := c.peers[r.id]
	if p == nil || p.inc != r.inc {
		return
	}
	if len(p.release) >= maxReleases {
		c.emit(Count{ReasonReleaseLost})
		return
	}
	if len(p.release) == 0 {
		p.releaseSince = c.lastTick
	}
	p.release = append(p.release, f)
}

func (c *Core) tickRegistrations(now time.Time) {
	for _, p := range c.peerOrder {
		c.retryBatches(now, p)
		for len(p.inflight) < maxInflight && c.flush(now, p, false) {
		}
		for len(p.inflight) < maxInflight && c.flush(now, p, true) {
		}
	}
}

// flush sends one batch when it is full or its flows have waited long enough.
func (c *Core) flush(now time.Time, p *peer, release bool) bool {
	queue, since, delay := &p.register, p.registerSince, flushDelay
	if release {
		queue, since, delay = &p.release, p.releaseSince, releaseFlushDelay
	}
	n, size := 0, 0
	for n < len(*queue) && size < batchBytes {
		size += flowBytes((*queue)[n])
		n++
	}
	if n == 0 || size < batchBytes && now.Sub(since) < delay {
		return false
	}
	flows := c.current(p, (*queue)[:n:n], release)
	*queue = (*queue)[n:]
	if len(*queue) == 0 {
		*queue = nil
	}
	if len(flows) > 0 {
		c.nextSeq++
		b := batch{seq: c.nextSeq, release: release, flows: flows, due: now.Add(batchRetry)}
		p.inflight = append(p.inflight, b)
		c.sendBatch(p, &b)
	}
	return true
}

func flowBytes(f model.Flow) int {
	if f.Src.Addr().Is4() {
		return flowBytes4
	}
	return flowBytes6
}

// current returns the flows of a batch that still have to be sent: held flows
// with the peer among their homes, or flows that are not held again.
func (c *Core) current(p *peer, flows []model.Flow, release bool) []model.Flow {
	var out []model.Flow
	for _, f := range flows {
		h := c.held.get(f.Hash(), f)
		if release {
			if h == nil {
				out = append(out, f)
			}
			continue
		}
		if h == nil {
			continue
		}
		for i := range h.homes {
			if r := &h.homes[i]; r.id == p.id && r.inc == p.inc {
				r.sent = true
				out = append(out, f)
			}
		}
	}
	return out
}

func (c *Core) sendBatch(p *peer, b *batch) {
	if b.release {
		c.emit(Send{p.id, message.FlowRelease{Seq: b.seq, Flows: b.flows}})
	} else {
		c.emit(Send{p.id, message.FlowRegister{Seq: b.seq, Flows: b.flows}})
	}
}

func (c *Core) retryBatches(now time.Time, p *peer) {
	p.inflight = slices.DeleteFunc(p.inflight, func(b batch) bool {
		if b.release && b.tries+1 >= releaseTries && !now.Before(b.due) {
			c.emit(Count{ReasonReleaseLost})
			return true
		}
		return false
	})
	for i := range p.inflight {
		b := &p.inflight[i]
		if now.Before(b.due) {
			continue
		}
		if !c.retries.take(now) {
			return
		}
		b.tries++
		b.due = now.Add(min(maxBatchRetry, batchRetry<<min(b.tries, 8)))
		b.flows = c.current(p, b.flows, b.release)
		if len(b.flows) > 0 {
			c.emit(Count{ReasonBatchRetry})
			c.sendBatch(p, b)
		}
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(b batch) bool { return len(b.flows) == 0 })
}

func (c *Core) onAck(from model.NodeID, seq uint64) {
	if p := c.peers[from]; p != nil {
		p.inflight = slices.DeleteFunc(p.inflight, func(b batch) bool { return b.seq == seq })
	}
}
