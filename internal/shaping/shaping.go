// Package shaping keeps transfers from filling the link of a small balancer. It
// answers one load: many callers that upload at once, as after an outage or while
// other balancers restart, beside short requests. Packets of transfers beyond a part
// of the link wait here instead of in the link's own queue, where openings, requests
// and searches would wait behind them until their senders repeat them.
package shaping

import "time"

const (
	// transferShare is the part of the link that transfers may fill. Openings, short
	// requests and searches take about a quarter of it when many flows move.
	transferShare = 0.7
	// maxWait bounds the wait of a packet; senders repeat a packet after 200 ms.
	maxWait = 150 * time.Millisecond
	// window is what may leave at once after a pause: the 16 packets that a sender has
	// in flight.
	window = 16 * 1250
	// releaseInterval is the pause between two releases: four packets at 10 Mbit/s, so
	// that waking up costs little of a small processor share.
	releaseInterval = 5 * time.Millisecond
)

// Verdict is what becomes of a packet.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota + 1 // it may leave at once
	Wait                    // it was put into the queue
	Copy                    // a copy of it waits already
	Full                    // the packets before it take too long
)

type waiting[K comparable, T any] struct {
	key  K
	size int
	item T
}

// Queue holds the packets of transfers of one link. K names a packet, so that
// copies are recognised; T is what waits.
type Queue[K comparable, T any] struct {
	rate    float64 // bytes a second for transfers; 0 lets all pass
	credit  float64
	at      time.Time // of credit
	waiting []waiting[K, T]
	bytes   int
	present map[K]bool
}

// New returns a queue for a link of a number of bits a second, 0 if it is not known.
func New[K comparable, T any](linkBits float64) *Queue[K, T] {
	return &Queue[K, T]{rate: linkBits / 8 * transferShare, present: make(map[K]bool)}
}

// Len returns the number of packets that wait.
func (q *Queue[K, T]) Len() int { return len(q.waiting) }

func (q *Queue[K, T]) refill(now time.Time) {
	if dt := now.Sub(q.at); dt > 0 {
		burst := max(window, q.rate*releaseInterval.Seconds())
		q.credit = min(burst, q.credit+dt.Seconds()*q.rate)
		q.at = now
	}
}

// Offer decides about a packet. keep is called if it waits, and returns a copy that
// outlives the call.
func (q *Queue[K, T]) Offer(now time.Time, key K, size int, keep func() T) Verdict {
	if q.rate == 0 {
		return Pass
	}
	q.refill(now)
	switch {
	case len(q.waiting) == 0 && q.credit >= float64(size):
		q.credit -= float64(size)
		return Pass
	case q.present[key]:
		return Copy
	case float64(q.bytes) > q.rate*maxWait.Seconds():
		return Full
	}
	q.present[key] = true
	q.bytes += size
	q.waiting = append(q.waiting, waiting[K, T]{key, size, keep()})
	return Wait
}

// Release returns the packets that may leave, in order of arrival.
func (q *Queue[K, T]) Release(now time.Time) []T {
	q.refill(now)
	var out []T
	n := 0
	for _, w := range q.waiting {
		if q.credit < float64(w.size) {
			break
		}
		n++
		q.credit -= float64(w.size)
		q.bytes -= w.size
		delete(q.present, w.key)
		out = append(out, w.item)
	}
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	return out
}

// Next returns when Release is due, given the time of the last one.
func (q *Queue[K, T]) Next(last time.Time) time.Time { return last.Add(releaseInterval) }
