// Package plainhash is a baseline: rendezvous hashing over the current targets,
// without weights, history or questions to other nodes.
package plainhash

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// First returns the index of the winner for a key, or -1 if there is none. ids
// are hashes of the targets' names, see model.HashString.
func First(key uint64, ids []uint64) int {
	best, bestScore := -1, uint64(0)
	for i, id := range ids {
		if s := model.Mix(key ^ id); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
