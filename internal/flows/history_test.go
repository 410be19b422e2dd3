package flows

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// simAddressWait is longer than the maximum lag of an agent's view in the histories.
const simAddressWait = 4500 * time.Millisecond

type recordKind string

const (
	recOpen   recordKind = "open"   // an agent became the holder
	recAccept recordKind = "accept" // an agent accepted a packet
	recClose  recordKind = "close"  // the caller closed the flow
	recReset  recordKind = "reset"  // the caller received a reset
	recHang   recordKind = "hang"   // the caller made no progress in time
	recCrash  recordKind = "crash"  // an agent crashed
	recLeave  recordKind = "leave"  // an agent received Leave
	recMove   recordKind = "move"   // an address moved to the service in the node field
)

type record struct {
	at   time.Duration
	kind recordKind
	flow model.Flow
	node string
}

func (s *sim) record(kind recordKind, f model.Flow, a *simAgent) {
	node := ""
	if a != nil {
		node = string(a.member.ID)
	}
	s.history = append(s.history, record{s.now.Sub(epoch), kind, f, node})
}

// openFlow starts a caller whose flow lasts for lifetime.
func (s *sim) openFlow(dst model.ServiceAddr, lifetime time.Duration) {
	n := len(s.callers) + 1
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
	c := &caller{flow: model.Flow{Src: src, Dst: dst.Addr, Proto: dst.Proto}, endsAt: s.now.Add(lifetime)}
	s.callers[c.flow] = c
	s.sendOpening(c, time.Second)
	s.after(80*time.Second, func() { s.recordHang(c, c.established) })
}

// sendOpening sends an opening packet and retransmits it after 1, 3 and 7 s and then
// every 4 s.
func (s *sim) sendOpening(c *caller, wait time.Duration) {
	if !c.established && !c.ended {
		s.route(c.flow, true)
		for range s.extraCopies {
			s.after(s.random(20*time.Millisecond), func() { s.route(c.flow, true) })
		}
		s.after(wait, func() { s.sendOpening(c, min(2*wait, 4*time.Second)) })
	}
}

// recordHang ends a caller that made no progress, unless ok.
func (s *sim) recordHang(c *caller, ok bool) {
	if !ok && !c.ended {
		c.ended = true
		s.record(recHang, c.flow, nil)
	}
}

// onAccepted records that a target accepted the caller's last packet. The response to
// an opening packet may be lost, so that the caller retransmits it.
func (s *sim) onAccepted(f model.Flow, p Packet) {
	c := s.callers[f]
	c.lastAccepted = c.sent
	if !c.established && s.rng.Float64() >= s.loss {
		c.established = true
		if s.openingsOnly {
			s.after(c.endsAt.Sub(s.now), func() { s.endFlow(f, recClose, nil) })
			return
		}
		s.sendData(c)
	}
}

// sendData sends a packet once the previous one was accepted, and retransmits it every
// 300 ms.
func (s *sim) sendData(c *caller) {
	if c.ended {
		return
	}
	if c.lastAccepted < c.sent {
		s.after(100*time.Millisecond, func() { s.sendData(c) })
		return
	}
	if s.now.After(c.endsAt) {
		s.endFlow(c.flow, recClose, nil)
		return
	}
	c.sent++
	n := c.sent
	var try func()
	try = func() {
		if !c.ended && c.lastAccepted < n {
			s.route(c.flow, false)
			s.after(300*time.Millisecond, try)
		}
	}
	try()
	s.after(s.hangTimeout, func() { s.recordHang(c, c.lastAccepted >= n) })
	s.after(500*time.Millisecond+s.random(2*time.Second), func() { s.sendData(c) })
}

// endFlow ends a caller's flow and closes it at the holder.
func (s *sim) endFlow(f model.Flow, kind recordKind, by *simAgent) {
	c := s.callers[f]
	if c.ended {
		return
	}
	c.ended = true
	s.record(kind, f, by)
	for _, a := range s.agents {
		if a.core.Holds(f) {
			s.step(a, Closed{f})
		}
	}
}

// random returns a uniformly distributed duration in [0, d].
func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// simPacket is a packet for whose Ref an agent has not emitted the final action yet.
type simPacket struct {
	Packet
	agent *simAgent
}

// advertise sends an agent's held addresses to the balancers after a delay. As with
// any member record, an older list does not replace a newer one.
func (s *sim) advertise(a *simAgent, addrs []model.ServiceAddr) {
	a.heldSeq[0]++
	seq := a.heldSeq[0]
	s.after(s.random(2*time.Second), func() {
		if seq > a.heldSeq[1] {
			a.heldSeq[1], a.held = seq, addrs
		}
	})
}

// crash stops an agent and discards its buffered packets. Observers suspect the agent
// after 3 s and remove it after 13 s unless it restarts.
func (s *sim) crash(a *simAgent) {
	a.down = true
	maps.DeleteFunc(s.packets, func(_ Ref, p simPacket) bool { return p.agent == a })
	s.record(recCrash, model.Flow{}, a)
	for state, wait := range map[model.State]time.Duration{model.StateSuspect: 3 * time.Second, model.StateGone: 13 * time.Second} {
		s.after(wait, func() {
			if a.down {
				s.editMember(a, func(m *model.Member) { m.State = state })
				s.publish()
			}
		})
	}
}

func (s *sim) newCore(m model.Member) *Core {
	return New(Options{Self: m.ID, Service: m.Service, Seed: s.rng.Uint64(), AddressWait: simAddressWait})
}

// restart restarts a crashed agent under the same ID with a new incarnation.
func (s *sim) restart(a *simAgent) {
	a.down, a.version = false, 0
	a.core = s.newCore(a.member)
	s.editMember(a, func(m *model.Member) {
		m.Incarnation++
		m.State, m.Started = model.StateActive, s.now
	})
	s.publish()
}

func (s *sim) leave(a *simAgent) {
	s.record(recLeave, model.Flow{}, a)
	s.step(a, Leave{})
	s.editMember(a, func(m *model.Member) { m.State = model.StateLeaving })
	s.publish()
}

// moveAddr assigns an address to a service, in the configuration and the history.
func (s *sim) moveAddr(address model.ServiceAddr, to int) {
	for i := range s.views {
		v := &s.views[i]
		v.Addrs = slices.DeleteFunc(slices.Clone(v.Addrs), func(a model.ServiceAddr) bool { return a == address })
		if i == to {
			v.Addrs = append(v.Addrs, address)
		}
	}
	s.history = append(s.history, record{s.now.Sub(epoch), recMove,
		model.Flow{Dst: address.Addr, Proto: address.Proto}, string(s.views[to].Service)})
	s.publish()
}

// findViolations returns the violations in a history: two holders of one flow, a flow opened
// after Leave or on an address of another service, a packet accepted by an agent of
// another service, and a flow that broke although its holder did not crash. lag is
// the time within which a configuration reaches all agents; service returns the
// service of an agent.
func findViolations(history []record, lag time.Duration, service func(node string) string) []string {
	var violations []string
	holder := map[model.Flow]string{}
	holderCrashed := map[model.Flow]bool{}
	leaving := map[string]bool{}
	moves := map[model.ServiceAddr][]record{}
	for _, r := range history {
		report := func(format string, args ...any) {
			violations = append(violations, fmt.Sprintf("%v: flow %v: ", r.at, r.flow.Src)+fmt.Sprintf(format, args...))
		}
		h := holder[r.flow]
		switch r.kind {
		case recOpen:
			if h != "" && h != r.node && !holderCrashed[r.flow] {
				report("%s opened the flow while %s held it", r.node, h)
			}
			if leaving[r.node] {
				report("%s opened the flow after Leave", r.node)
			}
			holder[r.flow] = r.node
			delete(holderCrashed, r.flow)
			if !ownedRecently(moves[r.flow.ServiceAddr()], r.at, lag, service(r.node)) {
				report("%s opened the flow on an address of another service", r.node)
			}
		case recAccept:
			if h != "" && h != r.node && !holderCrashed[r.flow] && service(h) != service(r.node) {
				report("%s of another service accepted a packet, holder %s", r.node, h)
			}
		case recClose:
			delete(holder, r.flow)
		case recReset, recHang:
			if !holderCrashed[r.flow] {
				report("broken by %s, holder %q", r.kind, h)
			}
			delete(holder, r.flow)
		case recCrash:
			for f, h := range holder {
				holderCrashed[f] = holderCrashed[f] || h == r.node
			}
		case recLeave:
			leaving[r.node] = true
		case recMove:
			moves[r.flow.ServiceAddr()] = append(moves[r.flow.ServiceAddr()], r)
		}
	}
	return violations
}

// ownedRecently reports whether the service owned the address at any time in
// [at-lag, at].
func ownedRecently(moves []record, at, lag time.Duration, service string) bool {
	for i, m := range moves {
		until := at
		if i+1 < len(moves) {
			until = moves[i+1].at
		}
		if m.node == service && m.at <= at && until >= at-lag {
			return true
		}
	}
	return false
}
