package wire

import (
	"sync/atomic"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// stream is a group of messages from one sender to one recipient that has its
// own sequences and replay window. Without it, the packets of a burst would move
// the window past a control message that was sent before them.
type stream uint8

const (
	streamControl stream = iota
	streamForward
	streamUnaddressed // to seeds; all its recipients share the sequences
	streams
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

// sequences counts what was sent on each stream. Streams whose hash is equal
// share a counter: each then skips sequences, but never repeats one. So the size
// is fixed, and no recipient is forgotten and started again.
type sequences []atomic.Uint64

// next returns the next sequence of a stream. Sequences start at 1.
func (s sequences) next(to model.NodeID, st stream) uint64 {
	return s.counter(to, st).Add(1)
}

func (s sequences) counter(to model.NodeID, st stream) *atomic.Uint64 {
	return &s[model.Mix(model.HashString(string(to))+uint64(st))%uint64(len(s))]
}
