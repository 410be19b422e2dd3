package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

// service is the view of one service, reduced to what routing needs: a whole model.Member exceeds
// the limit of 256 bytes for a target.
type service struct {
	name         model.ServiceName
	addrs        addrList
	members      []member // in order of their IDs
	fingerprint  uint64
	warmupView   *warmupView // nil unless a member warms up
	equalWeights bool        // the active members have equal weights
}

// member is one target of a service.
type member struct {
	id     model.NodeID
	hash   uint64  // of id
	weight float64 // effective weight now
	state  model.State
}

// warmupView keeps the whole view of a service while a member warms up.
type warmupView struct {
	view     model.ServiceView
	nextStep time.Time // of the next weight change
}

// live reports whether a member may hold flows.
func (m *member) live() bool { return m.state >= model.StateActive && m.state < model.StateGone }

// rankable reports whether new flows may be assigned to a member.
func (m *member) rankable() bool { return m.state == model.StateActive && m.weight > 0 }

// setMembers replaces the members. A member that names another service is treated as gone, so that
// no packet reaches another service's target.
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
	s.warmupView = &warmupView{view: v}
	listed := v
	listed.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m model.Member) bool { return m.State == model.StateGone })
	s.fingerprint = listed.Fingerprint()
	r.updateWeights(now, s)
}

// refreshWeights recomputes the weights when the next warm-up step is due.
func (r *Router) refreshWeights(now time.Time, s *service) {
	if s.warmupView != nil && !now.Before(s.warmupView.nextStep) {
		r.updateWeights(now, s)
	}
}

// updateWeights computes the effective weights. The fingerprint does not cover them (see package
// placement): agents compare it with their own, and nodes reach a warm-up step at different times.
func (r *Router) updateWeights(now time.Time, s *service) {
	v := s.warmupView.view
	var nextStep time.Time
	s.equalWeights = true
	first := -1
	for i, full := range v.Members {
		if t := warmup.NextStep(full, v.Policy, now); !t.IsZero() && (nextStep.IsZero() || t.Before(nextStep)) {
			nextStep = t
		}
		full.Weight = warmup.EffectiveWeight(full, v.Policy, now)
		m := &s.members[i]
		m.weight = full.Weight
		if m.rankable() {
			if first < 0 {
				first = i
			}
			s.equalWeights = s.equalWeights && m.weight == s.members[first].weight
		}
	}
	if nextStep.IsZero() {
		s.warmupView = nil
	} else {
		s.warmupView.nextStep = nextStep
	}
}

// home returns the active member that ranks first for a flow, or nil. With equal weights the
// highest hash has the highest score, so no logarithms are needed.
func (s *service) home(hash uint64) *member {
	var best *member
	if s.equalWeights {
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

// anyLive returns the first-ranked live member regardless of weights, or nil.
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

// findLive returns the live member whose ID has the given hash, or nil.
func (s *service) findLive(idHash uint64) *member {
	for i := range s.members {
		if m := &s.members[i]; m.hash == idHash && m.live() {
			return m
		}
	}
	return nil
}

// registeredHomes is the number of top-ranked active members that record the holder of a flow
// which is held elsewhere.
const registeredHomes = 2

// topLive returns up to n live members: the active homes that know a holder elsewhere, then the
// others by rank. Leaving and suspect members rank by their weights too, as they did when they
// accepted their flows; members without weight come last.
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
		if c.m.rankable() && len(out) < min(n, registeredHomes) {
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
