package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// maxLost bounds the addresses remembered after they left the service.
const maxLost = 1024

// holding is a flow that this agent holds, with the homes it is registered at.
type holding struct {
	homes [2]registration
}

// registration is the state of one flow at one home. An empty id stands for none.
type registration struct {
	id   model.NodeID
	inc  model.Incarnation
	sent bool // a batch with the flow was sent to the home
}

// open makes this agent the holder of a flow.
func (c *Core) open(now time.Time, f model.Flow, hash uint64, packets []Packet) {
	c.exceptions.remove(hash, f)
	c.held.put(hash, f)
	c.heldCount[f.ServiceAddr()]++
	for i, p := range packets {
		c.emit(Accept{Ref: p.Ref, Flow: f, Opened: i == 0})
	}
	c.register(now, f, hash)
}

func (c *Core) onClosed(f model.Flow) {
	hash := f.Hash()
	h := c.held.get(hash, f)
	if h == nil {
		return
	}
	for _, r := range h.homes {
		if r.sent {
			c.queueRelease(r, f)
		}
	}
	c.held.remove(hash, f)
	addr := f.ServiceAddr()
	if c.heldCount[addr]--; c.heldCount[addr] == 0 {
		delete(c.heldCount, addr)
		c.announceHeldAddrs()
	}
}

// onView takes a new view of the service.
func (c *Core) onView(now time.Time, v model.ServiceView) {
	if v.Service != c.opt.Service {
		return
	}
	c.updateAddrs(now, c.table.View().Addrs, v.Addrs)
	c.table.Apply(now, v)
	c.viewed = true
	c.updatePeers()
	c.rescanAt = 0
	c.rescanFrom = now
	c.announceHeldAddrs()
}

func (c *Core) updateAddrs(now time.Time, before, after []model.ServiceAddr) {
	for a, left := range c.lost {
		if now.Sub(left) > learnedTime {
			delete(c.lost, a)
		}
	}
	for _, a := range before {
		if !slices.Contains(after, a) {
			delete(c.addrs, a)
			if len(c.lost) < maxLost {
				c.lost[a] = now
			}
		}
	}
	for _, a := range after {
		if _, ok := c.addrs[a]; ok {
			continue
		}
		times := addrTimes{since: now}
		if c.viewed && c.opt.AddressWait > 0 {
			times.openAt = now.Add(c.opt.AddressWait)
		}
		c.addrs[a] = times
		delete(c.lost, a)
	}
}

// announceHeldAddrs emits the addresses that left the service while this agent
// holds flows on them, if the list has changed.
func (c *Core) announceHeldAddrs() {
	var list []model.ServiceAddr
	for a := range c.heldCount {
		if _, own := c.addrs[a]; !own {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, model.ServiceAddr.Compare)
	if !slices.Equal(list, c.heldAddrs) {
		c.heldAddrs = list
		c.emit(HeldAddrs{list})
	}
}

// onRegister stores the holder of flows for which this agent is a home.
func (c *Core) onRegister(now time.Time, ev Message, m message.FlowRegister) {
	for _, f := range m.Flows {
		hash := f.Hash()
		if c.held.get(hash, f) != nil {
			c.emit(Count{ReasonConflict})
			continue
		}
		if peer, ok := c.table.Member(ev.From); ok && ev.Incarnation != 0 && peer.Incarnation > ev.Incarnation {
			continue // sent before the peer restarted
		}
		if a := c.asks[f]; a != nil {
			c.resolve(now, a, ev.From, ev.Incarnation)
		}
		c.remember(now, hash, f, ev.From, ev.Incarnation, 0)
	}
	c.emit(Send{ev.From, message.FlowAck{Seq: m.Seq}})
}

func (c *Core) onRelease(from model.NodeID, m message.FlowRelease) {
	for _, f := range m.Flows {
		hash := f.Hash()
		if e := c.exceptions.get(hash, f); e != nil && e.holder == from {
			c.exceptions.remove(hash, f)
		}
	}
	c.emit(Send{from, message.FlowAck{Seq: m.Seq}})
}
