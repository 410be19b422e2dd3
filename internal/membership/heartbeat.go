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
func (s *heartbeatSender) recordChanged() {
	s.self.Seq++
	s.recordAcked = false
	s.nextSeedAt = time.Time{}
	for _, obs := range s.observers {
		obs.hasRecord, obs.sentAt = false, time.Time{}
	}
}

// selectObservers selects the highest-ranked candidates as observers until enough of
// them are reachable: for each unreachable one it adds the next by rank.
func (s *heartbeatSender) selectObservers(now time.Time, cands []gossip.Peer) {
	key := observeKey(s.self.ID)
	var observers []*observerPeer
	reachable := 0
	for _, i := range gossip.Top(nil, key, cands, maxObservers) {
		if reachable == observerCount {
			break
		}
		obs := s.observer(cands[i].ID)
		if obs == nil {
			obs = &observerPeer{addedAt: now}
		}
		obs.peer = cands[i]
		observers = append(observers, obs)
		if !s.unreachable(now, obs) {
			reachable++
		}
	}
	s.observers = observers
}

// maxObservers limits the number of observers while many are unreachable.
const maxObservers = 16

func observeKey(id model.NodeID) uint64 { return model.HashString("observe/" + string(id)) }

func (s *heartbeatSender) unreachable(now time.Time, obs *observerPeer) bool {
	return now.Sub(obs.addedAt) > s.intervals.HeartbeatTimeout && now.Sub(obs.ackedAt) > s.intervals.HeartbeatTimeout
}

// reachableObservers counts the observers that acknowledged a heartbeat within the
// heartbeat timeout.
func (s *heartbeatSender) reachableObservers(now time.Time) int {
	n := 0
	for _, obs := range s.observers {
		if !obs.ackedAt.IsZero() && now.Sub(obs.ackedAt) <= s.intervals.HeartbeatTimeout {
			n++
		}
	}
	return n
}

func (s *heartbeatSender) observer(id model.NodeID) *observerPeer {
	for _, obs := range s.observers {
		if obs.peer.ID == id {
			return obs
		}
	}
	return nil
}

func (s *heartbeatSender) heartbeat(now time.Time, full bool, digest uint64) message.Heartbeat {
	hb := message.Heartbeat{Incarnation: s.self.Incarnation, Seq: s.self.Seq, SliceDigest: digest, FileRev: s.fileRev, Load: s.load}
	if full {
		hb.Member = s.self.Sent(now)
	}
	return hb
}

// tick returns the heartbeats that are due.
func (s *heartbeatSender) tick(now time.Time) []Action {
	var out []Action
	for _, obs := range s.observers {
		regular := !now.Before(obs.nextAt)
		retry := obs.awaitingAck && now.Sub(obs.sentAt) >= ackTimeout
		announce := !s.recordAcked && now.Sub(obs.sentAt) >= announceInterval
		if !regular && !retry && !announce {
			continue
		}
		if regular {
			obs.nextAt = now.Add(s.intervals.HeartbeatInterval)
		}
		obs.awaitingAck = regular
		obs.sentAt = now
		out = append(out, Send{To: obs.peer.ID, Addr: obs.peer.Addr, Msg: s.heartbeat(now, !obs.hasRecord, obs.digest)})
	}
	return append(out, s.tickSeeds(now)...)
}

// tickSeeds sends heartbeats to seeds while no observer is reachable.
func (s *heartbeatSender) tickSeeds(now time.Time) []Action {
	if len(s.seeds) == 0 || now.Before(s.nextSeedAt) || s.reachableObservers(now) > 0 {
		return nil
	}
	s.nextSeedAt = now.Add(s.intervals.HeartbeatInterval)
	if !s.recordAcked {
		s.nextSeedAt = now.Add(announceInterval)
	}
	var out []Action
	for range min(observerCount, len(s.seeds)) {
		addr := s.seeds[s.seedIndex%len(s.seeds)]
		s.seedIndex++
		out = append(out, Send{Addr: addr, Msg: s.heartbeat(now, true, 0)})
	}
	return out
}

// handleAck handles an observer's answer. It returns true if the node's record had
// to be raised above the version that the observer has.
func (s *heartbeatSender) handleAck(now time.Time, from model.NodeID, ack message.HeartbeatAck) (raised bool) {
	obs := s.observer(from)
	if obs != nil {
		obs.ackedAt, obs.awaitingAck = now, false
	}
	inc := ack.Incarnation
	if inc == 0 {
		inc = s.self.Incarnation
	}
	if ack.State != 0 && s.supersede(inc, ack.Seq, ack.State) {
		return true
	}
	current := ack.State != 0 && inc == s.self.Incarnation && ack.Seq == s.self.Seq
	if obs != nil {
		obs.hasRecord = current
	}
	s.recordAcked = s.recordAcked || current
	return false
}

// handleSuperseded handles the notice that a peer has accepted a higher incarnation of
// this node. It returns true if the incarnation had to be raised above it.
func (s *heartbeatSender) handleSuperseded(m message.Superseded) (raised bool) {
	return m.Incarnation > s.self.Incarnation && s.supersede(m.Incarnation, 0, model.StateActive)
}

// supersede raises the node's record above a version known to peers if that version
// is from another process of the node, or has it as suspect or gone. It reports
// whether the record was raised.
func (s *heartbeatSender) supersede(inc model.Incarnation, seq uint64, state model.State) bool {
	self := &s.self
	switch {
	case inc > self.Incarnation:
		self.Incarnation = inc + 1
	case inc < self.Incarnation || seq < self.Seq:
		return false
	case seq == self.Seq && state <= max(self.State, model.StateLeaving):
		return false
	}
	self.Seq = max(seq, self.Seq)
	s.recordChanged()
	return true
}
