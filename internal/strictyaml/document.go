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
	// MaxBytes is the largest file that is read. A decision file must fit a
	// datagram between nodes, see confsync.MaxFile. The largest useful decision, a
	// list of a few hundred addresses, takes less than 16 KB.
	MaxBytes = 32 << 10
	// maxDepth is the deepest nesting: the mapping, a list and its items. One
	// level more leaves room for a clear type error on the item.
	maxDepth = 4
	// maxFindings bounds the findings of one file: a file of 32 KB can repeat a
	// fault more than 13,000 times.
	maxFindings = 100
)

// Document is one parsed YAML file whose root is a mapping.
type Document struct {
	File   string
	fields []field
	found  Findings
}

type field struct {
	key, value *yaml.Node
}

// Read parses data and checks everything that does not depend on the fields:
// size, encoding, syntax, one document, no anchors, aliases, merge keys or
// tags, bounded nesting, no duplicate keys. The document is nil if data cannot
// be read as one mapping.
func Read(file string, data []byte) (*Document, Findings) {
	d := &Document{File: file}
	root := d.parse(data)
	if root == nil {
		return nil, d.found
	}
	d.checkNode(root, 0)
	if root.Kind != yaml.MappingNode {
		d.add(root, "the file must be a mapping of fields to values, not "+describe(root))
		return nil, d.found
	}
	d.collect(root)
	return d, d.found
}

func (d *Document) parse(data []byte) (root *yaml.Node) {
	if len(data) > MaxBytes {
		d.addAt(Position{1, 1}, fmt.Sprintf("the file has %d bytes, more than the %d allowed", len(data), MaxBytes))
		return nil
	}
	if p, ok := invalidUTF8(data); ok {
		d.addAt(p, "the file is not valid UTF-8")
		return nil
	}
	// The YAML library reports syntax errors by panics that it recovers itself;
	// one that escapes must refuse the file, not end the process.
	defer func() {
		if r := recover(); r != nil {
			d.addAt(Position{1, 1}, fmt.Sprintf("the YAML parser failed: %v", r))
			root = nil
		}
	}()
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		d.addAt(Position{1, 1}, "the file is empty")
		return nil
	} else if err != nil {
		d.syntax(data, err)
		return nil
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.add(&second, "the file has more than one document")
	} else if !errors.Is(err, io.EOF) {
		d.syntax(data, err)
		return nil
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) != 1 {
		d.addAt(Position{1, 1}, "the file is empty")
		return nil
	}
	return doc.Content[0]
}

var unknownAnchor = regexp.MustCompile(`unknown anchor '(.+)' referenced`)

var errorLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

// syntax reports an error of the YAML parser, which gives a line only; the
// column is that of the first character of the line that is not a space.
func (d *Document) syntax(data []byte, err error) {
	line, message := 1, err.Error()
	if m := errorLine.FindStringSubmatch(message); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			line, message = n, m[2]
		}
	}
	if m := unknownAnchor.FindStringSubmatch(message); m != nil { // this error has no line
		before, _, _ := bytes.Cut(data, []byte("*"+m[1]))
		start := bytes.LastIndexByte(before, '\n') + 1
		column := 1 + utf8.RuneCount(before[start:])
		d.addAt(Position{1 + bytes.Count(before, []byte("\n")), column}, fmt.Sprintf("alias *%s is not allowed", m[1]))
		return
	}
	lines := bytes.Split(data, []byte("\n"))
	line = min(line, len(lines))
	text := lines[line-1]
	column := 1 + len(text) - len(bytes.TrimLeft(text, " \t"))
	d.addAt(Position{line, column}, "YAML syntax: "+message)
}

func invalidUTF8(data []byte) (Position, bool) {
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

func (d *Document) checkNode(n *yaml.Node, depth int) {
	if depth > maxDepth {
		d.add(n, fmt.Sprintf("nesting is deeper than %d levels", maxDepth))
		return
	}
	if n.Anchor != "" {
		d.add(n, fmt.Sprintf("anchor &%s is not allowed", n.Anchor))
	}
	if n.Kind == yaml.AliasNode {
		d.add(n, fmt.Sprintf("alias *%s is not allowed", n.Value))
		return
	}
	if n.Style&yaml.TaggedStyle != 0 {
		d.add(n, fmt.Sprintf("tag %s is not allowed", n.Tag))
	}
	for _, c := range n.Content {
		d.checkNode(c, depth+1)
	}
}

func (d *Document) collect(root *yaml.Node) {
	seen := make(map[string]*yaml.Node)
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		switch first := seen[key.Value]; {
		case key.Kind == yaml.AliasNode:
			continue // reported by checkNode
		case key.Kind != yaml.ScalarNode:
			d.add(key, "a field name must be text, not "+describe(key))
		case key.Tag == "!!merge":
			d.add(key, "merge key << is not allowed")
		case first != nil:
			d.add(key, fmt.Sprintf("field %q is set twice, first in line %d", key.Value, first.Line))
		default:
			seen[key.Value] = key
			d.fields = append(d.fields, field{key, value})
		}
	}
}

func (d *Document) add(n *yaml.Node, message string) {
	d.addAt(Position{max(n.Line, 1), max(n.Column, 1)}, message)
}

func (d *Document) addAt(p Position, message string) {
	if len(d.found) > maxFindings {
		return
	}
	if len(d.found) == maxFindings {
		message = fmt.Sprintf("more than %d faults; the others are not listed", maxFindings)
	}
	d.found = append(d.found, Finding{File: d.File, Position: p, Message: message})
}

// describe names the type of a node for messages.
func describe(n *yaml.Node) string {
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
		return "a truth value"
	case "!!null":
		return "nothing"
	case "!!timestamp":
		return "a date"
	}
	return "a value of tag " + n.ShortTag()
}
