package ctl

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// storeFolder holds the decision files of the store, as listed at one time.
type storeFolder struct {
	objects  map[string]storeclient.Object // by file name
	names    []string                      // in byte order
	snapshot *config.Snapshot
}

// loadFolder lists and merges the decision files of the store.
func (a *app) loadFolder() (*storeFolder, error) {
	c, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.callContext()
	defer cancel()
	listing, err := c.List(ctx, config.StorePrefix)
	if err != nil {
		return nil, storeErrorWithCode(err)
	}
	f := &storeFolder{objects: make(map[string]storeclient.Object)}
	files := make(map[string][]byte)
	for _, o := range listing.Objects {
		name := strings.TrimPrefix(o.Path, config.StorePrefix)
		f.objects[name], files[name] = o, o.Content
		f.names = append(f.names, name)
	}
	f.snapshot, _ = config.Merge(files)
	return f, nil
}

type putCommand struct {
	*app `no-flag:"true"`
	Name string `long:"name" value-name:"NAME" description:"name in the store; the name of FILE by default"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"decision file"`
	} `positional-args:"true" required:"true"`
}

type removeCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name in the store"`
	} `positional-args:"true" required:"true"`
}

type listCommand struct {
	*app `no-flag:"true"`
}

// overlap is a field that another file also sets for the same subject.
type overlap struct {
	Field string `json:"field"`
	File  string `json:"file"`  // the other file
	Value string `json:"value"` // in the other file
}

// changeReport is the result of a change by put, remove or drain.
type changeReport struct {
	File         string          `json:"file"`
	Outcome      string          `json:"outcome"`
	Version      uint64          `json:"version,omitempty"`
	Overrides    []overlap       `json:"overrides,omitempty"`     // values that the file overrides
	OverriddenBy []overlap       `json:"overridden_by,omitempty"` // values that override the file's
	Findings     config.Findings `json:"findings,omitempty"`      // contested addresses of the file
	Pushed       []string        `json:"pushed,omitempty"`
}

// setOverlaps sets the overlaps of a decision with the other files of a snapshot, and the
// findings that concern its file.
func (r *changeReport) setOverlaps(s *config.Snapshot, d config.Decision) {
	r.Overrides, r.OverriddenBy, r.Findings = nil, nil, nil
	for _, other := range s.Decisions(d.Subject) {
		for _, setting := range other.Settings {
			if _, both := d.Setting(setting.Field); !both || other.File == d.File {
				continue
			}
			o := overlap{setting.Field.String(), other.File, setting.Value.String()}
			if other.File < d.File {
				r.Overrides = append(r.Overrides, o)
			} else {
				r.OverriddenBy = append(r.OverriddenBy, o)
			}
		}
	}
	for _, f := range s.Findings() {
		if f.File == d.File || strings.Contains(f.Message, " "+d.File+" ") {
			r.Findings = append(r.Findings, f)
		}
	}
}

func (a *app) printChange(r changeReport, verb string) error {
	return a.print(r, func() {
		for _, o := range r.Overrides {
			a.printf("overrides %s: %s of %s\n", o.Field, o.Value, o.File)
		}
		for _, o := range r.OverriddenBy {
			a.printf("overridden by %s, which sets %s: %s\n", o.File, o.Field, o.Value)
		}
		for _, f := range r.Findings {
			a.printf("%s\n", f)
		}
		a.printf("%s %s, version %d, pushed to %d of %d balancers\n", verb, r.File, r.Version, len(r.Pushed), len(a.Balancers))
	})
}

// Execute runs put.
func (c *putCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return withExitCode(ExitRefused, err)
	}
	name := c.Name
	if name == "" {
		name = filepath.Base(c.Args.File)
	}
	report, err := c.putFile(name, data)
	if err != nil {
		return err
	}
	return c.printChange(report, "accepted")
}

// putFile checks a file, writes it to the store and pushes it to the balancers.
func (a *app) putFile(name string, data []byte) (changeReport, error) {
	r := changeReport{File: name}
	d, findings := config.Parse(name, data)
	if len(findings) > 0 {
		return r, withExitCode(ExitRefused, findings)
	}
	before, err := a.loadFolder()
	if err != nil {
		return r, err
	}
	merged, _ := before.snapshot.Update([]config.FileChange{{Name: name, Content: data}})
	r.setOverlaps(merged, d)
	c, err := a.storeClient()
	if err != nil {
		return r, err
	}
	ctx, cancel := a.callContext()
	defer cancel()
	var w storeclient.WriteResult
	if o, exists := before.objects[name]; exists {
		w, err = c.Update(ctx, o.Path, o.Version, data)
	} else {
		w, err = c.Create(ctx, config.StorePrefix+name, data)
	}
	if err := writeErrorWithCode(name, w, err); err != nil {
		return r, err
	}
	r.Outcome, r.Version = w.Outcome.String(), w.Version
	// Another operator may have written since the first listing.
	if after, err := a.loadFolder(); err == nil {
		r.setOverlaps(after.snapshot, d)
	} else {
		a.warnf("the file is accepted, but the folder could not be read again: %v", err)
	}
	r.Pushed = a.pushToBalancers(admin.PushFileParams{Name: name, Version: w.Version, Epoch: w.Epoch, Content: data})
	return r, nil
}

// writeErrorWithCode gives the error of a write its exit code, depending on the outcome.
func writeErrorWithCode(name string, w storeclient.WriteResult, err error) error {
	switch {
	case err == nil:
		return nil
	case w.Outcome == storeclient.Unknown && w.Current != nil:
		return exitErrorf(ExitUnknown, "%s: the response was lost, and another operator has written version %d since: %w", name, w.Current.Version, err)
	case w.Outcome == storeclient.Unknown:
		return exitErrorf(ExitUnknown, "%s: it is unknown whether the change took effect: %w", name, err)
	case storeclient.KindOf(err) == storeclient.Conflict, storeclient.KindOf(err) == storeclient.NotFound:
		return exitErrorf(ExitRefused, "%s: another operator changed the file at the same time; look at it and repeat: %w", name, err)
	}
	return storeErrorWithCode(err)
}

// pushToBalancers sends a file to the given balancers and returns those that accepted it. A
// failure is a warning: the store has the file, and the nodes watch the store.
func (a *app) pushToBalancers(p admin.PushFileParams) []string {
	var accepted []string
	for _, addr := range a.Balancers {
		err := a.withNode(addr, func(n *admin.Client) error {
			ctx, cancel := a.callContext()
			defer cancel()
			_, err := n.PushFile(ctx, p)
			return err
		})
		if err != nil {
			a.warnf("%s is in the store, but balancer %s did not accept it: %v", p.Name, addr, err)
			continue
		}
		accepted = append(accepted, addr)
	}
	return accepted
}

// Execute runs remove.
func (c *removeCommand) Execute([]string) error {
	name := c.Args.Name
	before, err := c.loadFolder()
	if err != nil {
		return err
	}
	o, ok := before.objects[name]
	if !ok {
		return exitErrorf(ExitRefused, "the store has no file %q", name)
	}
	r := changeReport{File: name}
	if d, findings := config.Parse(name, o.Content); len(findings) == 0 {
		r.setOverlaps(before.snapshot, d)
		r.Findings = nil
	}
	client, err := c.storeClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.callContext()
	defer cancel()
	w, err := client.Delete(ctx, o.Path, o.Version)
	if err := writeErrorWithCode(name, w, err); err != nil {
		return err
	}
	r.Outcome, r.Version = w.Outcome.String(), w.Version
	if w.Version != 0 {
		r.Pushed = c.pushToBalancers(admin.PushFileParams{Name: name, Version: w.Version, Removed: true})
	} else {
		c.warnf("the response was lost, so the removal's version is unknown and it is not pushed; the nodes will read it from the store")
	}
	return c.print(r, func() {
		for _, o := range r.Overrides {
			c.printf("no longer overrides %s: %s of %s\n", o.Field, o.Value, o.File)
		}
		c.printf("removed %s, version %d, pushed to %d of %d balancers\n", name, r.Version, len(r.Pushed), len(c.Balancers))
	})
}

// listItem is a line of list.
type listItem struct {
	File    string   `json:"file"`
	Version uint64   `json:"version"`
	Subject string   `json:"subject,omitempty"`
	Fields  []string `json:"fields,omitempty"`
	Refused bool     `json:"refused,omitempty"`
}

// Execute runs list.
func (c *listCommand) Execute([]string) error {
	f, err := c.loadFolder()
	if err != nil {
		return err
	}
	items := []listItem{}
	for _, name := range f.names {
		item := listItem{File: name, Version: f.objects[name].Version, Refused: true}
		if sub, ok := f.snapshot.FileSubject(name); ok {
			item.Refused, item.Subject = false, sub.String()
			for _, d := range f.snapshot.Decisions(sub) {
				for _, setting := range d.Settings {
					if d.File == name && !slices.Contains(item.Fields, setting.Field.String()) {
						item.Fields = append(item.Fields, setting.Field.String())
					}
				}
			}
		}
		items = append(items, item)
	}
	return c.print(items, func() {
		for _, i := range items {
			description := i.Subject + ": " + strings.Join(i.Fields, ", ")
			if i.Refused {
				description = "refused, see check"
			}
			c.printf("%-40s %8d  %s\n", i.File, i.Version, description)
		}
	})
}

var errNoBalancer = errors.New("the flag --balancer or BULRUSHSHELF_BALANCERS is needed")
