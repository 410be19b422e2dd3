package config

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		is.New(t).NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s", name, got)
	}
}

func readDir(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := make(map[string][]byte)
	entries, err := os.ReadDir(dir)
	is.New(t).NoErr(err)
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		is.New(t).NoErr(err)
		files[e.Name()] = data
	}
	return files
}

// Guards against a fault that is accepted, that hides another fault of the same file,
// or that is reported at the wrong position.
func TestEveryFaultOfEveryFileIsReported(t *testing.T) {
	files := readDir(t, "testdata/faults")
	files["27-large.yaml"] = []byte(strings.Repeat("#", 64<<10) + "\n")
	files["99-good.yaml"] = []byte("service: good\nqueue: 7\n")
	s, found := Merge(files)
	compareGolden(t, "faults.golden", found.Error()+"\n")
	is := is.New(t)
	is.Equal(len(s.Subjects(KindService)), 1) // only the valid file is merged
	good, _ := s.Service("good")
	is.Equal(good.Policy.Queue, 7)
	for name := range files {
		_, accepted := s.FileSubject(name)
		is.Equal(accepted, name == "99-good.yaml")
	}
}

// Guards against input that makes the parser panic or accept out-of-range values.
func FuzzParse(f *testing.F) {
	entries, err := os.ReadDir("testdata/faults")
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join("testdata/faults", e.Name()))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, text := range []string{
		"service: a\naddresses: [10.0.0.1:80, \"[fd00::1]:53/udp\"]\nqueue: 0\n", "? {a: b}\n: c\n", "\ufeffservice: a\n",
		"target: t\nweight: 1e-400\n", "target: t\nweight: 0x1\n", "service: a\nqueue: 99999999999999999999\n", "a: &a [*a]\n", "%YAML 9.9\n---\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, found := Parse("x.yaml", data)
		if len(found) > 0 {
			for _, x := range found {
				if x.Line < 1 || x.Column < 1 || x.File != "x.yaml" {
					t.Errorf("finding without position: %v", x)
				}
			}
			return
		}
		if d.Subject.Name == "" || len(d.Settings) == 0 {
			t.Errorf("accepted a decision without subject or fields: %+v", d)
		}
		printed := d.Subject.Kind.String() + ": \"" + d.Subject.Name + "\"\n"
		for _, set := range d.Settings {
			printed += set.Field.String() + ": " + set.Value.String() + "\n"
		}
		e, found := Parse("x.yaml", []byte(printed))
		if len(found) > 0 || fmt.Sprint(values(e)) != fmt.Sprint(values(d)) {
			t.Errorf("parsing the printed decision gives a different one: %s\n%v", printed, found)
		}
	})
}

func values(d Decision) (out []string) {
	for _, s := range d.Settings {
		out = append(out, s.Value.String())
	}
	return out
}

// Guards against a merge that ignores the order of file names, does not restore the
// value that a removed file overrode, or assigns an address to two services.
func TestRemovedFileRestoresOverriddenValue(t *testing.T) {
	is := is.New(t)
	file := func(name, text string) FileChange { return FileChange{Name: name, Content: []byte(text)} }
	s, _ := new(Snapshot).Update([]FileChange{
		file("30-b.yaml", "service: b\naddresses: [10.0.0.1:80, 10.0.0.2:80]\n"),
		file("10-a.yaml", "service: a\naddresses: [10.0.0.1:80, 10.0.0.9:53/udp]\nqueue: 5\n"),
		file("20-a.yaml", "service: a\nqueue: 9\n"),
		file("40-dc.yaml", "datacentre: dc1\ndrain: true\nweight: 2\n"),
		file("41-t.yaml", "target: t1\nweight: 0.5\n"),
	})
	addr, _ := ParseAddress("10.0.0.1:80")
	owner, _ := s.Lookup(addr)
	is.Equal(owner, model.ServiceName("b"))
	is.Equal(s.Effective("dc1", "t1"), Override{Weight: 1, Drain: true})
	is.Equal(s.Effective("dc2", "t2"), Override{Weight: 1})
	a, _ := s.Service("a")
	is.Equal(len(a.Addresses), 1)
	is.Equal(a.Policy.Queue, 9)
	compareGolden(t, "explain.golden", dump(s))

	removed, ch := s.Update([]FileChange{{Name: "30-b.yaml", Removed: true}, {Name: "20-a.yaml", Removed: true}})
	is.Equal(ch.Services, []model.ServiceName{"a", "b"})
	a, _ = removed.Service("a")
	is.Equal(len(a.Addresses), 2)
	is.Equal(a.Policy.Queue, 5)
	owner, _ = removed.Lookup(addr)
	is.Equal(owner, model.ServiceName("a"))

	old, _ := s.Service("a") // the previous snapshot must not have changed
	is.Equal(old.Policy.Queue, 9)

	bad, ch := s.Update([]FileChange{file("20-a.yaml", "service: a\nqueue: -1\n")})
	a, _ = bad.Service("a")
	is.Equal(a.Policy.Queue, 5) // a file that became invalid no longer applies
	is.Equal(ch.Services, []model.ServiceName{"a"})
	_, ch = s.Update([]FileChange{file("20-a.yaml", "service: a\nqueue: 9 # same\n")})
	is.Equal(len(ch.Services), 0)
}

func dump(s *Snapshot) string {
	var b strings.Builder
	for _, k := range Kinds() {
		for _, name := range s.Subjects(k) {
			fmt.Fprintf(&b, "%s %s\n", k, name)
			for _, o := range s.Explain(k, name) {
				fmt.Fprintf(&b, "  %+v\n", o)
			}
		}
	}
	for _, svc := range s.Services() {
		fmt.Fprintf(&b, "%+v\n", *svc)
	}
	fmt.Fprintln(&b, s.Findings().Error())
	return b.String()
}

// referenceMerge merges a folder by the rules of the design page in the most direct way,
// without lists of claims and without shards.
func referenceMerge(files map[string][]byte, names []string) map[string]string {
	values, claimFile := make(map[string]string), make(map[string]string)
	claims := make(map[string][]model.ServiceAddr)
	for _, name := range names { // in byte order
		d, found := Parse(name, files[name])
		if len(found) > 0 {
			continue
		}
		for _, set := range d.Settings {
			values[d.Subject.String()+" "+set.Field.String()] = set.Value.String()
			if list, ok := set.Value.(Addresses); ok {
				claims[d.Subject.Name], claimFile[d.Subject.Name] = list, name
			}
		}
	}
	owner := make(map[model.ServiceAddr]string)
	for service, list := range claims {
		for _, a := range list {
			if o, taken := owner[a]; !taken || claimFile[service] > claimFile[o] {
				owner[a] = service
			}
		}
	}
	for a, service := range owner {
		values["owner "+a.String()] = service
	}
	return values
}

// effectiveValues returns the values of a snapshot in the form of referenceMerge.
func effectiveValues(s *Snapshot) map[string]string {
	values := make(map[string]string)
	for _, k := range Kinds() {
		for _, name := range s.Subjects(k) {
			for _, o := range s.Explain(k, name) {
				if o.File != "" {
					values[k.String()+" "+name+" "+o.Field] = o.Value
				}
			}
		}
	}
	for _, svc := range s.Services() {
		for _, a := range svc.Addresses {
			values["owner "+a.String()] = string(svc.Name)
		}
	}
	return values
}

func randomFile(r *rand.Rand) string {
	addr := func() string { return fmt.Sprintf("10.0.0.%d:80", 1+r.IntN(6)) }
	switch r.IntN(8) {
	case 0:
		return fmt.Sprintf("target: t%d\nweight: %d\n", r.IntN(3), 1+r.IntN(5))
	case 1:
		return fmt.Sprintf("datacentre: d%d\ndrain: %t\n", r.IntN(2), r.IntN(2) == 0)
	case 2:
		return "service: s0\nqueue: -1\n" // refused
	case 3:
		return fmt.Sprintf("service: s%d\nqueue: %d\n", r.IntN(4), r.IntN(9))
	}
	a, b := addr(), addr()
	if a == b {
		return fmt.Sprintf("service: s%d\naddresses: [%s]\n", r.IntN(4), a)
	}
	return fmt.Sprintf("service: s%d\naddresses: [%s, %s]\ndeadline: %ds\n", r.IntN(4), a, b, 1+r.IntN(9))
}

// Guards against incremental updates whose result differs from a full merge, and
// against a full merge that differs from the rules.
func TestIncrementalUpdateEqualsFullMerge(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		files := make(map[string][]byte)
		s := new(Snapshot)
		for step := range 60 {
			var changes []FileChange
			for range 1 + r.IntN(4) {
				name := fmt.Sprintf("%02d-x.yaml", r.IntN(25))
				if r.IntN(3) == 0 {
					changes = append(changes, FileChange{Name: name, Removed: true})
					delete(files, name)
				} else {
					text := []byte(randomFile(r))
					changes = append(changes, FileChange{Name: name, Content: text})
					files[name] = text
				}
			}
			s, _ = s.Update(changes)
			full, found := Merge(files)
			if a, b := dump(s), dump(full); a != b || s.Findings().Error() != found.Error() {
				t.Fatalf("seed %d step %d: incremental\n%s\nfull\n%s", seed, step, a, b)
			}
			var names []string
			for i := range 25 {
				if name := fmt.Sprintf("%02d-x.yaml", i); files[name] != nil {
					names = append(names, name)
				}
			}
			if want, got := fmt.Sprint(referenceMerge(files, names)), fmt.Sprint(effectiveValues(full)); got != want {
				t.Fatalf("seed %d step %d: got\n%s\nwant\n%s", seed, step, got, want)
			}
		}
	}
}

// Guards against documented defaults that differ from those of the policy.
func TestDocumentedDefaultsMatchPolicy(t *testing.T) {
	is := is.New(t)
	p := model.DefaultPolicy()
	is.Equal(FieldQueue.Info().Default, Count(p.Queue).String())
	is.Equal(FieldIdempotentMethods.Info().Default, Methods(p.IdempotentMethods).String())
	text := "service: a\n"
	for _, f := range Fields() {
		if f.appliesTo(KindService) {
			text += f.Name + ": " + f.Default + "\n"
		}
	}
	s, found := Merge(map[string][]byte{"a.yaml": []byte(text)})
	is.NoErr(found.Err())
	svc, _ := s.Service("a")
	is.True(svc.equal(&Service{Policy: p}))
	for i, f := range fieldTable {
		is.Equal(int(f.Field), i+1) // Info indexes the table by field
	}
}

// plannedFolder returns a folder as in the planned deployment: two files for each of n services.
func plannedFolder(n int) map[string][]byte {
	files := make(map[string][]byte, 2*n)
	for i := range n {
		files[fmt.Sprintf("10-s%05d.yaml", i)] = fmt.Appendf(nil, "service: s%05d\naddresses: [10.%d.%d.%d:443]\n", i, 80+i>>16, i>>8&255, i&255)
		files[fmt.Sprintf("20-s%05d.yaml", i)] = fmt.Appendf(nil, "service: s%05d\nqueue: %d\n", i, i%100)
	}
	return files
}

func BenchmarkMergeFull(b *testing.B) {
	files := plannedFolder(38_000)
	for b.Loop() {
		Merge(files)
	}
}

func BenchmarkUpdateOneFile(b *testing.B) {
	s, _ := Merge(plannedFolder(38_000))
	i := 0
	for b.Loop() {
		i++
		s, _ = s.Update([]FileChange{{Name: "20-s00007.yaml", Content: fmt.Appendf(nil, "service: s00007\nqueue: %d\n", i%1000)}})
	}
}

// Guards against a file whose findings fill the log or the memory.
func TestFindingsOfOneFileAreBounded(t *testing.T) {
	_, found := Parse("x.yaml", []byte(strings.Repeat("a: 1\n", 6_000)))
	is.New(t).True(len(found) > 50 && len(found) < 110)
}

func TestFaultOddDecisionFileHidesTheOthers(t *testing.T) {
	good := "service: dispatch\naddresses: [10.80.0.1:80]\n"
	base, _ := Merge(map[string][]byte{"20-good.yaml": []byte(good)})
	for name, odd := range map[string]string{
		"deep lists":        "addresses: " + strings.Repeat("[", 16_000) + strings.Repeat("]", 16_000),
		"deep mappings":     "a: " + strings.Repeat("{a: ", 6_000) + strings.Repeat("}", 6_000),
		"unclosed":          strings.Repeat("[", 32_000),
		"port out of range": "service: x\naddresses: [10.80.0.2:70000]\n",
		"number too large":  "target: x\nweight: 1e999999\n",
		"not text":          "\xff\xfe\x00",
		"empty":             "",
		"too large":         strings.Repeat("[", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, findings := Merge(map[string][]byte{"10-odd.yaml": []byte(odd), "20-good.yaml": []byte(good)})
			is.True(len(findings) > 0)
			is.Equal(s.NumServices(), base.NumServices())
			is.Equal(base.NumServices(), 1)
		})
	}
}
