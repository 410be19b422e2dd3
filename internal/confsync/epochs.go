package confsync

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// A store that is restored from a copy assigns versions again. Balancers therefore order
// files by the epoch and the version together, in one number, which equals the version
// in the first epoch.
const (
	versionBits = 40
	versionMask = 1<<versionBits - 1
	// restoreDelay is the time from the first listing of an epoch until a balancer compares
	// it with its files: peers have sent what it missed while it was paused or cut off.
	restoreDelay = 1500 * time.Millisecond
)

// OrderedVersion returns the number that orders a store version of an epoch.
func OrderedVersion(epoch, version uint64) uint64 {
	return (max(epoch, storeapi.FirstEpoch)-storeapi.FirstEpoch)<<versionBits | version&versionMask
}

func ordered(epoch uint64, files []message.File) []message.File {
	out := slices.Clone(files)
	for i := range out {
		if out[i].Version > 0 {
			out[i].Version = OrderedVersion(epoch, out[i].Version)
		}
	}
	return out
}

// handleList applies a listing. The first one of a restored store is compared with the
// files from before, and files that the store has lost are written first. A balancer that
// has no files from before can't tell which objects are from the copy: it takes all for
// those of the epoch before, so that they do not replace later files of peers.
func (s *Sync) handleList(e StoreList) {
	e.Epoch = max(e.Epoch, storeapi.FirstEpoch)
	if e.Epoch < s.epoch {
		return // a late answer; the request is repeated
	}
	restored := s.ready && s.epoch > 0 && e.Epoch > s.epoch
	if restored && !e.Restored {
		if s.restoredAt.IsZero() {
			s.restoredAt = s.now
		}
		if s.now.Sub(s.restoredAt) < restoreDelay {
			s.listPending, s.listRequestedAt, s.listRetryDelay = true, s.now, restoreDelay
			return
		}
		if writes := config.RestoreWrites(s.folder(e), listedFolder(e)); len(writes) > 0 {
			s.listPending, s.listRequestedAt, s.listRetryDelay = true, s.now, listTimeout
			s.out = append(s.out, Restore{Writes: writes})
			return
		}
	}
	first := s.epoch == 0 && e.Epoch > storeapi.FirstEpoch
	if e.Epoch > s.epoch {
		s.epoch, s.listRev, s.restoredAt = e.Epoch, 0, time.Time{}
	}
	s.listPending, s.listReceived, s.storeLost = false, true, false
	s.listRev, s.listRetryDelay = max(s.listRev, e.Rev), listTimeout
	if first {
		s.apply(ordered(e.Epoch-1, e.Files), 0, true, s.ready)
		return
	}
	s.apply(ordered(e.Epoch, e.Files), OrderedVersion(e.Epoch, e.Rev), true, s.ready)
}

// folder returns the files from before the epoch of a listing, with the versions of the
// store. Of removed files it contains those that are listed.
func (s *Sync) folder(e StoreList) config.Folder {
	begin := OrderedVersion(e.Epoch, 0)
	f := config.Folder{Files: make(map[string]config.StoredFile), Removed: make(map[string]uint64)}
	for _, file := range liveFiles(s.files) {
		if file.Version < begin {
			f.Files[file.Name] = config.StoredFile{Version: file.Version & versionMask, Content: file.Content}
			f.Revision = max(f.Revision, file.Version&versionMask)
		}
	}
	for _, file := range e.Files {
		if old, ok := s.files.Get(file.Name); ok && old.Deleted && old.Version.Hi < begin {
			f.Removed[file.Name] = old.Version.Hi & versionMask
			f.Revision = max(f.Revision, old.Version.Hi&versionMask)
		}
	}
	return f
}

func listedFolder(e StoreList) config.Folder {
	f := config.Folder{Revision: e.Rev, Files: make(map[string]config.StoredFile, len(e.Files))}
	for _, file := range e.Files {
		f.Files[file.Name] = config.StoredFile{Version: file.Version, Content: file.Content}
	}
	return f
}
