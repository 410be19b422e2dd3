package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// maxRemovedFiles is the maximum number of removed files that a Folder remembers. The
// copies that a store is restored from are seconds old.
const maxRemovedFiles = 256

// StoredFile is a decision file and the store version of its last change.
type StoredFile struct {
	Version uint64 `json:"version"`
	Content []byte `json:"content"`
}

// Folder holds the decision files of a store at a revision.
type Folder struct {
	Revision uint64                `json:"revision"`
	Files    map[string]StoredFile `json:"files,omitempty"`
	// Removed holds the last known versions of removed files.
	Removed map[string]uint64 `json:"removed,omitempty"`
}

// Contents returns the contents of the files.
func (f Folder) Contents() map[string][]byte {
	out := make(map[string][]byte, len(f.Files))
	for name, file := range f.Files {
		out[name] = file.Content
	}
	return out
}

// Following returns f, listed after prior, with the files that were removed since.
func (f Folder) Following(prior Folder) Folder {
	f.Removed = maps.Clone(prior.Removed)
	if f.Removed == nil {
		f.Removed = make(map[string]uint64)
	}
	for name, file := range prior.Files {
		f.Removed[name] = file.Version
	}
	for name := range f.Files {
		delete(f.Removed, name)
	}
	byVersion := slices.SortedFunc(maps.Keys(f.Removed), func(a, b string) int {
		return cmp.Or(cmp.Compare(f.Removed[b], f.Removed[a]), cmp.Compare(a, b))
	})
	for _, name := range byVersion[min(len(byVersion), maxRemovedFiles):] {
		delete(f.Removed, name)
	}
	return f
}

// FileWrite is a write that makes the store hold a file, or no longer hold it.
type FileWrite struct {
	Name    string
	Version uint64 // of the object that it replaces or removes, 0 if there is none
	Content []byte
	Remove  bool
}

// RestoreWrites returns the writes that undo the loss of acknowledged changes in a store
// that was restored from a copy. known is the folder before that, listed the folder now.
// A file with a version beyond known was written later than known and stays.
func RestoreWrites(known, listed Folder) []FileWrite {
	var out []FileWrite
	for _, name := range slices.Sorted(maps.Keys(known.Files)) {
		now, found := listed.Files[name]
		lost := !found || !bytes.Equal(now.Content, known.Files[name].Content) && now.Version <= known.Revision
		if lost {
			out = append(out, FileWrite{Name: name, Version: now.Version, Content: known.Files[name].Content})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(listed.Files)) {
		_, current := known.Files[name]
		version, removed := known.Removed[name]
		if !current && removed && listed.Files[name].Version <= version {
			out = append(out, FileWrite{Name: name, Version: listed.Files[name].Version, Remove: true})
		}
	}
	return out
}
