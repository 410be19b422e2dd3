package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// flushDelay is the time for which flows are queued to fill a batch: most of the
	// cost of a small batch is its envelope and acknowledgement. It must be much
	// shorter than tentativeTTL. Flows queued by a rescan are not delayed. Releases
	// are delayed longer, because a late release costs only a hop.
	flushDelay        = 2 * time.Second
	releaseFlushDelay = 6 * time.Second
	// batchBytes leaves room for the envelope in a datagram of 1,400 bytes.
	// flowBytes4 and flowBytes6 estimate an encoded flow.
	batchBytes = 1100
	flowBytes4 = 48
	flowBytes6 = 96
	// maxInflight bounds the unacknowledged batches of one home.
	maxInflight = 8
	// The delay between the sends of a batch doubles from firstBatchRetry to
	// maxBatchRetry. Retries above batchRetryRate per second are postponed.
	firstBatchRetry = 300 * time.Millisecond
	maxBatchRetry   = 2400 * time.Millisecond
	batchRetryRate  = 32
	// maxReleaseAttempts bounds the sends of a batch of releases. The entry of a flow
	// that was not released is removed when its former holder returns a packet.
	maxReleaseAttempts = 8
	// maxReleases bounds the releases queued for one home.
	maxReleases = 8192
	// rescanChunk is the number of slots of held flows checked at each Tick. A rescan
	// of 32,500 flows takes 1.7 s, which is within the settle time.
	rescanChunk = 1000
	// warmupRescanInterval is the time between rescans while a target warms up.
	warmupRescanInterval = time.Second
)

// peer is another agent of the service.
type peer struct {
	id  model.NodeID
	inc model.Incarnation

	toRegister    []model.Flow
	toRelease     []model.Flow
	registerSince time.Time // start of the flush delay of toRegister; zero after a rescan
	releaseSince  time.Time // start of the flush delay of toRelease
	inflight      []batch

	loadKnown      bool       // a load report was received
	load           model.Load // of the last load report
	loadReceivedAt time.Time
	expectedFlows  float64 // flows assumed to be handed over to the peer since that report

	lastReport   model.Load // last report sent to the peer
	lastReportAt time.Time
}

// batch is a FlowRegister or FlowRelease that has not been acknowledged.
type batch struct {
	seq     uint64
	release bool
	flows   []model.Flow
	retries int
	retryAt time.Time
}

// updatePeers sets the peers to the members of the view. The state of a peer is reset
// when its incarnation changes.
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

// registerHomes returns the homes with which holder registers a flow: the first
// two other than the holder itself. The slice is valid until the next call.
func (c *Core) registerHomes(now time.Time, hash uint64, holder model.NodeID) []model.NodeID {
	c.homesBuf = c.table.AppendHomes(c.homesBuf[:0], now, hash, 3)
	c.homesBuf = slices.DeleteFunc(c.homesBuf, func(id model.NodeID) bool { return id == holder })
	return c.homesBuf[:min(2, len(c.homesBuf))]
}

// registerFlow queues a held flow for registration with its homes that do not have it
// yet. No release is sent to a former home, whose entry expires (see sweepExceptions).
func (c *Core) registerFlow(now time.Time, f model.Flow, hash uint64) {
	h := c.held.get(hash, f)
	var next [2]registration
	for i, id := range c.registerHomes(now, hash, c.opt.Self) {
		p := c.peers[id]
		next[i] = registration{id: id, inc: p.inc}
		if j := slices.IndexFunc(h.homes[:], func(r registration) bool { return r.id == id && r.inc == p.inc }); j >= 0 {
			next[i] = h.homes[j]
			continue
		}
		if len(p.toRegister) == 0 {
			p.registerSince = now
		}
		p.toRegister = append(p.toRegister, f)
	}
	h.homes = next
}

// rescan registers held flows with homes that are new because of a view change, a
// warm-up step or the restart of a home. Each call checks up to rescanChunk slots.
func (c *Core) rescan(now time.Time) {
	if c.rescanPos < 0 {
		if now.Sub(c.rescanStarted) < warmupRescanInterval || !c.table.WarmingUp(now) {
			return
		}
		c.rescanPos, c.rescanStarted = 0, now
	}
	for range rescanChunk {
		if c.rescanPos >= len(c.held.slots) {
			c.rescanPos = -1
			for _, p := range c.peerOrder {
				p.registerSince = time.Time{}
			}
			return
		}
		if s := &c.held.slots[c.rescanPos]; s.used {
			c.registerFlow(now, s.flow, s.flow.Hash())
		}
		c.rescanPos++
	}
}

// registerAgain registers all held flows anew. The homes drop entries of an earlier
// incarnation of the holder.
func (c *Core) registerAgain(now time.Time) {
	for i := range c.held.slots {
		if s := &c.held.slots[i]; s.used {
			s.value.homes = [2]registration{}
		}
	}
	c.rescanPos, c.rescanStarted = 0, now
}

func (c *Core) queueRelease(r registration, f model.Flow) {
	p := c.peers[r.id]
	if p == nil || p.inc != r.inc {
		return
	}
	if len(p.toRelease) >= maxReleases {
		c.emit(Count{ReasonReleaseLost})
		return
	}
	if len(p.toRelease) == 0 {
		p.releaseSince = c.lastTick
	}
	p.toRelease = append(p.toRelease, f)
}

func (c *Core) tickBatches(now time.Time) {
	for _, p := range c.peerOrder {
		c.retryBatches(now, p)
		for len(p.inflight) < maxInflight && c.sendNextBatch(now, p, false) {
		}
		for len(p.inflight) < maxInflight && c.sendNextBatch(now, p, true) {
		}
	}
}

// sendNextBatch sends one batch if it is full or its flows have been queued for the
// flush delay. It reports whether it removed flows from the queue.
func (c *Core) sendNextBatch(now time.Time, p *peer, release bool) bool {
	queue, since, delay := &p.toRegister, p.registerSince, flushDelay
	if release {
		queue, since, delay = &p.toRelease, p.releaseSince, releaseFlushDelay
	}
	n, size := 0, 0
	for n < len(*queue) && size < batchBytes {
		size += flowBytes((*queue)[n])
		n++
	}
	if n == 0 || size < batchBytes && now.Sub(since) < delay {
		return false
	}
	flows := c.stillNeeded(p, (*queue)[:n:n], release)
	*queue = (*queue)[n:]
	if len(*queue) == 0 {
		*queue = nil
	}
	if len(flows) > 0 {
		c.nextSeq++
		b := batch{seq: c.nextSeq, release: release, flows: flows, retryAt: now.Add(firstBatchRetry)}
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

// stillNeeded returns the flows of a batch that still have to be sent: for a
// registration, held flows with the peer among their homes; for a release, flows
// that this agent has not opened again.
func (c *Core) stillNeeded(p *peer, flows []model.Flow, release bool) []model.Flow {
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
		if b.release && b.retries+1 >= maxReleaseAttempts && !now.Before(b.retryAt) {
			c.emit(Count{ReasonReleaseLost})
			return true
		}
		return false
	})
	for i := range p.inflight {
		b := &p.inflight[i]
		if now.Before(b.retryAt) {
			continue
		}
		if !c.retryBudget.take(now) {
			return
		}
		b.retries++
		b.retryAt = now.Add(min(maxBatchRetry, firstBatchRetry<<min(b.retries, 8)))
		b.flows = c.stillNeeded(p, b.flows, b.release)
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
