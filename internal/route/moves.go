package route

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// address is what is known about one service address.
type address struct {
	owner *service // the service that claimed it last, nil if none does
	move  *move    // nil unless another service may hold flows on it
}

// move lists who may hold flows on an address that another service owns now.
type move struct {
	since      time.Time // hints learned before are not used
	former     []formerOwner
	announcers []announcer
}

// formerOwner is a service that owned the address when this balancer saw it move.
type formerOwner struct {
	svc   *service
	until time.Time
}

// announcer is a member that announced the address in HeldAddrs.
type announcer struct {
	svc  *service
	hash uint64 // of the member's ID
}

// heldAddr is one announcement of a service's members.
type heldAddr struct {
	addr model.ServiceAddr
	hash uint64
}

// SetView takes a new or changed view of a service. An address that is new in
// the view is claimed from its owner; one that both the last view and this one
// contain is not, so a late view cannot take back what another service claimed.
func (r *Router) SetView(now time.Time, v model.ServiceView) {
	s := r.services[v.Service]
	if s == nil {
		s = &service{name: v.Service}
		r.services[v.Service] = s
	}
	r.setMembers(now, s, v)
	old, addrs := s.addrs.list(), slices.Clone(v.Addrs)
	slices.SortFunc(addrs, model.ServiceAddr.Compare)
	for _, a := range addrs {
		if _, kept := slices.BinarySearchFunc(old, a, model.ServiceAddr.Compare); !kept {
			r.claim(now, a, s)
		}
	}
	for _, a := range old {
		if _, kept := slices.BinarySearchFunc(addrs, a, model.ServiceAddr.Compare); !kept {
			r.release(now, a, s)
		}
	}
	s.addrs = packAddrs(addrs)
	r.announce(now, s, v.Members)
}

// RemoveService forgets a service. Its members are still asked about its
// addresses during the move window, but their announcements end: a service that
// only lost its addresses keeps a view without any.
func (r *Router) RemoveService(now time.Time, name model.ServiceName) {
	s := r.services[name]
	if s == nil {
		return
	}
	for _, a := range s.addrs.list() {
		r.release(now, a, s)
	}
	s.addrs = ""
	r.announce(now, s, nil)
	delete(r.services, name)
}

func (r *Router) claim(now time.Time, a model.ServiceAddr, s *service) {
	at := r.addrs[a]
	if at.owner != nil {
		r.release(now, a, at.owner)
		at = r.addrs[a]
	}
	at.owner = s
	if at.move != nil {
		at.move.since = now
		at.move.former = slices.DeleteFunc(at.move.former, func(f formerOwner) bool { return f.svc.name == s.name })
	}
	r.addrs[a] = at
	r.prune(now, a)
}

// release notes that the address moved away from s. It does nothing if another
// service has claimed the address already.
func (r *Router) release(now time.Time, a model.ServiceAddr, s *service) {
	at := r.addrs[a]
	if at.owner != s {
		return
	}
	at.owner = nil
	m := r.startMove(now, a, &at)
	m.since = now
	m.former = append(m.former, formerOwner{svc: s, until: now.Add(r.opts.MoveWindow)})
	r.addrs[a] = at
}

func (r *Router) startMove(now time.Time, a model.ServiceAddr, at *address) *move {
	if at.move == nil {
		at.move = &move{since: now}
		r.moved[a] = struct{}{}
	}
	return at.move
}

// announce replaces the announcements of a service's members.
func (r *Router) announce(now time.Time, s *service, members []model.Member) {
	old := r.held[s]
	var held []heldAddr
	for i := range members {
		hash := model.HashString(string(members[i].ID))
		if s.find(hash) == nil {
			continue // gone
		}
		for _, a := range members[i].HeldAddrs {
			held = append(held, heldAddr{addr: a, hash: hash})
		}
	}
	for _, h := range old {
		m := r.addrs[h.addr].move
		m.announcers = slices.DeleteFunc(m.announcers, func(a announcer) bool { return a.svc == s })
	}
	for _, h := range held {
		at := r.addrs[h.addr]
		m := r.startMove(now, h.addr, &at)
		m.announcers = append(m.announcers, announcer{svc: s, hash: h.hash})
		r.addrs[h.addr] = at
	}
	if len(held) > 0 {
		r.held[s] = held
	} else {
		delete(r.held, s)
	}
	for _, h := range old {
		r.prune(now, h.addr)
	}
}

// prune ends a move that nobody is left to ask about.
func (r *Router) prune(now time.Time, a model.ServiceAddr) {
	at := r.addrs[a]
	if at.move == nil {
		return
	}
	at.move.former = slices.DeleteFunc(at.move.former, func(f formerOwner) bool { return !now.Before(f.until) })
	if len(at.move.former) > 0 || len(at.move.announcers) > 0 {
		return
	}
	delete(r.moved, a)
	at.move = nil
	if at.owner == nil {
		delete(r.addrs, a)
	} else {
		r.addrs[a] = at
	}
}

// current returns the present object of a service that may have been removed
// and added again since.
func (r *Router) current(s *service) *service {
	if c := r.services[s.name]; c != nil {
		return c
	}
	return s
}

// routeMoved decides about a packet on an address that other services may hold
// flows on. Only what was learned after the move counts: an older hint may be of
// a flow that has ended.
//
// An opening packet may be a copy of one that a former holder has answered, or
// reuse the 5-tuple of a flow that has ended there. No hint tells these apart,
// so each one is asked about, and the answer replaces the hint for the packets
// that follow.
func (r *Router) routeMoved(now time.Time, at address, hash uint64, opening bool) Decision {
	if h := r.hints.get(hash); !opening && h != nil && h.learned >= at.move.since.UnixNano() {
		age := now.UnixNano() - h.learned
		fresh := age >= 0 && age <= int64(r.opts.Settle)
		if h.holder == notFormer && fresh {
			return r.toHome(now, at.owner, hash, false)
		}
		if s, m := r.holder(now, at, h.holder, fresh); m != nil {
			return r.forward(now, s, m)
		}
	}
	if !r.anyFormer(now, at) {
		return r.toHome(now, at.owner, hash, opening)
	}
	return Decision{Verdict: Ask}
}

// holder finds the member that a hint names: in the owning service, among those
// that announced the address and, for a fresh answer, in the former owners.
func (r *Router) holder(now time.Time, at address, idHash uint64, fresh bool) (*service, *member) {
	if at.owner != nil {
		if m := at.owner.find(idHash); m != nil {
			return at.owner, m
		}
	}
	if at.move == nil {
		return nil, nil
	}
	for _, a := range at.move.announcers {
		if a.hash == idHash {
			if m := a.svc.find(idHash); m != nil {
				return a.svc, m
			}
		}
	}
	for _, f := range at.move.former {
		if s := r.current(f.svc); fresh && now.Before(f.until) {
			if m := s.find(idHash); m != nil {
				return s, m
			}
		}
	}
	return nil, nil
}

// anyFormer reports whether there is anybody to ask.
func (r *Router) anyFormer(now time.Time, at address) bool {
	for _, a := range at.move.announcers {
		if a.svc != at.owner && a.svc.find(a.hash) != nil {
			return true
		}
	}
	for _, f := range at.move.former {
		if s := r.current(f.svc); now.Before(f.until) && s != at.owner && s.anyLive(0) != nil {
			return true
		}
	}
	return false
}
