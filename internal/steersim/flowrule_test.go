package steersim

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// stableWindow is the time without unplanned disruption after which a VM or the store counts
// as stable.
const stableWindow = 4 * time.Second

// flowRule tells which resets and misdirected packets of open flows count. Those within
// stableWindow of an unplanned disruption on the VM of the balancer, on the VM of the holder
// or of the store do not. Planned stops are no disruption.
type flowRule struct {
	disruptedUntil map[netip.Addr]time.Time
	storeUntil     time.Time
}

// disrupt records an unplanned disruption of the VM of a process.
func (s *sim) disrupt(a netip.AddrPort, d time.Duration) {
	if end := s.now.Add(d); s.rule != nil && end.After(s.rule.disruptedUntil[a.Addr()]) {
		s.rule.disruptedUntil[a.Addr()] = end
	}
}

func (s *sim) disruptStore(d time.Duration) {
	if end := s.now.Add(d); s.rule != nil && end.After(s.rule.storeUntil) {
		s.rule.storeUntil = end
	}
}

// counts reports whether a reset or misdirected packets by a balancer count for a flow of
// the holder.
func (s *sim) counts(b *balancer, holder *target, f model.Flow) bool {
	if s.rule == nil || b == nil {
		return s.rule == nil
	}
	if s.callers[f] == nil {
		return false
	}
	stable := func(until time.Time) bool { return s.now.Sub(until) >= stableWindow }
	ok := stable(s.rule.disruptedUntil[b.addr.Addr()]) && stable(s.rule.disruptedUntil[holder.agent.addr.Addr()]) && stable(s.rule.storeUntil)
	if !ok {
		s.logf("not counted: balancer %s, agent %s", b.addr, holder.agent.addr)
		s.uncounted++
	}
	return ok
}
