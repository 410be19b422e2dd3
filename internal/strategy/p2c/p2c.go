// Package p2c implements the power of two choices: of two randomly chosen
// candidates, the one with less load per weight is used.
package p2c

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Candidate is an option to choose from. A candidate with a weight of 0 or less is
// never chosen.
type Candidate struct {
	Load   int
	Weight float64
}

// Less reports whether a has less load per weight than b. Both loads include the
// work to be assigned, so that idle candidates compare by weight.
func Less(a, b Candidate) bool {
	return float64(a.Load+1)*b.Weight < float64(b.Load+1)*a.Weight
}

// Pick returns the index of the chosen candidate, or -1 if there is none. The
// choice is deterministic for a given seed.
func Pick(seed uint64, cands []Candidate) int {
	eligible := 0
	for _, c := range cands {
		if c.Weight > 0 {
			eligible++
		}
	}
	if eligible == 0 {
		return -1
	}
	r := model.Mix(seed)
	first := int(r >> 32 % uint64(eligible))
	a := nthEligible(cands, first)
	if eligible == 1 {
		return a
	}
	// An offset from 1 to eligible-1 makes the second choice another candidate.
	second := (first + 1 + int(r&0xffffffff%uint64(eligible-1))) % eligible
	b := nthEligible(cands, second)
	if Less(cands[b], cands[a]) {
		return b
	}
	return a
}

// nthEligible returns the index of the n-th candidate, counted from 0, among those
// with a positive weight.
func nthEligible(cands []Candidate, n int) int {
	for i, c := range cands {
		if c.Weight <= 0 {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
