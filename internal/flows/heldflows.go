package flows

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// maxRemovedAddrs bounds the recently removed addresses that are remembered.
const maxRemovedAddrs = 1024

// heldFlow is the state of a flow that this agent holds.
type heldFlow struct {
	homes [2]registration // homes with which the flow is registered
}

// registration is the state of one flow at one home. It is unused if id is empty.
type registration struct {
	id   model.NodeID
	inc  model.Incarnation
	sent bool // a batch with the flow has been sent to the home
}

// openFlow makes this agent the holder of a flow.
func (c *Core) openFlow(now time.Time, f model.Flow, hash uint64, packets []Packet) {
	c.exceptions.remove(hash, f)
	c.held.put(hash, f)
	c.flowsPerAddr[f.ServiceAddr()]++
	for i, p := range packets {
		c.emit(Accept{Ref: p.Ref, Flow: f, Opened: i == 0})
	}
	c.registerFlow(now, f, hash)
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
	if c.flowsPerAddr[addr]--; c.flowsPerAddr[addr] == 0 {
		delete(c.flowsPerAddr, addr)
		c.advertiseHeldAddrs()
	}
}

// onView applies a new view of the service.
func (c *Core) onView(now time.Time, v model.ServiceView) {
	if v.Service != c.opt.Service {
		return
	}
	c.updateAddrs(now, c.table.View().Addrs, v.Addrs)
	c.table.Apply(now, v)
	c.hasView = true
	c.updatePeers()
	c.rescanPos = 0
	c.rescanStarted = now
	c.advertiseHeldAddrs()
}

// updateAddrs records when addresses were added to or removed from the service.
func (c *Core) updateAddrs(now time.Time, before, after []model.ServiceAddr) {
	for a, removed := range c.removedAt {
		if now.Sub(removed) > learnedTTL {
			delete(c.removedAt, a)
		}
	}
	for _, a := range before {
		if !slices.Contains(after, a) {
			delete(c.addrs, a)
			if len(c.removedAt) < maxRemovedAddrs {
				c.removedAt[a] = now
			}
		}
	}
	for _, a := range after {
		if _, ok := c.addrs[a]; ok {
			continue
		}
		times := addrTimes{since: now}
		if c.hasView && c.opt.AddressWait > 0 {
			times.opensAt = now.Add(c.opt.AddressWait)
		}
		c.addrs[a] = times
		delete(c.removedAt, a)
	}
}

// advertiseHeldAddrs emits the addresses that no longer belong to the service but on
// which this agent holds flows, if the list has changed.
func (c *Core) advertiseHeldAddrs() {
	var list []model.ServiceAddr
	for a := range c.flowsPerAddr {
		if _, own := c.addrs[a]; !own {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, model.ServiceAddr.Compare)
	if !slices.Equal(list, c.advertisedAddrs) {
		c.advertisedAddrs = list
		c.emit(HeldAddrs{list})
	}
}

// onRegister records the sender as the holder of flows for which this agent is a
// home, and acknowledges the message.
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
		if l := c.lookups[f]; l != nil {
			c.resolveLookup(now, l, ev.From, ev.Incarnation)
		}
		c.recordHolder(now, hash, f, ev.From, ev.Incarnation, 0)
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
