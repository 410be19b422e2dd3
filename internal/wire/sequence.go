package wire

import (
	"sync/atomic"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// stream is a group of messages from one sender to one recipient that has its own
// sequences and replay window. With a single window, a burst of packets would
// advance it past a control message that was sent before them.
type stream uint8

const (
	streamControl stream = iota
	streamForward
	streamUnaddressed // without a recipient, to seeds; all seeds share the sequences
	numStreams
)

func streamOf(addressed bool, k kind) stream {
	switch {
	case !addressed:
		return streamUnaddressed
	case k == kindForward:
		return streamForward
	}
	return streamControl
}

// sequences holds the last sequence sent on each stream. Streams with equal
// hashes share a counter: each of them skips sequences but never repeats one. The
// size is therefore fixed, without evicting a recipient and restarting its
// sequences.
type sequences []atomic.Uint64

// next returns the next sequence of a stream. Sequences start at 1.
func (s sequences) next(to model.NodeID, st stream) uint64 {
	return s.counter(to, st).Add(1)
}

func (s sequences) counter(to model.NodeID, st stream) *atomic.Uint64 {
	return &s[model.Mix(model.HashString(string(to))+uint64(st))%uint64(len(s))]
}
