package shaping

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

type packet struct{ flow, seq int }

// Guards against duplicates that use the link twice, packets that are queued longer
// than the retransmission time of their sender, and packets dropped on a free link.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	q := New[packet, packet](10_000_000) // 875,000 bytes a second for transfers
	offer := func(now time.Time, p packet) Verdict {
		return q.Offer(now, p, 1250, func() packet { return p })
	}
	for i := range 16 {
		is.Equal(offer(start, packet{1, i}), Pass) // one window
	}
	is.Equal(offer(start, packet{1, 16}), Queued)
	is.Equal(offer(start, packet{1, 16}), Duplicate)
	n := 0
	for ; offer(start, packet{2, n}) == Queued; n++ {
	}
	is.Equal(n, 105) // 150 ms at the transfer rate
	is.Equal(len(q.Release(start)), 0)
	is.Equal(q.Release(start.Add(10 * time.Millisecond))[0], packet{1, 16}) // in order
	is.Equal(offer(start.Add(10*time.Millisecond), packet{3, 0}), Queued)
	is.Equal(len(q.Release(start.Add(time.Second))), 16)

	wide := New[packet, packet](1_000_000_000)
	for i := range 300 { // the windows of many senders at once
		is.Equal(wide.Offer(start, packet{i, 0}, 1250, nil), Pass)
	}

	unshaped := New[packet, packet](0)
	for i := range 1000 {
		is.Equal(unshaped.Offer(start, packet{1, i}, 1250, nil), Pass)
	}
}

// link models a balancer's link, which sends packets in order of arrival.
type link struct {
	rate   float64 // bytes a second
	freeAt time.Time
}

// send queues a packet and returns when its transmission ends.
func (l *link) send(now time.Time, size int) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.freeAt
}

// Guards against short requests that wait behind uploads, and against uploads that use
// less than their share of the link. After an outage, 40 callers upload 80 kB each through
// a balancer with 10 Mbit/s, with 16 packets in flight, beside 150 short requests a second.
// A caller retransmits after 200 ms. Short requests must be sent within 20 ms, where
// without shaping they wait for more than 200 ms, and all uploads must end within 4/3 of
// the time that the transfer share of the link needs for them.
func TestShortRequestsPassUploads(t *testing.T) {
	simulate := func(q *Queue[packet, packet]) (short time.Duration, uploads time.Duration, done int) {
		const callers, packets, window = 40, 64, 16
		r := rand.New(rand.NewPCG(1, 1))
		l := &link{rate: 10_000_000 / 8}
		type caller struct {
			acked  map[int]bool
			sentAt map[int]time.Time
			next   int
		}
		all := make([]caller, callers)
		for i := range all {
			all[i] = caller{acked: map[int]bool{}, sentAt: map[int]time.Time{}}
		}
		acks := map[int][]packet{} // by millisecond
		deliver := func(now time.Time, p packet) {
			left := l.send(now, 1250)
			ms := int(left.Sub(start)/time.Millisecond) + 10 // round trip to the target
			acks[ms] = append(acks[ms], p)
		}
		for ms := 0; ms < 6000 && done < callers; ms++ {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, p := range acks[ms] {
				all[p.flow].acked[p.seq] = true
			}
			for _, p := range q.Release(now) {
				deliver(now, p)
			}
			done = 0
			for i := range all {
				c := &all[i]
				if len(c.acked) == packets {
					done++
					continue
				}
				for c.next < packets && c.next-len(c.acked) < window {
					c.next++
				}
				for s := range c.next {
					if at, sent := c.sentAt[s]; c.acked[s] || sent && now.Sub(at) < 200*time.Millisecond {
						continue
					}
					c.sentAt[s] = now
					p := packet{i, s}
					if q.Offer(now, p, 1250, func() packet { return p }) == Pass {
						deliver(now, p)
					}
				}
			}
			uploads = now.Sub(start)
			if r.IntN(1000) < 150 {
				short = max(short, l.send(now, 400).Sub(now))
			}
		}
		return short, uploads, done
	}
	is := is.New(t)
	short, _, _ := simulate(New[packet, packet](0))
	is.True(short > 200*time.Millisecond) // without shaping
	short, uploads, done := simulate(New[packet, packet](10_000_000))
	is.True(short <= 20*time.Millisecond)
	is.Equal(done, 40)
	needed := 40 * 64 * 1250 * time.Second / (10_000_000 / 8)
	is.True(uploads <= time.Duration(float64(needed)/transferShare*4/3))
	t.Logf("short requests %v, uploads %v of %v needed", short, uploads, needed)
}
