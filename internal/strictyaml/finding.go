// Package strictyaml decodes small YAML files strictly and reports all faults of a
// file, up to a limit, with their positions. It reads decision files and settings files.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a location in a file. Lines and columns start at 1; columns count
// characters, not bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding describes one fault in a file or in a command-line flag.
type Finding struct {
	File string `json:"file,omitempty"`
	// Flag is the flag, including its dashes, if the value came from the command
	// line; File and Position are empty in this case.
	Flag string `json:"flag,omitempty"`
	Position
	Message string `json:"message"`
}

// String returns the finding as "file:line:column: message" or "flag: message".
func (f Finding) String() string {
	if f.Flag != "" {
		return f.Flag + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Compare orders findings by file, position, flag and message.
func (f Finding) Compare(g Finding) int {
	return cmp.Or(
		cmp.Compare(f.File, g.File),
		cmp.Compare(f.Line, g.Line),
		cmp.Compare(f.Column, g.Column),
		cmp.Compare(f.Flag, g.Flag),
		cmp.Compare(f.Message, g.Message),
	)
}

// Findings is a list of faults. It implements error. An empty list is still a
// non-nil error: use Err to return it.
type Findings []Finding

// Error returns one finding per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sort orders the findings as Finding.Compare does.
func (fs Findings) Sort() { slices.SortFunc(fs, Finding.Compare) }
