// Package placement holds what one node believes about one service, now and
// lately: which members are the homes of a flow or key, which members may hold
// a flow after recent changes, and whether the view has settled.
//
// # Warm-up steps
//
// The ranking weight of a starting target rises in steps whose times follow
// from Member.Started, and nodes see a step at different times because their
// clocks differ. The fingerprint does not cover the step. HomeSettled is sound
// without it: a node is the settled home of a hash only if it was the home
// under every step of the last settle time. Two nodes with the same members
// and clocks that differ by less than the settle time look at overlapping
// ranges of steps. Within the overlap only one of them is the home, so they
// cannot both be the settled home of a hash at the same moment. A node that
// becomes the home by a step is the settled home only a settle time later;
// until then it has to ask, and holders register with it. Settled ignores
// steps, because a step changes neither the members nor what they hold. Joint
// returns the home sets of each step of the settle time.
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
	// contactTimeout is how long a view counts as current without an observer.
	contactTimeout = 2 * time.Second
	// recentTime is how long the homes of a replaced view stay candidates.
	recentTime = 30 * time.Second
	// maxViews bounds the history. Ten reversals within recentTime need 20.
	maxViews = 32
	// smallService is the number of members up to which all are candidates.
	smallService = 8
	// registeredHomes is the number of homes that a holder registers with.
	registeredHomes = 2
)

// Table holds the current and recent views of one service. The times passed to
// its methods must not decrease. It is not safe for concurrent use.
type Table struct {
	self   model.NodeID
	settle time.Duration

	current     model.ServiceView // without gone members, in order of IDs
	fingerprint uint64
	views       []view // oldest first; the last one is in effect
	applied     bool

	lastContact  time.Time
	contactSince time.Time // start of the contact that has not been interrupted
	heard        bool

	scratch []hrw.Candidate
	order   []int
}

// view is the ranking of one period.
type view struct {
	since, until time.Time // until is zero for the view in effect
	rev          uint64
	policy       model.ServicePolicy
	members      []ranked
}

// ranked is the part of a member that ranking depends on.
type ranked struct {
	id      model.NodeID
	hash    uint64
	inc     model.Incarnation
	state   model.State
	weight  float64
	started time.Time
}

// New returns an empty table for the node self. A view has settled when it has
// not changed for the time settle, which must be longer than a change takes to
// reach all nodes.
func New(self model.NodeID, settle time.Duration) *Table {
	return &Table{self: self, settle: settle}
}

// Apply makes v the current view. Only changes that rankings depend on restart
// the settle time: members, their incarnations, states, weights and start
// times, the length of the warm-up, and the revision, which tells of changes
// that were reversed before this node saw them. The table keeps v's slices.
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

	next := view{since: now, rev: v.Rev, policy: model.ServicePolicy{Warmup: v.Policy.Warmup}}
	for i := range members {
		m := &members[i]
		next.members = append(next.members, ranked{
			id: m.ID, hash: model.HashString(string(m.ID)), inc: m.Incarnation,
			state: m.State, weight: m.Weight, started: m.Started,
		})
	}
	if t.applied && t.views[len(t.views)-1].same(next) {
		return
	}
	if t.applied {
		t.views[len(t.views)-1].until = now
	}
	t.applied = true
	t.views = append(t.views, next)
	old := 0
	for old < len(t.views)-1 && (len(t.views)-old > maxViews || now.Sub(t.views[old].until) > recentTime) {
		old++
	}
	t.views = slices.Delete(t.views, 0, old)
}

func (v view) same(w view) bool {
	return v.rev == w.rev && v.policy.Warmup == w.policy.Warmup && slices.EqualFunc(v.members, w.members, func(a, b ranked) bool {
		return a.id == b.id && a.inc == b.inc && a.state == b.state && a.weight == b.weight && a.started.Equal(b.started)
	})
}

// Contact records that the node heard from an observer. After a gap the settle
// time starts again, because a change that happened during the gap may still
// be on its way.
func (t *Table) Contact(now time.Time) {
	if !t.heard || now.Sub(t.lastContact) > contactTimeout {
		t.contactSince = now
	}
	t.heard = true
	t.lastContact = now
}

// Settled reports whether the view has not changed for the settle time and the
// node has been in contact with its observers all that time.
func (t *Table) Settled(now time.Time) bool {
	return t.applied && t.heard &&
		now.Sub(t.lastContact) <= contactTimeout &&
		now.Sub(t.contactSince) >= t.settle &&
		now.Sub(t.views[len(t.views)-1].since) >= t.settle
}

// HomeSettled reports whether the view has settled and this node was the home
// of hash under each warm-up step of the settle time. Weights only rise during
// a warm-up, so it is enough that this node's score with its weight of a settle
// time ago is above the other scores of now.
func (t *Table) HomeSettled(now time.Time, hash uint64) bool {
	if !t.Settled(now) {
		return false
	}
	v := &t.views[len(t.views)-1]
	own, best := 0.0, 0.0
	for i := range v.members {
		m := &v.members[i]
		if m.id == t.self {
			own = v.score(i, hash, now.Add(-t.settle))
		} else {
			best = max(best, v.score(i, hash, now))
		}
	}
	return own > best
}

// Complete reports whether the history reaches back the settle time, so that
// Joint covers all of it. It does not while the node is starting or after more
// than 32 changes within the settle time.
func (t *Table) Complete(now time.Time) bool {
	return t.applied && now.Sub(t.views[0].since) >= t.settle
}

// Fingerprint returns the fingerprint of the current view, see
// model.ServiceView.Fingerprint. Equal views have equal fingerprints.
func (t *Table) Fingerprint() uint64 { return t.fingerprint }

// View returns the current view without gone members. The caller must not
// change it.
func (t *Table) View() model.ServiceView { return t.current }

// Member returns a member of the current view; gone members are not found.
func (t *Table) Member(id model.NodeID) (model.Member, bool) {
	if i, ok := t.find(id); ok {
		return t.current.Members[i], true
	}
	return model.Member{}, false
}

func (t *Table) find(id model.NodeID) (int, bool) {
	return slices.BinarySearchFunc(t.current.Members, id, func(m model.Member, id model.NodeID) int {
		return cmp.Compare(m.ID, id)
	})
}

// Weight returns the effective weight of a member: 0 unless it is active.
func (t *Table) Weight(now time.Time, id model.NodeID) float64 {
	if i, ok := t.find(id); ok {
		return t.views[len(t.views)-1].weight(i, now)
	}
	return 0
}

// Warming reports whether a member is in its warm-up, so that homes change
// without a new view. It stays true for a second after the last step.
func (t *Table) Warming(now time.Time) bool {
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

// rank returns the first n homes of hash under v as indices, valid until the
// next call.
func (t *Table) rank(v *view, now time.Time, hash uint64, n int) []int {
	t.scratch = t.scratch[:0]
	for i := range v.members {
		t.scratch = append(t.scratch, hrw.Candidate{ID: v.members[i].hash, Weight: v.weight(i, now)})
	}
	t.order = hrw.Order(t.order[:0], hash, t.scratch, n)
	return t.order
}

// Homes returns the first n active members for hash, best first.
func (t *Table) Homes(now time.Time, hash uint64, n int) []model.NodeID {
	return t.AppendHomes(nil, now, hash, n)
}

// AppendHomes is Homes without an allocation when dst has room.
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
