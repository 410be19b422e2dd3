package strictyaml

import (
	"fmt"
	"math"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Value is one value of a file or of a flag. Its methods return false and
// record a finding when the value has another type or is out of range.
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

// Names returns the field names in the order of the file.
func (d *Document) Names() []string {
	names := make([]string, len(d.fields))
	for i, f := range d.fields {
		names[i] = f.key.Value
	}
	return names
}

// RefuseUnknown records a finding for each field that known does not contain.
func (d *Document) RefuseUnknown(known []string) {
	for _, f := range d.fields {
		if !contains(known, f.key.Value) {
			d.add(f.key, fmt.Sprintf("unknown field %q; the fields are %s", f.key.Value, strings.Join(known, ", ")))
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

// Refuse records a finding at the name of a field.
func (d *Document) Refuse(name, message string) {
	for _, f := range d.fields {
		if f.key.Value == name {
			d.add(f.key, message)
			return
		}
	}
	d.addAt(Position{1, 1}, message)
}

// Findings returns the findings so far, in order of position.
func (d *Document) Findings() Findings {
	d.found.Sort()
	return d.found
}

// FlagValues returns a document that collects the findings of flags.
func FlagValues() *Document { return &Document{} }

// FlagText returns the value of a flag whose type is text; a number in it stays text.
func (d *Document) FlagText(flag, text string) Value {
	return Value{doc: d, flag: flag, node: &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}}
}

// FlagScalar returns the value of a flag, typed as in a file.
func (d *Document) FlagScalar(flag, text string) Value {
	return Value{doc: d, flag: flag, node: &yaml.Node{Kind: yaml.ScalarNode, Value: text}}
}

// FlagList returns the value of a flag that may be repeated.
func (d *Document) FlagList(flag string, texts []string) Value {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for _, t := range texts {
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: t})
	}
	return Value{doc: d, flag: flag, node: list}
}

// Position returns where the value stands.
func (v Value) Position() Position { return Position{max(v.node.Line, 1), max(v.node.Column, 1)} }

// Refuse records a finding at the value.
func (v Value) Refuse(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if v.flag != "" {
		v.doc.found = append(v.doc.found, Finding{Flag: v.flag, Message: message})
		return
	}
	v.doc.add(v.node, message)
}

func (v Value) scalar(want string, tags ...string) bool {
	if v.node.Kind == yaml.ScalarNode {
		if contains(tags, v.node.ShortTag()) {
			return true
		}
	}
	if v.node.Kind != yaml.AliasNode { // aliases are reported by Read
		v.Refuse("must be %s, not %s", want, describe(v.node))
	}
	return false
}

// Text returns a text value.
func (v Value) Text() (string, bool) {
	if !v.scalar("text", "!!str") {
		return "", false
	}
	return v.node.Value, true
}

// Bool returns a truth value: true or false.
func (v Value) Bool() (bool, bool) {
	if !v.scalar("true or false", "!!bool") {
		return false, false
	}
	var b bool
	if err := v.node.Decode(&b); err != nil {
		v.Refuse("must be true or false")
		return false, false
	}
	return b, true
}

// Int returns a whole number of a range.
func (v Value) Int(low, high int) (int, bool) {
	if !v.scalar("a whole number", "!!int") {
		return 0, false
	}
	var n int64
	if err := v.node.Decode(&n); err != nil || n < int64(low) || n > int64(high) {
		v.Refuse("%s is out of range; allowed are %d to %d", v.node.Value, low, high)
		return 0, false
	}
	return int(n), true
}

// Float returns a number of a range.
func (v Value) Float(low, high float64) (float64, bool) {
	if !v.scalar("a number", "!!int", "!!float") {
		return 0, false
	}
	var x float64
	if err := v.node.Decode(&x); err != nil || math.IsNaN(x) || x < low || x > high {
		v.Refuse("%s is out of range; allowed are %g to %g", v.node.Value, low, high)
		return 0, false
	}
	return x, true
}

// Duration returns a duration of a range, written as in "10s".
func (v Value) Duration(low, high time.Duration) (time.Duration, bool) {
	if !v.scalar(`a duration such as "10s"`, "!!str") {
		return 0, false
	}
	d, err := time.ParseDuration(v.node.Value)
	if err != nil {
		v.Refuse(`%q is not a duration such as "10s"`, v.node.Value)
		return 0, false
	}
	if d < low || d > high {
		v.Refuse("%s is out of range; allowed are %s to %s", v.node.Value, low, high)
		return 0, false
	}
	return d, true
}

// List returns the items of a list with at most limit items.
func (v Value) List(limit int) ([]Value, bool) {
	if v.node.Kind != yaml.SequenceNode {
		if v.node.Kind != yaml.AliasNode {
			v.Refuse("must be a list, not %s", describe(v.node))
		}
		return nil, false
	}
	if len(v.node.Content) > limit {
		v.Refuse("the list has %d items, more than the %d allowed", len(v.node.Content), limit)
		return nil, false
	}
	items := make([]Value, len(v.node.Content))
	for i, n := range v.node.Content {
		items[i] = Value{doc: v.doc, node: n, flag: v.flag}
	}
	return items, true
}
