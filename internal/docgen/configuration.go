// Package docgen generates documentation pages from the code and collects the counter
// reasons that docs/OPERATIONS.md has to explain. Its tests fail if a page is out of date.
package docgen

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// Configuration returns the text of docs/CONFIGURATION.md.
func Configuration() string {
	var b strings.Builder
	b.WriteString(`# Configuration

This page is generated from the code: ` + "`go test ./internal/docgen -update`" + ` writes it, and the test fails when it is out of
date. Durations are written like 500ms, 10s or 1h. Addresses are written as IP:port; names are not resolved.

All faults of a file are reported together, each as ` + "`file:line:column: message`" + ` (or with the name of the flag). The last
column shows the message that a value of the wrong type gets.

## Decision files

One file holds one decision. It names exactly one subject with ` + "`service`, `datacentre` or `target`" + ` and sets one or more
fields of it. Files apply in byte order of their names; for each field, the last file wins; removing a file restores what
it overrode. A file with a fault is refused as a whole and does not affect the other files. A file may have up to 32 KB.
A target is named by the NodeID of its agent, up to the first slash.

`)
	writeDecisionFields(&b)
	for _, bin := range []settings.Binary{
		settings.BinaryBalancer, settings.BinaryAgent, settings.BinaryStore,
		settings.BinarySteeringBalancer, settings.BinaryPassthroughAgent,
	} {
		writeSettingFields(&b, bin)
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

func writeDecisionFields(b *strings.Builder) {
	b.WriteString("| field | subject | type | range | default | meaning | message for a wrong type |\n|---|---|---|---|---|---|---|\n")
	for _, f := range config.Fields() {
		var kinds []string
		for _, k := range f.Kinds {
			kinds = append(kinds, k.String())
		}
		writeRow(b, "`"+f.Name+"`", strings.Join(kinds, ", "), f.Type, f.Range, f.Default, f.Doc, fieldTypeError(f))
	}
}

// fieldTypeError returns the finding of config.Parse for a field of a decision file whose
// value is a mapping, which no field accepts.
func fieldTypeError(f config.FieldInfo) string {
	_, findings := config.Parse("file.yaml", fmt.Appendf(nil, "%s: x\n%s: {a: 1}\n", f.Kinds[0], f.Name))
	if len(findings) == 0 {
		return ""
	}
	return "`" + findings[0].String() + "`"
}

func writeSettingFields(b *strings.Builder, bin settings.Binary) {
	fmt.Fprintf(b, "\n## Settings of %s\n\n", bin)
	b.WriteString("| setting | type | range | default | meaning | message for a wrong type |\n|---|---|---|---|---|---|\n")
	typeErrors := settingTypeErrors(bin)
	for _, f := range settings.Fields(bin) {
		name, defaultText := "`"+f.Name+"`", f.Default
		if f.NoFlag {
			name += " (file only)"
		}
		if f.Required {
			defaultText = "required"
		}
		writeRow(b, name, f.Type, f.Range, defaultText, f.Doc, typeErrors[f.Name])
	}
	b.WriteString("\nEach setting is a field of the YAML file and, unless it says otherwise, a flag with dashes in place of underscores,\nwhich overrides the file.\n")
}

// settingTypeErrors returns, by name of the setting, the finding for a settings file that
// has a mapping as its value, which no setting accepts.
func settingTypeErrors(bin settings.Binary) map[string]string {
	dir, err := os.MkdirTemp("", "docgen")
	if err != nil {
		return nil
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "settings.yaml")
	out := make(map[string]string)
	for _, f := range settings.Fields(bin) {
		if os.WriteFile(path, []byte(f.Name+": {a: 1}\n"), 0o600) != nil {
			return nil
		}
		for line := range strings.Lines(loadError(bin, path)) {
			// The file lacks the required settings; findings about them are skipped.
			line = strings.ReplaceAll(strings.TrimSpace(line), path, "settings.yaml")
			if strings.HasPrefix(line, "settings.yaml:1:") && !strings.Contains(line, "is required") {
				out[f.Name] = "`" + line + "`"
				break
			}
		}
	}
	return out
}

// loadError returns the text of the error from loading a settings file.
func loadError(bin settings.Binary, path string) string {
	var err error
	switch args := []string{"--settings", path}; bin {
	case settings.BinaryBalancer:
		_, err = settings.LoadBalancer(args)
	case settings.BinaryAgent:
		_, err = settings.LoadAgent(args)
	case settings.BinaryStore:
		_, err = settings.LoadStore(args)
	case settings.BinarySteeringBalancer:
		_, err = settings.LoadSteeringBalancer(args)
	case settings.BinaryPassthroughAgent:
		_, err = settings.LoadPassthroughAgent(args)
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeRow writes one row of a Markdown table and escapes | in its cells.
func writeRow(b *strings.Builder, cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
