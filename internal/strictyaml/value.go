package strictyaml

import (
	"fmt"
	"math"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Value is one value of a file or of a flag. The methods that decode it return false
// and record a finding if the value has another type or is out of range.
type Value struct {
	doc  *Document
	node *yaml.Node
	flag string
}

// Field returns the value of a field of the document.
func (d *Document) Field(name string) (Value, bool) {
	for _, f := range d.fields {
		if f.key.Value == name {
			return Value{doc: d, node: f.value}, true
		}
	}
	return Value{}, false
}

// FieldNames returns the names of the fields, in the order of the file.
func (d *Document) FieldNames() []string {
	names := make([]string, len(d.fields))
	for i, f := range d.fields {
		names[i] = f.key.Value
	}
	return names
}

// RejectUnknownFields records a finding for each field that is not in known.
func (d *Document) RejectUnknownFields(known []string) {
	for _, f := range d.fields {
		if !contains(known, f.key.Value) {
			d.addNodeFinding(f.key, fmt.Sprintf("unknown field %q; the fields are %s", f.key.Value, strings.Join(known, ", ")))
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// AddFinding records a finding at the name of a field, or at the start of the
// file if the field is not set.
func (d *Document) AddFinding(name, message string) {
	for _, f := range d.fields {
		if f.key.Value == name {
			d.addNodeFinding(f.key, message)
			return
		}
	}
	d.addFindingAt(Position{1, 1}, message)
}

// Findings returns the findings recorded so far, sorted.
func (d *Document) Findings() Findings {
	d.findings.Sort()
	return d.findings
}

// NewFlagDocument returns an empty document that collects the findings of flags.
func NewFlagDocument() *Document { return &Document{} }

// FlagText returns the value of a flag of type text; text such as "12" is not
// converted to a number.
func (d *Document) FlagText(flag, text string) Value {
	return Value{doc: d, flag: flag, node: &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}}
}

// FlagScalar returns the value of a flag; its type is derived as for a plain scalar
// in a file.
func (d *Document) FlagScalar(flag, text string) Value {
	return Value{doc: d, flag: flag, node: &yaml.Node{Kind: yaml.ScalarNode, Value: text}}
}

// FlagList returns the values of a repeatable flag as one list.
func (d *Document) FlagList(flag string, texts []string) Value {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, t := range texts {
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: t})
	}
	return Value{doc: d, flag: flag, node: list}
}

// Position returns the position of the value in the file.
func (v Value) Position() Position { return Position{max(v.node.Line, 1), max(v.node.Column, 1)} }

// AddFinding records a finding at the value, or for its flag.
func (v Value) AddFinding(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if v.flag != "" {
		v.doc.findings = append(v.doc.findings, Finding{Flag: v.flag, Message: message})
		return
	}
	v.doc.addNodeFinding(v.node, message)
}

// expectScalar reports whether the value is a scalar with one of the tags. If not, it
// records a finding that names want as the expected type.
func (v Value) expectScalar(want string, tags ...string) bool {
	if v.node.Kind == yaml.ScalarNode {
		if contains(tags, v.node.ShortTag()) {
			return true
		}
	}
	if v.node.Kind != yaml.AliasNode { // Read has recorded the alias
		v.AddFinding("must be %s, not %s", want, describeType(v.node))
	}
	return false
}

// Text returns a text value.
func (v Value) Text() (string, bool) {
	if !v.expectScalar("text", "!!str") {
		return "", false
	}
	return v.node.Value, true
}

// Bool returns a boolean value.
func (v Value) Bool() (bool, bool) {
	if !v.expectScalar("true or false", "!!bool") {
		return false, false
	}
	var b bool
	if err := v.node.Decode(&b); err != nil {
		v.AddFinding("must be true or false")
		return false, false
	}
	return b, true
}

// Int returns an integer in the range from low to high.
func (v Value) Int(low, high int) (int, bool) {
	if !v.expectScalar("a whole number", "!!int") {
		return 0, false
	}
	var n int64
	if err := v.node.Decode(&n); err != nil || n < int64(low) || n > int64(high) {
		v.AddFinding("%s is out of range; allowed are %d to %d", v.node.Value, low, high)
		return 0, false
	}
	return int(n), true
}

// Float returns a number in the range from low to high.
func (v Value) Float(low, high float64) (float64, bool) {
	if !v.expectScalar("a number", "!!int", "!!float") {
		return 0, false
	}
	var x float64
	if err := v.node.Decode(&x); err != nil || math.IsNaN(x) || x < low || x > high {
		v.AddFinding("%s is out of range; allowed are %g to %g", v.node.Value, low, high)
		return 0, false
	}
	return x, true
}

// Duration returns a duration in the range from low to high, written like "10s".
func (v Value) Duration(low, high time.Duration) (time.Duration, bool) {
	if !v.expectScalar(`a duration such as "10s"`, "!!str") {
		return 0, false
	}
	d, err := time.ParseDuration(v.node.Value)
	if err != nil {
		v.AddFinding(`%q is not a duration such as "10s"`, v.node.Value)
		return 0, false
	}
	if d < low || d > high {
		v.AddFinding("%s is out of range; allowed are %s to %s", v.node.Value, low, high)
		return 0, false
	}
	return d, true
}

// List returns the items of a list, which may have at most limit items.
func (v Value) List(limit int) ([]Value, bool) {
	if v.node.Kind != yaml.SequenceNode {
		if v.node.Kind != yaml.AliasNode {
			v.AddFinding("must be a list, not %s", describeType(v.node))
		}
		return nil, false
	}
	if len(v.node.Content) > limit {
		v.AddFinding("the list has %d items, more than the %d allowed", len(v.node.Content), limit)
		return nil, false
	}
	items := make([]Value, len(v.node.Content))
	for i, n := range v.node.Content {
		items[i] = Value{doc: v.doc, node: n, flag: v.flag}
	}
	return items, true
}
