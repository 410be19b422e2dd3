package route

import (
	"math/bits"
	"time"
	"unsafe"
)

// hintWays is the number of places that a flow's hint may take: 8 hints of 24
// bytes are three cache lines.
const hintWays = 8

const hintSize = int(unsafe.Sizeof(hint{}))

// notFormer stands for "no former holder holds the flow" in place of a holder.
const notFormer = 0

// hint names the holder of a flow. It keeps hashes instead of the flow and the
// holder's name: when two flows collide, one of them takes a hop more. The
// holder is looked up among the targets of the packet's own service, so a
// collision never sends a packet to another service.
type hint struct {
	flow    uint64 // 0 if the place is empty
	holder  uint64 // hash of the NodeID, or notFormer
	learned int64  // Unix nanoseconds
}

// hintTable is a set-associative table of fixed size.
type hintTable struct {
	places []hint
	sets   uint64
}

// newHintTable returns a table for a number of flows. With half as many places
// again, few sets overflow.
func newHintTable(capacity int) hintTable {
	sets := max(1, (capacity+capacity/2+hintWays-1)/hintWays)
	return hintTable{places: make([]hint, sets*hintWays), sets: uint64(sets)}
}

func (t *hintTable) set(flow uint64) []hint {
	i, _ := bits.Mul64(flow, t.sets) // scales the hash to the number of sets
	return t.places[i*hintWays : (i+1)*hintWays]
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

// put sets the hint for a flow in place of its last one, of none, or of the
// oldest in its set.
func (t *hintTable) put(flow, holder uint64, now time.Time) {
	set := t.set(flow)
	at := &set[0]
	for i := range set {
		switch h := &set[i]; {
		case h.flow == flow:
			at = h
		case at.flow != flow && h.learned < at.learned:
			at = h // an empty place is older than any hint
		}
	}
	*at = hint{flow: flow, holder: holder, learned: now.UnixNano()}
}

// forget removes the hint for a flow.
func (t *hintTable) forget(flow uint64) {
	if h := t.get(flow); h != nil {
		*h = hint{}
	}
}
