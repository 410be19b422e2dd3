package gossip

import (
	"math"
	"time"
)

// Numbers of the epidemic.
const (
	// FlushInterval is the shortest time between two sends of queued updates.
	FlushInterval = 100 * time.Millisecond
	// fanout is the number of random peers that get each batch.
	fanout = 3
	// relayRounds is how often a relay sends an update to each other data centre.
	// Three relays with two rounds lose an update at 5% loss with probability 2e-8.
	relayRounds = 2
	// DatagramBudget bounds the entries of one message, in bytes.
	DatagramBudget = 48 << 10
)

// Rounds returns how often a node sends one update to its random peers. A node
// misses an update that each of n nodes sends 3*r times with probability
// exp(-2.85 r) at 5% loss; r makes the expected number of such nodes 0.01.
func Rounds(n int) int {
	return max(2, int(math.Ceil((math.Log(float64(n))+4.6)/2.85)))
}

// Queue holds updates that this node still has to send.
type Queue[E any] struct {
	size  func(E) int
	items []item[E]      // in order of arrival
	index map[string]int // key to position in items; only for lookups
	last  time.Time
}

type item[E any] struct {
	key    string
	entry  E
	local  int // rounds left in the own data centre
	remote int // rounds left to the other data centres
}

// NewQueue returns an empty queue. size estimates the encoded bytes of an update.
func NewQueue[E any](size func(E) int) *Queue[E] {
	return &Queue[E]{size: size, index: make(map[string]int)}
}

// Add queues an update and replaces an older one of the same key. crossing
// updates are also sent to the other data centres if the node is a relay.
func (q *Queue[E]) Add(key string, e E, peers *Peers, crossing bool) {
	it := item[E]{key: key, entry: e, local: Rounds(len(peers.Local()) + 1)}
	if crossing && peers.IsRelay() {
		it.remote = relayRounds
	}
	if i, ok := q.index[key]; ok {
		q.items[i] = it
		return
	}
	q.index[key] = len(q.items)
	q.items = append(q.items, it)
}

// Len returns the number of queued updates.
func (q *Queue[E]) Len() int { return len(q.items) }

// Batch is a set of updates for some peers.
type Batch[E any] struct {
	To      []Peer
	Entries []E
}

// Flush returns the batches to send now: nothing if the last flush was less than
// FlushInterval ago.
func (q *Queue[E]) Flush(now time.Time, peers *Peers) []Batch[E] {
	if len(q.items) == 0 || now.Sub(q.last) < FlushInterval {
		return nil
	}
	q.last = now
	var out []Batch[E]
	local := q.take(func(it *item[E]) *int { return &it.local })
	for _, entries := range local {
		if to := peers.Random(fanout); len(to) > 0 {
			out = append(out, Batch[E]{To: to, Entries: entries})
		}
	}
	for _, entries := range q.take(func(it *item[E]) *int { return &it.remote }) {
		var to []Peer
		for _, dc := range peers.Remote() {
			to = append(to, peers.RandomRemote(dc, false)...)
		}
		if len(to) > 0 {
			out = append(out, Batch[E]{To: to, Entries: entries})
		}
	}
	kept := q.items[:0]
	clear(q.index)
	for _, it := range q.items {
		if it.local > 0 || it.remote > 0 {
			q.index[it.key] = len(kept)
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// take uses up one round of each update and returns the updates in batches.
func (q *Queue[E]) take(left func(*item[E]) *int) [][]E {
	var out [][]E
	var batch []E
	used := 0
	for i := range q.items {
		n := left(&q.items[i])
		if *n == 0 {
			continue
		}
		*n--
		size := q.size(q.items[i].entry)
		if used+size > DatagramBudget && len(batch) > 0 {
			out, batch, used = append(out, batch), nil, 0
		}
		batch, used = append(batch, q.items[i].entry), used+size
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}
