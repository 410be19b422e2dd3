package config

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// FileChange is the new content of a file, or its removal.
type FileChange struct {
	Name    string
	Content []byte
	Removed bool
}

// Changes lists the subjects that differ between two snapshots. Each list is sorted.
type Changes struct {
	Services    []model.ServiceName // with other addresses or another policy
	DataCentres []model.DataCentre
	Targets     []model.NodeID
}

// Merge merges a folder. Files apply in byte order of their names; for each field, the
// last file that sets it wins. A file with findings is refused as a whole and does not
// affect the other files.
func Merge(files map[string][]byte) (*Snapshot, Findings) {
	changes := make([]FileChange, 0, len(files))
	for _, name := range slices.Sorted(maps.Keys(files)) {
		changes = append(changes, FileChange{Name: name, Content: files[name]})
	}
	s, _ := new(Snapshot).Update(changes)
	return s, s.Findings()
}

// Update returns the snapshot after a change of files. The result equals that of Merge
// on the changed folder, but the cost depends on the changed files and the decisions
// about the same subjects, not on the size of the folder.
func (s *Snapshot) Update(files []FileChange) (*Snapshot, Changes) {
	u := &update{
		previous: s, subjects: newMapEditor(&s.subjects), fileSubjects: newMapEditor(&s.fileSubjects), services: newMapEditor(&s.services),
		claims: newMapEditor(&s.claims), refused: maps.Clone(s.refused), conflicts: maps.Clone(s.conflicts),
		changedSubjects: make(map[Subject]bool), servicesToRebuild: make(map[string]bool),
	}
	if u.refused == nil {
		u.refused, u.conflicts = make(map[string]Findings), make(map[model.ServiceAddr]struct{})
	}
	for _, f := range files {
		u.applyFile(f)
	}
	return u.buildSnapshot()
}

// update holds the state of one call of Update.
type update struct {
	previous          *Snapshot
	subjects          *mapEditor[Subject, []*Decision]
	fileSubjects      *mapEditor[string, Subject]
	services          *mapEditor[string, *Service]
	claims            *mapEditor[model.ServiceAddr, []claim]
	refused           map[string]Findings
	conflicts         map[model.ServiceAddr]struct{}
	changedSubjects   map[Subject]bool // subjects whose decisions changed
	servicesToRebuild map[string]bool  // services whose addresses or policy may have changed
}

// applyFile replaces or removes the decision of one file.
func (u *update) applyFile(f FileChange) {
	hash := model.HashString(f.Name)
	if oldSubject := u.fileSubjects.get(hash, f.Name); oldSubject.Kind != 0 {
		u.setDecision(oldSubject, f.Name, nil)
		u.fileSubjects.remove(hash, f.Name)
	}
	delete(u.refused, f.Name)
	if f.Removed {
		return
	}
	d, findings := Parse(f.Name, f.Content)
	if len(findings) > 0 {
		u.refused[f.Name] = findings
		return
	}
	u.fileSubjects.put(hash, f.Name, d.Subject)
	u.setDecision(d.Subject, f.Name, &d)
}

// setDecision replaces the decision of a file by d, or removes it if d is nil.
func (u *update) setDecision(sub Subject, file string, d *Decision) {
	u.changedSubjects[sub] = true
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

// buildSnapshot updates the claims and services of the changed subjects and returns
// the new snapshot with its differences from the previous one.
func (u *update) buildSnapshot() (*Snapshot, Changes) {
	var ch Changes
	for sub := range u.changedSubjects {
		if sub.Kind == KindService {
			u.updateClaims(sub)
			u.servicesToRebuild[sub.Name] = true
		}
	}
	for name := range u.servicesToRebuild {
		if u.rebuildService(name) {
			ch.Services = append(ch.Services, model.ServiceName(name))
		}
	}
	s := &Snapshot{
		subjects: *u.subjects.shardedMap, fileSubjects: *u.fileSubjects.shardedMap, services: *u.services.shardedMap,
		claims: *u.claims.shardedMap, refused: u.refused, conflicts: u.conflicts,
	}
	for sub := range u.changedSubjects {
		switch {
		case sub.Kind == KindService || s.override(sub) == u.previous.override(sub):
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

// addressSetting returns the last setting of addresses and its file. The value of the
// setting is nil if no decision sets addresses.
func addressSetting(decisions []*Decision) (file string, set Setting) {
	for _, d := range slices.Backward(decisions) {
		if set, ok := d.Setting(FieldAddresses); ok {
			return d.File, set
		}
	}
	return "", Setting{}
}

// updateClaims removes the claims of a service for its previous addresses and adds
// those for its current ones.
func (u *update) updateClaims(sub Subject) {
	hash := hashSubject(sub)
	oldFile, oldSet := addressSetting(u.previous.subjects.get(hash, sub))
	newFile, newSet := addressSetting(u.subjects.get(hash, sub))
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

// setClaim adds or removes the claim of a service for an address. It marks the services
// that claimed the address before the change for a rebuild.
func (u *update) setClaim(a model.ServiceAddr, c claim, add bool) {
	hash := hashAddress(a)
	list := slices.Clone(u.claims.get(hash, a))
	for _, other := range list {
		u.servicesToRebuild[other.service] = true
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
		u.conflicts[a] = struct{}{}
	} else {
		delete(u.conflicts, a)
	}
}

// rebuildService computes a service from its decisions and claims and reports whether
// it changed.
func (u *update) rebuildService(name string) bool {
	sub := Subject{KindService, name}
	hash := model.HashString(name)
	before := u.previous.services.get(hash, name)
	decisions := u.subjects.get(hashSubject(sub), sub)
	if len(decisions) == 0 {
		u.services.remove(hash, name)
		return before != nil
	}
	svc := &Service{Name: model.ServiceName(name), Policy: model.DefaultPolicy()}
	for _, d := range decisions {
		for _, setting := range d.Settings {
			svc.applySetting(setting)
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

func (s *Service) applySetting(setting Setting) {
	switch setting.Field {
	case FieldAddresses:
		s.Addresses = setting.Value.(Addresses)
	case FieldQueue:
		s.Policy.Queue = int(setting.Value.(Count))
	case FieldDeadline:
		s.Policy.Deadline = time.Duration(setting.Value.(Duration))
	case FieldWarmup:
		s.Policy.Warmup = time.Duration(setting.Value.(Duration))
	case FieldKeyRetention:
		s.Policy.KeyRetention = time.Duration(setting.Value.(Duration))
	case FieldIdempotentMethods:
		s.Policy.IdempotentMethods = setting.Value.(Methods)
	}
}
