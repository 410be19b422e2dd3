package route

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// address is the routing state of one service address.
type address struct {
	owner *service // the service that claimed it last, or nil
	move  *move    // nil unless another service may hold flows on it
}

// move lists the members that may hold flows on an address which another service owns now.
type move struct {
	since       time.Time // older hints are not used; updated with each change of owner
	former      []formerOwner
	advertisers []advertiser
}

// formerOwner is a service that lost the address in a view applied by this balancer.
type formerOwner struct {
	svc   *service
	until time.Time // end of the move window
}

// advertiser is a member that lists the address in HeldAddrs.
type advertiser struct {
	svc  *service
	hash uint64 // of the member's ID
}

// advertisement is one address in the HeldAddrs of a service's member.
type advertisement struct {
	addr model.ServiceAddr
	hash uint64 // of the member's ID
}

// SetView adds or replaces the view of a service. The service claims only the addresses that its
// previous view lacks, so a late view cannot reclaim an address from the service that claimed it
// meanwhile.
func (r *Router) SetView(now time.Time, v model.ServiceView) {
	s := r.services[v.Service]
	if s == nil {
		s = &service{name: v.Service}
		r.services[v.Service] = s
	}
	r.setMembers(now, s, v)
	old, addrs := s.addrs.unpack(), slices.Clone(v.Addrs)
	slices.SortFunc(addrs, model.ServiceAddr.Compare)
	for _, a := range addrs {
		if _, kept := slices.BinarySearchFunc(old, a, model.ServiceAddr.Compare); !kept {
			r.claimAddr(now, a, s)
		}
	}
	for _, a := range old {
		if _, kept := slices.BinarySearchFunc(addrs, a, model.ServiceAddr.Compare); !kept {
			r.releaseAddr(now, a, s)
		}
	}
	s.addrs = packAddrs(addrs)
	r.setAdvertisements(now, s, v.Members)
}

// RemoveService removes a service. Its members are still queried about its addresses during the
// move window, but their advertisements end at once. A service that only lost its addresses is not
// removed: it keeps a view without addresses.
func (r *Router) RemoveService(now time.Time, name model.ServiceName) {
	s := r.services[name]
	if s == nil {
		return
	}
	for _, a := range s.addrs.unpack() {
		r.releaseAddr(now, a, s)
	}
	s.addrs = ""
	r.setAdvertisements(now, s, nil)
	delete(r.services, name)
}

// claimAddr makes s the owner of an address.
func (r *Router) claimAddr(now time.Time, a model.ServiceAddr, s *service) {
	addr := r.addrs[a]
	if addr.owner != nil {
		r.releaseAddr(now, a, addr.owner)
		addr = r.addrs[a]
	}
	addr.owner = s
	if addr.move != nil {
		addr.move.since = now
		addr.move.former = slices.DeleteFunc(addr.move.former, func(f formerOwner) bool { return f.svc.name == s.name })
	}
	r.addrs[a] = addr
	r.pruneMove(now, a)
}

// releaseAddr records that an address moved away from s. It does nothing if another service has
// claimed the address already.
func (r *Router) releaseAddr(now time.Time, a model.ServiceAddr, s *service) {
	addr := r.addrs[a]
	if addr.owner != s {
		return
	}
	addr.owner = nil
	m := r.startMove(now, a, &addr)
	m.since = now
	m.former = append(m.former, formerOwner{svc: s, until: now.Add(r.opts.MoveWindow)})
	r.addrs[a] = addr
}

// startMove returns the address's move, which it adds if there is none.
func (r *Router) startMove(now time.Time, a model.ServiceAddr, addr *address) *move {
	if addr.move == nil {
		addr.move = &move{since: now}
		r.moved[a] = struct{}{}
	}
	return addr.move
}

// setAdvertisements replaces the advertisements of a service's members.
func (r *Router) setAdvertisements(now time.Time, s *service, members []model.Member) {
	old := r.advertisements[s]
	var advertisements []advertisement
	for i := range members {
		hash := model.HashString(string(members[i].ID))
		if s.findLive(hash) == nil {
			continue // not live
		}
		for _, a := range members[i].HeldAddrs {
			advertisements = append(advertisements, advertisement{addr: a, hash: hash})
		}
	}
	for _, ad := range old {
		m := r.addrs[ad.addr].move
		m.advertisers = slices.DeleteFunc(m.advertisers, func(a advertiser) bool { return a.svc == s })
	}
	for _, ad := range advertisements {
		state := r.addrs[ad.addr]
		m := r.startMove(now, ad.addr, &state)
		m.advertisers = append(m.advertisers, advertiser{svc: s, hash: ad.hash})
		r.addrs[ad.addr] = state
	}
	if len(advertisements) > 0 {
		r.advertisements[s] = advertisements
	} else {
		delete(r.advertisements, s)
	}
	for _, ad := range old {
		r.pruneMove(now, ad.addr)
	}
}

// pruneMove removes the former owners whose move window has ended, and the move itself when
// neither former owners nor advertisers remain.
func (r *Router) pruneMove(now time.Time, a model.ServiceAddr) {
	addr := r.addrs[a]
	if addr.move == nil {
		return
	}
	addr.move.former = slices.DeleteFunc(addr.move.former, func(f formerOwner) bool { return !now.Before(f.until) })
	if len(addr.move.former) > 0 || len(addr.move.advertisers) > 0 {
		return
	}
	delete(r.moved, a)
	addr.move = nil
	if addr.owner == nil {
		delete(r.addrs, a)
	} else {
		r.addrs[a] = addr
	}
}

// currentService returns the current state of a service, which may have been removed and added
// again since s was stored. It returns s if the service does not exist now.
func (r *Router) currentService(s *service) *service {
	if c := r.services[s.name]; c != nil {
		return c
	}
	return s
}

// routeMoved decides about a packet on an address on which other services may hold flows. It uses
// only hints learned after the move: an older hint may belong to a flow that has ended.
//
// An opening packet may be a copy of one that a former owner's target has answered, or reuse the
// 5-tuple of a flow that has ended there. A hint cannot distinguish the two, so every opening
// packet is looked up, and the answer replaces the hint for the packets that follow.
func (r *Router) routeMoved(now time.Time, addr address, hash uint64, opening bool) Decision {
	if h := r.hints.get(hash); !opening && h != nil && h.learned >= r.hints.time(addr.move.since) {
		fresh := r.hints.time(now)-h.learned <= r.opts.AnswerTTL
		if h.holder == noHolder && fresh {
			return r.forwardHome(now, addr.owner, hash, false)
		}
		if s, m := r.findHolder(now, addr, h.holder, fresh); m != nil {
			return r.forward(now, s, m)
		}
	}
	if !r.hasCandidates(now, addr) {
		return r.forwardHome(now, addr.owner, hash, opening)
	}
	return Decision{Verdict: LookupHolder}
}

// findHolder returns the member that a hint or answer names. It searches the owning service, the
// advertisers of the address and, for a fresh answer, the former owners.
func (r *Router) findHolder(now time.Time, addr address, idHash uint64, fresh bool) (*service, *member) {
	if addr.owner != nil {
		if m := addr.owner.findLive(idHash); m != nil {
			return addr.owner, m
		}
	}
	if addr.move == nil {
		return nil, nil
	}
	for _, a := range addr.move.advertisers {
		if a.hash == idHash {
			if m := a.svc.findLive(idHash); m != nil {
				return a.svc, m
			}
		}
	}
	for _, f := range addr.move.former {
		if s := r.currentService(f.svc); fresh && now.Before(f.until) {
			if m := s.findLive(idHash); m != nil {
				return s, m
			}
		}
	}
	return nil, nil
}

// hasCandidates reports whether a member of a service other than the owner may hold flows on the
// address.
func (r *Router) hasCandidates(now time.Time, addr address) bool {
	for _, a := range addr.move.advertisers {
		if a.svc != addr.owner && a.svc.findLive(a.hash) != nil {
			return true
		}
	}
	for _, f := range addr.move.former {
		if s := r.currentService(f.svc); now.Before(f.until) && s != addr.owner && s.anyLive(0) != nil {
			return true
		}
	}
	return false
}
