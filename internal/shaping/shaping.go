// Package shaping keeps transfers from filling the link of a small balancer. It is
// designed for one load: many callers upload at once, as after an outage or while
// other balancers restart, beside short requests. Packets of transfers above a share
// of the link's rate are queued here. In the link's own queue, opening packets,
// requests and lookups would wait behind them until their senders retransmit.
package shaping

import "time"

const (
	// transferShare is the share of the link's rate that transfers may use. Opening
	// packets, short requests and lookups need about a quarter when many flows move.
	transferShare = 0.7
	// maxWait bounds the time a packet is queued; senders retransmit after 200 ms.
	maxWait = 150 * time.Millisecond
	// burstBytes is the smallest burst allowance after a pause: one sender's window
	// of 16 packets.
	burstBytes = 16 * 1250
	// releaseInterval is the time between two releases. At 10 Mbit/s, each sends about
	// four packets, so that wake-ups cost little on a small share of a processor.
	releaseInterval = 5 * time.Millisecond
)

// Verdict is the decision about an offered packet.
type Verdict uint8

// Decisions of Queue.Offer.
const (
	Pass      Verdict = iota + 1 // to be sent at once
	Queued                       // added to the queue
	Duplicate                    // a copy is queued already
	Full                         // rejected: the queue exceeds maxWait
)

// queuedPacket is a packet with its key and its size in bytes.
type queuedPacket[K comparable, T any] struct {
	key  K
	size int
	item T
}

// Queue shapes the transfer packets of one link with a token bucket. K identifies a
// packet, so that duplicates are recognised; T is the queued packet.
type Queue[K comparable, T any] struct {
	rate        float64   // bytes a second for transfers; 0 disables shaping
	credit      float64   // bytes that may be sent
	creditAt    time.Time // last update of credit
	queued      []queuedPacket[K, T]
	queuedBytes int
	queuedKeys  map[K]bool
}

// New returns a queue for a link of linkBits bits a second, 0 if the rate is unknown.
func New[K comparable, T any](linkBits float64) *Queue[K, T] {
	return &Queue[K, T]{rate: linkBits / 8 * transferShare, queuedKeys: make(map[K]bool)}
}

// Len returns the number of queued packets.
func (q *Queue[K, T]) Len() int { return len(q.queued) }

// refill adds the credit for the time since the last call.
func (q *Queue[K, T]) refill(now time.Time) {
	if dt := now.Sub(q.creditAt); dt > 0 {
		burst := max(burstBytes, q.rate*releaseInterval.Seconds())
		q.credit = min(burst, q.credit+dt.Seconds()*q.rate)
		q.creditAt = now
	}
}

// Offer decides whether a packet of size bytes is sent at once, queued or rejected. If
// it is queued, clone is called and must return a copy that outlives the call.
func (q *Queue[K, T]) Offer(now time.Time, key K, size int, clone func() T) Verdict {
	if q.rate == 0 {
		return Pass
	}
	q.refill(now)
	switch {
	case len(q.queued) == 0 && q.credit >= float64(size):
		q.credit -= float64(size)
		return Pass
	case q.queuedKeys[key]:
		return Duplicate
	case float64(q.queuedBytes) > q.rate*maxWait.Seconds():
		return Full
	}
	q.queuedKeys[key] = true
	q.queuedBytes += size
	q.queued = append(q.queued, queuedPacket[K, T]{key, size, clone()})
	return Queued
}

// Release removes and returns the packets to send now, in order of arrival.
func (q *Queue[K, T]) Release(now time.Time) []T {
	q.refill(now)
	var out []T
	n := 0
	for _, w := range q.queued {
		if q.credit < float64(w.size) {
			break
		}
		n++
		q.credit -= float64(w.size)
		q.queuedBytes -= w.size
		delete(q.queuedKeys, w.key)
		out = append(out, w.item)
	}
	q.queued = append(q.queued[:0], q.queued[n:]...)
	return out
}

// NextRelease returns when Release is due, given the time of the last release.
func (q *Queue[K, T]) NextRelease(last time.Time) time.Time { return last.Add(releaseInterval) }
