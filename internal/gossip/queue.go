package gossip

import (
	"math"
	"time"
)

// Parameters of the gossip.
const (
	// FlushInterval is the shortest time between two sends of queued updates.
	FlushInterval = 100 * time.Millisecond
	// fanout is the number of random peers that each batch is sent to.
	fanout = 3
	// relayRounds is the number of times that a relay sends an update to each other
	// data centre. At 5% loss, both rounds of all three relays are lost with
	// probability 2e-8.
	relayRounds = 2
	// DatagramBudget limits the size of the entries of one message, in bytes.
	DatagramBudget = 48 << 10
)

// Rounds returns the number of times that each of n nodes sends one update to
// random peers. With r rounds of 3 peers at 5% loss, a node misses the update with
// probability exp(-2.85 r); r is chosen so that 0.01 nodes are expected to miss it.
func Rounds(n int) int {
	return max(2, int(math.Ceil((math.Log(float64(n))+4.6)/2.85)))
}

// Queue holds the updates that this node still has to send.
type Queue[E any] struct {
	size      func(E) int
	items     []item[E]      // in order of arrival
	index     map[string]int // position in items by key; never iterated
	lastFlush time.Time
}

type item[E any] struct {
	key          string
	entry        E
	localRounds  int // rounds left in the node's data centre
	remoteRounds int // rounds left to the other data centres
}

// NewQueue returns an empty queue. size estimates the encoded size of an update in
// bytes.
func NewQueue[E any](size func(E) int) *Queue[E] {
	return &Queue[E]{size: size, index: make(map[string]int)}
}

// Add queues an update and replaces an older one of the same key. If crossDC is
// set and the node is a relay, the update is also sent to the other data centres.
func (q *Queue[E]) Add(key string, e E, peers *Peers, crossDC bool) {
	it := item[E]{key: key, entry: e, localRounds: Rounds(len(peers.Local()) + 1)}
	if crossDC && peers.IsRelay() {
		it.remoteRounds = relayRounds
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

// Flush returns the batches to send now. It returns none within FlushInterval of
// the last flush.
func (q *Queue[E]) Flush(now time.Time, peers *Peers) []Batch[E] {
	if len(q.items) == 0 || now.Sub(q.lastFlush) < FlushInterval {
		return nil
	}
	q.lastFlush = now
	var out []Batch[E]
	local := q.nextBatches(func(it *item[E]) *int { return &it.localRounds })
	for _, entries := range local {
		if to := peers.RandomLocal(fanout); len(to) > 0 {
			out = append(out, Batch[E]{To: to, Entries: entries})
		}
	}
	for _, entries := range q.nextBatches(func(it *item[E]) *int { return &it.remoteRounds }) {
		var to []Peer
		for _, dc := range peers.RemoteDCs() {
			to = append(to, peers.RandomRemote(dc, false)...)
		}
		if len(to) > 0 {
			out = append(out, Batch[E]{To: to, Entries: entries})
		}
	}
	kept := q.items[:0]
	clear(q.index)
	for _, it := range q.items {
		if it.localRounds > 0 || it.remoteRounds > 0 {
			q.index[it.key] = len(kept)
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// nextBatches returns the updates that have rounds left, in batches, and uses up
// one round of each.
func (q *Queue[E]) nextBatches(remaining func(*item[E]) *int) [][]E {
	var out [][]E
	var batch []E
	used := 0
	for i := range q.items {
		rounds := remaining(&q.items[i])
		if *rounds == 0 {
			continue
		}
		*rounds--
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
