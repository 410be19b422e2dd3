// Package plainhash is a baseline strategy: rendezvous hashing over the current
// targets, without weights, history or queries to other nodes.
package plainhash

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// First returns the index of the target with the highest score for a key, or -1 if
// there are no targets. ids are hashes of the targets' names, see model.HashString.
func First(key uint64, ids []uint64) int {
	best, bestScore := -1, uint64(0)
	for i, id := range ids {
		if s := model.Mix(key ^ id); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
