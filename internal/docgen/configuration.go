// Package docgen writes the generated parts of the documents from the code, and
// its tests keep the documents in step.
package docgen

import (
	"fmt"
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
	for _, bin := range []settings.Binary{settings.BinaryBalancer, settings.BinaryAgent, settings.BinaryStore} {
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
	b.WriteString("| setting | type | range | default | meaning |\n|---|---|---|---|---|\n")
	for _, f := range settings.Fields(bin) {
		name, byDefault := "`"+f.Name+"`", f.Default
		if f.NoFlag {
			name += " (file only)"
		}
		if f.Required {
			byDefault = "required"
		}
		row(b, name, f.Type, f.Range, byDefault, f.Doc)
	}
	b.WriteString("\nEach setting is a field of the YAML file and, unless it says otherwise, a flag with dashes in place of underscores,\nwhich overrides the file.\n")
}

func row(b *strings.Builder, cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
