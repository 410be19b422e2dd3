package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// Flags that are not settings, and the field that corresponds to --key-file.
const (
	flagSettings = "settings"
	flagKeyFile  = "key-file"
	keyFileField = "key_file"
)

// IsHelp reports whether a Load function returned err because of --help. The text of
// the error is then the help text.
func IsHelp(err error) bool {
	var e *flags.Error
	return errors.As(err, &e) && e.Type == flags.ErrHelp
}

// flagName returns the flag of a field, without the leading dashes.
func flagName(field string) string { return strings.ReplaceAll(field, "_", "-") }

// commandLine holds the values of the flags as text.
type commandLine struct {
	settingsFile string
	keyFile      string
	values       map[string][]string
}

// parseFlags reads the flags as text; load decodes them like values of the file. The
// struct that go-flags fills is built from the specs, because AddOption of go-flags
// fails on options that do not belong to a struct field.
func parseFlags(binary Binary, args []string, specs []spec, withKeys bool) (*commandLine, error) {
	names := []string{flagSettings}
	fields := []reflect.StructField{flagField(0, flagSettings, "YAML file with the settings", "FILE")}
	addFlag := func(name, doc, valueName string) {
		fields = append(fields, flagField(len(names), name, doc, valueName))
		names = append(names, name)
	}
	if withKeys {
		addFlag(flagKeyFile, "file with one or two base64 keys, one per line", "FILE")
	}
	for _, s := range specs {
		if s.NoFlag {
			continue
		}
		doc := s.Doc
		if s.Default != "" {
			doc += " Default: " + s.Default + "."
		}
		addFlag(flagName(s.Name), doc, s.Type)
	}
	target := reflect.New(reflect.StructOf(fields))
	p := flags.NewNamedParser(string(binary), flags.HelpFlag)
	if _, err := p.AddGroup("Settings", "", target.Interface()); err != nil {
		return nil, trace.Wrap(err)
	}
	// A platform that fills in arguments leaves those without a value empty.
	rest, err := p.ParseArgs(slices.DeleteFunc(slices.Clone(args), func(a string) bool { return a == "" }))
	if err != nil {
		return nil, err // unwrapped: IsHelp needs the *flags.Error
	}
	if len(rest) > 0 {
		return nil, trace.BadParameter("unexpected argument %q", rest[0])
	}
	cl := &commandLine{values: make(map[string][]string)}
	for i, name := range names {
		cl.values[name] = target.Elem().Field(i).Interface().([]string)
	}
	for flag, out := range map[string]*string{flagSettings: &cl.settingsFile, flagKeyFile: &cl.keyFile} {
		if values := cl.values[flag]; len(values) > 1 {
			return nil, trace.BadParameter("--%s is given %d times", flag, len(values))
		} else if len(values) == 1 {
			*out = values[0]
		}
	}
	return cl, nil
}

func flagField(i int, name, doc, valueName string) reflect.StructField {
	tag := fmt.Sprintf("long:%q description:%q value-name:%q", name, doc, valueName)
	return reflect.StructField{Name: fmt.Sprintf("Flag%d", i), Type: reflect.TypeFor[[]string](), Tag: reflect.StructTag(tag)}
}

// load decodes all settings of specs, in increasing precedence from the defaults, the
// settings file and the flags. keys is nil for a binary without keys.
func load(binary Binary, args []string, specs []spec, keys *[]Secret) error {
	cl, err := parseFlags(binary, args, specs, keys != nil)
	if err != nil {
		return err
	}
	flagDoc := strictyaml.NewFlagDocument()
	var findings strictyaml.Findings
	doc := new(strictyaml.Document)
	if cl.settingsFile != "" {
		data, err := os.ReadFile(cl.settingsFile)
		if err != nil {
			return trace.Wrap(err, "settings file")
		}
		if doc, findings = strictyaml.Read(cl.settingsFile, data); doc == nil {
			return findings
		}
	}
	known := []string{}
	for _, s := range specs {
		known = append(known, s.Name)
		s.resolve(cl, doc, flagDoc)
	}
	if keys != nil {
		known = append(known, keyFileField)
		loadKeys(cl, doc, flagDoc, keys)
	}
	if cl.settingsFile != "" {
		doc.RejectUnknownFields(known)
	}
	findings = append(doc.Findings(), flagDoc.Findings()...)
	return findings.Err()
}

// resolve decodes one setting from its default, the file and the flags. The value in
// the file is checked even if a flag overrides it.
func (s spec) resolve(cl *commandLine, doc, flagDoc *strictyaml.Document) {
	if s.Default != "" && s.yamlType != yamlList {
		s.decode(s.flagValue(strictyaml.NewFlagDocument(), "", s.Default))
	}
	v, inFile := doc.Field(s.Name)
	if inFile {
		s.decode(v)
	}
	values := cl.values[flagName(s.Name)]
	flag := "--" + flagName(s.Name)
	switch {
	case len(values) > 0 && s.yamlType == yamlList:
		s.decode(flagDoc.FlagList(flag, values))
	case len(values) > 1:
		s.flagValue(flagDoc, flag, "").AddFinding("is given %d times", len(values))
	case len(values) == 1:
		s.decode(s.flagValue(flagDoc, flag, (values)[0]))
	case s.Required && !inFile:
		missing := fmt.Sprintf("field %q is required", s.Name)
		if doc.File == "" {
			s.flagValue(flagDoc, flag, "").AddFinding("is required, here or as %s in a settings file", s.Name)
		} else {
			doc.AddFinding("", missing)
		}
	}
}

// flagValue returns the text of a flag or a default as a value of the setting's type.
func (s spec) flagValue(d *strictyaml.Document, flag, value string) strictyaml.Value {
	if s.yamlType == yamlText {
		return d.FlagText(flag, value)
	}
	return d.FlagScalar(flag, value)
}

// loadKeys reads the key file, if one is set; it replaces the keys of the settings
// file. Keys have no flag because other users of the machine can see a command line.
func loadKeys(cl *commandLine, doc, flagDoc *strictyaml.Document, keys *[]Secret) {
	v, inFile := doc.Field(keyFileField)
	_, hasKeys := doc.Field("keys")
	path := ""
	if inFile {
		path, _ = v.Text()
		if hasKeys {
			v.AddFinding("set either keys or key_file, not both")
		}
	}
	if cl.keyFile != "" {
		path, v = cl.keyFile, flagDoc.FlagText("--"+flagKeyFile, cl.keyFile)
	}
	switch {
	case path != "":
		loaded, err := ReadKeyFile(path)
		if err != nil {
			v.AddFinding("%v", err)
			return
		}
		*keys = loaded
	case hasKeys || inFile:
	case doc.File != "":
		doc.AddFinding("", "one of keys and key_file is required")
	default:
		flagDoc.FlagText("--"+flagKeyFile, "").AddFinding("is required, here or as keys or key_file in a settings file")
	}
}

// ReadKeyFile reads one or two base64 keys, one per line. Blank lines and lines
// that start with # are skipped. Errors do not quote the content.
func ReadKeyFile(path string) ([]Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "key file")
	}
	var keys []Secret
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := ParseSecret(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d:1: %w", path, i+1, err)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, fmt.Errorf("%s: the file has %d keys, but must have 1 or 2", path, len(keys))
	}
	return keys, nil
}
