package storeclient

import (
	"slices"
	"sync"
	"time"
)

// maxPositions is the number of positions that are remembered: the watches of a few kinds
// over the age that an outdated listing may have.
const maxPositions = 64

// positions remembers when the store was seen at its positions. A listing that may be
// outdated then tells its age by its position. It is safe for concurrent use.
type positions struct {
	mu   sync.Mutex
	seen []seenPosition // in order of positions and times
}

type seenPosition struct {
	at   Position
	asOf time.Time // the store had no later position at this time
}

// record records that the store had no later position than at as of a time.
func (p *positions) record(at Position, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The store was at an earlier position before, so that later times of later positions
	// are known already.
	i, found := slices.BinarySearchFunc(p.seen, at, func(s seenPosition, at Position) int { return s.at.Compare(at) })
	switch {
	case !found:
		p.seen = slices.Insert(p.seen, i, seenPosition{at, asOf})
	case asOf.After(p.seen[i].asOf):
		p.seen[i].asOf = asOf
	}
	if len(p.seen) > maxPositions {
		p.seen = slices.Delete(p.seen, 0, len(p.seen)-maxPositions)
	}
}

// asOf returns the latest time by which everything that the store had accepted is
// contained in the state at a position, zero if it is not known.
func (p *positions) asOf(at Position) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out time.Time
	for _, s := range p.seen {
		if s.at.Compare(at) <= 0 && s.asOf.After(out) {
			out = s.asOf
		}
	}
	return out
}
