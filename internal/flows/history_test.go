package flows

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// simAddressWait is above the greatest lag of an agent's view in the histories.
const simAddressWait = 4500 * time.Millisecond

type recordKind string

const (
	recOpen   recordKind = "open"   // an agent became the holder
	recAccept recordKind = "accept" // an agent took a packet
	recClose  recordKind = "close"  // the caller ended the flow
	recReset  recordKind = "reset"  // the caller got a reset
	recHang   recordKind = "hang"   // the caller got no progress for too long
	recCrash  recordKind = "crash"  // an agent died
	recLeave  recordKind = "leave"  // an agent was told to leave
	recMove   recordKind = "move"   // an address went to the service of the node field
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

// call starts a flow that lasts for the given time.
func (s *sim) call(service model.ServiceAddr, life time.Duration) {
	n := len(s.callers) + 1
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&0xff))
	c := &caller{flow: model.Flow{Src: src, Dst: service.Addr, Proto: service.Proto}, ends: s.now.Add(life)}
	s.callers[c.flow] = c
	s.syn(c, time.Second)
	s.after(80*time.Second, func() { s.hang(c, c.established) })
}

// syn sends an opening packet, again after 1, 3 and 7 s and then each 4 s.
func (s *sim) syn(c *caller, wait time.Duration) {
	if !c.established && !c.done {
		s.route(c.flow, true)
		for range s.copies {
			s.after(s.random(20*time.Millisecond), func() { s.route(c.flow, true) })
		}
		s.after(wait, func() { s.syn(c, min(2*wait, 4*time.Second)) })
	}
}

func (s *sim) hang(c *caller, ok bool) {
	if !ok && !c.done {
		c.done = true
		s.record(recHang, c.flow, nil)
	}
}

// accepted lets the caller go on; the first response may be lost.
func (s *sim) accepted(f model.Flow, p Packet) {
	c := s.callers[f]
	c.acked = c.sent
	if !c.established && s.rng.Float64() >= s.loss {
		c.established = true
		if s.quiet {
			s.after(c.ends.Sub(s.now), func() { s.finish(f, recClose, nil) })
			return
		}
		s.data(c)
	}
}

// data sends a packet when the last one was accepted, and again each 300 ms.
func (s *sim) data(c *caller) {
	if c.done {
		return
	}
	if c.acked < c.sent {
		s.after(100*time.Millisecond, func() { s.data(c) })
		return
	}
	if s.now.After(c.ends) {
		s.finish(c.flow, recClose, nil)
		return
	}
	c.sent++
	n := c.sent
	var try func()
	try = func() {
		if !c.done && c.acked < n {
			s.route(c.flow, false)
			s.after(300*time.Millisecond, try)
		}
	}
	try()
	s.after(s.patience, func() { s.hang(c, c.acked >= n) })
	s.after(500*time.Millisecond+s.random(2*time.Second), func() { s.data(c) })
}

// finish ends a caller's flow and tells the holder's stack.
func (s *sim) finish(f model.Flow, kind recordKind, by *simAgent) {
	c := s.callers[f]
	if c.done {
		return
	}
	c.done = true
	s.record(kind, f, by)
	for _, a := range s.agents {
		if a.core.Holds(f) {
			s.step(a, Closed{f})
		}
	}
}

func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// simPacket is a packet that an agent has not ended yet.
type simPacket struct {
	Packet
	at *simAgent
}

// announce tells the balancers the held addresses of an agent after a delay.
// Like any member record, an older announcement does not replace a newer one.
func (s *sim) announce(a *simAgent, addrs []model.ServiceAddr) {
	a.heldSeq[0]++
	seq := a.heldSeq[0]
	s.after(s.random(2*time.Second), func() {
		if seq > a.heldSeq[1] {
			a.heldSeq[1], a.held = seq, addrs
		}
	})
}

// crash stops an agent at once, with the packets that wait in it. Observers suspect it after 3 s and remove it
// after 13 s unless it restarts.
func (s *sim) crash(a *simAgent) {
	a.down = true
	maps.DeleteFunc(s.packets, func(_ Ref, p simPacket) bool { return p.at == a })
	s.record(recCrash, model.Flow{}, a)
	for state, wait := range map[model.State]time.Duration{model.StateSuspect: 3 * time.Second, model.StateGone: 13 * time.Second} {
		s.after(wait, func() {
			if a.down {
				s.change(a, func(m *model.Member) { m.State = state })
				s.publish()
			}
		})
	}
}

func (s *sim) newCore(m model.Member) *Core {
	return New(Options{Self: m.ID, Service: m.Service, Seed: s.rng.Uint64(), AddressWait: simAddressWait})
}

// restart brings a crashed agent back under its ID with a new incarnation.
func (s *sim) restart(a *simAgent) {
	a.down, a.version = false, 0
	a.core = s.newCore(a.member)
	s.change(a, func(m *model.Member) {
		m.Incarnation++
		m.State, m.Started = model.StateActive, s.now
	})
	s.publish()
}

func (s *sim) leave(a *simAgent) {
	s.record(recLeave, model.Flow{}, a)
	s.step(a, Leave{})
	s.change(a, func(m *model.Member) { m.State = model.StateLeaving })
	s.publish()
}

// move gives an address to a service, in the configuration and the history.
func (s *sim) move(address model.ServiceAddr, to int) {
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

// check returns the violations in a history. lag is the time within which a
// configuration reaches all agents; service gives the service of each agent.
func check(history []record, lag time.Duration, service func(node string) string) []string {
	var bad []string
	holder := map[model.Flow]string{}
	dead := map[model.Flow]bool{} // the holder crashed
	left := map[string]bool{}
	moves := map[model.ServiceAddr][]record{}
	for _, r := range history {
		report := func(format string, args ...any) {
			bad = append(bad, fmt.Sprintf("%v: flow %v: ", r.at, r.flow.Src)+fmt.Sprintf(format, args...))
		}
		h := holder[r.flow]
		switch r.kind {
		case recOpen:
			if h != "" && h != r.node && !dead[r.flow] {
				report("%s opened it while %s holds it", r.node, h)
			}
			if left[r.node] {
				report("%s opened it after it was told to leave", r.node)
			}
			holder[r.flow] = r.node
			delete(dead, r.flow)
			if !owned(moves[r.flow.ServiceAddr()], r.at, lag, service(r.node)) {
				report("%s opened it on an address of another service", r.node)
			}
		case recAccept:
			if h != "" && h != r.node && !dead[r.flow] && service(h) != service(r.node) {
				report("%s of another service accepted a packet of %s", r.node, h)
			}
		case recClose:
			delete(holder, r.flow)
		case recReset, recHang:
			if !dead[r.flow] {
				report("broken by %s, holder %q", r.kind, h)
			}
			delete(holder, r.flow)
		case recCrash:
			for f, h := range holder {
				dead[f] = dead[f] || h == r.node
			}
		case recLeave:
			left[r.node] = true
		case recMove:
			moves[r.flow.ServiceAddr()] = append(moves[r.flow.ServiceAddr()], r)
		}
	}
	return bad
}

// owned reports whether the service had the address at some time in the last lag.
func owned(moves []record, at, lag time.Duration, service string) bool {
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
