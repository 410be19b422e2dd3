package flows

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// tentativeTTL is the time for which an agent that opens a flow is recorded as its
	// holder without a registration. Lookups end within 0.3 s and registrations
	// are sent after flushDelay, which leaves time for many lost messages.
	tentativeTTL = 10 * time.Second
	// learnedTTL is the time for which an answer, an outdated registration or a removed
	// address is kept.
	learnedTTL = 30 * time.Second
	// sweepChunk is the number of slots of exceptions checked at each Tick.
	sweepChunk = 64
	// evictScan is the number of slots searched for an entry that is not a
	// registration before a registration is evicted.
	evictScan = 64
)

// exception records the holder of a flow that another agent holds. Packets of the
// flow are forwarded to the holder, whichever agent is the home.
type exception struct {
	holder     model.NodeID
	inc        model.Incarnation // of the holder; 0 if not known yet
	expires    time.Duration     // since Core.origin; 0 for a registration
	registered bool              // the holder registered the flow here
	assigned   bool              // this agent assigned the flow to the holder; not registered yet
	inView     bool              // the holder has been in the view
}

// exceptionFor returns the valid exception of a flow or nil. It deletes an exception
// whose holder has left the view, has restarted or did not register in time.
func (c *Core) exceptionFor(now time.Time, hash uint64, f model.Flow) *exception {
	e := c.exceptions.get(hash, f)
	if e == nil {
		return nil
	}
	if !c.isValid(now, e) {
		c.exceptions.remove(hash, f)
		return nil
	}
	return e
}

// isValid reports whether an exception has not expired and its holder has neither
// left the view nor restarted. It records the incarnation of a holder that appears in
// the view for the first time.
func (c *Core) isValid(now time.Time, e *exception) bool {
	if e.expires != 0 && now.Sub(c.origin) >= e.expires {
		return false
	}
	m, ok := c.table.Member(e.holder)
	if !ok {
		return !e.inView
	}
	if e.inc == 0 {
		e.inc = m.Incarnation
	}
	e.inView = true
	return m.Incarnation <= e.inc
}

// recordHolder records the holder of a flow for the time ttl. A ttl of 0 stands for a
// registration, which is kept until its release, or for learnedTTL if the holder is
// not in the view yet.
func (c *Core) recordHolder(now time.Time, hash uint64, f model.Flow, holder model.NodeID, inc model.Incarnation, ttl time.Duration) *exception {
	m, inView := c.table.Member(holder)
	if inc == 0 && inView {
		inc = m.Incarnation
	}
	if c.exceptions.get(hash, f) == nil && c.exceptions.size >= c.opt.MaxExceptions {
		c.evict()
	}
	e := c.exceptions.put(hash, f)
	registered := ttl == 0 || e.registered && e.holder == holder && e.inc == inc
	*e = exception{holder: holder, inc: inc, registered: registered, inView: inView}
	if !inView && ttl == 0 {
		ttl = learnedTTL
	}
	if ttl != 0 && (!registered || !inView) {
		e.expires = now.Sub(c.origin) + ttl
	}
	return e
}

// evict removes one exception. Registrations are evicted last, because only their
// holders can restore them.
func (c *Core) evict() {
	victim := -1
	for range min(evictScan, len(c.exceptions.slots)) {
		c.evictPos = (c.evictPos + 1) % len(c.exceptions.slots)
		s := &c.exceptions.slots[c.evictPos]
		if !s.used {
			continue
		}
		victim = c.evictPos
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

// sweepExceptions checks the next sweepChunk slots and removes invalid exceptions. A
// registration gets an expiry time if this agent is no longer among the homes of the
// flow: its holder registers with other homes and sends no release here.
func (c *Core) sweepExceptions(now time.Time) {
	n := len(c.exceptions.slots)
	for range min(sweepChunk, n) {
		c.sweepPos = (c.sweepPos + 1) % n
		s := &c.exceptions.slots[c.sweepPos]
		if !s.used {
			continue
		}
		hash := s.flow.Hash()
		if !c.isValid(now, &s.value) {
			c.exceptions.remove(hash, s.flow)
			continue
		}
		if s.value.registered && s.value.expires == 0 && !c.isRegistrationHome(now, hash, s.value.holder) {
			s.value.expires = now.Sub(c.origin) + learnedTTL
			s.value.registered = false
		}
	}
}

// isRegistrationHome reports whether holder registers a flow with this agent.
func (c *Core) isRegistrationHome(now time.Time, hash uint64, holder model.NodeID) bool {
	for _, id := range c.registerHomes(now, hash, holder) {
		if id == c.opt.Self {
			return true
		}
	}
	return false
}
