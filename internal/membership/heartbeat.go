package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// heartbeatSender sends a node's heartbeats to its observers.
type heartbeatSender struct {
	self      model.Member
	intervals Intervals
	seeds     []netip.AddrPort
	observers []*observerPeer
	load      model.Load
	fileRev   uint64

	recordAcked bool      // at least one observer has the current record
	nextSeedAt  time.Time // next heartbeat to seeds
	seedIndex   int
}

// observerPeer is a balancer that observes this node.
type observerPeer struct {
	peer        gossip.Peer
	addedAt     time.Time
	nextAt      time.Time // next regular heartbeat
	sentAt      time.Time
	ackedAt     time.Time
	awaitingAck bool   // the last heartbeat is neither acknowledged nor resent
	hasRecord   bool   // the observer has the current record
	digest      uint64 // of the last slice that the observer sent; 0 requests a whole slice
}

func newHeartbeatSender(opt Options) heartbeatSender {
	self := opt.Self
	self.Incarnation = max(self.Incarnation, 1)
	self.Seq = max(self.Seq, 1)
	self.State = max(self.State, model.StateActive)
	seeds := slices.DeleteFunc(slices.Clone(opt.Seeds), func(a netip.AddrPort) bool { return a == self.PeerAddr })
	return heartbeatSender{self: self, intervals: opt.Intervals, seeds: seeds}
}

// recordChanged raises the sequence; the next ticks send the changed record to all
// observers.
func (b *heartbeatSender) recordChanged() {
	b.self.Seq++
	b.recordAcked = false
	b.nextSeedAt = time.Time{}
	for _, t := range b.observers {
		t.hasRecord, t.sentAt = false, time.Time{}
	}
}

// selectObservers selects the highest-ranked candidates as observers until enough of
// them are reachable: for each unreachable one it adds the next by rank.
func (b *heartbeatSender) selectObservers(now time.Time, cands []gossip.Peer) {
	key := observeKey(b.self.ID)
	var observers []*observerPeer
	reachable := 0
	for _, i := range gossip.Top(nil, key, cands, maxObservers) {
		if reachable == observerCount {
			break
		}
		t := b.observer(cands[i].ID)
		if t == nil {
			t = &observerPeer{addedAt: now}
		}
		t.peer = cands[i]
		observers = append(observers, t)
		if !b.unreachable(now, t) {
			reachable++
		}
	}
	b.observers = observers
}

// maxObservers limits the number of observers while many are unreachable.
const maxObservers = 16

func observeKey(id model.NodeID) uint64 { return model.HashString("observe/" + string(id)) }

func (b *heartbeatSender) unreachable(now time.Time, t *observerPeer) bool {
	return now.Sub(t.addedAt) > b.intervals.HeartbeatTimeout && now.Sub(t.ackedAt) > b.intervals.HeartbeatTimeout
}

// reachableObservers counts the observers that acknowledged a heartbeat within the
// heartbeat timeout.
func (b *heartbeatSender) reachableObservers(now time.Time) int {
	n := 0
	for _, t := range b.observers {
		if !t.ackedAt.IsZero() && now.Sub(t.ackedAt) <= b.intervals.HeartbeatTimeout {
			n++
		}
	}
	return n
}

func (b *heartbeatSender) observer(id model.NodeID) *observerPeer {
	for _, t := range b.observers {
		if t.peer.ID == id {
			return t
		}
	}
	return nil
}

func (b *heartbeatSender) heartbeat(full bool, digest uint64) message.Heartbeat {
	hb := message.Heartbeat{Incarnation: b.self.Incarnation, Seq: b.self.Seq, SliceDigest: digest, FileRev: b.fileRev, Load: b.load}
	if full {
		hb.Member = b.self
	}
	return hb
}

// tick returns the heartbeats that are due.
func (b *heartbeatSender) tick(now time.Time) []Action {
	var out []Action
	for _, t := range b.observers {
		regular := !now.Before(t.nextAt)
		retry := t.awaitingAck && now.Sub(t.sentAt) >= ackTimeout
		announce := !b.recordAcked && now.Sub(t.sentAt) >= announceInterval
		if !regular && !retry && !announce {
			continue
		}
		if regular {
			t.nextAt = now.Add(b.intervals.HeartbeatInterval)
		}
		t.awaitingAck = regular
		t.sentAt = now
		out = append(out, Send{To: t.peer.ID, Addr: t.peer.Addr, Msg: b.heartbeat(!t.hasRecord, t.digest)})
	}
	return append(out, b.tickSeeds(now)...)
}

// tickSeeds sends heartbeats to seeds while no observer is reachable.
func (b *heartbeatSender) tickSeeds(now time.Time) []Action {
	if len(b.seeds) == 0 || now.Before(b.nextSeedAt) || b.reachableObservers(now) > 0 {
		return nil
	}
	b.nextSeedAt = now.Add(b.intervals.HeartbeatInterval)
	if !b.recordAcked {
		b.nextSeedAt = now.Add(announceInterval)
	}
	var out []Action
	for range min(observerCount, len(b.seeds)) {
		addr := b.seeds[b.seedIndex%len(b.seeds)]
		b.seedIndex++
		out = append(out, Send{Addr: addr, Msg: b.heartbeat(true, 0)})
	}
	return out
}

// handleAck handles an observer's answer. It returns true if the node's record had
// to be raised above the version that the observer has.
func (b *heartbeatSender) handleAck(now time.Time, from model.NodeID, ack message.HeartbeatAck) (raised bool) {
	t := b.observer(from)
	if t != nil {
		t.ackedAt, t.awaitingAck = now, false
	}
	inc := ack.Incarnation
	if inc == 0 {
		inc = b.self.Incarnation
	}
	if ack.State != 0 && b.supersede(inc, ack.Seq, ack.State) {
		return true
	}
	current := ack.State != 0 && inc == b.self.Incarnation && ack.Seq == b.self.Seq
	if t != nil {
		t.hasRecord = current
	}
	b.recordAcked = b.recordAcked || current
	return false
}

// supersede raises the node's record above a version known to peers if that version
// is from another process of the node, or has it as suspect or gone. It reports
// whether the record was raised.
func (b *heartbeatSender) supersede(inc model.Incarnation, seq uint64, state model.State) bool {
	self := &b.self
	switch {
	case inc > self.Incarnation:
		self.Incarnation = inc + 1
	case inc < self.Incarnation || seq < self.Seq:
		return false
	case seq == self.Seq && state <= max(self.State, model.StateLeaving):
		return false
	}
	self.Seq = max(seq, self.Seq)
	b.recordChanged()
	return true
}
