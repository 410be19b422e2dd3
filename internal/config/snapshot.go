package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Snapshot is the result of merging a folder. It is immutable; Update returns a new
// snapshot that shares the unchanged parts.
type Snapshot struct {
	subjects     shardedMap[Subject, []*Decision] // decisions sorted by file name
	fileSubjects shardedMap[string, Subject]      // subject of each accepted file
	services     shardedMap[string, *Service]
	claims       shardedMap[model.ServiceAddr, []claim] // sorted by file name
	refused      map[string]Findings                    // findings of each refused file
	conflicts    map[model.ServiceAddr]struct{}         // addresses claimed by more than one service
}

// claim records that a service lists an address, and the file that sets the addresses
// of the service.
type claim struct {
	file    string
	service string
	at      Position
}

// Service is the merged configuration of one service.
type Service struct {
	Name model.ServiceName
	// Addresses are the addresses that belong to the service, sorted. Claimed addresses
	// that belong to another service are left out.
	Addresses []model.ServiceAddr
	Policy    model.ServicePolicy
}

func (s *Service) equal(o *Service) bool {
	if s == nil || o == nil {
		return s == o
	}
	return slices.Equal(s.Addresses, o.Addresses) &&
		s.Policy.Queue == o.Policy.Queue && s.Policy.Deadline == o.Policy.Deadline &&
		s.Policy.Warmup == o.Policy.Warmup && s.Policy.KeyRetention == o.Policy.KeyRetention &&
		slices.Equal(s.Policy.IdempotentMethods, o.Policy.IdempotentMethods)
}

// Override holds the merged decisions about a data centre or a target.
type Override struct {
	Weight float64
	Drain  bool
}

// Service returns one service. Callers must not change its slices.
func (s *Snapshot) Service(name model.ServiceName) (*Service, bool) {
	svc := s.services.get(model.HashString(string(name)), string(name))
	return svc, svc != nil
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*Service {
	var out []*Service
	s.services.each(func(_ string, svc *Service) { out = append(out, svc) })
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NumServices returns the number of services.
func (s *Snapshot) NumServices() int {
	n := 0
	for _, shard := range s.services.shards {
		n += len(shard)
	}
	return n
}

// Lookup returns the service that an address belongs to: of the services that claim
// it, the one whose file sorts last.
func (s *Snapshot) Lookup(a model.ServiceAddr) (model.ServiceName, bool) {
	list := s.claims.get(hashAddress(a), a)
	if len(list) == 0 {
		return "", false
	}
	return model.ServiceName(list[len(list)-1].service), true
}

// DataCentre returns the override of a data centre. Without a decision, the weight is
// 1 and drain is false.
func (s *Snapshot) DataCentre(dc model.DataCentre) Override {
	return s.override(Subject{KindDataCentre, string(dc)})
}

// Target returns the override of a target. id is its name, see model.Member.Target.
func (s *Snapshot) Target(id model.NodeID) Override {
	return s.override(Subject{KindTarget, string(id)})
}

// Effective combines the overrides of a target and of its data centre: the weights are
// multiplied, and the target drains if either override has Drain set.
func (s *Snapshot) Effective(dc model.DataCentre, id model.NodeID) Override {
	a, b := s.DataCentre(dc), s.Target(id)
	return Override{Weight: a.Weight * b.Weight, Drain: a.Drain || b.Drain}
}

// override merges the decisions about a data centre or a target.
func (s *Snapshot) override(sub Subject) Override {
	o := Override{Weight: 1}
	for _, d := range s.subjects.get(hashSubject(sub), sub) {
		for _, setting := range d.Settings {
			switch v := setting.Value.(type) {
			case Number:
				o.Weight = float64(v)
			case Boolean:
				o.Drain = bool(v)
			}
		}
	}
	return o
}

// Subjects returns the names of all subjects of a kind, sorted.
func (s *Snapshot) Subjects(k Kind) []string {
	var out []string
	s.subjects.each(func(sub Subject, _ []*Decision) {
		if sub.Kind == k {
			out = append(out, sub.Name)
		}
	})
	slices.Sort(out)
	return out
}

// Decisions returns the accepted decisions about a subject, sorted by file name.
// Callers must not change them.
func (s *Snapshot) Decisions(sub Subject) []*Decision {
	return s.subjects.get(hashSubject(sub), sub)
}

// FileSubject returns the subject of an accepted file.
func (s *Snapshot) FileSubject(file string) (Subject, bool) {
	sub := s.fileSubjects.get(model.HashString(file), file)
	return sub, sub.Kind != 0
}

// Findings returns the faults of refused files and the claims for addresses that
// belong to another service, sorted by file and position.
func (s *Snapshot) Findings() Findings {
	var out Findings
	for _, f := range s.refused {
		out = append(out, f...)
	}
	for a := range s.conflicts {
		list := s.claims.get(hashAddress(a), a)
		owner := list[len(list)-1]
		for _, c := range list[:len(list)-1] {
			out = append(out, Finding{File: c.file, Position: c.at, Message: fmt.Sprintf(
				"address %s claimed by service %s in %s belongs to service %s, whose claim in %s sorts later",
				a, c.service, c.file, owner.service, owner.file)})
		}
	}
	out.Sort()
	return out
}

// FieldOrigin describes which files set the value of one field.
type FieldOrigin struct {
	Field    string        `json:"field"`
	Value    string        `json:"value"`
	File     string        `json:"file,omitempty"` // empty for a default
	At       Position      `json:"at"`
	Overrode []Overridden  `json:"overrode,omitempty"` // last file first
	Lost     []LostAddress `json:"lost,omitempty"`
}

// Overridden is a value that a later file replaces.
type Overridden struct {
	File  string   `json:"file"`
	At    Position `json:"at"`
	Value string   `json:"value"`
}

// LostAddress is a claimed address that belongs to another service.
type LostAddress struct {
	Address string `json:"address"`
	Service string `json:"service"`
	File    string `json:"file"`
}

// Explain returns each field of a subject with the files that set it, or nil if no
// decision names the subject.
func (s *Snapshot) Explain(kind Kind, name string) []FieldOrigin {
	sub := Subject{kind, name}
	decisions := s.Decisions(sub)
	if len(decisions) == 0 {
		return nil
	}
	var out []FieldOrigin
	for _, info := range fieldTable {
		if !info.appliesTo(kind) {
			continue
		}
		o := FieldOrigin{Field: info.Name, Value: info.Default}
		for i := len(decisions) - 1; i >= 0; i-- {
			setting, ok := decisions[i].Setting(info.Field)
			switch {
			case !ok:
			case o.File == "":
				o.File, o.At, o.Value = decisions[i].File, setting.At, setting.Value.String()
				o.Lost = s.lostAddresses(name, setting.Value)
			default:
				o.Overrode = append(o.Overrode, Overridden{decisions[i].File, setting.At, setting.Value.String()})
			}
		}
		out = append(out, o)
	}
	return out
}

// lostAddresses returns the addresses in v that belong to a service other than service.
func (s *Snapshot) lostAddresses(service string, v Value) []LostAddress {
	list, _ := v.(Addresses)
	var out []LostAddress
	for _, a := range list {
		claims := s.claims.get(hashAddress(a), a)
		if owner := claims[len(claims)-1]; owner.service != service {
			out = append(out, LostAddress{a.String(), owner.service, owner.file})
		}
	}
	return out
}
