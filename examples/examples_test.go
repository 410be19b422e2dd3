// Package examples checks the example deployments.
package examples

import (
	"encoding/base64"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

func readDecisions(t *testing.T, deployment string) map[string][]byte {
	t.Helper()
	is := is.New(t)
	files := make(map[string][]byte)
	paths, err := filepath.Glob(filepath.Join(deployment, "decisions", "*"))
	is.NoErr(err)
	for _, p := range paths {
		data, err := os.ReadFile(p)
		is.NoErr(err)
		files[filepath.Base(p)] = data
	}
	return files
}

// Guards against examples that the processes refuse, that use a name or an address
// twice, or whose numbers of targets differ from the design page.
func TestExamplesAreAcceptedAndConsistent(t *testing.T) {
	is := is.New(t)
	key := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(key, []byte(base64.StdEncoding.EncodeToString(make([]byte, 32))), 0o600))
	sizes := map[string]map[model.ServiceName]int{
		"varmevej": {"dispatch": 7, "warranty-intake": 3},
		"podas":    {"facturador": 7, "evidencias": 3},
	}
	for deployment, services := range sizes {
		files := readDecisions(t, deployment)
		s, found := config.Merge(files)
		is.NoErr(found.Err())
		is.Equal(len(s.Services()), len(services))

		seen, dcs, agents := make(map[string]bool), make(map[model.DataCentre]bool), make(map[model.ServiceName]int)
		peers, seeds := make(map[netip.AddrPort]bool), make(map[netip.AddrPort]bool)
		unique := func(c settings.Common) {
			for _, v := range []string{string(c.NodeID), c.PeerAddr.String(), "tcp " + c.AdminAddr.String()} {
				is.True(!seen[v])
				seen[v] = true
			}
			is.True(c.PeerAddr.Addr().IsLoopback())
			dcs[c.DataCentre] = true
			for _, a := range c.Seeds {
				seeds[a] = true
			}
		}
		paths, err := filepath.Glob(filepath.Join(deployment, "settings", "*"))
		is.NoErr(err)
		for _, p := range paths {
			args := []string{"--settings", p, "--key-file", key}
			if strings.HasPrefix(filepath.Base(p), "balancer-") {
				b, err := settings.LoadBalancer(args)
				is.NoErr(err)
				unique(b.Common)
				peers[b.PeerAddr] = true
				continue
			}
			a, err := settings.LoadAgent(args)
			is.NoErr(err)
			unique(a.Common)
			agents[a.Service]++
			is.Equal(a.Slots, 3)
			is.Equal(a.MaxFlows, 2000)
		}
		is.Equal(agents, services)
		is.Equal(seeds, peers) // the seeds are exactly the balancers
		for _, name := range s.Subjects(config.KindTarget) {
			is.True(seen[name])
		}
		for _, name := range s.Subjects(config.KindDataCentre) {
			is.True(dcs[model.DataCentre(name)])
		}
		is.Equal(len(dcs), 3)
	}
}
