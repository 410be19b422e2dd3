package p2c

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against choosing a candidate that is not eligible, and against shares of
// 10,000 choices at fixed loads that differ from those of two uniform choices.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name  string
		cands []Candidate
		min   []int // lower bound of the choices of each candidate
		max   []int // upper bound
	}{
		{"one", []Candidate{{Load: 9, Weight: 1}}, []int{10000}, []int{10000}},
		{"without weight", []Candidate{{}, {Load: 9, Weight: 1}, {Weight: -1}}, []int{0, 10000, 0}, []int{0, 10000, 0}},
		{"two", []Candidate{{Load: 3, Weight: 1}, {Load: 2, Weight: 1}}, []int{0, 10000}, []int{0, 10000}},
		{"load per weight", []Candidate{{Load: 5, Weight: 2}, {Load: 3, Weight: 1}}, []int{10000, 0}, []int{10000, 0}},
		{"idle, by weight", []Candidate{{Weight: 1}, {Weight: 2}}, []int{0, 10000}, []int{0, 10000}},
		// All pairs are equally likely, so the expected shares are 2/3, 1/3 and 0.
		{"three", []Candidate{{Load: 1, Weight: 1}, {Load: 2, Weight: 1}, {Load: 3, Weight: 1}},
			[]int{6500, 3200, 0}, []int{6800, 3500, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := make([]int, len(c.cands))
			for seed := range uint64(10000) {
				got[Pick(seed, c.cands)]++
			}
			for i, n := range got {
				is.True(n >= c.min[i] && n <= c.max[i])
			}
		})
	}
	is.New(t).Equal(Pick(1, []Candidate{{Load: 1}}), -1)
}
