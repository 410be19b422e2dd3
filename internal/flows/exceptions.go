package flows

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// tentativeTime is how long an agent that opens a flow counts as its holder
	// before it has registered. Asks end within 0.3 s and registrations are sent
	// within 1 s, so it leaves room for many lost messages.
	tentativeTime = 10 * time.Second
	// learnedTime is how long an answer or an outdated registration is kept.
	learnedTime = 30 * time.Second
	// sweepChunk is the number of entries checked at each Tick.
	sweepChunk = 64
	// evictScan is the number of slots searched for an entry that is no
	// registration before a registration is evicted.
	evictScan = 64
)

// exception is what the agent knows about a flow that another agent holds.
type exception struct {
	holder     model.NodeID
	inc        model.Incarnation // of the holder; 0 if it was never known
	expires    int64             // Unix time in ns; 0 for a registration
	registered bool              // the holder registered the flow here
	assigned   bool              // this agent chose the holder, which has not registered yet
	known      bool              // the holder has been in the view
}

// lookup returns the live exception of a flow or nil. It deletes an exception
// whose holder is gone, has restarted or did not register in time.
func (c *Core) lookup(now time.Time, hash uint64, f model.Flow) *exception {
	e := c.exceptions.get(hash, f)
	if e == nil {
		return nil
	}
	if !c.live(now, e) {
		c.exceptions.remove(hash, f)
		return nil
	}
	return e
}

func (c *Core) live(now time.Time, e *exception) bool {
	if e.expires != 0 && now.UnixNano() >= e.expires {
		return false
	}
	m, ok := c.table.Member(e.holder)
	if !ok {
		return !e.known
	}
	if e.inc == 0 {
		e.inc = m.Incarnation
	}
	e.known = true
	return m.Incarnation <= e.inc
}

// remember records that holder has the flow, for the given time, or until it is
// released if ttl is 0. A holder that is not in the view yet gets learnedTime.
func (c *Core) remember(now time.Time, hash uint64, f model.Flow, holder model.NodeID, inc model.Incarnation, ttl time.Duration) *exception {
	m, known := c.table.Member(holder)
	if inc == 0 && known {
		inc = m.Incarnation
	}
	if c.exceptions.get(hash, f) == nil && c.exceptions.size >= c.opt.MaxExceptions {
		c.evict()
	}
	e := c.exceptions.put(hash, f)
	registered := ttl == 0 || e.registered && e.holder == holder && e.inc == inc
	*e = exception{holder: holder, inc: inc, registered: registered, known: known}
	if !known && ttl == 0 {
		ttl = learnedTime
	}
	if ttl != 0 && (!registered || !known) {
		e.expires = now.Add(ttl).UnixNano()
	}
	return e
}

// evict frees one slot. Registrations go last, because only their holders can
// bring them back.
func (c *Core) evict() {
	victim := -1
	for range min(evictScan, len(c.exceptions.slots)) {
		c.evictAt = (c.evictAt + 1) % len(c.exceptions.slots)
		s := &c.exceptions.slots[c.evictAt]
		if !s.used {
			continue
		}
		victim = c.evictAt
		if !s.value.registered {
			break
		}
	}
	if victim >= 0 {
		f := c.exceptions.slots[victim].flow
		c.exceptions.remove(f.Hash(), f)
		c.emit(Count{ReasonEvicted})
	}
}

// sweep checks some exceptions. A registration whose flow no longer has this
// agent among its homes starts to expire: its holder registers elsewhere and
// sends no release here.
func (c *Core) sweep(now time.Time) {
	n := len(c.exceptions.slots)
	for range min(sweepChunk, n) {
		c.sweepAt = (c.sweepAt + 1) % n
		s := &c.exceptions.slots[c.sweepAt]
		if !s.used {
			continue
		}
		hash := s.flow.Hash()
		if !c.live(now, &s.value) {
			c.exceptions.remove(hash, s.flow)
			continue
		}
		if s.value.registered && s.value.expires == 0 && !c.registersHere(now, hash, s.value.holder) {
			s.value.expires = now.Add(learnedTime).UnixNano()
			s.value.registered = false
		}
	}
}

// registersHere reports whether the holder of a flow would register it here.
func (c *Core) registersHere(now time.Time, hash uint64, holder model.NodeID) bool {
	for _, id := range c.registerHomes(now, hash, holder) {
		if id == c.opt.Self {
			return true
		}
	}
	return false
}
