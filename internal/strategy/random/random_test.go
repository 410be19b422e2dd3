package random

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against choices that are not uniform or not deterministic for a seed.
func TestPick(t *testing.T) {
	is := is.New(t)
	var got [4]int
	for seed := range uint64(8000) {
		i := Pick(seed, 4)
		is.Equal(Pick(seed, 4), i)
		got[i]++
	}
	for _, n := range got {
		is.True(n > 1800 && n < 2200) // 2,000 expected, 5 standard deviations
	}
	is.Equal(Pick(1, 0), -1)
}
