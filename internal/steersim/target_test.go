package steersim

import (
	"fmt"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
)

// target is a host that terminates flows.
type target struct {
	agent       *agent
	service     model.ServiceName
	id          string
	startMillis int64
	flows       map[model.Flow]*flowState
	draining    bool
	drainedAt   time.Time // when the agent accepted the draining heartbeat
	silent      bool      // does not answer, although it has not exited
	exited      bool
	seq         uint64
	busy        int           // slots in use
	workTime    time.Duration // mean time of a request
	slots       int
	queue       []func() // requests that wait for a slot
}

// flowState is a flow at its target.
type flowState struct {
	seq         uint32 // sequence number of the SYN+ACK
	established bool   // the caller has acknowledged the SYN+ACK
	firstSeq    uint32 // sequence number of the caller's first data
	nextSeq     uint32 // sequence number after the caller's data seen so far
}

// Lengths of a request and its answer in bytes.
const (
	requestLen = 50
	answerLen  = 100
)

// answerSeq returns the sequence number of the answer to a packet of the caller.
func (h *flowState) answerSeq(g segment.Segment) uint32 {
	return h.seq + 1 + (g.Seq-h.firstSeq)/requestLen*answerLen
}

func (a *agent) newTarget(service model.ServiceName) {
	s := a.s
	t := &target{agent: a, service: service, id: fmt.Sprintf("t%d", s.rand.Uint32()), startMillis: s.timeOfDay(a.addr), flows: map[model.Flow]*flowState{}, workTime: 25 * time.Millisecond, slots: 3}
	if a.target != nil {
		s.formerTargets = append(s.formerTargets, a.target)
	}
	a.target, a.probes = t, map[model.Flow]int{}
	s.after(time.Millisecond, func() { a.sendHeartbeat(t) })
}

func (a *agent) sendHeartbeat(t *target) {
	if a.target != t || t.exited {
		return
	}
	if !t.silent {
		t.seq++ // also of a call that nobody receives
	}
	if !t.silent && a.core != nil && !a.s.paused[a.addr] {
		v, actions := a.core.HandleHeartbeat(a.s.clock(a.addr), passthrough.Heartbeat{
			Target: t.id, Service: t.service, Draining: t.draining, Slots: t.slots, Sequence: t.seq, First: t.seq == 1, StartMillis: t.startMillis,
		})
		if v == passthrough.Accepted && t.draining && t.drainedAt.IsZero() {
			t.drainedAt = a.s.now
		}
		a.execute(actions)
	}
	a.s.after(a.s.heartbeatInterval, func() { a.sendHeartbeat(t) })
}

// sendFromTarget sends a packet from the target through its agent.
func (a *agent) sendFromTarget(g segment.Segment) {
	s := a.s
	s.after(localDelay, func() {
		s.whenAwake(a.addr, func() {
			if a.core != nil {
				a.execute(a.core.FromTarget(s.clock(a.addr), g, s.encode(g)))
			}
		})
	})
}

// deliverToTarget handles a packet at the target, which bounces packets of flows that it
// does not hold. The test fails if the target serves another service, unless it bounces the
// packet and that is the only probe of the flow by its agent, sent by a lookup, or if it drains for longer than
// drainGrace and gets a new flow.
func (a *agent) deliverToTarget(g segment.Segment) {
	s, t := a.s, a.target
	if t.silent || t.exited {
		return
	}
	h := t.flows[g.Flow]
	probe := !g.Opens() && h == nil && a.probes[g.Flow] == 1 && a.lookupProbes[g.Flow] > 0
	if !probe && !s.routedTo(g.Flow.Dst, t.service) {
		s.failFlow(g.Flow, "a packet of %s reached a target of %s", g.Flow.Dst, t.service)
	}
	if g.Opens() && h == nil {
		s.checkOpeningFollowsRoutes(g, t)
		s.checkEvacuation(a, g)
	}
	switch {
	case g.Opens():
		if !t.drainedAt.IsZero() && s.now.Sub(t.drainedAt) > drainGrace {
			s.fail("a draining target got a new flow %s after %s", g.Flow.Src, s.now.Sub(t.drainedAt))
		}
		if h == nil {
			h = &flowState{seq: s.rand.Uint32(), firstSeq: g.Seq + 1, nextSeq: g.Seq + 1}
			t.flows[g.Flow] = h
		}
		a.sendFromTarget(segment.Segment{Flow: g.Flow, FromTarget: true, Flags: segment.SYN | segment.ACK, Seq: h.seq, Ack: g.Seq + 1})
		return
	case h == nil || !h.established && g.Ack != h.seq+1:
		s.recordMisdirected(g, t)
		g.Flags |= segment.Bounced
		a.sendFromTarget(g)
		return
	}
	if !h.established {
		h.established = true
		s.holders[g.Flow] = t
	}
	delete(s.misdirected, g.Flow)
	if g.Flags.Has(segment.FIN) {
		delete(t.flows, g.Flow)
		delete(s.holders, g.Flow)
		a.sendFromTarget(segment.Segment{Flow: g.Flow, FromTarget: true, Flags: segment.FIN | segment.ACK, Seq: h.answerSeq(g), Ack: g.Seq + 1})
		return
	}
	if g.DataLen > 0 && int32(g.Seq+uint32(g.DataLen)-h.nextSeq) > 0 {
		h.nextSeq = g.Seq + uint32(g.DataLen)
		s.requestRuns[fmt.Sprintf("%s/%d", g.Flow.Src, g.Seq)]++
		a.enqueue(t, func() {
			if t.flows[g.Flow] == h && !t.silent {
				a.sendFromTarget(segment.Segment{Flow: g.Flow, FromTarget: true, Flags: segment.ACK, Seq: h.answerSeq(g), Ack: h.nextSeq, DataLen: answerLen})
			}
		})
	} else if g.DataLen > 0 { // a retransmitted request whose answer may have been lost
		a.sendFromTarget(segment.Segment{Flow: g.Flow, FromTarget: true, Flags: segment.ACK, Seq: h.answerSeq(g), Ack: h.nextSeq, DataLen: answerLen})
	}
}

// enqueue runs a request at the target when a slot is free and then calls done.
func (a *agent) enqueue(t *target, done func()) {
	if t.busy >= t.slots {
		t.queue = append(t.queue, done)
		return
	}
	t.busy++
	workTime := time.Duration((0.5 + a.s.rand.Float64()) * float64(t.workTime))
	a.s.after(workTime, func() {
		t.busy--
		done()
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			a.enqueue(t, next)
		}
	})
}

// recordMisdirected records a packet that reached a target other than the holder of its
// flow. The test fails if misdirectedLimit such packets of an open flow arrive within
// misdirectedWindow and none arrives at its holder.
func (s *sim) recordMisdirected(g segment.Segment, receiver *target) {
	holder := s.holders[g.Flow]
	if holder == nil || holder == receiver || holder.exited || holder.silent || !s.counts(s.lastTaker[g.Flow], holder, g.Flow) {
		return
	}
	recent := s.misdirected[g.Flow][:0]
	for _, t := range s.misdirected[g.Flow] {
		if s.now.Sub(t) < misdirectedWindow {
			recent = append(recent, t)
		}
	}
	s.misdirected[g.Flow] = append(recent, s.now)
	if len(s.misdirected[g.Flow]) >= misdirectedLimit {
		first := s.misdirected[g.Flow][0]
		s.after(misdirectedWindow-s.now.Sub(first), func() {
			if len(s.misdirected[g.Flow]) >= misdirectedLimit && s.holders[g.Flow] == holder && !holder.exited && !holder.silent {
				s.failFlow(g.Flow, "%d packets of flow %s reached other targets", len(s.misdirected[g.Flow]), g.Flow.Src)
			}
		})
	}
}
