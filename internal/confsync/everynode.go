package confsync

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

// EveryNodeWatches is the baseline for measurements of Sync: each node lists and
// watches the store itself and receives nothing from its peers.
type EveryNodeWatches struct {
	files   *replica.Map[[]byte]
	started bool
	ready   bool
}

// NewEveryNodeWatches returns a baseline node without files.
func NewEveryNodeWatches() *EveryNodeWatches {
	return &EveryNodeWatches{files: replica.New[[]byte](replica.Options{Groups: fileGroups, Horizon: tombstoneVersions})}
}

// Files returns the files in force, in order of their names, and the newest version.
func (n *EveryNodeWatches) Files() ([]message.File, uint64) {
	return liveFiles(n.files), n.files.Highest()
}

// Step handles one event.
func (n *EveryNodeWatches) Step(_ time.Time, ev Event) []Action {
	var out []Action
	if !n.started {
		n.started = true
		out = append(out, List{})
	}
	var changed []replica.Entry[[]byte]
	switch e := ev.(type) {
	case StoreList:
		entries := make([]replica.Entry[[]byte], len(e.Files))
		for i, f := range e.Files {
			entries[i] = entryFromFile(f)
		}
		changed = n.files.SetFloor(e.Rev, entries...)
		out = append(out, Watch{From: e.Rev})
	case StoreEvent:
		changed = n.files.Apply(entryFromFile(e.File))
	case StoreLost, StoreBack:
		out = append(out, List{})
	}
	_, listed := ev.(StoreList)
	if len(changed) > 0 || listed {
		files := make([]message.File, len(changed))
		for i, c := range changed {
			files[i] = fileFromEntry(c)
		}
		out = append(out, FilesChanged{Files: lastChanges(files), Rev: n.files.Highest()})
	}
	if listed && !n.ready {
		n.ready = true
		out = append(out, Ready{})
	}
	return out
}
