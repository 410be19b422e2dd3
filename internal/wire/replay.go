package wire

import (
	"sync"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// ControlWindow is the size of the replay window of a sender's control messages,
	// in sequences below the highest accepted one. Delays within and between data
	// centres differ by up to 40 ms, so it admits 25,600 messages a second.
	ControlWindow = 1024
	// ForwardWindow is the size of the replay window of a sender's forwarded packets.
	// A balancer sends some thousand packets a second to one agent (200 within 40 ms
	// at 5,000/s). The window is large enough even if all 100,000 packets a second of
	// a balancer go to one agent (4,000 within 40 ms).
	ForwardWindow = 4096
	// UnaddressedWindow is the size of the replay window of a sender's messages
	// without a recipient, which go to seeds; a node sends at most 20 a second.
	UnaddressedWindow = 64

	wordBits = 64
	// One word more than the window, so that clearing the newest word does not
	// clear a sequence within the window.
	controlWords     = ControlWindow/wordBits + 1
	forwardWords     = ForwardWindow/wordBits + 1
	unaddressedWords = UnaddressedWindow/wordBits + 1

	replayShards = 16 // more than the goroutines that open messages at once
)

// replayTable records the accepted sequences of a bounded number of senders. When
// it is full, the clock algorithm evicts a sender without recent messages. A
// message of an evicted sender can be replayed once. This is acceptable because
// only senders with a key enter the table and the records in messages have their
// own sequences.
type replayTable struct {
	shards [replayShards]replayShard
}

type replayShard struct {
	mu      sync.Mutex
	byID    map[model.NodeID]*sender
	ring    []*sender // in insertion order, for the clock algorithm
	hand    int       // index in ring of the next eviction candidate
	limit   int
	evicted uint64
}

type sender struct {
	id          model.NodeID
	incarnation model.Incarnation
	referenced  bool // a message was received since the hand last passed
	highest     [numStreams]uint64
	control     [controlWords]uint64
	unaddressed [unaddressedWords]uint64
	forward     *[forwardWords]uint64 // nil until the sender forwards a packet
}

func newReplayTable(limit int) *replayTable {
	t := &replayTable{}
	for i := range t.shards {
		t.shards[i].byID = make(map[model.NodeID]*sender)
		t.shards[i].limit = (limit + replayShards - 1) / replayShards
	}
	return t
}

// accept records a sequence, or returns the reason why the message must be
// dropped. It returns the stored node id of the sender, so that a known id is not
// allocated again.
func (t *replayTable) accept(senderID []byte, inc model.Incarnation, st stream, seq uint64) (model.NodeID, error) {
	s := &t.shards[model.HashString(string(senderID))%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.byID[model.NodeID(senderID)]
	if from == nil {
		from = s.insert(model.NodeID(senderID))
		from.incarnation = inc
	} else {
		// Not set by a sender's first message: if every sender were referenced, a
		// regular sender would be evicted as soon as one that sent a single message.
		from.referenced = true
	}
	switch {
	case inc < from.incarnation:
		return "", ErrStale
	case inc > from.incarnation:
		*from = sender{id: from.id, incarnation: inc, referenced: true}
	}
	if !from.recordSequence(st, seq) {
		return "", ErrReplay
	}
	return from.id, nil
}

// incarnation returns a sender's stored node id and highest accepted incarnation.
func (t *replayTable) incarnation(senderID []byte) (model.NodeID, model.Incarnation) {
	s := &t.shards[model.HashString(string(senderID))%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if from := s.byID[model.NodeID(senderID)]; from != nil {
		return from.id, from.incarnation
	}
	return "", 0
}

// insert adds a sender and evicts another one if the shard is full.
func (s *replayShard) insert(id model.NodeID) *sender {
	if len(s.ring) < s.limit {
		from := &sender{id: id}
		s.ring = append(s.ring, from)
		s.byID[id] = from
		return from
	}
	for s.ring[s.hand].referenced {
		s.ring[s.hand].referenced = false
		s.hand = (s.hand + 1) % len(s.ring)
	}
	from := s.ring[s.hand]
	s.hand = (s.hand + 1) % len(s.ring)
	delete(s.byID, from.id)
	s.evicted++
	*from = sender{id: id}
	s.byID[id] = from
	return from
}

// recordSequence records a sequence of a stream and reports whether it is
// acceptable: new and not below the window.
func (f *sender) recordSequence(st stream, seq uint64) bool {
	bits := f.control[:]
	switch st {
	case streamForward:
		if f.forward == nil {
			f.forward = new([forwardWords]uint64)
		}
		bits = f.forward[:]
	case streamUnaddressed:
		bits = f.unaddressed[:]
	}
	return recordInWindow(bits, &f.highest[st], seq)
}

// recordInWindow records a sequence in the window kept in bits, which has one word
// more than the window.
func recordInWindow(bits []uint64, highest *uint64, seq uint64) bool {
	words := uint64(len(bits))
	window := (words - 1) * wordBits
	if seq == 0 || *highest >= window && seq <= *highest-window {
		return false
	}
	word := seq / wordBits
	if top := *highest / wordBits; word > top {
		for w := top + 1; w <= word && w <= top+words; w++ {
			bits[w%words] = 0
		}
	}
	*highest = max(*highest, seq)
	bit := uint64(1) << (seq % wordBits)
	if bits[word%words]&bit != 0 {
		return false
	}
	bits[word%words] |= bit
	return true
}

func (t *replayTable) stats() (tracked int, evicted uint64) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		tracked += len(s.ring)
		evicted += s.evicted
		s.mu.Unlock()
	}
	return tracked, evicted
}
