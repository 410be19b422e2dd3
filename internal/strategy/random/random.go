// Package random is a baseline strategy: a uniformly random choice.
package random

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Pick returns an index from 0 to n-1, or -1 if n is not positive. The choice is
// deterministic for a given seed.
func Pick(seed uint64, n int) int {
	if n <= 0 {
		return -1
	}
	return int(model.Mix(seed) % uint64(n))
}
