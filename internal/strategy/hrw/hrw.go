// Package hrw implements weighted rendezvous hashing (highest random weight).
// Adding or removing a candidate remaps only the keys that this candidate wins.
package hrw

import (
	"math"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Candidate is an option to rank. ID is a hash of its name, see model.HashString.
// A candidate with a weight of 0 or less is never chosen.
type Candidate struct {
	ID     uint64
	Weight float64
}

// Score returns the score of a candidate for a key; the highest score wins. It is
// 0 for a candidate that must not be chosen and positive otherwise.
func Score(key uint64, c Candidate) float64 {
	if c.Weight <= 0 {
		return 0
	}
	// 53 hash bits mapped to the open interval (0, 1), so that the logarithm is
	// finite and not 0.
	u := (float64(model.Mix(key^c.ID)>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// First returns the index of the candidate with the highest score, or -1 if no
// candidate may be chosen.
func First(key uint64, cands []Candidate) int {
	best, bestScore := -1, 0.0
	for i, c := range cands {
		if s := Score(key, c); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Order appends to dst the indices of the n candidates with the highest scores,
// best first.
func Order(dst []int, key uint64, cands []Candidate, n int) []int {
	return Top(dst, len(cands), n, func(i int) float64 { return Score(key, cands[i]) })
}

// Top scores the indices 0 to count-1 and appends to dst the n with the highest
// scores, best first. Indices with a score of 0 are omitted.
func Top[S float64 | uint64](dst []int, count, n int, score func(int) S) []int {
	start := len(dst)
	for i := range count {
		s, pos := score(i), len(dst)
		if s == 0 {
			continue
		}
		for pos > start && score(dst[pos-1]) < s {
			pos--
		}
		if pos-start >= n {
			continue
		}
		if len(dst)-start < n {
			dst = append(dst, 0)
		}
		copy(dst[pos+1:], dst[pos:len(dst)-1])
		dst[pos] = i
	}
	return dst
}
