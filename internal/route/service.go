package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

// service is a view of one service, cut down to what routing needs: a whole
// model.Member would take more than the 256 bytes allowed for a target.
type service struct {
	name        model.ServiceName
	addrs       addrList
	members     []member // in order of their IDs
	fingerprint uint64
	ramp        *ramp // nil unless a member warms up
	uniform     bool  // the active members have equal weights
}

// member is one target.
type member struct {
	id     model.NodeID
	hash   uint64  // of id
	weight float64 // effective weight now
	state  model.State
}

// ramp is the whole view of a service, kept while a member warms up.
type ramp struct {
	view model.ServiceView
	next int64 // Unix nanoseconds of the next weight change
}

func (m *member) live() bool { return m.state >= model.StateActive && m.state < model.StateGone }

func (m *member) rankable() bool { return m.state == model.StateActive && m.weight > 0 }

// setMembers replaces the members. A member that names another service counts
// as gone, so that no packet reaches another service's target.
func (r *Router) setMembers(now time.Time, s *service, v model.ServiceView) {
	v.Members = slices.Clone(v.Members)
	model.SortMembers(v.Members)
	s.members = make([]member, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		if m.Service != v.Service {
			m.State = model.StateGone
		}
		s.members[i] = member{id: m.ID, hash: model.HashString(string(m.ID)), state: m.State}
	}
	s.ramp = &ramp{view: v}
	listed := v
	listed.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m model.Member) bool { return m.State == model.StateGone })
	s.fingerprint = listed.Fingerprint()
	r.rank(now, s)
}

// refresh brings the weights up to date when a step of a warm-up has passed.
func (r *Router) refresh(now time.Time, s *service) {
	if s.ramp != nil && now.UnixNano() >= s.ramp.next {
		r.rank(now, s)
	}
}

// rank computes the effective weights. The fingerprint does not cover them, see
// package placement: agents compare it with theirs, and nodes whose clocks
// differ take a step of a warm-up at different times.
func (r *Router) rank(now time.Time, s *service) {
	v := s.ramp.view
	var next time.Time
	s.uniform = true
	first := -1
	for i, full := range v.Members {
		if t := warmup.NextStep(full, v.Policy, now); !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
		full.Weight = warmup.EffectiveWeight(full, v.Policy, now)
		m := &s.members[i]
		m.weight = full.Weight
		if m.rankable() {
			if first < 0 {
				first = i
			}
			s.uniform = s.uniform && m.weight == s.members[first].weight
		}
	}
	if next.IsZero() {
		s.ramp = nil
	} else {
		s.ramp.next = next.UnixNano()
	}
}

// home returns the active member that ranks first for a flow, or nil. With
// equal weights the highest hash has the highest score, which saves the
// logarithms.
func (s *service) home(hash uint64) *member {
	var best *member
	if s.uniform {
		var top uint64
		for i := range s.members {
			m := &s.members[i]
			if h := model.Mix(hash ^ m.hash); m.rankable() && (best == nil || h > top) {
				best, top = m, h
			}
		}
		return best
	}
	top := 0.0
	for i := range s.members {
		m := &s.members[i]
		if !m.rankable() {
			continue
		}
		if score := hrw.Score(hash, hrw.Candidate{ID: m.hash, Weight: m.weight}); score > top {
			best, top = m, score
		}
	}
	return best
}

// anyLive returns the member that is not gone and ranks first without regard to
// weights, or nil.
func (s *service) anyLive(hash uint64) *member {
	var best *member
	var top uint64
	for i := range s.members {
		m := &s.members[i]
		if h := model.Mix(hash ^ m.hash); m.live() && (best == nil || h > top) {
			best, top = m, h
		}
	}
	return best
}

// find returns the member whose ID has a hash, unless it is gone.
func (s *service) find(idHash uint64) *member {
	for i := range s.members {
		if m := &s.members[i]; m.hash == idHash && m.live() {
			return m
		}
	}
	return nil
}

// knownHomes is the number of active homes that know a holder elsewhere.
const knownHomes = 2

// topLive returns up to n members that are not gone: the active homes that know
// a holder elsewhere, then the others by rank. Leaving and suspect members rank
// by their weights too, as they did when they took their flows; members without
// weight come last.
func (s *service) topLive(hash uint64, n int) []*member {
	type ranked struct {
		m     *member
		score float64
	}
	var all []ranked
	for i := range s.members {
		if m := &s.members[i]; m.live() {
			all = append(all, ranked{m, hrw.Score(hash, hrw.Candidate{ID: m.hash, Weight: m.weight})})
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	out := make([]*member, 0, n)
	for _, c := range all {
		if c.m.rankable() && len(out) < min(n, knownHomes) {
			out = append(out, c.m)
		}
	}
	for _, c := range all {
		if len(out) < n && !slices.Contains(out, c.m) {
			out = append(out, c.m)
		}
	}
	return out
}
