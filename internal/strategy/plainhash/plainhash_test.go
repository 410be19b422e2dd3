package plainhash

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Guards against a baseline that is worse than rendezvous hashing: adding a target
// may remap keys to that target only.
func TestAddedTargetRemapsOnlyItsOwnKeys(t *testing.T) {
	is := is.New(t)
	ids := []uint64{model.HashString("a"), model.HashString("b"), model.HashString("c"), model.HashString("d")}
	won := 0
	for k := range uint64(8000) {
		before, after := First(model.Mix(k), ids[:3]), First(model.Mix(k), ids)
		if after == 3 {
			won++
		} else {
			is.Equal(after, before)
		}
	}
	is.True(won > 1800 && won < 2200) // 2,000 expected, 5 standard deviations
	is.Equal(First(1, nil), -1)
}
