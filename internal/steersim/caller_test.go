package steersim

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
)

func (s *sim) reset(b *balancer, f model.Flow) {
	s.resets++
	s.logf("balancer %s sent a reset to %s", b.addr, f.Src)
	s.resetBy[f] = b
	if _, reset := s.resetAt[f]; s.resetAt != nil && !reset {
		s.resetAt[f] = s.now
	}
	if holder := s.holders[f]; holder != nil && !holder.exited && !holder.silent && s.counts(b, holder, f) {
		s.failFlow(f, "balancer %s reset flow %s, which is open at a running target", b.addr, f.Src)
	}
	s.after(callerDelay, func() {
		if c := s.callers[f]; c != nil {
			c.end(false)
		}
	})
}

// maxRetransmitInterval is the maximum interval between retransmissions of a request.
const maxRetransmitInterval = 1600 * time.Millisecond

// caller opens a flow and sends requests on it sequentially.
type caller struct {
	s             *sim
	flow          model.Flow
	seq           uint32
	ack           uint32
	requestsLeft  int
	pause         time.Duration
	awaitingReply bool
	requestedAt   time.Time
	deadline      time.Duration
	ended         bool
	established   bool // SYN+ACK received
	multiRequest  bool
}

// openFlow opens a flow with n requests to the i-th address.
func (s *sim) openFlow(i, n int, pause time.Duration) *caller {
	s.port++
	c := s.newCaller(n, pause)
	c.flow = model.Flow{
		Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(s.rand.IntN(3)), byte(s.rand.IntN(200))}), s.port),
		Dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443), Proto: model.TCP,
	}
	c.open()
	return c
}

func (s *sim) newCaller(n int, pause time.Duration) *caller {
	return &caller{s: s, requestsLeft: n, pause: pause, seq: s.rand.Uint32(), deadline: 1400 * time.Millisecond, requestedAt: s.now, multiRequest: n > 1}
}

// open sends the opening packet and its copies.
func (c *caller) open() {
	s := c.s
	s.callers[c.flow] = c
	for n, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		s.after(d, func() {
			if !c.established && !c.ended {
				c.send(segment.Segment{Flow: c.flow, Flags: segment.SYN, Seq: c.seq, Ack: uint32(n)})
			}
		})
	}
	s.after(c.deadline, func() {
		if !c.established {
			c.end(false)
		}
	})
}

// send sends a packet to a balancer in rotation, selected by the hash of its flow as routers do.
func (c *caller) send(g segment.Segment) {
	s := c.s
	if s.rand.Float64() < s.loss {
		return
	}
	in := s.rotation(c.flow)
	if len(in) == 0 {
		return
	}
	b := in[c.flow.Hash()%uint64(len(in))]
	s.lastTaker[c.flow] = b
	if _, sent := s.sentAt[c.flow]; s.sentAt != nil && !sent {
		s.sentAt[c.flow] = s.now
	}
	s.after(callerDelay+s.callerDelay(g), func() { b.receive(g) })
	if s.lateOpenings > 0 && g.Opens() && s.rand.Float64() < s.lateOpenings {
		s.after(s.randomUpTo(maxOpeningDelay), func() { b.receive(g) })
	}
}

func (s *sim) deliverToCaller(g segment.Segment) {
	c := s.callers[g.Flow]
	if c == nil || c.ended {
		return
	}
	switch {
	case g.Accepts():
		if !c.established {
			c.established = true
			c.seq++
			c.ack = g.Seq + 1
			c.send(segment.Segment{Flow: c.flow, Flags: segment.ACK, Seq: c.seq, Ack: c.ack})
			c.sendRequest()
		}
	case g.DataLen > 0 && c.awaitingReply && g.Ack == c.seq:
		c.awaitingReply = false
		c.ack += uint32(g.DataLen)
		s.served++
		if s.now.Sub(c.requestedAt) > 150*time.Millisecond {
			s.late++
		}
		if c.requestsLeft == 0 {
			c.send(segment.Segment{Flow: c.flow, Flags: segment.FIN | segment.ACK, Seq: c.seq, Ack: c.ack})
			c.ended = true
			delete(s.callers, c.flow)
			c.openAgain()
			return
		}
		s.after(c.pause, func() {
			if !c.ended {
				c.requestedAt = s.now
				c.sendRequest()
			}
		})
	}
}

func (c *caller) sendRequest() {
	c.requestsLeft--
	c.awaitingReply = true
	start, seq := c.s.now, c.seq
	c.seq += requestLen
	var try func(wait time.Duration)
	try = func(wait time.Duration) {
		if !c.awaitingReply || c.ended || c.seq != seq+requestLen {
			return
		}
		if c.s.now.Sub(start) > max(c.deadline, c.s.patience) {
			c.s.recordStalled(c.flow)
			c.end(false)
			return
		}
		c.send(segment.Segment{Flow: c.flow, Flags: segment.ACK, Seq: seq, Ack: c.ack, DataLen: requestLen})
		c.s.after(wait, func() { try(min(wait*2, maxRetransmitInterval)) })
	}
	try(200 * time.Millisecond)
}

func (c *caller) end(ok bool) {
	if c.ended {
		return
	}
	c.ended = true
	delete(c.s.callers, c.flow)
	if !ok {
		c.s.failed++
	}
}

// generateTraffic opens rate flows per second for a time. The fraction longShare of them
// sends several requests, the others one.
func (s *sim) generateTraffic(d time.Duration, rate float64, longShare float64) {
	for at := time.Duration(0); at < d; at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second)) {
		s.after(at, func() {
			i := 0
			if len(s.config.Routes) > 1 && s.rand.Float64() < 0.2 {
				i = 1
			}
			if s.rand.Float64() < longShare {
				s.openFlow(i, 12, 800*time.Millisecond)
			} else {
				s.openFlow(i, 1, 0)
			}
		})
	}
}

func (s *sim) checkRequestsRunOnce() {
	for k, n := range s.requestRuns {
		if n > 1 {
			s.fail("request %s ran %d times", k, n)
		}
	}
}
