package confsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

// Guards against a change of a decision file that is ignored because the store, restored
// from a copy, gives it a version below the one that the file had before.
func TestHistoryChangeAfterTheStoreIsRestored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := New(Options{Seed: 1})
	file := func(version uint64, content string) message.File {
		return message.File{Name: "20-a.yaml", Version: version, Content: []byte(content)}
	}
	content := func() string {
		files, _ := s.Files()
		is.Equal(len(files), 1)
		return string(files[0].Content)
	}
	step := func(ev Event) {
		now = now.Add(2 * time.Second)
		s.Step(now, ev)
		s.Step(now, Tick{})
	}
	step(StoreList{Rev: 40, Files: []message.File{file(31, "second")}})
	step(Tick{})
	is.Equal(content(), "second")
	step(StoreList{Rev: 25, Files: []message.File{file(6, "first")}})
	is.Equal(content(), "second") // the lost change stays in effect
	step(StoreEvent{file(26, "third")})
	is.Equal(content(), "third")
}
