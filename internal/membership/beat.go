package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// beater sends a node's heartbeats to its observers.
type beater struct {
	self    model.Member
	iv      Intervals
	seeds   []netip.AddrPort
	targets []*target
	load    model.Load
	fileRev uint64

	acked    bool      // some observer has the current record
	seedNext time.Time // next heartbeat to seeds
	seedTurn int
}

// target is one observer.
type target struct {
	peer    gossip.Peer
	since   time.Time
	next    time.Time // regular heartbeat
	sent    time.Time
	ackAt   time.Time
	waiting bool // the last heartbeat is neither acknowledged nor sent again
	known   bool // the observer has the current record
	digest  uint64
}

func newBeater(opt Options) beater {
	self := opt.Self
	self.Incarnation = max(self.Incarnation, 1)
	self.Seq = max(self.Seq, 1)
	self.State = max(self.State, model.StateActive)
	seeds := slices.DeleteFunc(slices.Clone(opt.Seeds), func(a netip.AddrPort) bool { return a == self.PeerAddr })
	return beater{self: self, iv: opt.Intervals, seeds: seeds}
}

// changed starts the announcement of a changed record.
func (b *beater) changed() {
	b.self.Seq++
	b.acked = false
	b.seedNext = time.Time{}
	for _, t := range b.targets {
		t.known, t.sent = false, time.Time{}
	}
}

// observers sets the targets to the best of cands that answer, and adds the
// next by rank for each that is silent.
func (b *beater) observers(now time.Time, cands []gossip.Peer) {
	key := observeKey(b.self.ID)
	var targets []*target
	good := 0
	for _, i := range gossip.Top(nil, key, cands, maxTargets) {
		if good == observerNum {
			break
		}
		t := b.target(cands[i].ID)
		if t == nil {
			t = &target{since: now}
		}
		t.peer = cands[i]
		targets = append(targets, t)
		if !b.silent(now, t) {
			good++
		}
	}
	b.targets = targets
}

// maxTargets bounds the balancers that get heartbeats while many are silent.
const maxTargets = 16

func observeKey(id model.NodeID) uint64 { return model.HashString("observe/" + string(id)) }

func (b *beater) silent(now time.Time, t *target) bool {
	return now.Sub(t.since) > b.iv.Miss && now.Sub(t.ackAt) > b.iv.Miss
}

// answering counts the observers that acknowledged a heartbeat lately.
func (b *beater) answering(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		if !t.ackAt.IsZero() && now.Sub(t.ackAt) <= b.iv.Miss {
			n++
		}
	}
	return n
}

func (b *beater) target(id model.NodeID) *target {
	for _, t := range b.targets {
		if t.peer.ID == id {
			return t
		}
	}
	return nil
}

func (b *beater) heartbeat(full bool, digest uint64) message.Heartbeat {
	hb := message.Heartbeat{Incarnation: b.self.Incarnation, Seq: b.self.Seq, SliceDigest: digest, FileRev: b.fileRev, Load: b.load}
	if full {
		hb.Member = b.self
	}
	return hb
}

// tick returns the heartbeats that are due.
func (b *beater) tick(now time.Time) []Action {
	var out []Action
	for _, t := range b.targets {
		regular := !now.Before(t.next)
		again := t.waiting && now.Sub(t.sent) >= ackTimeout
		fast := !b.acked && now.Sub(t.sent) >= fastRetry
		if !regular && !again && !fast {
			continue
		}
		if regular {
			t.next = now.Add(b.iv.Heartbeat)
		}
		t.waiting = regular
		t.sent = now
		out = append(out, Send{To: t.peer.ID, Addr: t.peer.Addr, Msg: b.heartbeat(!t.known, t.digest)})
	}
	return append(out, b.tickSeeds(now)...)
}

// tickSeeds announces the node to seeds while no observer answers.
func (b *beater) tickSeeds(now time.Time) []Action {
	if len(b.seeds) == 0 || now.Before(b.seedNext) || b.answering(now) > 0 {
		return nil
	}
	b.seedNext = now.Add(b.iv.Heartbeat)
	if !b.acked {
		b.seedNext = now.Add(fastRetry)
	}
	var out []Action
	for range min(observerNum, len(b.seeds)) {
		addr := b.seeds[b.seedTurn%len(b.seeds)]
		b.seedTurn++
		out = append(out, Send{Addr: addr, Msg: b.heartbeat(true, 0)})
	}
	return out
}

// ack handles an observer's answer and reports whether the record had to be
// raised above what the observer knows.
func (b *beater) ack(now time.Time, from model.NodeID, ack message.HeartbeatAck) (raised bool) {
	t := b.target(from)
	if t != nil {
		t.ackAt, t.waiting = now, false
	}
	inc := ack.Incarnation
	if inc == 0 {
		inc = b.self.Incarnation
	}
	if ack.State != 0 && b.outdated(inc, ack.Seq, ack.State) {
		return true
	}
	current := ack.State != 0 && inc == b.self.Incarnation && ack.Seq == b.self.Seq
	if t != nil {
		t.known = current
	}
	b.acked = b.acked || current
	return false
}

// outdated raises the own record above a version known to others that did not
// come from this life of the node, or that says it is suspect or gone.
func (b *beater) outdated(inc model.Incarnation, seq uint64, state model.State) bool {
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
	b.changed()
	return true
}
