package placement

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

// Candidates returns up to max members that may hold a flow with the given
// hash, without duplicates or gone members: the first eight homes, the first
// two homes under each view of the last 30 s, then leaving and suspect members
// by rank. In a service of up to eight members, all are candidates.
func (t *Table) Candidates(now time.Time, hash uint64, max int) []model.NodeID {
	if !t.applied {
		return nil
	}
	out := make([]model.NodeID, 0, smallService)
	appendCandidate := func(id model.NodeID) {
		if len(out) < max && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for _, id := range t.Homes(now, hash, smallService) {
		appendCandidate(id)
	}
	for k := len(t.views) - 1; k >= 0; k-- {
		v := &t.views[k]
		from, to := v.activePeriod(now, recentViewTime)
		if to.Before(from) {
			break
		}
		for _, when := range [2]time.Time{to, from} {
			for _, i := range t.rank(v, when, hash, registeredHomes) {
				if _, ok := t.memberIndex(v.members[i].id); ok {
					appendCandidate(v.members[i].id)
				}
			}
		}
	}
	for _, id := range t.remainingCandidates(hash) {
		appendCandidate(id)
	}
	return out
}

// remainingCandidates returns the members that are candidates regardless of their score:
// those that are not active and, in a small service, all members. They are ranked with
// equal weights.
func (t *Table) remainingCandidates(hash uint64) []model.NodeID {
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

// activePeriod returns the part of the last d during which v was in effect. If v was
// not in effect, to is before from.
func (v *view) activePeriod(now time.Time, d time.Duration) (from, to time.Time) {
	from, to = now.Add(-d), now
	if v.activeFrom.After(from) {
		from = v.activeFrom
	}
	if !v.activeUntil.IsZero() && v.activeUntil.Before(to) {
		to = v.activeUntil
	}
	return from, to
}

// HomeSets returns the distinct sets of the first n homes under every view and
// warm-up step within the settle time, the current set first. If all members of
// all sets have granted a decision, every other node's HomeSets contains a set whose
// members know of it, provided that views reach all nodes within the settle time.
// See HistoryComplete.
func (t *Table) HomeSets(now time.Time, hash uint64, n int) [][]model.NodeID {
	var out [][]model.NodeID
	for k := len(t.views) - 1; k >= 0; k-- {
		v := &t.views[k]
		from, to := v.activePeriod(now, t.settleTime)
		if to.Before(from) {
			break
		}
		for _, when := range v.rankingTimes(from, to) {
			var set []model.NodeID
			for _, i := range t.rank(v, when, hash, n) {
				set = append(set, v.members[i].id)
			}
			if !slices.ContainsFunc(out, func(s []model.NodeID) bool { return slices.Equal(s, set) }) {
				out = append(out, set)
			}
		}
	}
	return out
}

// rankingTimes returns times in [from, to], latest first, such that each
// distinct ranking of the period is in effect at one of them.
func (v *view) rankingTimes(from, to time.Time) []time.Time {
	out := []time.Time{to, from}
	w := v.policy.Warmup
	for i := range v.members {
		m := &v.members[i]
		if w <= 0 || m.state != model.StateActive || from.Sub(m.started) >= w {
			continue
		}
		for s := 1; s <= warmup.Steps; s++ {
			// One nanosecond is added so that the rounded time is not before the step.
			at := m.started.Add(time.Duration(float64(w)/warmup.Steps*float64(s)) + 1)
			if at.After(from) && at.Before(to) {
				out = append(out, at)
			}
		}
	}
	slices.SortFunc(out, func(a, b time.Time) int { return b.Compare(a) })
	return slices.CompactFunc(out, time.Time.Equal)
}
