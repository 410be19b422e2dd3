package gossip_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/matryer/is"
)

// restore takes the store back to an earlier revision.
func (s *fakeStore) restore(rev uint64) {
	s.rev, s.log = rev, slices.Clone(s.log[:rev])
	s.epoch++
	clear(s.files)
	for _, f := range s.log {
		s.files[f.Name] = f
	}
}

// writeBack carries out the writes whose versions still match.
func (s *fakeStore) writeBack(writes []config.FileWrite) {
	for _, w := range writes {
		current := s.files[w.Name]
		if current.Removed {
			current.Version = 0
		}
		if current.Version == w.Version {
			s.calls++
			s.put(w.Name, string(w.Content), w.Remove)
		}
	}
}

// contents returns the files that are not removed.
func contents(files []message.File) map[string]string {
	out := make(map[string]string)
	for _, f := range files {
		if !f.Removed {
			out[f.Name] = string(f.Content)
		}
	}
	return out
}

// Guards against decision files that are lost, brought back or ignored after the store was
// restored from a copy, while nodes restart.
func TestHistoryDecisionFilesAfterTheStoreIsRestored(t *testing.T) {
	const fleet = 24
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFileFleet(seed, fleet)
		_, err := f.runUntil(10*time.Second, f.inForce)
		is.NoErr(err)
		backup := f.store.rev
		f.store.put("05-start.yaml", "changed", false)
		f.store.put("06-start.yaml", "", true)
		f.store.put("90-drain.yaml", "drain", false)
		_, err = f.runUntil(3*time.Second, f.inForce)
		is.NoErr(err)
		want := contents(slices.Collect(maps.Values(f.store.files)))
		agree := func() bool {
			for _, h := range f.nodes {
				if got, _ := h.core.Files(); !h.down && (!h.ready || !maps.Equal(contents(got), want)) {
					return false
				}
			}
			return true
		}

		f.store.restore(backup)
		for i := range 4 {
			f.start(f.rng.IntN(fleet), fleet) // restarts while the store lacks the files
			is.NoErr(f.run(time.Duration(i)*300*time.Millisecond, func() error { return nil }))
		}
		_, err = f.runUntil(8*time.Second, func() bool {
			return agree() && maps.Equal(contents(slices.Collect(maps.Values(f.store.files))), want)
		})
		is.NoErr(err)

		for k := range 5 { // at versions that were assigned before
			name := fmt.Sprintf("%02d-start.yaml", 5+k)
			f.store.put(name, "later", k == 3)
			if want[name] = "later"; k == 3 {
				delete(want, name)
			}
			_, err = f.runUntil(3*time.Second, agree)
			is.NoErr(err)
		}
	}
}
