// Package flowtable is a baseline strategy: a per-balancer table that maps each
// flow to its target. Entries are not shared with other balancers.
package flowtable

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Table maps a bounded number of flows to targets. When it is full, a new flow
// replaces the oldest one.
type Table struct {
	targets map[model.Flow]model.NodeID
	ring    []model.Flow // in order of assignment
	next    int          // index of the oldest flow once the ring is full
	limit   int
}

// New returns a table for at most limit flows.
func New(limit int) *Table {
	return &Table{targets: make(map[model.Flow]model.NodeID), limit: max(limit, 1)}
}

// Target returns the target of a flow.
func (t *Table) Target(f model.Flow) (model.NodeID, bool) {
	id, ok := t.targets[f]
	return id, ok
}

// Assign sets the target of a flow.
func (t *Table) Assign(f model.Flow, id model.NodeID) {
	if _, ok := t.targets[f]; !ok {
		if len(t.ring) < t.limit {
			t.ring = append(t.ring, f)
		} else {
			delete(t.targets, t.ring[t.next])
			t.ring[t.next] = f
			t.next = (t.next + 1) % t.limit
		}
	}
	t.targets[f] = id
}

// RemoveTarget removes all flows of a target. It scans the whole table.
func (t *Table) RemoveTarget(id model.NodeID) {
	kept := make([]model.Flow, 0, len(t.ring))
	for i := range t.ring {
		f := t.ring[(t.next+i)%len(t.ring)]
		if t.targets[f] == id {
			delete(t.targets, f)
		} else {
			kept = append(kept, f)
		}
	}
	t.ring, t.next = kept, 0
}

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.targets) }
