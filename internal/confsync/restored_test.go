package confsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

func restores(actions []Action) []config.FileWrite {
	var out []config.FileWrite
	for _, a := range actions {
		if r, ok := a.(Restore); ok {
			out = append(out, r.Writes...)
		}
	}
	return out
}

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
	step := func(ev Event) []Action {
		now = now.Add(2 * time.Second)
		out := s.Step(now, ev)
		return append(out, s.Step(now, Tick{})...)
	}
	step(StoreList{Rev: 40, Epoch: 1, Files: []message.File{file(31, "second")}})
	step(Tick{})
	is.Equal(content(), "second")
	copied := StoreList{Rev: 25, Epoch: 2, Files: []message.File{file(6, "first")}}
	is.Equal(len(restores(step(copied))), 0) // peers may have later files
	is.Equal(content(), "second")
	is.Equal(restores(step(copied)), []config.FileWrite{{Name: "20-a.yaml", Version: 6, Content: []byte("second")}})
	is.Equal(content(), "second")
	step(StoreList{Rev: 26, Epoch: 2, Restored: true, Files: []message.File{file(26, "second")}})
	is.Equal(content(), "second")
	step(StoreEvent{File: file(27, "third"), Epoch: 2})
	is.Equal(content(), "third")
	step(StoreEvent{File: file(31, "late"), Epoch: 1}) // of the lost history
	is.Equal(content(), "third")
}

// Guards against files that a balancer reads from a restored store at its start, and that
// replace the later files of its peers.
func TestHistoryBalancerStartsInARestoredStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := New(Options{Seed: 1})
	s.Step(now, StoreList{Rev: 25, Epoch: 2, Files: []message.File{{Name: "20-a.yaml", Version: 6, Content: []byte("first")}}})
	s.Step(now.Add(time.Second), Received{From: "b2", Msg: message.FileDelta{Files: []message.File{
		{Name: "20-a.yaml", Version: OrderedVersion(1, 31), Content: []byte("second")},
		{Name: "90-drain.yaml", Version: OrderedVersion(1, 20), Content: []byte("drain")}, // lost by the store
	}}})
	s.Step(now.Add(2*time.Second), Tick{})
	files, _ := s.Files()
	is.Equal(len(files), 2)
	is.Equal(string(files[0].Content), "second")
}
