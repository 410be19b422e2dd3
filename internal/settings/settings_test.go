package settings

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"go.yaml.in/yaml/v3"
)

var keyText = base64.StdEncoding.EncodeToString([]byte("0123456789abcdef0123456789abcdef"))

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

const agentFile = `node_id: dk-east-a-dispatch-1
datacentre: dk-east-a
service: dispatch
target_url: http://localhost:8080
slots: 3
max_connections: 2000
peer_address: 127.0.0.1:7001
request_address: 127.0.0.1:7002
admin_address: 127.0.0.1:7003
fabric_return_address: 127.0.0.1:7004
seeds: [127.0.0.1:7100]
`

// Guards against rejecting the node ID of an agent that is started while the agent
// that it replaces still runs.
func TestNodeIDOfASecondAgent(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, agentFile+"keys: ["+keyText+"]\n")
	a, err := LoadAgent([]string{"--settings", path, "--node-id", "dk-east-a-dispatch-1/2"})
	is.NoErr(err)
	is.Equal((model.Member{ID: a.NodeID}).Target(), model.NodeID("dk-east-a-dispatch-1"))
	for _, bad := range []string{"a/", "/2", "a/2/3", "A/2"} {
		_, err := LoadAgent([]string{"--settings", path, "--node-id", bad})
		is.True(err != nil)
	}
}

// Guards against keys that appear in logs, status pages or error messages.
func TestSecretIsNeverPrinted(t *testing.T) {
	is := is.New(t)
	s, err := ParseSecret(keyText)
	is.NoErr(err)
	js, err := json.Marshal(map[string]any{"k": s, "p": &s})
	is.NoErr(err)
	ys, err := yaml.Marshal(struct{ Keys []Secret }{[]Secret{s}})
	is.NoErr(err)
	out := string(js) + string(ys)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d", "%X"} {
		out += fmt.Sprintf(verb, s) + fmt.Sprintf(verb, &s) + fmt.Sprintf(verb, Common{Keys: []Secret{s}})
	}
	is.True(strings.Count(out, redacted) >= 27)
	for _, leak := range []string{"0123456789", keyText, "30313233", "48 49 50"} {
		is.True(!strings.Contains(out, leak))
	}
	_, err = LoadAgent([]string{"--settings", writeSettings(t, agentFile+"keys: [c2VjcmV0, \"not base64 hunter2\"]\n")})
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "hunter2") && !strings.Contains(err.Error(), "c2VjcmV0"))
}

// Guards against faults that hide other faults or lose their position.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, "node_id: A\nslots: 0\nslot: 3\nlog_level: loud\npeer_address: localhost:1\n"+
		"target_url: http://10.0.0.1:80\nkeys: [c2hvcnQ=]\nseeds: [1]\n")
	_, err := LoadAgent([]string{"--settings", path, "--weight", "0", "--drain-timeout", "5", "--service", "UP"})
	is.True(err != nil)
	got := strings.ReplaceAll(err.Error(), path, "FILE")
	var places []string
	for line := range strings.Lines(got) {
		places = append(places, line[:strings.Index(line, ": ")])
	}
	is.Equal(places, []string{
		"FILE:1:1", "FILE:1:1", "FILE:1:1", "FILE:1:1", "FILE:1:1", "FILE:1:10", "FILE:2:8", "FILE:3:1", "FILE:4:12",
		"FILE:5:15", "FILE:6:13", "FILE:7:8", "FILE:8:9", "--drain-timeout", "--service", "--weight"})
}

// Guards against a flag that does not override the file, a default that is not
// applied, and a numeric name that is decoded as a number.
func TestFlagsOverrideFileOverridesDefaults(t *testing.T) {
	is := is.New(t)
	keyFile := filepath.Join(t.TempDir(), "keys")
	is.NoErr(os.WriteFile(keyFile, []byte("# current, then next\n"+keyText+"\n\n"+keyText+"\n"), 0o600))
	a, err := LoadAgent([]string{"--settings", writeSettings(t, agentFile), "--slots", "5", "--node-id", "12", "--key-file", keyFile,
		"--seeds", "127.0.0.1:1", "--seeds", "127.0.0.1:2", "--drain-timeout", "90s"})
	is.NoErr(err)
	is.Equal(a.Slots, 5)
	is.Equal(string(a.NodeID), "12")
	is.Equal(a.MaxFlows, 2000)
	is.Equal(a.Weight, 1.0)
	is.Equal(a.LogLevel, "info")
	is.Equal(a.DrainTimeout, 90*time.Second)
	is.Equal(len(a.Seeds), 2)
	is.Equal(len(a.Keys), 2)
	is.True(!a.MetricsAddr.IsValid())

	b, err := LoadBalancer([]string{"--node-id", "b1", "--datacentre", "dk-east-a", "--peer-address", "127.0.0.1:1", "--admin-address", "127.0.0.1:2",
		"--fabric-address", "127.0.0.1:3", "--store-url", "http://127.0.0.1:4", "--key-file", keyFile})
	is.NoErr(err)
	is.Equal(b.Paths, 2)
	is.Equal(b.HintTableSize, 65536)
	_, err = LoadBalancer(nil)
	is.Equal(strings.Count(err.Error(), "\n"), 6) // six required fields and the keys
	s, err := LoadStore(nil)
	is.NoErr(err)
	is.Equal(s.ListenAddr.String(), "127.0.0.1:9400")
	is.Equal(s.WritesPerSecond, 300.0)
	_, err = LoadStore([]string{"--help"})
	is.True(IsHelp(err))
	_, err = LoadStore([]string{"--key-file", keyFile})
	is.True(err != nil && !IsHelp(err))
}

// Guards against settings without documentation and against a flag for keys, which
// other users of the machine could read.
func TestEveryFieldIsDocumented(t *testing.T) {
	is := is.New(t)
	for _, b := range []Binary{BinaryBalancer, BinaryAgent, BinaryStore} {
		seen := make(map[string]bool)
		for _, f := range Fields(b) {
			is.True(f.Doc != "" && f.Type != "" && !seen[f.Name])
			seen[f.Name] = true
			is.Equal(f.NoFlag, f.Name == "keys")
		}
		is.Equal(len(seen) > 0, true)
	}
}
