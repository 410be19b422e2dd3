package wire

import (
	"sync"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// Window is the number of sequences below the highest one of a sender's
	// control messages of which each is accepted once. Delays within and between
	// data centres differ by up to 40 ms, so it admits 25,600 messages a second.
	Window = 1024
	// ForwardWindow is the same for packets. A balancer sends some thousand packets
	// a second to one agent, 200 within 40 ms at 5,000; it must not drop packets
	// when all of its 100,000 a second go to one agent, 4,000 within 40 ms.
	ForwardWindow = 4096
	// UnaddressedWindow is the same for messages to seeds, of which a node sends at
	// most 20 a second.
	UnaddressedWindow = 64

	wordBits = 64
	// One word more than the window, so that clearing the newest word never
	// forgets a sequence within it.
	windowWords      = Window/wordBits + 1
	forwardWords     = ForwardWindow/wordBits + 1
	unaddressedWords = UnaddressedWindow/wordBits + 1

	replayShards = 16 // fewer goroutines than that open messages at once
)

// replayTable remembers the sequences of a bounded number of senders. When it is
// full, a sender that was quiet since the last search is forgotten. A message of
// a forgotten sender can be replayed once; only senders with a key fill the
// table, and records in messages carry a sequence of their own.
type replayTable struct {
	shards [replayShards]replayShard
}

type replayShard struct {
	mu      sync.Mutex
	byID    map[model.NodeID]*sender
	ring    []*sender // in order of arrival, for the search
	hand    int
	limit   int
	evicted uint64
}

type sender struct {
	id          model.NodeID
	incarnation model.Incarnation
	active      bool // heard again since the search passed it
	highest     [streams]uint64
	control     [windowWords]uint64
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

// accept records a sequence or tells why the message must be dropped. It returns
// the sender's name as remembered, so that a known one is not allocated again.
func (t *replayTable) accept(name []byte, inc model.Incarnation, st stream, seq uint64) (model.NodeID, error) {
	s := &t.shards[model.HashString(string(name))%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.byID[model.NodeID(name)]
	if from == nil {
		from = s.add(model.NodeID(name))
		from.incarnation = inc
	} else {
		// Not for the first message: if all were active, the search would
		// forget a steady sender as soon as one that passes by.
		from.active = true
	}
	switch {
	case inc < from.incarnation:
		return "", ErrStale
	case inc > from.incarnation:
		*from = sender{id: from.id, incarnation: inc, active: true}
	}
	if !from.mark(st, seq) {
		return "", ErrReplay
	}
	return from.id, nil
}

// add makes room for a sender and adds it.
func (s *replayShard) add(id model.NodeID) *sender {
	if len(s.ring) < s.limit {
		from := &sender{id: id}
		s.ring = append(s.ring, from)
		s.byID[id] = from
		return from
	}
	for s.ring[s.hand].active {
		s.ring[s.hand].active = false
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

// mark records a sequence of a stream and reports whether it is new.
func (f *sender) mark(st stream, seq uint64) bool {
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
	return mark(bits, &f.highest[st], seq)
}

// mark records a sequence in a window of one word less than bits.
func mark(bits []uint64, highest *uint64, seq uint64) bool {
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

func (t *replayTable) stats() (held int, evicted uint64) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		held += len(s.ring)
		evicted += s.evicted
		s.mu.Unlock()
	}
	return held, evicted
}
