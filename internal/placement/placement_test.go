package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

const settleTime = 5 * time.Second

var start = time.Unix(1_000_000, 0)

func timeAt(d time.Duration) time.Time { return start.Add(d) }

// members returns n active members, m00 and so on, that are past their warm-up.
func members(n int) []model.Member {
	var out []model.Member
	for i := range n {
		out = append(out, model.Member{ID: model.NodeID(fmt.Sprintf("m%02d", i)), Kind: model.KindAgent,
			Incarnation: 1, State: model.StateActive, Weight: 1, Started: start.Add(-time.Hour)})
	}
	return out
}

func viewOf(ms []model.Member) model.ServiceView {
	return model.ServiceView{Service: "s", Members: ms, Policy: model.DefaultPolicy()}
}

// contactEverySecond records a contact every second in [from, to].
func contactEverySecond(t *Table, from, to time.Duration) {
	for d := from; d <= to; d += time.Second {
		t.Contact(timeAt(d))
	}
}

// Guards against a view that is reported as settled although it changed recently
// or may be stale, so that flows are opened without a query.
func TestSettledNeedsUnchangedViewAndUninterruptedContact(t *testing.T) {
	is := is.New(t)
	tab := New("m00", settleTime)
	tab.Apply(timeAt(0), viewOf(members(3)))
	contactEverySecond(tab, 0, 5*time.Second)
	is.True(!tab.Settled(timeAt(5*time.Second - 1)))
	is.True(tab.Settled(timeAt(5 * time.Second)))
	is.True(tab.Settled(timeAt(7 * time.Second)))
	is.True(!tab.Settled(timeAt(7*time.Second + 1))) // no contact for over 2 s

	contactEverySecond(tab, 8*time.Second, 13*time.Second)
	is.True(!tab.Settled(timeAt(13*time.Second - 1))) // a change may have been missed in the gap
	is.True(tab.Settled(timeAt(13 * time.Second)))

	changed := viewOf(members(3))
	changed.Policy.Queue = 1
	changed.Members[0].Seq = 9
	tab.Apply(timeAt(13*time.Second), changed)
	is.True(tab.Settled(timeAt(13 * time.Second))) // rankings do not depend on these fields
	changed.Rev = 1
	tab.Apply(timeAt(13*time.Second), changed)
	is.True(!tab.Settled(timeAt(14 * time.Second))) // a change may have been made and reversed
	contactEverySecond(tab, 14*time.Second, 18*time.Second)
	is.True(tab.Settled(timeAt(18 * time.Second)))
	changed.Members[0].State = model.StateLeaving
	changed.Members = slices.Clone(changed.Members)
	changed.Members[0].Incarnation = 2
	tab.Apply(timeAt(18*time.Second), changed)
	is.True(!tab.Settled(timeAt(19 * time.Second)))
}

// Guards against two nodes with different clocks that are both the settled home
// of one flow while a target warms up, so that both open it without a query.
func TestOneSettledHomeDuringWarmup(t *testing.T) {
	is := is.New(t)
	ms := members(3)
	ms[1].Started = timeAt(7 * time.Second)
	ms[2].Started = timeAt(9 * time.Second)
	skew := []time.Duration{0, 4 * time.Second, -900 * time.Millisecond}
	var tabs []*Table
	for i := range ms {
		tab := New(ms[i].ID, settleTime)
		tab.Apply(timeAt(0).Add(skew[i]), viewOf(ms))
		tabs = append(tabs, tab)
	}
	multiple, none := 0, 0
	for d := time.Duration(0); d < 60*time.Second; d += 500 * time.Millisecond {
		for hash := range uint64(100) {
			n := 0
			for i, tab := range tabs {
				tab.Contact(timeAt(d).Add(skew[i]))
				if tab.HomeSettled(timeAt(d).Add(skew[i]), model.Mix(hash)) {
					n++
				}
			}
			if n > 1 {
				multiple++
			}
			if n == 0 && d > 50*time.Second {
				none++
			}
		}
	}
	is.Equal(multiple, 0)
	is.Equal(none, 0) // after the warm-up each flow has a settled home
}

// Guards against candidates that include gone members or duplicates, or omit a
// member that may hold the flow under a recent view.
func TestCandidatesCoverRecentHomes(t *testing.T) {
	is := is.New(t)
	tab := New("m00", settleTime)
	all := members(40)
	for round := range 12 {
		ms := slices.Clone(all)
		ms[round].State = model.StateGone
		ms[round+1].State = model.StateLeaving
		ms[39].State = model.StateSuspect
		ms[20+round].Weight = 0
		now := timeAt(time.Duration(round) * time.Second)
		var before [][]model.NodeID
		for hash := range uint64(50) {
			before = append(before, tab.Homes(now, model.Mix(hash), 2))
		}
		tab.Apply(now, viewOf(ms))
		for hash := range uint64(50) {
			got := tab.Candidates(now, model.Mix(hash), 100)
			want := append(tab.Homes(now, model.Mix(hash), 8), ms[round+1].ID, ms[39].ID)
			for _, id := range append(want, before[hash]...) {
				is.Equal(slices.Contains(got, id), id != ms[round].ID)
			}
			is.Equal(len(slices.Compact(slices.Sorted(slices.Values(got)))), len(got))
			is.Equal(tab.Candidates(now, model.Mix(hash), 5), got[:5])
		}
	}
	small := New("m00", settleTime)
	small.Apply(timeAt(0), viewOf(append(members(7), model.Member{ID: "x", State: model.StateActive})))
	is.Equal(len(small.Candidates(timeAt(0), 1, 100)), 8) // including the one with weight 0
}

// Guards against home sets that omit the homes of a view or warm-up step that
// another node still uses.
func TestJointCoversEachRankingOfTheSettleTime(t *testing.T) {
	is := is.New(t)
	tab := New("m00", settleTime)
	ms := members(5)
	ms[3].Started = timeAt(2 * time.Second)
	ms[4].Started = timeAt(4 * time.Second)
	changes := 0
	for d := time.Duration(0); d < 45*time.Second; d += 250 * time.Millisecond {
		if d == 0 || d == 20*time.Second || d == 22*time.Second {
			ms = slices.Clone(ms)
			ms[0].Weight = 1 + float64(changes)
			tab.Apply(timeAt(d), viewOf(ms))
			changes++
		}
		is.Equal(tab.HistoryComplete(timeAt(d)), d >= settleTime)
		for hash := range uint64(20) {
			now := tab.Homes(timeAt(d), model.Mix(hash), 2)
			for ahead := time.Duration(0); ahead <= settleTime && d+ahead < 20*time.Second; ahead += 250 * time.Millisecond {
				sets := tab.HomeSets(timeAt(d+ahead), model.Mix(hash), 2)
				is.True(slices.ContainsFunc(sets, func(s []model.NodeID) bool { return slices.Equal(s, now) }))
			}
		}
	}
	is.Equal(len(tab.HomeSets(timeAt(60*time.Second), 1, 2)), 1)
}

// Guards against a history that grows without bound with the number of changes.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	tab := New("m00", settleTime)
	ms := members(4)
	for i := range 500 {
		ms[0].Weight = float64(i + 1)
		tab.Apply(timeAt(time.Duration(i)*time.Millisecond), viewOf(ms))
	}
	is.Equal(len(tab.views), maxViews)
	is.True(!tab.HistoryComplete(timeAt(499 * time.Millisecond)))
	tab.Apply(timeAt(time.Hour), viewOf(members(4)))
	is.Equal(len(tab.views), 2) // the view replaced just now and the new one
}
