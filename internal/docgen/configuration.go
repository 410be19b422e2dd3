// Package docgen writes the generated parts of the documents from the code, and
// its tests keep the documents in step.
package docgen

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

// Configuration returns docs/CONFIGURATION.md.
func Configuration() string {
	var b strings.Builder
	b.WriteString(`# Configuration

This page is generated from the code: ` + "`go test ./internal/docgen -update`" + ` writes it, and the test fails when it is out of
date. Durations are written like 500ms, 10s or 1h. Addresses are written as IP:port; names are not resolved.

All faults of a file are reported together, each as ` + "`file:line:column: message`" + ` (or with the name of the flag). The last
column shows the message that a value of the wrong type gets.

## Decision files

One file holds one decision. It names exactly one subject with ` + "`service`, `datacentre` or `target`" + ` and sets one or more
fields of it. Files apply in byte order of their names; the later one wins per field; removing a file restores what it
overrode. A file with a fault is refused as a whole, and the others stand. A file may have up to 32 KB. A target is named
by the NodeID of its agent, up to the first slash.

`)
	decisionFields(&b)
	for _, bin := range []settings.Binary{
		settings.BinaryBalancer, settings.BinaryAgent, settings.BinaryStore,
		settings.BinarySteeringBalancer, settings.BinaryPassthroughAgent,
	} {
		settingFields(&b, bin)
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

func decisionFields(b *strings.Builder) {
	b.WriteString("| field | subject | type | range | default | meaning | message for a wrong type |\n|---|---|---|---|---|---|---|\n")
	for _, f := range config.Fields() {
		var kinds []string
		for _, k := range f.Kinds {
			kinds = append(kinds, k.String())
		}
		row(b, "`"+f.Name+"`", strings.Join(kinds, ", "), f.Type, f.Range, f.Default, f.Doc, refusal(f))
	}
}

// refusal returns what Parse says about a mapping as the value of a field.
func refusal(f config.FieldInfo) string {
	_, findings := config.Parse("file.yaml", fmt.Appendf(nil, "%s: x\n%s: {a: 1}\n", f.Kinds[0], f.Name))
	if len(findings) == 0 {
		return ""
	}
	return "`" + findings[0].String() + "`"
}

func settingFields(b *strings.Builder, bin settings.Binary) {
	fmt.Fprintf(b, "\n## Settings of %s\n\n", bin)
	b.WriteString("| setting | type | range | default | meaning | message for a wrong type |\n|---|---|---|---|---|---|\n")
	refusals := settingRefusals(bin)
	for _, f := range settings.Fields(bin) {
		name, byDefault := "`"+f.Name+"`", f.Default
		if f.NoFlag {
			name += " (file only)"
		}
		if f.Required {
			byDefault = "required"
		}
		row(b, name, f.Type, f.Range, byDefault, f.Doc, refusals[f.Name])
	}
	b.WriteString("\nEach setting is a field of the YAML file and, unless it says otherwise, a flag with dashes in place of underscores,\nwhich overrides the file.\n")
}

// settingRefusals returns what the settings of a binary say about a mapping as
// the value of each field.
func settingRefusals(bin settings.Binary) map[string]string {
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
			line = strings.ReplaceAll(strings.TrimSpace(line), path, "settings.yaml")
			if strings.HasPrefix(line, "settings.yaml:1:") && !strings.Contains(line, "is required") {
				out[f.Name] = "`" + line + "`"
				break
			}
		}
	}
	return out
}

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

func row(b *strings.Builder, cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
