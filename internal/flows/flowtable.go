package flows

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// flowTable maps flows to values. Its slots can be iterated by index in a
// deterministic order. A Go map keyed by Flow would store the 72-byte key twice,
// and its order is random.
type flowTable[V any] struct {
	index map[uint64]int32 // hash of the flow to its first slot
	slots []slot[V]
	free  int32 // first free slot, -1 if none
	size  int
}

type slot[V any] struct {
	flow  model.Flow
	value V
	next  int32 // next slot with the same hash, or next free slot; -1 at the end
	used  bool
}

func newFlowTable[V any]() flowTable[V] {
	return flowTable[V]{index: map[uint64]int32{}, free: -1}
}

// get returns the value of f or nil. The pointer is valid until the next put.
func (t *flowTable[V]) get(hash uint64, f model.Flow) *V {
	i, ok := t.index[hash]
	if !ok {
		return nil
	}
	for ; i >= 0; i = t.slots[i].next {
		if t.slots[i].flow == f {
			return &t.slots[i].value
		}
	}
	return nil
}

// put returns the value of f. It inserts a zero value if f is not in the table.
func (t *flowTable[V]) put(hash uint64, f model.Flow) *V {
	if v := t.get(hash, f); v != nil {
		return v
	}
	i := t.free
	if i >= 0 {
		t.free = t.slots[i].next
	} else {
		t.slots = append(t.slots, slot[V]{})
		i = int32(len(t.slots) - 1)
	}
	next, ok := t.index[hash]
	if !ok {
		next = -1
	}
	t.slots[i] = slot[V]{flow: f, next: next, used: true}
	t.index[hash] = i
	t.size++
	return &t.slots[i].value
}

func (t *flowTable[V]) remove(hash uint64, f model.Flow) {
	i, ok := t.index[hash]
	prev := int32(-1)
	for ; ok && i >= 0; prev, i = i, t.slots[i].next {
		if t.slots[i].flow != f {
			continue
		}
		next := t.slots[i].next
		switch {
		case prev >= 0:
			t.slots[prev].next = next
		case next >= 0:
			t.index[hash] = next
		default:
			delete(t.index, hash)
		}
		t.slots[i] = slot[V]{next: t.free}
		t.free = i
		t.size--
		return
	}
}
