package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// Finding, Findings and Position are aliases of the types of strictyaml.
type (
	Finding  = strictyaml.Finding
	Findings = strictyaml.Findings
	Position = strictyaml.Position
)

// Subject is the service, data centre or target to which a decision applies.
type Subject struct {
	Kind Kind
	Name string
}

// String returns the subject as "service dispatch".
func (s Subject) String() string { return s.Kind.String() + " " + s.Name }

// Decision is the content of one decision file.
type Decision struct {
	File     string
	Subject  Subject
	Settings []Setting // in the order of the field constants
}

// Setting is one field that a decision sets.
type Setting struct {
	Field Field
	Value Value
	At    Position
}

// Setting returns the setting of a field, if the decision sets the field.
func (d *Decision) Setting(f Field) (Setting, bool) {
	for _, s := range d.Settings {
		if s.Field == f {
			return s, true
		}
	}
	return Setting{}, false
}

// Value is the value of a field. The set of types is closed.
type Value interface {
	// String returns the value as written in a decision file.
	String() string
	value()
}

// The types of values.
type (
	// Addresses is the value of addresses.
	Addresses []model.ServiceAddr
	// Number is the value of weight.
	Number float64
	// Boolean is the value of drain.
	Boolean bool
	// Count is the value of queue.
	Count int
	// Duration is the value of deadline, warmup or key_retention.
	Duration time.Duration
	// Methods is the value of idempotent_methods.
	Methods []string
)

func (Addresses) value() {}
func (Number) value()    {}
func (Boolean) value()   {}
func (Count) value()     {}
func (Duration) value()  {}
func (Methods) value()   {}

func (v Addresses) String() string {
	texts := make([]string, len(v))
	for i, a := range v {
		texts[i] = a.String()
		if a.Addr.Addr().Is6() {
			texts[i] = strconv.Quote(texts[i]) // YAML would read a leading "[" as a list
		}
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
func (v Number) String() string   { return strconv.FormatFloat(float64(v), 'g', -1, 64) }
func (v Boolean) String() string  { return strconv.FormatBool(bool(v)) }
func (v Count) String() string    { return strconv.Itoa(int(v)) }
func (v Duration) String() string { return time.Duration(v).String() }
func (v Methods) String() string  { return "[" + strings.Join(v, ", ") + "]" }

var (
	validFileName    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*\.yaml$`)
	validSubjectName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
)

// Parse decodes one decision file. All faults of the file are reported together; the
// decision is valid only if there are none.
func Parse(file string, data []byte) (Decision, Findings) {
	doc, findings := strictyaml.Read(file, data)
	d := Decision{File: file}
	if doc != nil {
		d.decodeSubject(doc)
		d.decodeFields(doc)
		findings = doc.Findings()
	}
	if !validFileName.MatchString(file) || len(file) > maxNameLength {
		findings = append(findings, Finding{File: file, Position: Position{Line: 1, Column: 1}, Message: fmt.Sprintf(
			"the file name must be letters, digits, '.', '_' and '-', end in .yaml and have at most %d bytes", maxNameLength)})
	}
	if len(findings) > 0 {
		findings.Sort()
		return Decision{}, findings
	}
	return d, nil
}

func (d *Decision) decodeSubject(doc *strictyaml.Document) {
	var named []Kind
	for _, k := range Kinds() {
		v, ok := doc.Field(k.String())
		if !ok {
			continue
		}
		named = append(named, k)
		name, ok := v.Text()
		if !ok {
			continue
		}
		if !validSubjectName.MatchString(name) || len(name) > maxNameLength {
			v.AddFinding("the name %q must be lower-case letters, digits, '.', '_' and '-', at most %d bytes", name, maxNameLength)
			continue
		}
		d.Subject = Subject{k, name}
	}
	switch len(named) {
	case 0:
		doc.AddFinding("", "a decision must name exactly one of service, datacentre, target; this one names none")
	case 1:
	default:
		for _, k := range named[1:] {
			doc.AddFinding(k.String(), fmt.Sprintf(
				"a decision must name exactly one of service, datacentre, target; this one names %s already", named[0]))
		}
		d.Subject = Subject{}
	}
}

func (d *Decision) decodeFields(doc *strictyaml.Document) {
	known := make([]string, 0, len(Kinds())+len(fieldTable))
	for _, k := range Kinds() {
		known = append(known, k.String())
	}
	set := 0
	for _, info := range fieldTable {
		known = append(known, info.Name)
		v, ok := doc.Field(info.Name)
		if !ok {
			continue
		}
		set++
		if d.Subject.Kind != 0 && !info.appliesTo(d.Subject.Kind) {
			doc.AddFinding(info.Name, fmt.Sprintf("field %q is not allowed for a %s", info.Name, d.Subject.Kind))
		}
		if value, ok := decodeValue(info.Field, v); ok {
			d.Settings = append(d.Settings, Setting{info.Field, value, v.Position()})
		}
	}
	doc.RejectUnknownFields(known)
	if set == 0 && len(doc.Findings()) == 0 {
		doc.AddFinding("", "the decision sets no field")
	}
}

func decodeValue(f Field, v strictyaml.Value) (Value, bool) {
	switch f {
	case FieldAddresses:
		return decodeAddresses(v)
	case FieldWeight:
		x, ok := v.Float(MinWeight, MaxWeight)
		return Number(x), ok
	case FieldDrain:
		b, ok := v.Bool()
		return Boolean(b), ok
	case FieldQueue:
		n, ok := v.Int(0, MaxQueue)
		return Count(n), ok
	case FieldDeadline:
		t, ok := v.Duration(MinDeadline, MaxDeadline)
		return Duration(t), ok
	case FieldWarmup:
		t, ok := v.Duration(0, MaxWarmup)
		return Duration(t), ok
	case FieldKeyRetention:
		t, ok := v.Duration(MinKeyRetention, MaxKeyRetention)
		return Duration(t), ok
	case FieldIdempotentMethods:
		return decodeMethods(v)
	}
	return nil, false
}

func decodeAddresses(v strictyaml.Value) (Value, bool) {
	items, ok := v.List(MaxAddresses)
	list := make(Addresses, 0, len(items))
	seen := make(map[model.ServiceAddr]bool, len(items))
	for _, item := range items {
		text, isText := item.Text()
		if !isText {
			ok = false
			continue
		}
		a, err := ParseAddress(text)
		if err != nil {
			item.AddFinding("%v", err)
			ok = false
			continue
		}
		if seen[a] {
			item.AddFinding("address %s is listed twice", a)
			ok = false
			continue
		}
		seen[a] = true
		list = append(list, a)
	}
	return list, ok
}

// ParseAddress parses a service address of the form IP:port or IP:port/protocol. The
// protocol is TCP if it is left out.
func ParseAddress(text string) (model.ServiceAddr, error) {
	hostPort, proto, hasProto := strings.Cut(text, "/")
	a := model.ServiceAddr{Proto: model.TCP}
	if hasProto {
		switch proto {
		case model.TCP.String():
		case model.UDP.String():
			a.Proto = model.UDP
		default:
			return a, fmt.Errorf("address %q: the protocol must be tcp or udp, not %q", text, proto)
		}
	}
	ap, err := netip.ParseAddrPort(hostPort)
	if err != nil {
		return a, fmt.Errorf("address %q is not IP:port/protocol", text)
	}
	ip := ap.Addr()
	switch {
	case ap.Port() == 0:
		return a, fmt.Errorf("address %q: the port must not be 0", text)
	case ip.Zone() != "":
		return a, fmt.Errorf("address %q: an IPv6 zone is not allowed", text)
	case ip.Is4In6():
		return a, fmt.Errorf("address %q: an IPv4 address must not be written as IPv6", text)
	case ip.IsUnspecified(), ip.IsMulticast():
		return a, fmt.Errorf("address %q is not the address of one host", text)
	}
	a.Addr = ap
	return a, nil
}

func decodeMethods(v strictyaml.Value) (Value, bool) {
	items, ok := v.List(len(idempotentMethods))
	list := make(Methods, 0, len(items))
	for _, item := range items {
		m, isText := item.Text()
		switch {
		case !isText:
			ok = false
		case !slices.Contains(idempotentMethods, m):
			item.AddFinding("method %q is not one of %s", m, strings.Join(idempotentMethods, ", "))
			ok = false
		case slices.Contains(list, m):
			item.AddFinding("method %s is listed twice", m)
			ok = false
		default:
			list = append(list, m)
		}
	}
	return list, ok
}
