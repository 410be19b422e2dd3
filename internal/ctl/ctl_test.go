package ctl

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against a check that omits an error or its position, and against changes of the
// output that operators and scripts read.
func TestOutputOfLocalCommands(t *testing.T) {
	for _, c := range []struct {
		golden string
		code   int
		args   []string
	}{
		{"check-five", ExitRefused, []string{"check", "testdata/five"}},
		{"check-five-json", ExitRefused, []string{"--json", "check", "testdata/five"}},
		{"check-contested", ExitRefused, []string{"check", "testdata/folder"}},
		{"merge", ExitRefused, []string{"merge", "testdata/folder"}},
		{"explain", ExitOK, []string{"explain", "dispatch", "--dir", "testdata/folder"}},
		{"explain-json", ExitOK, []string{"--json", "explain", "dk-east-b", "--dir", "testdata/folder"}},
	} {
		code, out, errOut := run(c.args...)
		got, path := out+"--- stderr\n"+errOut, filepath.Join("testdata", c.golden+".golden")
		if *updateGolden {
			is.New(t).NoErr(os.WriteFile(path, []byte(got), 0o644))
		}
		want, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		if got != string(want) || code != c.code {
			t.Errorf("%s: exit code %d, want %d; output:\n%s", c.golden, code, c.code, got)
		}
	}
	is := is.New(t)
	_, out, _ := run("check", "testdata/five")
	for _, at := range []string{"10-unknown-field.yaml:2:1: ", "20-wrong-type.yaml:2:8: ", "30-out-of-range.yaml:2:9: ", "40-anchor.yaml:1:10: ", "50-duplicate.yaml:3:1: "} {
		is.Equal(strings.Count(out, filepath.Join("testdata/five", at)), 1)
	}
}

// Guards against usage errors with the exit code of a refusal, and commands without help.
func TestUsageAndHelp(t *testing.T) {
	is := is.New(t)
	t.Setenv("BULRUSHSHELF_STORE", "")
	for _, args := range [][]string{{}, {"check"}, {"chekc"}, {"list"}, {"status"}, {"check", "a", "b"}, {"--store", "ftp://x", "list"}} {
		code, _, _ := run(args...)
		is.Equal(code, ExitUsage)
	}
	code, out, _ := run("--help")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "4  the outcome of a change is unknown"))
	for _, c := range new(app).commands() {
		code, out, _ := run(c.name, "--help")
		is.Equal(code, ExitOK)
		is.True(strings.Contains(out, "bulrushshelf-ctl") && strings.Contains(out, "Example"))
	}
	code, _, _ = run("explain", "nobody", "--dir", "testdata/folder")
	is.Equal(code, ExitRefused)
}

type fakeNode struct {
	admin.Node   // nil: methods that the test does not expect panic
	mu           sync.Mutex
	pushed       []admin.PushFileParams
	agentAddr    string
	drainResults []admin.DrainResult
}

func (f *fakeNode) PushFile(_ context.Context, p admin.PushFileParams) (admin.PushFileResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushed = append(f.pushed, p)
	return admin.PushFileResult{Version: p.Version, Changed: true}, nil
}

func (f *fakeNode) Members(_ context.Context, p admin.MembersParams) (r admin.MembersResult, err error) {
	if p.ID != "t1" {
		return r, trace.NotFound("no member %s", p.ID)
	}
	m := model.Member{ID: p.ID}
	err = m.AdminAddr.UnmarshalText([]byte(f.agentAddr))
	return admin.MembersResult{Members: []model.Member{m}}, err
}

func (f *fakeNode) Drain(_ context.Context, p admin.DrainParams) (admin.DrainResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Target != "t1" || !p.StatusOnly {
		return admin.DrainResult{}, trace.BadParameter("unexpected %+v", p)
	}
	r := f.drainResults[0]
	f.drainResults = f.drainResults[1:]
	return r, nil
}

type testEnv struct {
	store  *store.Store
	node   *fakeNode
	dir    string
	common []string
}

func startEnv(t *testing.T) testEnv {
	t.Helper()
	is := is.New(t)
	s := store.New(store.Options{})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	key, err := settings.NewSecret(make([]byte, settings.MinSecretBytes))
	is.NoErr(err)
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "key")
	is.NoErr(os.WriteFile(keyFile, []byte(base64.StdEncoding.EncodeToString(key.Bytes())), 0o600))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	node := &fakeNode{agentAddr: ln.Addr().String()}
	done := make(chan error, 1)
	go func() { done <- admin.NewServer(node, []settings.Secret{key}, discardRecorder{}).Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); is.NoErr(<-done) })
	return testEnv{s, node, dir, []string{"--store", srv.URL, "--key-file", keyFile, "--balancer", ln.Addr().String()}}
}

type discardRecorder struct{}

func (discardRecorder) Count(string, string, int64) {}

func (s testEnv) run(args ...string) (int, string, string) {
	return run(append(append([]string{}, s.common...), args...)...)
}

func (s testEnv) put(name, text string) (int, string, string) {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return -1, "", err.Error()
	}
	return s.run("put", path)
}

// Guards against an invalid file that is written to the store, overlaps that are not shown,
// files that are not pushed, and removals that leave an override in force.
func TestPutAndRemove(t *testing.T) {
	is := is.New(t)
	s := startEnv(t)
	code, _, errOut := s.put("10-a.yaml", "service: a\nqueue: x\n")
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(errOut, "10-a.yaml:2:8: "))
	is.Equal(s.store.Counts().Writes, uint64(0))

	code, _, _ = s.put("30-a.yaml", "service: a\nqueue: 3\n")
	is.Equal(code, ExitOK)
	code, out, _ := s.put("10-a.yaml", "service: a\nqueue: 1\naddresses: [10.0.0.1:80]\n")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "overridden by 30-a.yaml, which sets queue: 3"))
	code, out, _ = s.put("50-a.yaml", "service: a\nqueue: 5\n")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "overrides queue: 3 of 30-a.yaml"))
	is.True(strings.Contains(out, "pushed to 1 of 1"))
	code, out, _ = s.put("60-b.yaml", "service: b\naddresses: [10.0.0.1:80]\n")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "belongs to service b, whose claim in 60-b.yaml sorts later"))
	code, _, _ = s.run("remove", "50-a.yaml")
	is.Equal(code, ExitOK)
	code, _, _ = s.run("remove", "50-a.yaml")
	is.Equal(code, ExitRefused)
	code, out, _ = s.run("--json", "explain", "a")
	is.Equal(code, ExitOK)
	var found []explanation
	is.NoErr(json.Unmarshal([]byte(out), &found))
	is.Equal(found[0].Fields[1].Value, "3")
	_, out, _ = s.run("list")
	is.Equal(strings.Count(out, "\n"), 3)
	is.Equal(len(s.node.pushed), 5)
	is.Equal(s.node.pushed[4], admin.PushFileParams{Name: "50-a.yaml", Version: 5, Removed: true})
}

// Guards against two operators who overwrite each other's files without notice, and against
// wrong exit codes for failed and unknown writes.
func TestFaultsOfTheStoreDuringPut(t *testing.T) {
	is := is.New(t)
	s := startEnv(t)
	s.store.SetFaults(store.Faults{LoseAnswers: 1})
	code, _, _ := s.put("10-a.yaml", "service: a\nqueue: 1\n")
	is.Equal(code, ExitOK) // the client read the object back after the lost response
	is.Equal(s.node.pushed[0].Version, uint64(1))

	// Both files are written before either operator lists the store again.
	var wg sync.WaitGroup
	outs := make([]string, 2)
	for i, name := range []string{"20-a.yaml", "30-a.yaml"} {
		wg.Go(func() { _, outs[i], _ = s.put(name, "service: a\nqueue: 2\n") })
	}
	wg.Wait()
	is.True(strings.Contains(outs[0], "overridden by 30-a.yaml") || strings.Contains(outs[1], "overrides queue: 2 of 20-a.yaml"))

	same := make([]int, 8)
	for i := range same {
		wg.Go(func() {
			path := filepath.Join(s.dir, "same"+string(rune('a'+i))+".yaml")
			_ = os.WriteFile(path, []byte("service: a\nqueue: "+string(rune('0'+i))+"\n"), 0o600)
			same[i], _, _ = s.run("put", path, "--name", "40-same.yaml")
		})
	}
	wg.Wait()
	wins := uint64(0)
	for _, code := range same {
		is.True(code == ExitOK || code == ExitRefused)
		if code == ExitOK {
			wins++
		}
	}
	_, out, _ := s.run("--json", "list")
	var items []listItem
	is.NoErr(json.Unmarshal([]byte(out), &items))
	is.Equal(items[3].File, "40-same.yaml")
	is.Equal(items[3].Version, 3+wins) // one version per success; refused writes changed nothing

	s.store.SetFaults(store.Faults{Unavailable: true})
	code, _, _ = s.put("50-a.yaml", "service: a\nqueue: 1\n")
	is.Equal(code, ExitUnavailable)
	s.store.SetFaults(store.Faults{})
	code, _, errOut := s.run("--balancer", "127.0.0.1:1", "put", filepath.Join(s.dir, "50-a.yaml"))
	is.Equal(code, ExitOK) // the file is in the store; the failed push is only a warning
	is.True(strings.Contains(errOut, "did not accept it"))
	is.Equal(writeErrorWithCode("x", storeclient.WriteResult{Outcome: storeclient.Unknown}, errNoBalancer).(*exitError).code, ExitUnknown)
}

// Guards against a drain that a file which sorts later overrides, and a wait that ends before
// the last flow.
func TestDrainWaitsForTheLastFlow(t *testing.T) {
	is := is.New(t)
	s := startEnv(t)
	_, err := s.store.Preload(config.StorePrefix+"zz-t1.yaml", []byte("target: t1\ndrain: false\n"))
	is.NoErr(err)
	s.node.drainResults = []admin.DrainResult{
		{State: "active"}, {State: "leaving", Flows: 2, Busy: 1}, {State: "leaving", Queued: 1}, {State: "leaving"}, {State: "unused"}}
	code, out, errOut := s.run("drain", "t1", "--wait", "--poll", "1ms")
	is.Equal(errOut, "")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "accepted zzz-drain-t1.yaml"))
	is.Equal(len(s.node.drainResults), 1)
	code, out, _ = s.run("drain", "t1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "drained already"))
	code, _, _ = s.run("drain", "t2", "--name", "10-t2.yaml", "--wait")
	is.Equal(code, ExitRefused) // no balancer knows its agent
}
