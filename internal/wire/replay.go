package wire

import (
	"sync"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// Window is the number of sequences below a sender's highest one of which
	// each is accepted once.
	Window = 1024

	wordBits = 64
	// One word more than the window, so that clearing the newest word never
	// forgets a sequence within it.
	windowWords = Window/wordBits + 1

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
	highest     uint64
	bits        [windowWords]uint64
	active      bool // heard again since the search passed it
}

func newReplayTable(limit int) *replayTable {
	t := &replayTable{}
	for i := range t.shards {
		t.shards[i].byID = make(map[model.NodeID]*sender)
		t.shards[i].limit = (limit + replayShards - 1) / replayShards
	}
	return t
}

// accept records a sequence or tells why the message must be dropped.
func (t *replayTable) accept(id model.NodeID, inc model.Incarnation, seq uint64) error {
	s := &t.shards[model.HashString(string(id))%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.byID[id]
	if from == nil {
		from = s.add(id)
		from.incarnation = inc
	} else {
		// Not for the first message: if all were active, the search would
		// forget a steady sender as soon as one that passes by.
		from.active = true
	}
	switch {
	case inc < from.incarnation:
		return ErrStale
	case inc > from.incarnation:
		*from = sender{id: id, incarnation: inc, active: true}
	}
	if !from.mark(seq) {
		return ErrReplay
	}
	return nil
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

// mark records a sequence and reports whether it is new. Sequences start at 1.
func (f *sender) mark(seq uint64) bool {
	if seq == 0 || f.highest >= Window && seq <= f.highest-Window {
		return false
	}
	word := seq / wordBits
	if top := f.highest / wordBits; word > top {
		for w := top + 1; w <= word && w <= top+windowWords; w++ {
			f.bits[w%windowWords] = 0
		}
	}
	f.highest = max(f.highest, seq)
	bit := uint64(1) << (seq % wordBits)
	if f.bits[word%windowWords]&bit != 0 {
		return false
	}
	f.bits[word%windowWords] |= bit
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
