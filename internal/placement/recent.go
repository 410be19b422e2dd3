package placement

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

// Candidates returns up to max members that may hold a flow with the given
// hash, without duplicates and gone members: the first eight homes, the first
// two homes under each view of the last 30 s, then leaving and suspect members
// by rank. All members are candidates of a service with up to eight.
func (t *Table) Candidates(now time.Time, hash uint64, max int) []model.NodeID {
	if !t.applied {
		return nil
	}
	out := make([]model.NodeID, 0, smallService)
	add := func(id model.NodeID) {
		if len(out) < max && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, id := range t.Homes(now, hash, smallService) {
		add(id)
	}
	for k := len(t.views) - 1; k >= 0; k-- {
		v := &t.views[k]
		from, to := v.period(now, recentTime)
		if to.Before(from) {
			break
		}
		for _, at := range [2]time.Time{to, from} {
			for _, i := range t.rank(v, at, hash, registeredHomes) {
				if _, ok := t.find(v.members[i].id); ok {
					add(v.members[i].id)
				}
			}
		}
	}
	for _, id := range t.others(hash) {
		add(id)
	}
	return out
}

// others returns the members that are candidates whatever their score, by the
// rank they would have with an equal weight.
func (t *Table) others(hash uint64) []model.NodeID {
	v := &t.views[len(t.views)-1]
	small := len(v.members) <= smallService
	var cands []hrw.Candidate
	for i := range v.members {
		c := hrw.Candidate{ID: v.members[i].hash}
		if small || v.members[i].state != model.StateActive {
			c.Weight = 1
		}
		cands = append(cands, c)
	}
	var out []model.NodeID
	for _, i := range hrw.Order(nil, hash, cands, len(cands)) {
		out = append(out, v.members[i].id)
	}
	return out
}

// period returns the part of the last d during which v was in effect. The end
// is before the start if there was none.
func (v *view) period(now time.Time, d time.Duration) (from, to time.Time) {
	from, to = now.Add(-d), now
	if v.since.After(from) {
		from = v.since
	}
	if !v.until.IsZero() && v.until.Before(to) {
		to = v.until
	}
	return from, to
}

// Joint returns the distinct sets of the first n homes under every view and
// warm-up step of the settle time, the current one first. A decision that all
// members of all sets grant is known to any node that decides by its own Joint,
// as long as views spread within the settle time. See Complete.
func (t *Table) Joint(now time.Time, hash uint64, n int) [][]model.NodeID {
	var out [][]model.NodeID
	for k := len(t.views) - 1; k >= 0; k-- {
		v := &t.views[k]
		from, to := v.period(now, t.settle)
		if to.Before(from) {
			break
		}
		for _, at := range v.steps(from, to) {
			var set []model.NodeID
			for _, i := range t.rank(v, at, hash, n) {
				set = append(set, v.members[i].id)
			}
			if !slices.ContainsFunc(out, func(s []model.NodeID) bool { return slices.Equal(s, set) }) {
				out = append(out, set)
			}
		}
	}
	return out
}

// steps returns times between from and to, latest first, such that each
// distinct ranking of the period holds at one of them.
func (v *view) steps(from, to time.Time) []time.Time {
	out := []time.Time{to, from}
	w := v.policy.Warmup
	for i := range v.members {
		m := &v.members[i]
		if w <= 0 || m.state != model.StateActive || from.Sub(m.started) >= w {
			continue
		}
		for s := 1; s <= warmup.Steps; s++ {
			// One nanosecond later, so that rounding cannot fall before the step.
			at := m.started.Add(time.Duration(float64(w)/warmup.Steps*float64(s)) + 1)
			if at.After(from) && at.Before(to) {
				out = append(out, at)
			}
		}
	}
	slices.SortFunc(out, func(a, b time.Time) int { return b.Compare(a) })
	return slices.CompactFunc(out, time.Time.Equal)
}
