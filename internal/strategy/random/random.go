// Package random is a baseline: each choice is uniform over the candidates.
package random

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Pick returns an index below n, or -1 if n is 0. Equal seeds give equal choices.
func Pick(seed uint64, n int) int {
	if n <= 0 {
		return -1
	}
	return int(model.Mix(seed) % uint64(n))
}
