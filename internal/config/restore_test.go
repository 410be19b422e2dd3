package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func folder(revision uint64, files map[string]StoredFile) Folder {
	return Folder{Revision: revision, Files: files}
}

func stored(version uint64, content string) StoredFile {
	return StoredFile{Version: version, Content: []byte(content)}
}

// Guards against acknowledged decisions that are reverted when the store is restored from
// a copy, and against later ones that are lost by repairing that.
func TestRestoreWrites(t *testing.T) {
	first := folder(20, map[string]StoredFile{"10-a": stored(5, "a"), "20-b": stored(6, "b"), "30-gone": stored(7, "gone")})
	known := folder(40, map[string]StoredFile{"10-a": stored(5, "a"), "20-b": stored(31, "b2"), "90-drain": stored(32, "drain")}).Following(first)
	for _, test := range []struct {
		name   string
		listed map[string]StoredFile
		want   []FileWrite
	}{
		{"nothing lost", known.Files, nil},
		{"all changes lost", first.Files, []FileWrite{
			{Name: "20-b", Version: 6, Content: []byte("b2")}, {Name: "90-drain", Content: []byte("drain")}, {Name: "30-gone", Version: 7, Remove: true},
		}},
		{"same content at another version", map[string]StoredFile{"10-a": stored(21, "a"), "20-b": stored(22, "b2"), "90-drain": stored(23, "drain")}, nil},
		{"new file", map[string]StoredFile{"10-a": stored(5, "a"), "20-b": stored(31, "b2"), "90-drain": stored(32, "drain"), "50-new": stored(21, "new")}, nil},
		{"changed after the last listing", map[string]StoredFile{"10-a": stored(41, "a3"), "20-b": stored(31, "b2"), "90-drain": stored(32, "drain")}, nil},
		{"removed file written again later", map[string]StoredFile{"10-a": stored(5, "a"), "20-b": stored(31, "b2"), "90-drain": stored(32, "drain"), "30-gone": stored(33, "back")}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(RestoreWrites(known, folder(25, test.listed)), test.want)
		})
	}
}

// Guards against a memory of removed files that grows for ever, or keeps files that are back.
func TestFolderRemembersRemovedFiles(t *testing.T) {
	is := is.New(t)
	files := make(map[string]StoredFile)
	for i := range 2 * maxRemovedFiles {
		files[fmt.Sprintf("%04d", i)] = stored(uint64(i+1), "x")
	}
	f := folder(1000, nil).Following(folder(900, files))
	is.Equal(len(f.Removed), maxRemovedFiles)
	is.Equal(f.Removed[fmt.Sprintf("%04d", 2*maxRemovedFiles-1)], uint64(2*maxRemovedFiles)) // the latest
	f = folder(1001, files).Following(f)
	is.Equal(len(f.Removed), 0)
}
