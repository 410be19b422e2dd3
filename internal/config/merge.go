package config

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// FileChange is a new content of a file, or its removal.
type FileChange struct {
	Name    string
	Content []byte
	Removed bool
}

// Changes names what differs between two snapshots, each list in order.
type Changes struct {
	Services    []model.ServiceName // addresses or policy
	DataCentres []model.DataCentre
	Targets     []model.NodeID
}

// Merge merges a folder: files apply in byte order of their names, the later
// one wins per field. A file with findings is refused whole; the others stand.
func Merge(files map[string][]byte) (*Snapshot, Findings) {
	changes := make([]FileChange, 0, len(files))
	for _, name := range slices.Sorted(maps.Keys(files)) {
		changes = append(changes, FileChange{Name: name, Content: files[name]})
	}
	s, _ := new(Snapshot).Update(changes)
	return s, s.Findings()
}

// Update returns the snapshot after a change of files. The result is the same
// as that of Merge on the changed folder; the cost grows with the changed files
// and the decisions about the same subjects, not with the folder.
func (s *Snapshot) Update(files []FileChange) (*Snapshot, Changes) {
	u := &update{
		old: s, subjects: edit(&s.subjects), fileOf: edit(&s.fileOf), services: edit(&s.services),
		claims: edit(&s.claims), bad: maps.Clone(s.bad), contested: maps.Clone(s.contested),
		dirty: make(map[Subject]bool), rebuild: make(map[string]bool),
	}
	if u.bad == nil {
		u.bad, u.contested = make(map[string]Findings), make(map[model.ServiceAddr]struct{})
	}
	for _, f := range files {
		u.apply(f)
	}
	return u.finish()
}

// update is one Update in progress.
type update struct {
	old       *Snapshot
	subjects  *editor[Subject, []*Decision]
	fileOf    *editor[string, Subject]
	services  *editor[string, *Service]
	claims    *editor[model.ServiceAddr, []claim]
	bad       map[string]Findings
	contested map[model.ServiceAddr]struct{}
	dirty     map[Subject]bool // subjects whose decisions changed
	rebuild   map[string]bool  // services whose addresses or policy may differ
}

// apply replaces or removes one file.
func (u *update) apply(f FileChange) {
	hash := model.HashString(f.Name)
	if before := u.fileOf.get(hash, f.Name); before.Kind != 0 {
		u.setDecision(before, f.Name, nil)
		u.fileOf.remove(hash, f.Name)
	}
	delete(u.bad, f.Name)
	if f.Removed {
		return
	}
	d, found := Parse(f.Name, f.Content)
	if len(found) > 0 {
		u.bad[f.Name] = found
		return
	}
	u.fileOf.put(hash, f.Name, d.Subject)
	u.setDecision(d.Subject, f.Name, &d)
}

// setDecision puts d in place of the decision of a file, or removes it if d is nil.
func (u *update) setDecision(sub Subject, file string, d *Decision) {
	u.dirty[sub] = true
	hash := hashSubject(sub)
	list := slices.Clone(u.subjects.get(hash, sub))
	i, found := slices.BinarySearchFunc(list, file, func(d *Decision, name string) int { return cmp.Compare(d.File, name) })
	switch {
	case d == nil && found:
		list = slices.Delete(list, i, i+1)
	case found:
		list[i] = d
	case d != nil:
		list = slices.Insert(list, i, d)
	}
	if len(list) == 0 {
		u.subjects.remove(hash, sub)
		return
	}
	u.subjects.put(hash, sub, list)
}

func (u *update) finish() (*Snapshot, Changes) {
	var ch Changes
	for sub := range u.dirty {
		if sub.Kind == KindService {
			u.reclaim(sub)
			u.rebuild[sub.Name] = true
		}
	}
	for name := range u.rebuild {
		if u.rebuildService(name) {
			ch.Services = append(ch.Services, model.ServiceName(name))
		}
	}
	s := &Snapshot{
		subjects: *u.subjects.shards, fileOf: *u.fileOf.shards, services: *u.services.shards,
		claims: *u.claims.shards, bad: u.bad, contested: u.contested,
	}
	for sub := range u.dirty {
		switch {
		case sub.Kind == KindService || s.override(sub) == u.old.override(sub):
		case sub.Kind == KindDataCentre:
			ch.DataCentres = append(ch.DataCentres, model.DataCentre(sub.Name))
		default:
			ch.Targets = append(ch.Targets, model.NodeID(sub.Name))
		}
	}
	slices.Sort(ch.Services)
	slices.Sort(ch.DataCentres)
	slices.Sort(ch.Targets)
	return s, ch
}

// claimed returns the setting that names a service's addresses and its file.
func claimed(decisions []*Decision) (file string, set Setting) {
	for _, d := range slices.Backward(decisions) {
		if set, ok := d.Setting(FieldAddresses); ok {
			return d.File, set
		}
	}
	return "", Setting{}
}

// reclaim moves a service's claims from its old addresses to its new ones.
func (u *update) reclaim(sub Subject) {
	hash := hashSubject(sub)
	oldFile, oldSet := claimed(u.old.subjects.get(hash, sub))
	newFile, newSet := claimed(u.subjects.get(hash, sub))
	if oldSet.Value != nil {
		for _, a := range oldSet.Value.(Addresses) {
			u.setClaim(a, claim{file: oldFile, service: sub.Name}, false)
		}
	}
	if newSet.Value != nil {
		for _, a := range newSet.Value.(Addresses) {
			u.setClaim(a, claim{file: newFile, service: sub.Name, at: newSet.At}, true)
		}
	}
}

// setClaim adds or removes a claim and marks all claimants for a rebuild.
func (u *update) setClaim(a model.ServiceAddr, c claim, add bool) {
	hash := hashAddress(a)
	list := slices.Clone(u.claims.get(hash, a))
	for _, other := range list {
		u.rebuild[other.service] = true
	}
	list = slices.DeleteFunc(list, func(x claim) bool { return x.service == c.service })
	if add {
		i, _ := slices.BinarySearchFunc(list, c.file, func(x claim, name string) int { return cmp.Compare(x.file, name) })
		list = slices.Insert(list, i, c)
	}
	if len(list) == 0 {
		u.claims.remove(hash, a)
	} else {
		u.claims.put(hash, a, list)
	}
	if len(list) > 1 {
		u.contested[a] = struct{}{}
	} else {
		delete(u.contested, a)
	}
}

// rebuildService computes a service from its decisions and claims and reports
// whether it differs from before.
func (u *update) rebuildService(name string) bool {
	sub := Subject{KindService, name}
	hash := model.HashString(name)
	before := u.old.services.get(hash, name)
	decisions := u.subjects.get(hashSubject(sub), sub)
	if len(decisions) == 0 {
		u.services.remove(hash, name)
		return before != nil
	}
	svc := &Service{Name: model.ServiceName(name), Policy: model.DefaultPolicy()}
	for _, d := range decisions {
		for _, set := range d.Settings {
			svc.set(set)
		}
	}
	svc.Addresses = slices.DeleteFunc(slices.Clone(svc.Addresses), func(a model.ServiceAddr) bool {
		list := u.claims.get(hashAddress(a), a)
		return list[len(list)-1].service != name
	})
	slices.SortFunc(svc.Addresses, model.ServiceAddr.Compare)
	if svc.equal(before) {
		return false
	}
	u.services.put(hash, name, svc)
	return true
}

func (s *Service) set(set Setting) {
	switch set.Field {
	case FieldAddresses:
		s.Addresses = set.Value.(Addresses)
	case FieldQueue:
		s.Policy.Queue = int(set.Value.(Count))
	case FieldDeadline:
		s.Policy.Deadline = time.Duration(set.Value.(Duration))
	case FieldWarmup:
		s.Policy.Warmup = time.Duration(set.Value.(Duration))
	case FieldKeyRetention:
		s.Policy.KeyRetention = time.Duration(set.Value.(Duration))
	case FieldIdempotentMethods:
		s.Policy.IdempotentMethods = set.Value.(Methods)
	}
}
