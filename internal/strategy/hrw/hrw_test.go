package hrw

import (
	"fmt"
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: model.HashString(fmt.Sprint("target-", i)), Weight: 1}
	}
	return out
}

// Guards against a removal that remaps keys of the remaining candidates.
func TestRemovalRemapsOnlyKeysOfRemovedCandidate(t *testing.T) {
	is := is.New(t)
	all := candidates(7)
	rest := all[:6]
	for k := range uint64(5000) {
		key := model.Mix(k)
		if before := First(key, all); before != 6 {
			is.Equal(First(key, rest), before)
		}
	}
}

// Guards against candidates whose share of the keys is not proportional to
// their weight.
func TestSharesAreProportionalToWeights(t *testing.T) {
	is := is.New(t)
	cands := candidates(3)
	cands[0].Weight = 2
	cands[2].Weight = 0
	var got [3]int
	for k := range uint64(30000) {
		got[First(model.Mix(k), cands)]++
	}
	is.True(got[0] > 19400 && got[0] < 20600) // 20,000 expected, 7 standard deviations
	is.Equal(got[2], 0)
}

// Guards against an order whose first element differs from First, or that lists
// a candidate twice.
func TestOrderAgreesWithFirst(t *testing.T) {
	is := is.New(t)
	cands := candidates(9)
	for k := range uint64(1000) {
		key := model.Mix(k)
		order := Order(nil, key, cands, 4)
		is.Equal(len(order), 4)
		is.Equal(order[0], First(key, cands))
		seen := map[int]bool{}
		for i, c := range order {
			is.True(!seen[c])
			seen[c] = true
			if i > 0 {
				is.True(Score(key, cands[order[i-1]]) >= Score(key, cands[c]))
			}
		}
	}
	is.Equal(First(1, nil), -1)
}
