package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// The flags that are no settings of a file.
const (
	flagSettings = "settings"
	flagKeyFile  = "key-file"
	keyFileField = "key_file"
)

// IsHelp reports whether a Load function ended because help was asked for; the
// error's text is the help.
func IsHelp(err error) bool {
	var e *flags.Error
	return errors.As(err, &e) && e.Type == flags.ErrHelp
}

func flagName(field string) string { return strings.ReplaceAll(field, "_", "-") }

// commandLine holds the texts of the flags given.
type commandLine struct {
	settings string
	keyFile  string
	texts    map[string][]string
}

// parseFlags reads the flags as text; load types them like values of the file.
// The struct that go-flags fills is built from the specs, because its AddOption
// fails on options that belong to no struct field.
func parseFlags(binary Binary, args []string, specs []spec, withKeys bool) (*commandLine, error) {
	names := []string{flagSettings}
	fields := []reflect.StructField{flagField(0, flagSettings, "YAML file of settings", "FILE")}
	add := func(name, doc, value string) {
		fields = append(fields, flagField(len(names), name, doc, value))
		names = append(names, name)
	}
	if withKeys {
		add(flagKeyFile, "file of one or two base64 keys, one per line", "FILE")
	}
	for _, s := range specs {
		if s.NoFlag {
			continue
		}
		doc := s.Doc
		if s.Default != "" {
			doc += " Default: " + s.Default + "."
		}
		add(flagName(s.Name), doc, s.Type)
	}
	target := reflect.New(reflect.StructOf(fields))
	p := flags.NewNamedParser(string(binary), flags.HelpFlag)
	if _, err := p.AddGroup("Settings", "", target.Interface()); err != nil {
		return nil, trace.Wrap(err)
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, err // a *flags.Error, which IsHelp looks for
	}
	if len(rest) > 0 {
		return nil, trace.BadParameter("unexpected argument %q", rest[0])
	}
	cl := &commandLine{texts: make(map[string][]string)}
	for i, name := range names {
		cl.texts[name] = target.Elem().Field(i).Interface().([]string)
	}
	for flag, out := range map[string]*string{flagSettings: &cl.settings, flagKeyFile: &cl.keyFile} {
		if texts := cl.texts[flag]; len(texts) > 1 {
			return nil, trace.BadParameter("--%s is given %d times", flag, len(texts))
		} else if len(texts) == 1 {
			*out = texts[0]
		}
	}
	return cl, nil
}

func flagField(i int, name, doc, value string) reflect.StructField {
	tag := fmt.Sprintf("long:%q description:%q value-name:%q", name, doc, value)
	return reflect.StructField{Name: fmt.Sprintf("Flag%d", i), Type: reflect.TypeFor[[]string](), Tag: reflect.StructTag(tag)}
}

// load fills the settings of specs: first defaults, then the file, then flags.
// keys is nil for a binary without keys.
func load(binary Binary, args []string, specs []spec, keys *[]Secret) error {
	cl, err := parseFlags(binary, args, specs, keys != nil)
	if err != nil {
		return err
	}
	fromFlags := strictyaml.NewFlagDocument()
	var found strictyaml.Findings
	doc := new(strictyaml.Document)
	if cl.settings != "" {
		data, err := os.ReadFile(cl.settings)
		if err != nil {
			return trace.Wrap(err, "settings file")
		}
		if doc, found = strictyaml.Read(cl.settings, data); doc == nil {
			return found
		}
	}
	known := []string{}
	for _, s := range specs {
		known = append(known, s.Name)
		s.fill(cl, doc, fromFlags)
	}
	if keys != nil {
		known = append(known, keyFileField)
		loadKeys(cl, doc, fromFlags, keys)
	}
	if cl.settings != "" {
		doc.RejectUnknownFields(known)
	}
	found = append(doc.Findings(), fromFlags.Findings()...)
	return found.Err()
}

// fill sets one setting. A value of the file is checked even if a flag overrides it.
func (s spec) fill(cl *commandLine, doc, fromFlags *strictyaml.Document) {
	if s.Default != "" && s.shape != list {
		s.read(s.flagValue(strictyaml.NewFlagDocument(), "", s.Default))
	}
	v, inFile := doc.Field(s.Name)
	if inFile {
		s.read(v)
	}
	texts := cl.texts[flagName(s.Name)]
	flag := "--" + flagName(s.Name)
	switch {
	case len(texts) > 0 && s.shape == list:
		s.read(fromFlags.FlagList(flag, texts))
	case len(texts) > 1:
		s.flagValue(fromFlags, flag, "").AddFinding("is given %d times", len(texts))
	case len(texts) == 1:
		s.read(s.flagValue(fromFlags, flag, (texts)[0]))
	case s.Required && !inFile:
		missing := fmt.Sprintf("field %q is required", s.Name)
		if doc.File == "" {
			s.flagValue(fromFlags, flag, "").AddFinding("is required, here or as %s in a settings file", s.Name)
		} else {
			doc.AddFinding("", missing)
		}
	}
}

func (s spec) flagValue(d *strictyaml.Document, flag, value string) strictyaml.Value {
	if s.shape == text {
		return d.FlagText(flag, value)
	}
	return d.FlagScalar(flag, value)
}

// loadKeys reads the key file, if one is named, in place of the keys of the
// settings file. Keys have no flag: a command line is visible to other users.
func loadKeys(cl *commandLine, doc, fromFlags *strictyaml.Document, keys *[]Secret) {
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
		path, v = cl.keyFile, fromFlags.FlagText("--"+flagKeyFile, cl.keyFile)
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
		fromFlags.FlagText("--"+flagKeyFile, "").AddFinding("is required, here or as keys or key_file in a settings file")
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
		return nil, fmt.Errorf("%s: the file has %d keys; it must have 1 or 2", path, len(keys))
	}
	return keys, nil
}
