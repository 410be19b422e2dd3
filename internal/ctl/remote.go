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

// folder is the store's folder of decision files as read at one time.
type folder struct {
	objects  map[string]storeclient.Object // by file name
	names    []string                      // in byte order
	snapshot *config.Snapshot
}

func (a *app) loadFolder() (*folder, error) {
	c, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.bounded()
	defer cancel()
	l, err := c.List(ctx, config.StorePrefix)
	if err != nil {
		return nil, storeError(err)
	}
	f := &folder{objects: make(map[string]storeclient.Object)}
	files := make(map[string][]byte)
	for _, o := range l.Objects {
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

// overlap is a field that two files set for the same subject.
type overlap struct {
	Field string `json:"field"`
	File  string `json:"file"`  // the other file
	Value string `json:"value"` // in the other file
}

// changeReport is the result of put, remove and drain.
type changeReport struct {
	File         string          `json:"file"`
	Outcome      string          `json:"outcome"`
	Version      uint64          `json:"version,omitempty"`
	Overrides    []overlap       `json:"overrides,omitempty"`     // values that the file replaces
	OverriddenBy []overlap       `json:"overridden_by,omitempty"` // values that replace the file's
	Findings     config.Findings `json:"findings,omitempty"`      // contested addresses of the file
	Pushed       []string        `json:"pushed,omitempty"`
}

// compare fills the overlaps of a decision with the other files of a snapshot.
func (r *changeReport) compare(s *config.Snapshot, d config.Decision) {
	r.Overrides, r.OverriddenBy, r.Findings = nil, nil, nil
	for _, other := range s.Decisions(d.Subject) {
		for _, set := range other.Settings {
			if _, both := d.Setting(set.Field); !both || other.File == d.File {
				continue
			}
			o := overlap{set.Field.String(), other.File, set.Value.String()}
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
		return exit(ExitRefused, err)
	}
	name := c.Name
	if name == "" {
		name = filepath.Base(c.Args.File)
	}
	report, err := c.put(name, data)
	if err != nil {
		return err
	}
	return c.printChange(report, "accepted")
}

// put checks and writes one file and pushes it to the balancers.
func (a *app) put(name string, data []byte) (changeReport, error) {
	r := changeReport{File: name}
	d, found := config.Parse(name, data)
	if len(found) > 0 {
		return r, exit(ExitRefused, found)
	}
	before, err := a.loadFolder()
	if err != nil {
		return r, err
	}
	merged, _ := before.snapshot.Update([]config.FileChange{{Name: name, Content: data}})
	r.compare(merged, d)
	c, err := a.storeClient()
	if err != nil {
		return r, err
	}
	ctx, cancel := a.bounded()
	defer cancel()
	var w storeclient.WriteResult
	if o, exists := before.objects[name]; exists {
		w, err = c.Update(ctx, o.Path, o.Version, data)
	} else {
		w, err = c.Create(ctx, config.StorePrefix+name, data)
	}
	if err := writeError(name, w, err); err != nil {
		return r, err
	}
	r.Outcome, r.Version = w.Outcome.String(), w.Version
	// Another operator may have written between the first listing and now.
	if after, err := a.loadFolder(); err == nil {
		r.compare(after.snapshot, d)
	} else {
		a.warnf("the file is accepted, but the folder could not be read again: %v", err)
	}
	r.Pushed = a.push(admin.PushFileParams{Name: name, Version: w.Version, Content: data})
	return r, nil
}

// writeError turns the outcome of a write into an error with an exit code.
func writeError(name string, w storeclient.WriteResult, err error) error {
	switch {
	case err == nil:
		return nil
	case w.Outcome == storeclient.Unknown && w.Current != nil:
		return exitf(ExitUnknown, "%s: the answer was lost, and another operator has written version %d since: %w", name, w.Current.Version, err)
	case w.Outcome == storeclient.Unknown:
		return exitf(ExitUnknown, "%s: it is unknown whether the change took effect: %w", name, err)
	case storeclient.KindOf(err) == storeclient.Conflict, storeclient.KindOf(err) == storeclient.NotFound:
		return exitf(ExitRefused, "%s: another operator changed the file at the same time; look at it and repeat: %w", name, err)
	}
	return storeError(err)
}

// push offers a file to the balancers given and returns those that took it. A
// failure is a warning: the store has the file, and the nodes watch the store.
func (a *app) push(p admin.PushFileParams) []string {
	var done []string
	for _, addr := range a.Balancers {
		err := a.withNode(addr, func(n *admin.Client) error {
			ctx, cancel := a.bounded()
			defer cancel()
			_, err := n.PushFile(ctx, p)
			return err
		})
		if err != nil {
			a.warnf("%s is accepted, but balancer %s did not take it: %v", p.Name, addr, err)
			continue
		}
		done = append(done, addr)
	}
	return done
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
		return exitf(ExitRefused, "the store has no file %q", name)
	}
	r := changeReport{File: name}
	if d, found := config.Parse(name, o.Content); len(found) == 0 {
		r.compare(before.snapshot, d)
		r.Findings = nil
	}
	client, err := c.storeClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.bounded()
	defer cancel()
	w, err := client.Delete(ctx, o.Path, o.Version)
	if err := writeError(name, w, err); err != nil {
		return err
	}
	r.Outcome, r.Version = w.Outcome.String(), w.Version
	if w.Version != 0 {
		r.Pushed = c.push(admin.PushFileParams{Name: name, Version: w.Version, Removed: true})
	} else {
		c.warnf("the answer was lost, so the removal's version is unknown and it is not pushed; the nodes learn it from the store")
	}
	return c.print(r, func() {
		for _, o := range r.Overrides {
			c.printf("no longer overrides %s: %s of %s\n", o.Field, o.Value, o.File)
		}
		c.printf("removed %s, version %d, pushed to %d of %d balancers\n", name, r.Version, len(r.Pushed), len(c.Balancers))
	})
}

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
				for _, set := range d.Settings {
					if d.File == name && !slices.Contains(item.Fields, set.Field.String()) {
						item.Fields = append(item.Fields, set.Field.String())
					}
				}
			}
		}
		items = append(items, item)
	}
	return c.print(items, func() {
		for _, i := range items {
			what := i.Subject + ": " + strings.Join(i.Fields, ", ")
			if i.Refused {
				what = "refused, see check"
			}
			c.printf("%-40s %8d  %s\n", i.File, i.Version, what)
		}
	})
}

var errNoBalancer = errors.New("the flag --balancer or BULRUSHSHELF_BALANCERS is needed")
