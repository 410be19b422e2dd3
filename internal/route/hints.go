package route

import (
	"math/bits"
	"time"
	"unsafe"
)

// hintWays is the number of entries of a set: 8 hints of 24 bytes fill three cache lines.
const hintWays = 8

const hintSize = int(unsafe.Sizeof(hint{}))

// noHolder as the holder of a hint means that no candidate of the lookup held the flow.
const noHolder = 0

// hint names the holder of a flow. It stores hashes instead of the flow and the holder's ID: if
// two flows collide, one of them takes an extra hop. The holder is looked up among the targets of
// the packet's own service, so a collision never sends a packet to another service.
type hint struct {
	flow    uint64        // hash of the flow; 0 if the entry is empty
	holder  uint64        // hash of the NodeID, or noHolder
	learned time.Duration // see hintTable.time; 0 if the entry is empty
}

// hintTable is a set-associative table of fixed size.
type hintTable struct {
	entries []hint
	sets    uint64
	origin  time.Time // of the first hint
}

// newHintTable returns a table for capacity flows. It has 1.5 entries for each flow, so that few
// sets overflow.
func newHintTable(capacity int) hintTable {
	sets := max(1, (capacity+capacity/2+hintWays-1)/hintWays)
	return hintTable{entries: make([]hint, sets*hintWays), sets: uint64(sets)}
}

// set returns the set that a flow's hint is stored in.
func (t *hintTable) set(flow uint64) []hint {
	i, _ := bits.Mul64(flow, t.sets) // scales the hash to the number of sets
	return t.entries[i*hintWays : (i+1)*hintWays]
}

// get returns the hint for a flow, or nil.
func (t *hintTable) get(flow uint64) *hint {
	set := t.set(flow)
	for i := range set {
		if set[i].flow == flow && flow != 0 {
			return &set[i]
		}
	}
	return nil
}

// time returns a time as it is stored in hints, at least 1 for the time of a hint.
func (t *hintTable) time(now time.Time) time.Duration { return now.Sub(t.origin) + 1 }

// put stores the hint for a flow. It replaces the flow's previous hint, else an empty entry, else
// the oldest hint of the set.
func (t *hintTable) put(flow, holder uint64, now time.Time) {
	if t.origin.IsZero() {
		t.origin = now
	}
	set := t.set(flow)
	victim := &set[0]
	for i := range set {
		switch h := &set[i]; {
		case h.flow == flow:
			victim = h
		case victim.flow != flow && h.learned < victim.learned:
			victim = h // an empty entry is older than any hint
		}
	}
	*victim = hint{flow: flow, holder: holder, learned: t.time(now)}
}

// remove deletes the hint for a flow.
func (t *hintTable) remove(flow uint64) {
	if h := t.get(flow); h != nil {
		*h = hint{}
	}
}
