package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// ask is the search for the target of a flow that another balancer placed.
// Packets wait for its end.
type ask struct {
	waiting []netip.AddrPort // agents that have not answered
	unsure  []netip.AddrPort // agents that cannot tell
	packets [][]byte
	ack     uint32
	at      time.Time // of the last round
	rounds  int
	done    bool // nobody holds the flow; kept to bound the rate of asks
}

// startAsk asks all agents that may hold the flow and keeps the packet.
func (c *Core) startAsk(now time.Time, s segment.Segment, raw []byte) {
	if a := c.asks[s.Flow]; a != nil {
		a.ack = s.Ack
		if a.done {
			c.count(CounterDropped, "no_holder")
			return
		}
		if len(a.packets) < maxHeld {
			a.packets = append(a.packets, slices.Clone(raw))
		} else {
			c.count(CounterDropped, "ask_queue_full")
		}
		return
	}
	if len(c.asks) >= maxAsks {
		c.count(CounterDropped, "ask_table_full")
		return
	}
	a := &ask{at: now, rounds: 1, ack: s.Ack, packets: [][]byte{slices.Clone(raw)}}
	a.waiting = c.possibleHolders(s.Flow.Dst)
	c.asks[s.Flow] = a
	c.count(CounterAsked, "unknown_flow")
	c.sendAsks(s.Flow, a)
}

// possibleHolders returns the agents of the services that the address leads to.
// An address that leads nowhere, or led elsewhere before, may have flows anywhere.
func (c *Core) possibleHolders(dst netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range c.targets {
		if t.ever {
			out = append(out, t.addr)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

func (c *Core) sendAsks(f model.Flow, a *ask) {
	for _, to := range a.waiting {
		c.send(to, steerwire.Message{Kind: steerwire.KindAsk, Ask: steerwire.Ask{Flow: f}})
	}
}

// answered takes an agent's answer.
func (c *Core) answered(now time.Time, from netip.AddrPort, m steerwire.Answer) {
	a := c.asks[m.Flow]
	if a == nil || a.done {
		return
	}
	i := slices.Index(a.waiting, from)
	if i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	switch m.Holding {
	case steerwire.Held:
		c.found(now, m.Flow, a, from, "held")
		return
	case steerwire.Unsure:
		if i >= 0 {
			a.unsure = append(a.unsure, from)
		}
	}
	if len(a.waiting) == 0 {
		c.conclude(now, m.Flow, a)
	}
}

// found sends the waiting packets to the flow's target.
func (c *Core) found(now time.Time, key model.Flow, a *ask, target netip.AddrPort, reason string) {
	delete(c.asks, key)
	f := &flow{target: target, opened: true, lastSeen: now, at: now, ack: a.ack}
	if t := c.targets[target]; t != nil {
		f.service = t.report.Service
	}
	c.flows[key] = f
	c.log(Entry{Event: "found", Flow: key, Service: f.service, Target: target, Reason: reason, Version: c.version(), Age: now.Sub(a.at), Detail: a.rounds})
	for _, p := range a.packets {
		c.forward(target, f.service, reason == "held", p)
	}
}

// conclude ends an ask without a holder. Agents that cannot tell get the first
// packet one after the other; the target bounces it where the flow is not held.
func (c *Core) conclude(now time.Time, key model.Flow, a *ask) {
	if len(a.unsure) > 0 {
		delete(c.asks, key)
		f := &flow{target: a.unsure[0], lastSeen: now, at: now, ack: a.ack}
		for _, u := range a.unsure {
			f.try(u)
		}
		f.target = a.unsure[0]
		if t := c.targets[f.target]; t != nil {
			f.service = t.report.Service
		}
		c.flows[key] = f
		c.log(Entry{Event: "probed", Flow: key, Service: f.service, Target: f.target, Version: c.version(), Detail: len(a.unsure)})
		c.forward(f.target, f.service, false, a.packets[0])
		return
	}
	a.done = true
	a.packets = nil
	a.at = now
	c.count(CounterDropped, "no_holder")
	c.log(Entry{Event: "dropped", Flow: key, Reason: "no_holder", Version: c.version(), Detail: len(a.waiting)})
}

// overdueAsks repeats or ends asks without all answers.
func (c *Core) overdueAsks(now time.Time) {
	var due []model.Flow
	for k, a := range c.asks {
		if now.Sub(a.at) >= askTimeout {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, model.Flow.Compare)
	for _, k := range due {
		a := c.asks[k]
		switch {
		case a.done:
			if now.Sub(a.at) >= askAgainAfter {
				delete(c.asks, k)
			}
		case a.rounds >= askRounds:
			c.conclude(now, k, a)
		default:
			a.rounds++
			a.at = now
			c.sendAsks(k, a)
		}
	}
}

// askAgainAfter bounds the asks for a flow that nobody holds: its caller repeats
// a packet after 200 ms at the earliest.
const askAgainAfter = 150 * time.Millisecond
