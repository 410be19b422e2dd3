package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

const (
	// MaxBytes is the maximum file size. A decision file must fit into one datagram
	// between nodes, see confsync.MaxFile. The largest useful decision, a list of a
	// few hundred addresses, takes less than 16 KB.
	MaxBytes = 32 << 10
	// maxDepth is the maximum nesting depth. Valid files need the mapping, a list and
	// its items. With one more level, a nested item is reported as a type error.
	maxDepth = 4
	// maxFindings limits the findings per file: a file of 32 KB can contain the same
	// fault more than 13,000 times.
	maxFindings = 100
)

// Document is one parsed YAML file whose root is a mapping.
type Document struct {
	File     string
	fields   []field
	findings Findings
}

type field struct {
	key, value *yaml.Node
}

// Read parses data and checks everything that does not depend on the known fields:
// size, encoding, syntax, a single document, limited nesting, and no anchors,
// aliases, merge keys, tags or duplicate keys. The document is nil if data cannot
// be read as one mapping.
func Read(file string, data []byte) (*Document, Findings) {
	d := &Document{File: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.findings
	}
	d.checkStructure(root, 0)
	if root.Kind != yaml.MappingNode {
		d.addNodeFinding(root, "the file must be a mapping of fields to values, not "+describeType(root))
		return nil, d.findings
	}
	d.collectFields(root)
	return d, d.findings
}

func (d *Document) parse(data []byte) (root *yaml.Node) {
	if len(data) > MaxBytes {
		d.addFindingAt(Position{1, 1}, fmt.Sprintf("the file has %d bytes, more than the %d allowed", len(data), MaxBytes))
		return nil
	}
	if p, ok := firstInvalidUTF8(data); ok {
		d.addFindingAt(p, "the file is not valid UTF-8")
		return nil
	}
	// The YAML library reports syntax errors internally with panics, which it
	// recovers. If one escapes, the file must be refused without a crash.
	defer func() {
		if r := recover(); r != nil {
			d.addFindingAt(Position{1, 1}, fmt.Sprintf("the YAML parser failed: %v", r))
			root = nil
		}
	}()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		d.addFindingAt(Position{1, 1}, "the file is empty")
		return nil
	} else if err != nil {
		d.addSyntaxError(data, err)
		return nil
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.addNodeFinding(&second, "the file has more than one document")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxError(data, err)
		return nil
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) != 1 {
		d.addFindingAt(Position{1, 1}, "the file is empty")
		return nil
	}
	return doc.Content[0]
}

var unknownAnchor = regexp.MustCompile(`unknown anchor '(.+)' referenced`)

var errorWithLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

// addSyntaxError records an error of the YAML parser. The parser reports only the
// line, so the column is that of the first non-blank character of the line.
func (d *Document) addSyntaxError(data []byte, err error) {
	line, message := 1, err.Error()
	if m := errorWithLine.FindStringSubmatch(message); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			line, message = n, m[2]
		}
	}
	if m := unknownAnchor.FindStringSubmatch(message); m != nil { // reported without a line
		before, _, _ := bytes.Cut(data, []byte("*"+m[1]))
		start := bytes.LastIndexByte(before, '\n') + 1
		column := 1 + utf8.RuneCount(before[start:])
		d.addFindingAt(Position{1 + bytes.Count(before, []byte("\n")), column}, fmt.Sprintf("alias *%s is not allowed", m[1]))
		return
	}
	lines := bytes.Split(data, []byte("\n"))
	line = min(line, len(lines))
	text := lines[line-1]
	column := 1 + len(text) - len(bytes.TrimLeft(text, " \t"))
	d.addFindingAt(Position{line, column}, "YAML syntax: "+message)
}

// firstInvalidUTF8 returns the position of the first byte that is not valid UTF-8.
func firstInvalidUTF8(data []byte) (Position, bool) {
	p := Position{1, 1}
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return p, true
		}
		p.Column++
		if r == '\n' {
			p = Position{p.Line + 1, 1}
		}
		i += size
	}
	return p, false
}

// checkStructure records anchors, aliases, tags and excessive nesting of a node and
// its descendants.
func (d *Document) checkStructure(n *yaml.Node, depth int) {
	if depth > maxDepth {
		d.addNodeFinding(n, fmt.Sprintf("nesting is deeper than %d levels", maxDepth))
		return
	}
	if n.Anchor != "" {
		d.addNodeFinding(n, fmt.Sprintf("anchor &%s is not allowed", n.Anchor))
	}
	if n.Kind == yaml.AliasNode {
		d.addNodeFinding(n, fmt.Sprintf("alias *%s is not allowed", n.Value))
		return
	}
	if n.Style&yaml.TaggedStyle != 0 {
		d.addNodeFinding(n, fmt.Sprintf("tag %s is not allowed", n.Tag))
	}
	for _, c := range n.Content {
		d.checkStructure(c, depth+1)
	}
}

// collectFields stores the fields of the root mapping and records invalid and
// duplicate names.
func (d *Document) collectFields(root *yaml.Node) {
	seen := make(map[string]*yaml.Node)
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		switch first := seen[key.Value]; {
		case key.Kind == yaml.AliasNode:
			continue // recorded by checkStructure
		case key.Kind != yaml.ScalarNode:
			d.addNodeFinding(key, "a field name must be text, not "+describeType(key))
		case key.Tag == "!!merge":
			d.addNodeFinding(key, "merge key << is not allowed")
		case first != nil:
			d.addNodeFinding(key, fmt.Sprintf("field %q is set twice, first in line %d", key.Value, first.Line))
		default:
			seen[key.Value] = key
			d.fields = append(d.fields, field{key, value})
		}
	}
}

func (d *Document) addNodeFinding(n *yaml.Node, message string) {
	d.addFindingAt(Position{max(n.Line, 1), max(n.Column, 1)}, message)
}

// addFindingAt records a finding, up to maxFindings and a final note on the limit.
func (d *Document) addFindingAt(p Position, message string) {
	if len(d.findings) > maxFindings {
		return
	}
	if len(d.findings) == maxFindings {
		message = fmt.Sprintf("the file has more than %d faults; the remaining ones are not listed", maxFindings)
	}
	d.findings = append(d.findings, Finding{File: d.File, Position: p, Message: message})
}

// describeType returns the type of a node in words, for messages.
func describeType(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	switch n.ShortTag() {
	case "!!str":
		return "text"
	case "!!int", "!!float":
		return "a number"
	case "!!bool":
		return "a boolean"
	case "!!null":
		return "nothing"
	case "!!timestamp":
		return "a timestamp"
	}
	return "a value with tag " + n.ShortTag()
}
