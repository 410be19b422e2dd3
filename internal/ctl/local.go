package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
)

type dirArg struct {
	Dir string `positional-arg-name:"DIR" description:"folder of decision files"`
}

type checkCommand struct {
	*app `no-flag:"true"`
	Args dirArg `positional-args:"true" required:"true"`
}

type mergeCommand struct {
	*app `no-flag:"true"`
	Args dirArg `positional-args:"true" required:"true"`
}

type explainCommand struct {
	*app `no-flag:"true"`
	Dir  string `long:"dir" value-name:"DIR" description:"folder to read instead of the store"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"service, data centre or target"`
	} `positional-args:"true" required:"true"`
}

// readFolder reads all files of a folder, except hidden ones, by name.
func readFolder(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, withExitCode(ExitRefused, err)
	}
	files := make(map[string][]byte)
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, withExitCode(ExitRefused, err)
		}
		files[e.Name()] = data
	}
	return files, nil
}

// checkReport is the result of check.
type checkReport struct {
	Files    int             `json:"files"`
	Findings config.Findings `json:"findings"`
}

// Execute runs check.
func (c *checkCommand) Execute([]string) error {
	files, err := readFolder(c.Args.Dir)
	if err != nil {
		return err
	}
	_, findings := config.Merge(files)
	for i := range findings {
		findings[i].File = filepath.Join(c.Args.Dir, findings[i].File)
	}
	err = c.print(checkReport{len(files), findings}, func() {
		for _, f := range findings {
			c.printf("%s\n", f)
		}
		c.printf("%d files, %d findings\n", len(files), len(findings))
	})
	if err == nil && len(findings) > 0 {
		err = exitErrorf(ExitRefused, "%d findings", len(findings))
	}
	return err
}

// explanation holds the fields of one subject with the origin of each value.
type explanation struct {
	Kind   string               `json:"kind"`
	Name   string               `json:"name"`
	Fields []config.FieldOrigin `json:"fields"`
	// Base holds the addresses that the operator's configuration assigns to a service.
	// Decision files override it.
	Base []baseAddress `json:"base,omitempty"`
	// Evacuated is the data centre that the operator has evacuated, so that the target or the
	// targets in it get no new flows. Empty if there is none.
	Evacuated model.DataCentre `json:"evacuated,omitempty"`
}

// explainName explains every subject with the given name.
func explainName(s *config.Snapshot, name string) []explanation {
	var out []explanation
	for _, k := range config.Kinds() {
		if fields := s.Explain(k, name); fields != nil {
			out = append(out, explanation{Kind: k.String(), Name: name, Fields: fields})
		}
	}
	return out
}

// printExplanation prints the fields of a subject; with full, also the values that each field
// overrode.
func (a *app) printExplanation(e explanation, full bool) {
	a.printf("%s %s\n", e.Kind, e.Name)
	for _, f := range e.Fields {
		origin := "default"
		if f.File != "" {
			origin = config.Finding{File: f.File, Position: f.At}.String()
			origin = strings.TrimSuffix(origin, ": ")
		}
		a.printf("  %-20s %-32s %s\n", f.Field+":", f.Value, origin)
		for _, l := range f.Lost {
			a.printf("    address %s belongs to service %s by %s\n", l.Address, l.Service, l.File)
		}
		if !full {
			continue
		}
		for _, o := range f.Overrode {
			a.printf("    overrode %s from %s:%d:%d\n", o.Value, o.File, o.At.Line, o.At.Column)
		}
	}
	if e.Evacuated != "" {
		a.printf("  no new flows: data centre %s is evacuated by the operator\n", e.Evacuated)
	}
	for _, b := range e.Base {
		a.printf("  %-20s %-32s operator's configuration, version %d\n", "address:", fmt.Sprintf("%s, weight %d of %d", b.Address, b.Weight, b.Total), b.Version)
		if b.File != "" {
			a.printf("    overridden: belongs to service %s by %s\n", b.Service, b.File)
		}
	}
}

// mergeReport is the result of merge.
type mergeReport struct {
	Subjects []explanation   `json:"subjects"`
	Findings config.Findings `json:"findings"`
}

// Execute runs merge.
func (c *mergeCommand) Execute([]string) error {
	files, err := readFolder(c.Args.Dir)
	if err != nil {
		return err
	}
	s, findings := config.Merge(files)
	r := mergeReport{Findings: findings}
	for _, k := range config.Kinds() {
		for _, name := range s.Subjects(k) {
			r.Subjects = append(r.Subjects, explanation{Kind: k.String(), Name: name, Fields: s.Explain(k, name)})
		}
	}
	err = c.print(r, func() {
		for _, e := range r.Subjects {
			c.printExplanation(e, false)
		}
	})
	for _, f := range findings {
		c.warnf("%s", f)
	}
	if err == nil && len(findings) > 0 {
		err = exitErrorf(ExitRefused, "%d findings", len(findings))
	}
	return err
}

// Execute runs explain.
func (c *explainCommand) Execute([]string) error {
	var s *config.Snapshot
	var base *steer.Config
	var evacuated *explanation
	if c.Dir != "" {
		files, err := readFolder(c.Dir)
		if err != nil {
			return err
		}
		s, _ = config.Merge(files)
	} else {
		f, err := c.loadFolder()
		if err != nil {
			return err
		}
		s = f.snapshot
		if base, err = c.loadBase(); err != nil {
			return err
		}
		if evacuated, err = c.explainEvacuation(c.Args.Name); err != nil {
			return err
		}
	}
	for _, f := range s.Findings() {
		c.warnf("%s", f)
	}
	explanations := explainName(s, c.Args.Name)
	if addrs := baseAddresses(base, s, c.Args.Name); len(addrs) > 0 {
		if len(explanations) == 0 || explanations[0].Kind != config.KindService.String() {
			explanations = slices.Insert(explanations, 0, explanation{Kind: config.KindService.String(), Name: c.Args.Name})
		}
		explanations[0].Base = addrs
	}
	explanations = withEvacuation(explanations, evacuated)
	if len(explanations) == 0 {
		return exitErrorf(ExitRefused, "no decision names %q", c.Args.Name)
	}
	return c.print(explanations, func() {
		for _, e := range explanations {
			c.printExplanation(e, true)
		}
	})
}
