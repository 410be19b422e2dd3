// Package placement keeps one node's current and recent views of one service.
// It determines which members are the homes of a flow or key, which members may
// hold a flow after recent changes, and whether the view has settled.
//
// # Warm-up steps
//
// The ranking weight of a starting target rises in steps whose times follow
// from Member.Started. Records carry the age of the target, so the time of day
// does not matter, but a record takes time to reach a node: nodes apply a step
// at different times, and the fingerprint does not cover the step. HomeSettled
// is still correct: a node is the settled home of a hash only if it was the home
// at every step of the last settle time. Two nodes with the same members whose
// ages of a target differ by less than the settle time evaluate overlapping
// ranges of steps. Within the overlap only one of them is the home, so they are
// never both the settled home of a hash at the same time. A node that becomes
// the home through a step is the settled home only after another settle time;
// until then it has to query the candidates, and holders register with it.
// Settled ignores steps, because a step changes neither the members nor the
// flows that they hold. HomeSets returns the home sets of each step within the
// settle time.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

const (
	// contactTimeout is the time without contact with an observer after which the
	// view may be stale.
	contactTimeout = 2 * time.Second
	// recentViewTime is the time for which the homes of a replaced view remain candidates.
	recentViewTime = 30 * time.Second
	// maxViews bounds the history. Ten reversed changes within recentViewTime need 20 views.
	maxViews = 32
	// smallService is the largest number of members for which all are candidates. In
	// a larger service, this many first homes are.
	smallService = 8
	// registeredHomes is the number of homes with which a holder registers a flow.
	registeredHomes = 2
)

// Table holds the current and recent views of one service. The times passed to
// its methods must not decrease. It is not safe for concurrent use.
type Table struct {
	self       model.NodeID
	settleTime time.Duration

	current     model.ServiceView // without gone members, sorted by ID
	fingerprint uint64
	views       []view // oldest first; the last one is in effect
	applied     bool   // Apply has been called

	lastContact  time.Time
	contactSince time.Time // start of the current period of uninterrupted contact
	contacted    bool      // Contact has been called

	candidates []hrw.Candidate // buffers of rank
	order      []int
}

// view is the input of the ranking during one period.
type view struct {
	activeFrom, activeUntil time.Time // activeUntil is zero for the view in effect
	rev                     uint64
	policy                  model.ServicePolicy
	members                 []rankedMember
}

// rankedMember holds the fields of a member on which the ranking depends.
type rankedMember struct {
	id      model.NodeID
	hash    uint64
	inc     model.Incarnation
	state   model.State
	weight  float64
	started time.Time
}

// New returns an empty table for the node self. A view has settled when it has
// not changed for settleTime, which must be longer than a change takes to reach
// all nodes.
func New(self model.NodeID, settleTime time.Duration) *Table {
	return &Table{self: self, settleTime: settleTime}
}

// Apply makes v the current view. Only changes that can affect rankings restart
// the settle time: members, their incarnations, states, weights and start
// times, the length of the warm-up, and the revision, which also covers changes
// that were reversed before this node received them. The table retains v's slices.
func (t *Table) Apply(now time.Time, v model.ServiceView) {
	members := make([]model.Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State != model.StateGone {
			members = append(members, m)
		}
	}
	model.SortMembers(members)
	v.Members = members
	t.current = v
	t.fingerprint = v.Fingerprint()

	next := view{activeFrom: now, rev: v.Rev, policy: model.ServicePolicy{Warmup: v.Policy.Warmup}}
	for i := range members {
		m := &members[i]
		next.members = append(next.members, rankedMember{
			id: m.ID, hash: model.HashString(string(m.ID)), inc: m.Incarnation,
			state: m.State, weight: m.Weight, started: m.Started,
		})
	}
	if t.applied && t.views[len(t.views)-1].equal(next) {
		return
	}
	if t.applied {
		t.views[len(t.views)-1].activeUntil = now
	}
	t.applied = true
	t.views = append(t.views, next)
	expired := 0
	for expired < len(t.views)-1 && (len(t.views)-expired > maxViews || now.Sub(t.views[expired].activeUntil) > recentViewTime) {
		expired++
	}
	t.views = slices.Delete(t.views, 0, expired)
}

// equal reports whether two views have the same revision and ranking input.
func (v view) equal(w view) bool {
	return v.rev == w.rev && v.policy.Warmup == w.policy.Warmup && slices.EqualFunc(v.members, w.members, func(a, b rankedMember) bool {
		return a.id == b.id && a.inc == b.inc && a.state == b.state && a.weight == b.weight && a.started.Equal(b.started)
	})
}

// Contact records the receipt of a message from an observer. After a gap the
// settle time restarts, because a change made during the gap may not have
// reached this node yet.
func (t *Table) Contact(now time.Time) {
	if !t.contacted || now.Sub(t.lastContact) > contactTimeout {
		t.contactSince = now
	}
	t.contacted = true
	t.lastContact = now
}

// Settled reports whether the view has not changed for the settle time and the
// node was in contact with its observers throughout.
func (t *Table) Settled(now time.Time) bool {
	return t.applied && t.contacted &&
		now.Sub(t.lastContact) <= contactTimeout &&
		now.Sub(t.contactSince) >= t.settleTime &&
		now.Sub(t.views[len(t.views)-1].activeFrom) >= t.settleTime
}

// HomeSettled reports whether the view has settled and this node was the home
// of hash at each warm-up step of the settle time. Weights only rise during a
// warm-up, so it suffices that this node's score with its weight of one settle
// time ago exceeds the current scores of all other members.
func (t *Table) HomeSettled(now time.Time, hash uint64) bool {
	if !t.Settled(now) {
		return false
	}
	v := &t.views[len(t.views)-1]
	own, best := 0.0, 0.0
	for i := range v.members {
		m := &v.members[i]
		if m.id == t.self {
			own = v.score(i, hash, now.Add(-t.settleTime))
		} else {
			best = max(best, v.score(i, hash, now))
		}
	}
	return own > best
}

// HistoryComplete reports whether the history spans the settle time, so that
// HomeSets covers all of it. It is false during the first settle time and after
// more than maxViews changes within the settle time.
func (t *Table) HistoryComplete(now time.Time) bool {
	return t.applied && now.Sub(t.views[0].activeFrom) >= t.settleTime
}

// Fingerprint returns the fingerprint of the current view without gone members,
// see model.ServiceView.Fingerprint. Equal views have equal fingerprints.
func (t *Table) Fingerprint() uint64 { return t.fingerprint }

// View returns the current view without gone members. The caller must not
// modify it.
func (t *Table) View() model.ServiceView { return t.current }

// Member returns a member of the current view. It does not return gone members.
func (t *Table) Member(id model.NodeID) (model.Member, bool) {
	if i, ok := t.memberIndex(id); ok {
		return t.current.Members[i], true
	}
	return model.Member{}, false
}

func (t *Table) memberIndex(id model.NodeID) (int, bool) {
	return slices.BinarySearchFunc(t.current.Members, id, func(m model.Member, id model.NodeID) int {
		return cmp.Compare(m.ID, id)
	})
}

// Weight returns the effective weight of a member, or 0 if it is not active.
func (t *Table) Weight(now time.Time, id model.NodeID) float64 {
	if i, ok := t.memberIndex(id); ok {
		return t.views[len(t.views)-1].weight(i, now)
	}
	return 0
}

// WarmingUp reports whether any member is in its warm-up, during which homes
// change without a new view. It remains true for 1 s after the last step.
func (t *Table) WarmingUp(now time.Time) bool {
	for i := range t.current.Members {
		if now.Sub(t.current.Members[i].Started) < t.current.Policy.Warmup+time.Second {
			return true
		}
	}
	return false
}

func (v *view) weight(i int, now time.Time) float64 {
	m := &v.members[i]
	if m.state != model.StateActive {
		return 0
	}
	return warmup.EffectiveWeight(model.Member{Weight: m.weight, Started: m.started}, v.policy, now)
}

func (v *view) score(i int, hash uint64, now time.Time) float64 {
	return hrw.Score(hash, hrw.Candidate{ID: v.members[i].hash, Weight: v.weight(i, now)})
}

// rank returns the first n homes of hash under v as indices into v.members. The
// slice is valid until the next call.
func (t *Table) rank(v *view, now time.Time, hash uint64, n int) []int {
	t.candidates = t.candidates[:0]
	for i := range v.members {
		t.candidates = append(t.candidates, hrw.Candidate{ID: v.members[i].hash, Weight: v.weight(i, now)})
	}
	t.order = hrw.Order(t.order[:0], hash, t.candidates, n)
	return t.order
}

// Homes returns the first n homes of hash, best first. Only active members with
// a positive weight are homes.
func (t *Table) Homes(now time.Time, hash uint64, n int) []model.NodeID {
	return t.AppendHomes(nil, now, hash, n)
}

// AppendHomes appends the result of Homes to dst. It does not allocate if dst has
// sufficient capacity.
func (t *Table) AppendHomes(dst []model.NodeID, now time.Time, hash uint64, n int) []model.NodeID {
	if !t.applied {
		return dst
	}
	v := &t.views[len(t.views)-1]
	for _, i := range t.rank(v, now, hash, n) {
		dst = append(dst, v.members[i].id)
	}
	return dst
}
