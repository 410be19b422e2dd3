package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
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

// readFolder reads all files of a folder but hidden ones.
func readFolder(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, exit(ExitRefused, err)
	}
	files := make(map[string][]byte)
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, exit(ExitRefused, err)
		}
		files[e.Name()] = data
	}
	return files, nil
}

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
	_, found := config.Merge(files)
	for i := range found {
		found[i].File = filepath.Join(c.Args.Dir, found[i].File)
	}
	err = c.print(checkReport{len(files), found}, func() {
		for _, f := range found {
			c.printf("%s\n", f)
		}
		c.printf("%d files, %d findings\n", len(files), len(found))
	})
	if err == nil && len(found) > 0 {
		err = exitf(ExitRefused, "%d findings", len(found))
	}
	return err
}

// explanation is the origin of each field of one subject.
type explanation struct {
	Kind   string               `json:"kind"`
	Name   string               `json:"name"`
	Fields []config.FieldOrigin `json:"fields"`
	// Base are the addresses that the operator's configuration, below the decision
	// files, gives to a service.
	Base []baseAddress `json:"base,omitempty"`
}

func explain(s *config.Snapshot, name string) []explanation {
	var out []explanation
	for _, k := range config.Kinds() {
		if fields := s.Explain(k, name); fields != nil {
			out = append(out, explanation{Kind: k.String(), Name: name, Fields: fields})
		}
	}
	return out
}

// printSubject prints the fields of a subject. Overridden values follow only
// when full is set.
func (a *app) printSubject(e explanation, full bool) {
	a.printf("%s %s\n", e.Kind, e.Name)
	for _, f := range e.Fields {
		from := "default"
		if f.File != "" {
			from = config.Finding{File: f.File, Position: f.At}.String()
			from = strings.TrimSuffix(from, ": ")
		}
		a.printf("  %-20s %-32s %s\n", f.Field+":", f.Value, from)
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
	for _, b := range e.Base {
		a.printf("  %-20s %-32s operator's configuration, version %d\n", "address:", fmt.Sprintf("%s, weight %d of %d", b.Address, b.Weight, b.Total), b.Version)
		if b.File != "" {
			a.printf("    overridden: belongs to service %s by %s\n", b.Service, b.File)
		}
	}
}

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
	s, found := config.Merge(files)
	r := mergeReport{Findings: found}
	for _, k := range config.Kinds() {
		for _, name := range s.Subjects(k) {
			r.Subjects = append(r.Subjects, explanation{Kind: k.String(), Name: name, Fields: s.Explain(k, name)})
		}
	}
	err = c.print(r, func() {
		for _, e := range r.Subjects {
			c.printSubject(e, false)
		}
	})
	for _, f := range found {
		c.warnf("%s", f)
	}
	if err == nil && len(found) > 0 {
		err = exitf(ExitRefused, "%d findings", len(found))
	}
	return err
}

// Execute runs explain.
func (c *explainCommand) Execute([]string) error {
	var s *config.Snapshot
	var base *steer.Config
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
	}
	for _, f := range s.Findings() {
		c.warnf("%s", f)
	}
	found := explain(s, c.Args.Name)
	if addrs := baseAddresses(base, s, c.Args.Name); len(addrs) > 0 {
		if len(found) == 0 || found[0].Kind != config.KindService.String() {
			found = slices.Insert(found, 0, explanation{Kind: config.KindService.String(), Name: c.Args.Name})
		}
		found[0].Base = addrs
	}
	if len(found) == 0 {
		return exitf(ExitRefused, "no decision names %q", c.Args.Name)
	}
	return c.print(found, func() {
		for _, e := range found {
			c.printSubject(e, true)
		}
	})
}
